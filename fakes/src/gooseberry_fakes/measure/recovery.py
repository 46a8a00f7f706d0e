"""Time from a failure until the interrupted work is served again."""

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
IDLE_PERIOD_S = 4.0
TIME_LIMIT_S = 60.0


def _measure_until(probe: Callable[[], bool]) -> float:
    """Return the seconds until ``probe`` holds; infinity after the time limit."""
    started = time.monotonic()
    while not probe():
        if time.monotonic() - started > TIME_LIMIT_S:
            return float("inf")
        time.sleep(0.02)
    return time.monotonic() - started


def _count_appends(cluster: Cluster) -> int:
    return int(cluster.debug("log")["appends"])


def _measure_owner_killed(cluster: Cluster, number: int) -> float:
    """Kill the only engine's owner; wait for a response through another entry VM."""
    owner = cluster.owner("dakar-engine-1")
    other = next(vm for vm in cluster.entry_vms() if vm != owner)
    cluster.kill(owner)
    seconds = _measure_until(
        lambda: (
            cluster.complete(other, "a1@1", f"r{number}", max_tokens=1).status == 200
        )
    )
    cluster.start_entry_vm(owner)
    cluster.wait_ready(owner)
    time.sleep(4)
    return seconds


def _measure_owner_stopped(cluster: Cluster, number: int) -> float:
    """Stop the owner gracefully; wait for a response through another entry VM."""
    owner = cluster.owner("dakar-engine-1")
    other = next(vm for vm in cluster.entry_vms() if vm != owner)
    cluster.signal(owner, signal.SIGTERM)
    seconds = _measure_until(
        lambda: (
            cluster.complete(other, "a1@1", f"s{number}", max_tokens=1).status == 200
        )
    )
    cluster.processes[owner].wait(timeout=30)
    cluster.start_entry_vm(owner)
    cluster.wait_ready(owner)
    time.sleep(4)
    return seconds


def _measure_holder_killed(cluster: Cluster, number: int) -> float:
    """Kill the entry VM that dispatched a booking; wait for the known outcome."""
    holder, other = cluster.entry_vms()[:2]
    server = cluster.services()[0]
    cluster.control(server, delay_s=1.0)
    cluster.book(holder, f"recovery-{number}", timeout_s=0.5)
    cluster.kill(holder)
    cluster.control(server, delay_s=0.0)
    seconds = _measure_until(
        lambda: cluster.book(other, f"recovery-{number}").outcome == "ran"
    )
    cluster.start_entry_vm(holder)
    cluster.wait_ready(holder)
    time.sleep(4)
    return seconds


def _measure_vm_replaced(cluster: Cluster, number: int) -> float:
    """Kill and restart an entry VM; wait until it is ready."""
    vm = cluster.entry_vms()[2]
    cluster.kill(vm)
    started = time.monotonic()
    cluster.start_entry_vm(vm)
    cluster.wait_ready(vm)
    seconds = time.monotonic() - started
    time.sleep(4)
    return seconds


CASES: dict[str, Callable[[Cluster, int], float]] = {
    "owner killed, until a completion is answered": _measure_owner_killed,
    "owner stopped, until a completion is answered": _measure_owner_stopped,
    "holder killed after dispatch, until the outcome is known": _measure_holder_killed,
    "entry VM replaced, until it is ready (3,000 adapters)": _measure_vm_replaced,
}


def measure_recovery() -> None:
    """Print the times of each case, and its log appends and peer traffic."""
    deployment = replace(
        PAPILLON, domains=("dakar",), engines=(1,), services=(1,), store_rate=20.0
    )
    overrides = {"policy": {"store_loads_per_s": 20.0}}
    with Cluster(deployment, Path(".run/recovery"), 46, overrides) as cluster:
        cluster.configure(3000)
        cluster.wait_owned()
        for name, case in CASES.items():
            print(f"{name}: {_measure_case(cluster, case)}", flush=True)


def _measure_case(cluster: Cluster, case: Callable[[Cluster, int], float]) -> str:
    """Run a case and return its results, its traffic less that of an idle cluster."""
    idle = _measure_traffic(cluster, lambda: time.sleep(IDLE_PERIOD_S))
    appends = _count_appends(cluster)
    times: list[float] = []
    started = time.monotonic()

    def run() -> None:
        times.extend(case(cluster, number) for number in range(RUNS))

    total = _measure_traffic(cluster, run)
    idle_periods = (time.monotonic() - started) / IDLE_PERIOD_S
    messages = (total.messages - idle.messages * idle_periods) / RUNS
    size = (total.bytes - idle.bytes * idle_periods) / RUNS
    times_text = ", ".join(f"{seconds:.2f}" for seconds in times)
    return (
        f"{times_text} s; "
        f"each {(_count_appends(cluster) - appends) / RUNS:.1f} appends, "
        f"{messages:.0f} messages and {size:.0f} bytes beyond idle"
    )


def _measure_traffic(cluster: Cluster, work: Callable[[], None]) -> PeerTraffic:
    """Return the traffic of the VMs that did not restart, scaled to all VMs."""
    vms = cluster.entry_vms()
    before = {vm: read_peer_traffic(cluster, vm) for vm in vms}
    work()
    after = {vm: read_peer_traffic(cluster, vm) for vm in vms}
    surviving = [vm for vm in vms if after[vm].bytes >= before[vm].bytes]
    scale = len(vms) / len(surviving)
    return PeerTraffic(
        scale * sum(after[vm].messages - before[vm].messages for vm in surviving),
        scale * sum(after[vm].bytes - before[vm].bytes for vm in surviving),
    )
