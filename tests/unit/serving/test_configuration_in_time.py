"""Each VM has a configuration in force within the deployment's bound.

Made for connections that go silent at any moment of a poll, readers that are gone and
VMs that start. The tasks of one VM run in virtual time.
"""

from __future__ import annotations

from typing import Any

import eventlet
import pytest
from eventlet.event import Event
from eventlet.timeout import Timeout
from gooseberryrun._internal.coordination import InboundMessage, Peers
from gooseberryrun._internal.coordination._serving_messages import (
    DirectoryNotice,
    ServingGossip,
)
from gooseberryrun._internal.coordination.serving import (
    Context,
    InboundRequest,
    LocalResponse,
    Ports,
    Records,
    RequestMetadata,
    Serving,
    StoreFault,
    StoreFaultKind,
    make_context,
)
from gooseberryrun._internal.state.serving import (
    READERS_PER_DOMAIN,
    ClientLimits,
    Configuration,
    DirectoryRecord,
    HeardEnd,
    Member,
    Position,
    ReadSchedule,
    Suspicion,
    Topic,
    View,
)
from gooseberryrun._internal.state.serving._heard_end import BEHIND_TTL_S
from result import Err, Ok, Result

from tests.lib.fleet import CountingPeers, GroupStore, make_members
from tests.lib.serving_settings import make_settings
from tests.lib.virtual_hub import HubClock, VirtualHub, run_in_virtual_time

BOUNDS_S = [2.0, 3.0, 4.0]
SETTLED_S = 20.0
TIMEOUT_S = 1.0
MOMENTS_S = [n * 0.23 for n in range(14)]
"""Times from the start of the silence to a fixed moment: all phases of a poll."""
LONE_VMS = 6
READ_FOR_VMS = 30
DOMAINS = 3


class SilentLog(GroupStore):
    """Store whose reads in progress get no answer once ``silence`` was called."""

    def __init__(self, members: dict[str, list[Member]]) -> None:
        super().__init__(members)
        self.versions = [1]
        self._waiting: set[Event] = set()
        self._silent: set[Event] = set()

    def read_snapshot(self, topic: Topic) -> Result[Records, StoreFault]:
        return Ok(self.records_from(topic, Position()))

    def read_suspicions(self) -> Result[list[Suspicion], StoreFault]:
        return Ok([])

    def records_from(self, topic: Topic, start: Position) -> Records:
        """Return the records of a topic from a position on."""
        if topic is Topic.RUNNERS:
            return Records([], Position(0, 1))
        records = [
            DirectoryRecord(
                topic,
                Position(0, offset),
                "config",
                configuration=Configuration(version, (), (), ClientLimits()),
            )
            for offset, version in enumerate(self.versions)
        ]
        return Records(records[start.offset :], Position(0, len(records)))

    def read_changes(
        self, topic: Topic, start: Position, wait_s: float
    ) -> Result[Records, StoreFault]:
        found = self.records_from(topic, start)
        if not wait_s or found.records:
            return Ok(found)
        answer: Event = Event()
        self._waiting.add(answer)
        ends = eventlet.spawn_after(wait_s, self._answer, answer, topic, start)
        result: Result[Records, StoreFault]
        try:
            with Timeout(wait_s + TIMEOUT_S, False):
                result = answer.wait()
                return result
            return Err(StoreFault(StoreFaultKind.TIMED_OUT, ""))
        finally:
            ends.cancel()
            self._waiting.discard(answer)

    def _answer(self, answer: Event, topic: Topic, start: Position) -> None:
        if answer in self._waiting:
            answer.send(Ok(self.records_from(topic, start)))

    def interrupt_reads(self) -> int:
        interrupted = [*self._waiting, *self._silent]
        for answer in interrupted:
            if not answer.ready():
                answer.send(Err(StoreFault(StoreFaultKind.INTERRUPTED, "")))
        return len(interrupted)

    def silence(self) -> None:
        """Let no read that is in progress get an answer."""
        self._silent = set(self._waiting)
        self._waiting.clear()

    def write(self, version: int) -> None:
        """Append a configuration; reads that wait get it."""
        self.versions.append(version)
        for answer in list(self._waiting):
            answer.send(Ok(self.records_from(Topic.CONFIGURATION, Position())))


class FollowingVm:
    """All tasks of one VM at a place of its domain, which no peer tells anything."""

    def __init__(
        self, hub: VirtualHub, vms: int, place: int, bound_s: float, lists: bool = True
    ) -> None:
        members = make_members(DOMAINS, vms)
        self.hub = hub
        self.store = SilentLog(members)
        own = members["d0"]
        cfg = make_settings(
            own[place], bounds={"configuration_ms": int(bound_s * 1000)}
        )
        nothing: Any = None
        store: Any = self.store
        peers: Peers = CountingPeers()
        clock = HubClock(hub)
        self.ctx: Context = make_context(
            cfg, clock, Ports(store, nothing, nothing, nothing), peers
        )
        if lists:
            self.ctx.is_new = False
            self.ctx.ownership.renew(len(own), hub.now, hub.now)
            self.ctx.ownership.adopt(View(len(own), tuple(own)), hub.now)
        self.serving = Serving(self.ctx)
        self.serving.follower.start()

    def tell(self, sender: str, message: Any) -> None:
        self.serving.dispatch(InboundMessage(sender, message, lambda reply: None))

    def notice(self) -> None:
        """Let a reader of the domain say up to where it has read."""
        for topic in Topic:
            end = self.store.records_from(topic, Position()).end
            self.tell("vm-000", DirectoryNotice(topic, end, end, [], False))

    def wait_for(self, version: int) -> float:
        """Return the seconds until a version is in force."""
        began_at = self.hub.now
        while self.ctx.directory.configuration_version < version:
            eventlet.sleep(0.01)
        return self.hub.now - began_at

    def refuse_unknown_route(self) -> LocalResponse:
        """Return the response to a request for which no route is known."""
        request = InboundRequest("GET", "/new", "h", [], b"", self.hub.now)
        found = self.serving.gateway._find_route(request, RequestMetadata("r", 5.0))
        assert isinstance(found, Err)
        return found.err_value


@pytest.mark.parametrize("bound_s", BOUNDS_S)
@pytest.mark.parametrize("moment_s", MOMENTS_S)
def test_poll_that_hangs_while_renewals_succeed(
    bound_s: float, moment_s: float
) -> None:
    """Guards against a VM that is 4 s behind: only its poll's connection was silent."""

    def run(hub: VirtualHub) -> None:
        vm = FollowingVm(hub, LONE_VMS, 0, bound_s)
        eventlet.sleep(SETTLED_S + moment_s)
        vm.store.silence()
        vm.store.write(2)
        assert vm.wait_for(2) <= bound_s

    run_in_virtual_time(run)


@pytest.mark.parametrize("bound_s", BOUNDS_S)
@pytest.mark.parametrize("place", [READERS_PER_DOMAIN, READ_FOR_VMS // DOMAINS - 1])
@pytest.mark.parametrize("moment_s", MOMENTS_S[:5])
def test_readers_that_are_gone(bound_s: float, place: int, moment_s: float) -> None:
    """Guards against VMs that trust a reader's last notice for too long."""

    def run(hub: VirtualHub) -> None:
        vm = FollowingVm(hub, READ_FOR_VMS, place, bound_s)
        until = hub.now + SETTLED_S + moment_s
        while hub.now < until:
            vm.notice()
            eventlet.sleep(1.0)
        vm.notice()
        vm.store.write(2)
        assert vm.wait_for(2) <= bound_s

    run_in_virtual_time(run)


@pytest.mark.parametrize("bound_s", BOUNDS_S)
@pytest.mark.parametrize("moment_s", MOMENTS_S)
def test_vm_that_starts_and_knows_no_member(bound_s: float, moment_s: float) -> None:
    """Guards against a VM that reads once at its start and then waits for notices."""

    def run(hub: VirtualHub) -> None:
        vm = FollowingVm(hub, READ_FOR_VMS, 4, bound_s, lists=False)
        eventlet.sleep(moment_s)
        vm.store.write(2)
        assert vm.wait_for(2) <= bound_s

    run_in_virtual_time(run)


@pytest.mark.parametrize("bound_s", [*BOUNDS_S, 7.0])
@pytest.mark.parametrize("tell_by", ["notice", "gossip"])
@pytest.mark.parametrize("moment_s", MOMENTS_S[:5])
def test_reader_whose_poll_hangs_takes_the_word_of_peers(
    bound_s: float, tell_by: str, moment_s: float
) -> None:
    """Guards against a reader that is told of news and still waits for its poll."""

    def run(hub: VirtualHub) -> None:
        vm = FollowingVm(hub, READ_FOR_VMS, 0, bound_s)
        eventlet.sleep(SETTLED_S + moment_s)
        vm.store.silence()
        vm.store.write(2)
        if tell_by == "notice":
            vm.notice()
        else:
            vm.tell("vm-003", _gossip_of(vm.store))
        assert vm.wait_for(2) <= vm.ctx.schedule.peer_delay_s + 0.1

    run_in_virtual_time(run)


def _gossip_of(store: SilentLog) -> ServingGossip:
    end = store.records_from(Topic.CONFIGURATION, Position()).end
    return ServingGossip("vm-003", True, {Topic.CONFIGURATION: end}, {}, [])


def test_waits_follow_the_bound_up_to_their_usual_lengths() -> None:
    """Guards against polls that are the same for every deployment."""
    for bound_s in BOUNDS_S:
        schedule = ReadSchedule.within(bound_s)
        assert schedule.longest_alone_s() <= bound_s
        assert schedule.longest_without_readers_s() <= bound_s
    assert ReadSchedule.within(7.0) == ReadSchedule.within(60.0)


def test_route_of_a_newer_configuration_is_not_refused_for_good() -> None:
    """Guards against 404, which callers do not repeat, for a route that was added."""

    def run(hub: VirtualHub) -> None:
        vm = FollowingVm(hub, LONE_VMS, 0, 2.0)
        eventlet.sleep(SETTLED_S)
        assert vm.refuse_unknown_route().status == 404
        vm.store.silence()
        vm.store.write(2)
        vm.tell("vm-003", _gossip_of(vm.store))
        refusal = vm.refuse_unknown_route()
        assert (refusal.status, refusal.reason) == (503, "behind")
        vm.wait_for(2)
        assert vm.refuse_unknown_route().status == 404

    run_in_virtual_time(run)


def test_vm_that_cannot_read_on_serves_by_what_it_has() -> None:
    """Guards against a VM cut off from the store that refuses for ever."""
    heard = HeardEnd()
    heard.record(Position(0, 5), 10.0)
    assert heard.is_beyond(Position(0, 4), 10.0 + BEHIND_TTL_S)
    assert not heard.is_beyond(Position(0, 5), 10.0)
    heard.record(Position(0, 5), 12.0)
    assert not heard.is_beyond(Position(0, 4), 10.1 + BEHIND_TTL_S)
