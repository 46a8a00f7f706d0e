"""Messages and bytes between entry VMs, from their own metrics."""

from __future__ import annotations

from dataclasses import dataclass

from gooseberry_fakes.cluster import Cluster, send
from gooseberry_fakes.topology import ENTRY_PORT


@dataclass(frozen=True, slots=True)
class PeerTraffic:
    """Messages and bytes that a VM has sent and received since it started."""

    messages: float
    bytes: float


def read_peer_traffic(cluster: Cluster, vm: str) -> PeerTraffic:
    """Return the counters of one entry VM."""
    text = send(cluster.vms[vm]["address"], ENTRY_PORT, "GET", "/metrics").body.decode()
    return PeerTraffic(
        _sum_of(text, "gooseberryrun_peer_messages_total"),
        _sum_of(text, "gooseberryrun_peer_bytes_total"),
    )


def _sum_of(text: str, name: str) -> float:
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if line.startswith(name)
    )
