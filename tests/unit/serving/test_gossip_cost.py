"""Messages of gossip per VM, idle and under load, in fleets of all sizes."""

from __future__ import annotations

from collections import Counter

import pytest
from gooseberryrun._internal.coordination._serving_messages import (
    ResidencyNotice,
    ServingGossip,
)
from gooseberryrun._internal.coordination.serving import Context
from gooseberryrun._internal.coordination.serving._context import STORE_STATUS_TTL_S
from gooseberryrun._internal.coordination.serving._gossip import (
    FANOUT,
    INTERVAL_S,
    RESIDENCY_ROUNDS,
    Gossip,
)
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import (
    ACTIVE_HOLD_S,
    IDLE_CONTACTS,
    IDLE_FANOUT,
    GossipActivity,
    idle_contacts,
)
from gooseberryrun._internal.state.serving._loads import PEER_VIEW_TTL_S

from tests.lib.fleet import CountingPeers, GroupStore, make_members, make_vm

DOMAINS = 3
SIZES = [30, 86, 300, 440]
ROUNDS = 120
CONFIGURED = ("configured",)


class GossipingVm:
    """A VM that gossips in virtual time, without residency unless it owns runners."""

    def __init__(self, vms: int, owns_runners: bool = False) -> None:
        members = make_members(DOMAINS, vms)
        self.clock = ManualClock()
        made = make_vm(members["d0"][0], GroupStore(members), [], self.clock)
        self.ctx: Context = made[0]
        self.peers: CountingPeers = made[1]
        notice = ResidencyNotice("m-0", 1, 1, {}, 0, 0, 0.0)
        self.gossip = Gossip(
            self.ctx,
            lambda: [notice] if owns_runners else [],
            lambda vm, notice: None,
        )

    def run(self, rounds: int) -> list[int]:
        """Run some rounds; return the number of messages of each."""
        counts = []
        for _ in range(rounds):
            self.clock.now += INTERVAL_S
            before = len(self.peers.sent)
            self.gossip.send_round()
            counts.append(len(self.peers.sent) - before)
        return counts

    def hear(self, can_reach_store: bool) -> None:
        self.gossip.receive(ServingGossip("vm-001", can_reach_store, {}, {}, []))


@pytest.mark.parametrize("vms", SIZES)
def test_an_idle_vm_tells_a_few_fixed_contacts(vms: int) -> None:
    """Guards against 16 messages a second, and links to all VMs, without any load."""
    vm = GossipingVm(vms)
    assert set(vm.run(30)) == {IDLE_FANOUT}
    recipients = Counter(peer for peer, _ in vm.peers.sent)
    assert len(recipients) == IDLE_CONTACTS
    assert min(recipients.values()) == max(recipients.values())


@pytest.mark.parametrize("vms", SIZES)
def test_residency_of_owned_runners_reaches_as_many_as_before(vms: int) -> None:
    """Guards against owners whose missed notices are repeated to fixed contacts only.

    At most a third of the messages remain for an idle VM that owns runners.
    """
    counts = GossipingVm(vms, owns_runners=True).run(ROUNDS)
    assert counts[::RESIDENCY_ROUNDS] == [FANOUT] * (ROUNDS // RESIDENCY_ROUNDS)
    assert sum(counts) <= ROUNDS * FANOUT * 0.4


@pytest.mark.parametrize("vms", SIZES)
def test_a_vm_with_load_tells_as_many_as_before(vms: int) -> None:
    """Guards against load figures that are staler than before under load."""
    vm = GossipingVm(vms)
    vm.ctx.loads.begin("m-0", 100)
    assert set(vm.run(ROUNDS)) == {FANOUT}


@pytest.mark.parametrize("vms", SIZES)
def test_the_end_of_a_load_is_told_until_its_figures_expire(vms: int) -> None:
    """Guards against peers that count requests which have ended."""
    vm = GossipingVm(vms)
    vm.ctx.loads.begin("m-0", 100)
    vm.run(4)
    vm.ctx.loads.end("m-0")
    assert ACTIVE_HOLD_S >= PEER_VIEW_TTL_S
    counts = vm.run(20)
    assert counts[:5] == [FANOUT] * 5
    assert counts[-1] == IDLE_FANOUT


@pytest.mark.parametrize("vms", SIZES)
def test_a_vm_without_the_store_tells_and_hears_many(vms: int) -> None:
    """Guards against a VM that finds no peer to renew its lease through."""
    cut_off, other = GossipingVm(vms), GossipingVm(vms)
    cut_off.ctx.can_reach_store = False
    assert set(cut_off.run(ROUNDS)) == {FANOUT}
    other.run(2)
    other.hear(can_reach_store=False)
    assert other.run(1) == [FANOUT]
    other.hear(can_reach_store=True)
    assert other.run(20)[-1] == IDLE_FANOUT


@pytest.mark.parametrize("vms", SIZES)
def test_each_vm_hears_of_several_within_the_life_of_a_status(vms: int) -> None:
    """Guards against a VM that nobody tells, or that only its neighbours tell."""
    local = make_members(DOMAINS, vms)["d0"]
    ids = [member.vm for member in local]
    heard_from = Counter(
        contact
        for vm in ids
        for contact in idle_contacts(vm, [i for i in ids if i != vm], [])
    )
    assert set(heard_from.values()) == {3}
    rounds_between = -(-IDLE_CONTACTS // IDLE_FANOUT)
    assert rounds_between * INTERVAL_S * 1.2 < STORE_STATUS_TTL_S
    for vm in ids:
        own = ids.index(vm)
        contacts = idle_contacts(vm, [i for i in ids if i != vm], [])
        distances = {(ids.index(contact) - own) % len(ids) for contact in contacts}
        assert max(distances) - min(distances) >= len(ids) // 3


def test_a_changed_report_is_news_but_the_first_is_not() -> None:
    """Guards against wide gossip of all VMs that start, and against delayed news."""
    activity = GossipActivity()
    activity.record_reports(CONFIGURED, 0.0)
    assert not activity.is_active(0.0)
    activity.record_reports((*CONFIGURED, "blamed"), 10.0)
    assert activity.is_active(10.0)
    assert activity.is_active(10.0 + ACTIVE_HOLD_S)
    assert not activity.is_active(10.1 + ACTIVE_HOLD_S)


def test_small_fleets_have_each_peer_as_a_contact_once() -> None:
    assert idle_contacts("a", [], []) == []
    assert idle_contacts("a", ["b"], []) == ["b"]
    assert idle_contacts("b", ["a", "c"], ["x", "y"]) == ["c", "a", "x", "y"]
    assert idle_contacts("a", [], ["v", "w", "x", "y", "z"]) == ["v", "w", "x", "y"]
