"""Time from a failure until the work that it stopped flows again."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from gooseberry_fakes.cluster import Cluster
from gooseberry_fakes.topology import PAPILLON

from .peer_traffic import PeerTraffic, read_peer_traffic

RUNS = 3
IDLE_S = 4.0
LIMIT_S = 60.0


def _until(probe: Callable[[], bool]) -> float:
    started = time.monotonic()
    while not probe():
        if time.monotonic() - started > LIMIT_S:
            return float("inf")
        time.sleep(0.02)
    return time.monotonic() - started


def _appends(cluster: Cluster) -> int:
    return int(cluster.debug("log")["appends"])


def _owner_killed(cluster: Cluster, number: int) -> float:
    """Kill the only engine's owner; wait for an answer of another entry VM."""
    owner = cluster.owner("dakar-engine-1")
    other = next(vm for vm in cluster.entry_vms() if vm != owner)
    cluster.kill(owner)
    seconds = _until(
        lambda: (
            cluster.complete(other, "a1@1", f"r{number}", max_tokens=1).status == 200
        )
    )
    cluster.start_entry_vm(owner)
    cluster.wait_ready(owner)
    time.sleep(4)
    return seconds


def _owner_stopped(cluster: Cluster, number: int) -> float:
    """Stop the owner gracefully; wait for an answer of another entry VM."""
    owner = cluster.owner("dakar-engine-1")
    other = next(vm for vm in cluster.entry_vms() if vm != owner)
    cluster.signal(owner, signal.SIGTERM)
    seconds = _until(
        lambda: (
            cluster.complete(other, "a1@1", f"s{number}", max_tokens=1).status == 200
        )
    )
    cluster.processes[owner].wait(timeout=30)
    cluster.start_entry_vm(owner)
    cluster.wait_ready(owner)
    time.sleep(4)
    return seconds


def _holder_killed(cluster: Cluster, number: int) -> float:
    """Kill the holder of a booking after its dispatch; wait for the outcome."""
    holder, other = cluster.entry_vms()[:2]
    server = cluster.services()[0]
    cluster.control(server, delay_s=1.0)
    cluster.book(holder, f"recovery-{number}", timeout_s=0.5)
    cluster.kill(holder)
    cluster.control(server, delay_s=0.0)
    seconds = _until(lambda: cluster.book(other, f"recovery-{number}").outcome == "ran")
    cluster.start_entry_vm(holder)
    cluster.wait_ready(holder)
    time.sleep(4)
    return seconds


def _fresh_vm(cluster: Cluster, number: int) -> float:
    """Replace an entry VM; wait until it is ready."""
    vm = cluster.entry_vms()[2]
    cluster.kill(vm)
    started = time.monotonic()
    cluster.start_entry_vm(vm)
    cluster.wait_ready(vm)
    seconds = time.monotonic() - started
    time.sleep(4)
    return seconds


CASES: dict[str, Callable[[Cluster, int], float]] = {
    "owner killed, until a completion is answered": _owner_killed,
    "owner stopped, until a completion is answered": _owner_stopped,
    "holder killed after dispatch, until the outcome is known": _holder_killed,
    "entry VM replaced, until it is ready (3,000 adapters)": _fresh_vm,
}


def measure_recovery() -> None:
    """Print the times of each case and what it cost in appends and messages."""
    shape = replace(
        PAPILLON, domains=("dakar",), engines=(1,), services=(1,), store_rate=20.0
    )
    overrides = {"policy": {"store_loads_per_s": 20.0}}
    with Cluster(shape, Path(".run/recovery"), 46, overrides) as cluster:
        cluster.configure(3000)
        cluster.wait_owned()
        for name, case in CASES.items():
            print(f"{name}: {_measure_case(cluster, case)}", flush=True)


def _measure_case(cluster: Cluster, case: Callable[[Cluster, int], float]) -> str:
    """Run a case; its traffic is what it took beyond that of an idle while."""
    idle = _traffic_during(cluster, lambda: time.sleep(IDLE_S))
    appends = _appends(cluster)
    times: list[float] = []
    started = time.monotonic()

    def run() -> None:
        times.extend(case(cluster, number) for number in range(RUNS))

    busy = _traffic_during(cluster, run)
    idle_shares = (time.monotonic() - started) / IDLE_S
    messages = (busy.messages - idle.messages * idle_shares) / RUNS
    size = (busy.bytes - idle.bytes * idle_shares) / RUNS
    shown = ", ".join(f"{seconds:.2f}" for seconds in times)
    return (
        f"{shown} s; each {(_appends(cluster) - appends) / RUNS:.1f} appends, "
        f"{messages:.0f} messages and {size:.0f} bytes beyond idle"
    )


def _traffic_during(cluster: Cluster, work: Callable[[], None]) -> PeerTraffic:
    """Return the traffic of the VMs that lived throughout, scaled to all of them."""
    vms = cluster.entry_vms()
    before = {vm: read_peer_traffic(cluster, vm) for vm in vms}
    work()
    after = {vm: read_peer_traffic(cluster, vm) for vm in vms}
    stayed = [vm for vm in vms if after[vm].bytes >= before[vm].bytes]
    scale = len(vms) / len(stayed)
    return PeerTraffic(
        scale * sum(after[vm].messages - before[vm].messages for vm in stayed),
        scale * sum(after[vm].bytes - before[vm].bytes for vm in stayed),
    )
