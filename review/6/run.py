"""A VM wakes while another one of its zone stops; both are assigned the runners."""

from __future__ import annotations

import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from standins import BOUNDS, MODEL, Site, Traffic, Vm, route, run_case, send

ZONE = "dakar-a"
RUNNERS = ("i-d1bc52d9", "i-26a2c0bd", "i-068739fa", "i-dbc496cb", "i-a38fd547")
"""Ids for which the first two in the VMs' ranking are the VMs that freeze and stop."""
FREEZE_S = 7.0
OBSERVED_S = 8.0
ROUNDS = [(4, 1, 0.05), (1, 4, 0.1), (4, 1, 0.1), (1, 4, 0.05)]
"""VM that freezes, VM that stops, and the time from the waking to the SIGTERM."""


def broken_orders(site: Site, thawed: list[tuple[str, float]]) -> list[str]:
    """Judge the orders to each runner by rule ONE."""
    lease_s = BOUNDS["lease_ms"] / 1000
    slack_s = BOUNDS["thaw_slack_ms"] / 1000
    found = []
    for runner in site.runners:
        holder_of: dict[int, str] = {}
        told: set[tuple[int, str]] = set()
        last_at: dict[str, float] = {}
        highest, previous = 0, ""
        for order in runner.orders:
            at, holder, fence = order["at"], order["holder"], order["fence"]
            if any(vm == holder and at0 <= at < at0 + slack_s for vm, at0 in thawed):
                continue
            when = f"{runner.id} at {at - site.record.began_at:.3f}:"
            known = holder_of.setdefault(fence, holder)
            if known != holder and (fence, holder) not in told:
                told.add((fence, holder))
                found.append(f"{when} {known} and {holder} ordered with {fence}")
            if fence < highest:
                found.append(f"{when} {holder} ordered with {fence} after {highest}")
            if (
                previous not in ("", holder)
                and at - last_at.get(holder, -99.0) < lease_s
            ):
                found.append(f"{when} {holder} ordered again after {previous}")
            highest, previous = max(highest, fence), holder
            last_at[holder] = at
    return found


def play(folder: Path, is_troubled: bool) -> list[str]:
    """Play the case; return how the rule was broken."""
    site = Site(folder, {ZONE: 4, "dakar-b": 1})
    resting: set[str] = set()
    thawed: list[tuple[str, float]] = []
    try:
        for name in RUNNERS:
            site.add_runner(name, "atelier-ai", ZONE, True)
        site.add_vms()
        site.configure([route("chat", "stream", "atelier-ai")])
        site.start()
        time.sleep(9.0)

        def ask(number: int) -> None:
            ready: list[Vm] = [vm for vm in site.vms.values() if vm.name not in resting]
            model = f"{MODEL}/a{random.randrange(1, 200)}"
            counts = {
                "X_Gooseberryrun_Model": model,
                "X_Gooseberryrun_Token_Count": "600,22",
            }
            vm = random.choice(ready)
            send(site, vm, "POST", "/chat/1", f"r{number}", b"p", 5000, **counts)

        traffic = Traffic(25.0, ask)
        for frozen_number, removed_number, delay_s in ROUNDS:
            frozen = site.vms[f"front-{ZONE}-{frozen_number}"]
            removed = site.vms[f"front-{ZONE}-{removed_number}"]
            resting.add(frozen.name)
            if is_troubled:
                frozen.signal(signal.SIGSTOP)
            time.sleep(FREEZE_S)
            if is_troubled:
                frozen.signal(signal.SIGCONT)
                thawed.append((frozen.name, time.monotonic()))
            time.sleep(delay_s)
            resting.add(removed.name)
            removed.signal(signal.SIGTERM)
            time.sleep(1.0)
            resting.discard(frozen.name)
            time.sleep(OBSERVED_S - 1.0)
            if removed.process is not None:
                removed.process.wait(BOUNDS["grace_s"])
            removed.start()
            time.sleep(4.5)
            resting.discard(removed.name)
        traffic.stop(1.0)
        return broken_orders(site, thawed)
    finally:
        site.close()


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent)
