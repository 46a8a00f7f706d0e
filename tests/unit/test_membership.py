"""Membership derived from the VM list, votes and leaving notices."""

from __future__ import annotations

import gooseberryrun._internal.coordination as coordination
import gooseberryrun._internal.state as state
from result import Ok, Result

from tests.lib.nodes import CFG, ENGINE, ENTRY_VMS

OTHER = state.Vm("z", state.VmKind.ENTRY, "other", "127.0.1.1", 1, 2)
ORDERS = [
    state.Vm(f"orders-{domain}", state.VmKind.SERVICE, domain, "", 1, service="orders")
    for domain in ("b", "d")
]
ALL = [*ENTRY_VMS, OTHER, ENGINE, *ORDERS]


class ChangingVmList(coordination.VmList):
    """VM list that a test replaces."""

    def __init__(self) -> None:
        self.vms = ALL

    def fetch(self) -> Result[list[state.Vm], coordination.PlatformError]:
        return Ok(self.vms)


class Fixture:
    """Membership of VM ``a``, in a domain of three entry VMs."""

    def __init__(self) -> None:
        self.clock = state.ManualClock(100.0)
        self.list = ChangingVmList()
        self.members = coordination.Membership(CFG, self.clock, self.list, "boot-a")
        self.members.poll()


def test_views_follow_the_list() -> None:
    members = Fixture().members
    assert members.entry_vms() == ["a", "b", "c", "z"]
    assert members.entry_vms("d") == ["a", "b", "c"]
    assert members.engines() == members.domain_engines() == [ENGINE]
    assert [vm.id for vm in members.services("orders")] == ["orders-d", "orders-b"]
    assert members.voters("other") == ["z"]
    assert not members.has_service("kits")


def test_unchanged_list_changes_no_version() -> None:
    fixture = Fixture()
    version = fixture.members.version
    fixture.members.poll()
    fixture.list.vms = list(ALL)
    fixture.members.poll()
    assert fixture.members.version == version


def test_vm_is_dropped_when_absent_twice_even_if_the_list_rests() -> None:
    """A second read that returns the same list object counts as a second absence."""
    fixture = Fixture()
    fixture.list.vms = [vm for vm in ALL if vm != OTHER]
    fixture.members.poll()
    assert fixture.members.get("z") is not None
    fixture.members.poll()
    assert fixture.members.get("z") is None
    assert fixture.members.entry_vms() == ["a", "b", "c"]


def test_vm_is_dead_when_a_majority_misses_it() -> None:
    fixture = Fixture()
    fixture.members.record_contact("b", "boot-b", leaving=False)
    fixture.members.record_contact("c", "boot-c", leaving=False)
    fixture.clock.now += CFG.peer.dead_after_s + 1.0
    fixture.members.record_contact("b", "boot-b", leaving=False)
    assert fixture.members.unresponsive() == ["c"]
    assert not fixture.members.is_dead("c")
    fixture.members.record_unresponsive_vote("b", ["c"])
    assert fixture.members.is_dead("c")
    assert fixture.members.live_domain_vms() == ["a", "b"]
    fixture.clock.now += CFG.peer.dead_after_s + 1.0
    assert fixture.members.unresponsive() == ["b", "c"]
    assert not fixture.members.is_dead("c")


def test_every_word_of_leaving_counts() -> None:
    fixture = Fixture()
    members = fixture.members
    members.record_engine_leaving(ENGINE.id, True)
    members.record_leaving_notices([coordination.LeavingNotice("b", "boot-b", 8.0)])
    members.set_drained({"orders-d", "unknown"})
    members.leaving = True
    assert members.leaving_ids() == ["a", "b", ENGINE.id, "orders-d"]
    assert members.engines() == []
    assert members.live_domain_vms() == ["c"]
    assert [vm.id for vm in members.services("orders")] == ["orders-b"]
