"""Messages and bytes between entry VMs, read from their metrics."""

from __future__ import annotations

from dataclasses import dataclass

from gooseberry_fakes.cluster import Cluster, send
from gooseberry_fakes.topology import ENTRY_PORT


@dataclass(frozen=True, slots=True)
class PeerTraffic:
    """Messages and bytes that an entry VM sent and received since it started."""

    messages: float
    bytes: float


def read_peer_traffic(cluster: Cluster, vm: str) -> PeerTraffic:
    """Return the peer traffic counters of one entry VM."""
    text = send(cluster.vms[vm]["address"], ENTRY_PORT, "GET", "/metrics").body.decode()
    return PeerTraffic(
        _sum_counters(text, "gooseberryrun_peer_messages_total"),
        _sum_counters(text, "gooseberryrun_peer_bytes_total"),
    )


def _sum_counters(text: str, name: str) -> float:
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if line.startswith(name)
    )
