"""What the store keeps of crashes, after answers that clear them."""

from __future__ import annotations

from collections.abc import Callable

import eventlet

from tests.lib.evidence_fleet import PART, Fleet
from tests.lib.virtual_hub import HubClock, VirtualHub, run_in_virtual_time

VMS = 72
CRASHES = 3
STORE_AWAY_S = 12.0
"""Longer than the few attempts after which a write was given up."""
ROUNDS = 4


def run_fleet(script: Callable[[Fleet, list[str]], None]) -> None:
    """Run a script with a fleet in virtual time in which all VMs refuse the part."""

    def run(hub: VirtualHub) -> None:
        fleet = Fleet(3, VMS, HubClock(hub))
        names = list(fleet.guards)
        for number in range(CRASHES):
            eventlet.sleep(5.0)
            fleet.crash(names[number], number, hub.now)
            fleet.deliver()
        fleet.gossip()
        script(fleet, names)

    run_in_virtual_time(run)


def answer(fleet: Fleet, vm: str) -> None:
    fleet.answer(vm, eventlet.hubs.get_hub().now)
    fleet.deliver()


def test_part_that_is_cleared_while_the_store_is_away_is_removed_later() -> None:
    """The store kept it, so that VMs that started later refused sound requests."""

    def script(fleet: Fleet, names: list[str]) -> None:
        assert len(fleet.store.suspicions[PART].crashes) == CRASHES
        fleet.store.is_refusing = True
        eventlet.sleep(1.0)
        answer(fleet, names[40])
        eventlet.sleep(STORE_AWAY_S)
        fleet.store.is_refusing = False
        eventlet.sleep(5.0)
        assert not fleet.store.suspicions

    run_fleet(script)


def test_repeated_write_does_not_restore_what_was_cleared_in_between() -> None:
    """The repetition wrote the crashes as they were at the first attempt."""

    def script(fleet: Fleet, names: list[str]) -> None:
        eventlet.sleep(5.0)
        fleet.store.is_refusing = True
        fleet.crash(names[0], CRASHES, eventlet.hubs.get_hub().now)
        eventlet.sleep(0.4)
        fleet.store.is_refusing = False
        answer(fleet, names[0])
        eventlet.sleep(5.0)
        assert not fleet.store.suspicions

    run_fleet(script)


def test_crash_kept_by_a_vm_that_missed_the_answer_is_removed() -> None:
    """It wrote what the VM that saw the answer had just removed."""

    def script(fleet: Fleet, names: list[str]) -> None:
        eventlet.sleep(5.0)
        fleet.cut_off = {names[0]}
        answer(fleet, names[1])
        eventlet.sleep(1.0)
        fleet.guards[names[0]]._keep_all()
        eventlet.sleep(1.0)
        assert PART in fleet.store.suspicions
        fleet.cut_off = set()
        fleet.gossip(ROUNDS)
        eventlet.sleep(1.0)
        assert not fleet.store.suspicions

    run_fleet(script)


def test_new_vm_removes_what_was_cleared_before_it_read_the_store() -> None:
    """The VM that saw the answer may end before it has removed it."""

    def script(fleet: Fleet, names: list[str]) -> None:
        kept = dict(fleet.store.suspicions)
        eventlet.sleep(1.0)
        answer(fleet, names[1])
        eventlet.sleep(5.0)
        fleet.store.suspicions = kept
        fleet.start(names[50])
        fleet.guards[names[50]].start()
        eventlet.sleep(1.0)
        assert fleet.knowing() == 1
        fleet.gossip(ROUNDS)
        eventlet.sleep(1.0)
        assert not fleet.knowing()
        assert not fleet.store.suspicions

    run_fleet(script)


def test_answer_after_a_restart_of_all_vms_takes_few_writes() -> None:
    """All VMs have read the suspicion, and one write removes it."""

    def script(fleet: Fleet, names: list[str]) -> None:
        for name in names:
            fleet.start(name)
            fleet.guards[name].start()
        eventlet.sleep(1.0)
        assert fleet.knowing() == VMS
        fleet.store.calls.clear()
        answer(fleet, names[7])
        fleet.gossip(ROUNDS)
        eventlet.sleep(5.0)
        assert not fleet.knowing()
        assert not fleet.store.suspicions
        assert fleet.store.calls["write_suspicions"] == 1

    run_fleet(script)
