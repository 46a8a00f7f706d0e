"""Slots that VMs get from one another, and what they do while some do not answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import eventlet
import pytest
from gooseberryrun._internal.coordination import PeerMessage
from gooseberryrun._internal.coordination._serving_messages import (
    SlotAnswer,
    SlotNotice,
    SlotRelease,
    SlotRequest,
)
from gooseberryrun._internal.coordination.serving import Context
from gooseberryrun._internal.coordination.serving._request_ports import (
    CallerDisconnectedError,
)
from gooseberryrun._internal.coordination.serving.admission import PlainSlots
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import (
    ClientLimits,
    Configuration,
    DirectoryRecord,
    Position,
    Runner,
    Topic,
)
from gooseberryrun._internal.state.serving.accounts import ClientAccount
from gooseberryrun._internal.state.serving.admission import SlotClaim, SlotSearch
from gooseberryrun._internal.state.serving.admission._slot_queue import SlotQueue

from tests.lib.fleet import (
    CountingPeers,
    GroupStore,
    make_members,
    make_runners,
    make_vm,
)
from tests.lib.peer_messages import answer_requests

SLOTS = 6
LIMIT = 8


class _Active:
    """What a slot needs of a request."""

    def __init__(self, request_id: str, read_at: float, account: str = "") -> None:
        self.slots: SlotSearch | None = None
        self.ungranted: set[str] = set()
        self.deadline = read_at + 5.0
        self.service = "s"
        self.priority = 1
        self.may_have_run = False
        self.is_in_flight = False
        self.is_early = False
        self.metadata: Any = type("Metadata", (), {"request_id": request_id})
        self.route: Any = type("Route", (), {"target_latency_s": 1.0})
        self.request: Any = type("Request", (), {"read_at": read_at})
        self.account: Any = type("Account", (), {"name": account}) if account else None
        self.account_name = account


class Fleet:
    """VMs that ask one another for slots of one server; messages pass at once."""

    def __init__(self, is_enabled: bool = True, servers: int = 1) -> None:
        members = make_members(2, 8)
        self.servers: list[Runner] = [
            Runner(r.id, "s", "h", 1, "d0", SLOTS, False, 1, 0, ())
            for r in make_runners(1, servers)
        ]
        self.server = self.servers[0]
        self.clock = ManualClock(100.0)
        self.unreachable: set[str] = set()
        self.contexts: dict[str, Context] = {}
        self.slots: dict[str, PlainSlots] = {}
        self.messages = 0
        self.on_request: Callable[[str], None] = lambda vm: None
        for member in [m for group in members.values() for m in group]:
            ctx, peers = make_vm(member, GroupStore(members), self.servers, self.clock)
            admission = ctx.cfg.admission.model_copy(update={"plain_slots": is_enabled})
            ctx.cfg = ctx.cfg.model_copy(update={"admission": admission})
            self.contexts[member.vm] = ctx
            self.slots[member.vm] = PlainSlots(ctx)
            self._connect(member.vm, peers)

    def _connect(self, sender: str, peers: CountingPeers) -> None:
        def is_linked(vm: str) -> bool:
            self.messages += 1
            return not self.unreachable & {vm, sender}

        def handle(vm: str, inbound: Any) -> None:
            self.on_request(vm)
            assert isinstance(inbound.message, SlotRequest)
            self.slots[vm].granter.handle_slot_request(inbound, inbound.message)

        def send_to(vm: str, message: PeerMessage) -> None:
            if not is_linked(vm):
                return
            if isinstance(message, SlotNotice):
                self.slots[vm].handle_slot_notice(message)
            elif isinstance(message, SlotRelease):
                self.slots[vm].granter.handle_slot_release(sender, message)

        answer_requests(peers, sender, is_linked, handle)
        peers.send_to = send_to  # type: ignore[method-assign]

    def owner(self) -> str:
        """Return the VM that grants the slots of the server."""
        owner = self.contexts["vm-000"].owner_of(self.server)
        assert owner is not None
        return owner.vm

    def others(self) -> list[str]:
        """Return the VMs that do not grant the slots of the server."""
        return [vm for vm in self.slots if vm != self.owner()]

    def queue(self, vm: str = "") -> SlotQueue:
        """Return the queue of the server at the VM that grants its slots."""
        return self.slots[vm or self.owner()].granter._queues[self.server.id]

    def active(self, name: str, account: str = "") -> Any:
        """Return a request that has just been read."""
        return _Active(name, self.clock.now, account)

    def fill(self) -> list[tuple[str, Any]]:
        """Take every slot, from all VMs in turn."""
        taken = []
        for number in range(LIMIT):
            vm = list(self.slots)[number % len(self.slots)]
            active = self.active(f"r{number}")
            assert self.slots[vm].take(active, self.server)
            taken.append((vm, active))
        return taken

    def let_wait(self, count: int) -> None:
        """Let requests of a VM that is not in the fleet wait for the server."""
        now = self.clock.now
        for number in range(count):
            claim = SlotClaim("x", number, f"x{number}", "", 1, now + 5.0, now + 9.0)
            self.queue().ask(claim, now)

    def start(self, vm: str, active: Any) -> Any:
        """Let a request ask for a slot in a green thread of its own."""
        thread = eventlet.spawn(self.slots[vm].take, active, self.server)
        eventlet.sleep(0)
        return thread


@pytest.fixture(name="fleet")
def _fleet() -> Fleet:
    return Fleet()


def test_one_vm_grants_the_slots_to_all(fleet: Fleet) -> None:
    """Guards against VMs that each count only their own requests."""
    taken = fleet.fill()
    assert fleet.queue().in_use == LIMIT
    vm, active = taken[3]
    fleet.slots[vm].give_back(active, is_answered=True)
    fleet.slots[vm].give_back(active, is_answered=True)
    assert fleet.queue().in_use == LIMIT - 1


def test_request_that_waits_gets_the_slot_of_another_vm(fleet: Fleet) -> None:
    taken = fleet.fill()
    for vm in (fleet.others()[0], fleet.owner()):
        thread = fleet.start(vm, waiting := fleet.active(f"w-{vm}"))
        assert fleet.queue().waiting == 1
        holder, active = taken.pop()
        fleet.slots[holder].give_back(active, is_answered=True)
        assert thread.wait() is True
        assert waiting.slots.hold is not None
        assert fleet.queue().in_use == LIMIT


def test_request_whose_caller_leaves_keeps_no_slot(fleet: Fleet) -> None:
    """Guards against slots that are lost with each caller who leaves early."""
    taken = fleet.fill()
    thread = fleet.start(fleet.others()[0], fleet.active("w"))
    assert fleet.queue().waiting == 1
    thread.kill(CallerDisconnectedError())
    with pytest.raises(CallerDisconnectedError):
        thread.wait()
    assert fleet.queue().waiting == 0
    for vm, active in taken:
        fleet.slots[vm].give_back(active, is_answered=False)
    assert fleet.queue().in_use == 0


def test_request_that_cannot_be_in_time_is_refused_with_a_time(fleet: Fleet) -> None:
    fleet.fill()
    vm = fleet.others()[0]
    fleet.let_wait(60)
    active = fleet.active("late")
    active.route.target_latency_s = 0.3
    assert not fleet.slots[vm].take(active, fleet.server)
    assert active.ungranted == {fleet.server.id}
    refusal = fleet.slots[vm].refusal(active)
    assert refusal is not None and refusal.status == 503
    assert refusal.is_earliest and refusal.retry_in_s is not None
    assert 0.0 < refusal.retry_in_s <= 2.0
    assert fleet.slots[vm].expected_wait_s(active, fleet.server) > 0.0


def test_deputy_grants_while_the_owner_is_away(fleet: Fleet) -> None:
    """Guards against a killed owner that ends the fair order until it is replaced."""
    vm = fleet.others()[0]
    deputy = list(fleet.slots[vm]._granters.ranked(fleet.server))[1]
    fleet.unreachable = {fleet.owner()}
    vm = next(v for v in fleet.others() if v != deputy)
    active = fleet.active("r")
    assert fleet.slots[vm].take(active, fleet.server)
    assert active.slots.hold.granter == deputy
    assert fleet.queue(deputy).in_use == 1
    before = fleet.messages
    assert fleet.slots[vm].take(fleet.active("r2"), fleet.server)
    assert fleet.messages == before + 1, "the silent owner was asked again"


def test_vm_that_reaches_no_granter_goes_by_its_own_count(fleet: Fleet) -> None:
    """Guards against service that stops with the messages between VMs."""
    granters = list(fleet.slots["vm-000"]._granters.ranked(fleet.server))[:2]
    vm = next(v for v in fleet.slots if v not in granters)
    fleet.unreachable = set(fleet.slots) - {vm}
    active = fleet.active("r")
    for _ in range(3 * LIMIT):
        assert fleet.slots[vm].take(active, fleet.server)
        active.slots = None
    assert fleet.slots[vm].refusal(active) is None


def test_slots_of_a_killed_vm_are_free_after_its_requests_end(fleet: Fleet) -> None:
    fleet.fill()
    fleet.clock.now += 5.1
    assert fleet.slots[fleet.others()[0]].take(fleet.active("r"), fleet.server)
    assert fleet.queue().in_use == 1


def test_slots_are_free_after_the_owner_was_suspended(fleet: Fleet) -> None:
    """Guards against grants that outlast a suspension by a clock that stood still."""
    fleet.fill()
    fleet.clock.suspend(5.1)
    assert fleet.slots[fleet.others()[0]].take(fleet.active("r"), fleet.server)
    assert fleet.queue().in_use == 1


def test_owner_that_stops_sends_those_who_wait_to_its_deputy(fleet: Fleet) -> None:
    """Guards against requests that wait for a process that is gone."""
    fleet.fill()
    vm = fleet.others()[0]
    thread = fleet.start(vm, active := fleet.active("w"))
    fleet.slots[fleet.owner()].granter.close()
    assert thread.wait() is True
    assert active.slots.hold.granter != fleet.owner()


def test_vms_that_disagree_about_the_owner_do_no_harm(fleet: Fleet) -> None:
    """Each grants at most the server's slots and a few, which its queue of 24 bears."""
    first, second = fleet.others()[:2]
    for owner in (first, second):
        for number in range(3 * LIMIT):
            request = SlotRequest(fleet.server.id, number, "r", "", 1, 0.0, 1.0, 0.0)
            answer = fleet.slots[owner].granter.ask("vm-x", request)
            assert (answer.outcome == "granted") == (number < LIMIT)
    in_use = fleet.queue(first).in_use + fleet.queue(second).in_use
    assert in_use <= SLOTS + 24


def test_other_server_is_looked_for_before_a_request_waits() -> None:
    fleet = Fleet(servers=2)
    fleet.fill()
    vm = fleet.others()[0]
    fleet.let_wait(20)
    active = fleet.active("r")
    assert not fleet.slots[vm].take(active, fleet.servers[0])
    assert not active.ungranted
    assert fleet.slots[vm].take(active, fleet.servers[1])


def test_nothing_is_sent_where_it_is_off() -> None:
    """Guards against costs in deployments that do not use the part."""
    fleet = Fleet(is_enabled=False)
    for vm in fleet.slots:
        for number in range(3 * LIMIT):
            active = fleet.active(f"r{number}")
            assert fleet.slots[vm].take(active, fleet.server)
            assert active.slots is None
            fleet.slots[vm].give_back(active, is_answered=True)
            assert fleet.slots[vm].refusal(active) is None
            assert not fleet.slots[vm].is_spent(active)
    assert fleet.messages == 0


def test_accounts_in_the_configuration_turn_it_on() -> None:
    fleet = Fleet(is_enabled=False)
    slots = fleet.slots["vm-000"]
    for version, accounts in ((1, None), (2, (ClientAccount("a", (b"",)),))):
        found = Configuration(version, (), (), ClientLimits(), accounts)
        record = DirectoryRecord(
            Topic.CONFIGURATION, Position(0, version), "c", configuration=found
        )
        assert fleet.contexts["vm-000"].directory.apply(record, 1.0)
        assert slots.is_enabled() == (accounts is not None)


def test_request_takes_three_messages_while_slots_are_free(fleet: Fleet) -> None:
    vm = fleet.others()[0]
    for number in range(10):
        active = fleet.active(f"r{number}")
        fleet.slots[vm].take(active, fleet.server)
        fleet.slots[vm].give_back(active, is_answered=True)
    # The answer to a request for a slot is not counted here.
    assert fleet.messages == 20


def test_late_result_of_a_wait_is_ignored(fleet: Fleet) -> None:
    """Guards against an error in the task that receives messages."""
    notice = SlotNotice(fleet.server.id, 7, SlotAnswer("granted", 0.0))
    fleet.slots["vm-000"].handle_slot_notice(notice)
