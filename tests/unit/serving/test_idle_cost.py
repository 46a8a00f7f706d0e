"""Wake-ups, timers, messages and store calls of an idle VM, in fleets of all sizes.

The tasks of one VM run in virtual time, so that counts are those of the schedule.
"""

from __future__ import annotations

import math
from collections import Counter

import eventlet
import pytest
from eventlet import hubs
from gooseberryrun._internal.coordination import InboundMessage
from gooseberryrun._internal.coordination._serving_messages import DirectoryNotice
from gooseberryrun._internal.coordination.serving import Records, Serving, StoreFault
from gooseberryrun._internal.coordination.serving._directory_notices import (
    KEEPALIVE_INTERVAL_S,
)
from gooseberryrun._internal.coordination.serving._membership import Membership
from gooseberryrun._internal.coordination.serving._ticks import (
    MIN_SLEEP_S,
    TICK_S,
    next_tick_in_s,
)
from gooseberryrun._internal.state.serving import (
    READERS_PER_DOMAIN,
    Member,
    Position,
    Suspicion,
    Topic,
    reader_rank,
)
from gooseberryrun._internal.state.serving._read_schedule import READER_TTL_S
from result import Ok, Result

from tests.lib.fleet import CountingPeers, GroupStore, make_members, make_vm
from tests.lib.virtual_hub import HubClock, VirtualHub, run_in_virtual_time

DOMAINS = 3
SIZES = [30, 86, 300, 440]
RANKS = [0, 1, READERS_PER_DOMAIN]
START_S = 16.0
MEASURED_S = 60.0
END = Position(0, 5)


class IdleStore(GroupStore):
    """Store without changes; a read that waits for records takes its whole time."""

    def read_snapshot(self, topic: Topic) -> Result[Records, StoreFault]:
        self.calls["read_snapshot"] += 1
        return Ok(Records([], END))

    def read_changes(
        self, topic: Topic, start: Position, wait_s: float
    ) -> Result[Records, StoreFault]:
        self.calls["read_changes"] += 1
        eventlet.sleep(wait_s)
        return Ok(Records([], start))

    def read_suspicions(self) -> Result[list[Suspicion], StoreFault]:
        self.calls["read_suspicions"] += 1
        return Ok([])


class IdleVm:
    """All tasks of one VM; counts per second of a VM that has settled.

    ``rank`` is that of the VM as a reader of the store. VMs after the first one get the
    notices of the first one.
    """

    def __init__(self, vms: int, rank: int) -> None:
        self._vms = vms
        self._rank = rank
        self.local_peers = 0
        self.wake_ups = 0.0
        self.messages: dict[str, float] = {}
        self.store_calls: dict[str, float] = {}
        self.start_calls: Counter[str] = Counter()
        run_in_virtual_time(self._run)

    def _run(self, hub: VirtualHub) -> None:
        members = make_members(DOMAINS, self._vms)
        store = IdleStore(members)
        clock = HubClock(hub)
        ranked = ranked_vms(members["d0"])
        ctx, peers = make_vm(ranked[self._rank], store, [], clock)
        self.local_peers = len(ctx.local_peer_ids())
        serving = Serving(ctx)
        serving.start()
        if self._rank:
            eventlet.spawn(_send_keepalives, serving, ranked[0].vm)
        eventlet.sleep(START_S)
        self.start_calls = Counter(store.calls)
        hub.wake_ups = 0
        store.calls.clear()
        peers.sent.clear()
        eventlet.sleep(MEASURED_S)
        self.wake_ups = hub.wake_ups / MEASURED_S
        self.store_calls = _per_second(store.calls)
        self.messages = _per_second(_sent_kinds(peers))


def ranked_vms(members: list[Member]) -> list[Member]:
    """Return the members of a domain by their rank as readers of the store."""
    domain = members[0].domain
    return sorted(members, key=lambda m: reader_rank(m.vm, domain, members))


def _send_keepalives(serving: Serving, reader: str, until: float = math.inf) -> None:
    """Notify a VM as the first reader of its domain does, up to a time of the hub."""
    while hubs.get_hub().now < until:
        for topic in Topic:
            notice = DirectoryNotice(topic, END, END, [], False)
            serving.dispatch(InboundMessage(reader, notice, lambda message: None))
        eventlet.sleep(1.0)


def _sent_kinds(peers: CountingPeers) -> Counter[str]:
    return Counter(type(message).__name__ for _, message in peers.sent)


def _per_second(counts: Counter[str]) -> dict[str, float]:
    return {name: count / MEASURED_S for name, count in counts.items()}


@pytest.mark.parametrize("rank", RANKS)
@pytest.mark.parametrize("vms", SIZES)
def test_tasks_of_an_idle_vm_wake_up_rarely(vms: int, rank: int) -> None:
    """Guards against periodic checks that each cost a wake-up of their own.

    18 wake-ups a second were measured, and 21 for signals, links and connections.
    """
    vm = IdleVm(vms, rank)
    assert vm.wake_ups <= 10.0
    assert sum(vm.store_calls.values()) <= (1.5 if rank >= READERS_PER_DOMAIN else 2.8)
    assert vm.messages["ServingGossip"] <= 4.2


@pytest.mark.parametrize("vms", SIZES)
def test_only_the_first_reader_sends_notices_without_records(vms: int) -> None:
    """Guards against three notices a second to each VM that say the same."""
    first = IdleVm(vms, 0)
    per_peer = len(Topic) / KEEPALIVE_INTERVAL_S
    assert first.messages["DirectoryNotice"] == pytest.approx(
        first.local_peers * per_peer, rel=0.02
    )
    for rank in RANKS[1:]:
        assert "DirectoryNotice" not in IdleVm(vms, rank).messages


@pytest.mark.parametrize("vms", SIZES)
def test_a_start_costs_few_calls_to_the_store(vms: int) -> None:
    """Guards against more calls in the 16 s before traffic, at 86 VMs at once."""
    calls = IdleVm(vms, READERS_PER_DOMAIN).start_calls
    assert calls["read_snapshot"] == len(Topic)
    assert calls["read_suspicions"] == 1
    assert calls["read_origins"] == 1
    assert calls["members"] <= 2 + DOMAINS
    assert calls["read_changes"] <= 2 * len(Topic)
    assert calls["renew"] <= START_S / 0.7 + 1


@pytest.mark.parametrize("rank", range(1, READERS_PER_DOMAIN))
def test_another_reader_sends_notices_before_vms_read_themselves(rank: int) -> None:
    """Guards against VMs that all read the store after the first reader has gone."""

    def run(hub: VirtualHub) -> None:
        members = make_members(DOMAINS, 86)
        ranked = ranked_vms(members["d0"])
        ctx, peers = make_vm(ranked[rank], IdleStore(members), [], HubClock(hub))
        serving = Serving(ctx)
        serving.start()
        until = hub.now + 10.0
        eventlet.spawn(_send_keepalives, serving, ranked[0].vm, until)
        eventlet.sleep(10.0)
        last_at = serving.follower.reads.notice_received_at[Topic.RUNNERS]
        peers.sent.clear()
        while "DirectoryNotice" not in _sent_kinds(peers) and hub.now < until + 9.0:
            eventlet.sleep(0.01)
        assert hub.now - last_at < READER_TTL_S - 0.2
        peers.sent.clear()
        eventlet.sleep(10.0)
        sent = _sent_kinds(peers)["DirectoryNotice"]
        expected = 10.0 * len(Topic) * len(ctx.local_peer_ids())
        assert sent == pytest.approx(expected, rel=0.15)

    run_in_virtual_time(run)


def test_lease_extension_begins_at_once_and_rests_otherwise() -> None:
    """Guards against five checks a second, and against a later first question."""

    def run(hub: VirtualHub) -> None:
        members = make_members(DOMAINS, 30)
        store = IdleStore(members)
        ctx, peers = make_vm(members["d0"][0], store, [], HubClock(hub))
        membership = Membership(ctx)
        eventlet.spawn(membership.extension.run)
        eventlet.sleep(10.0)
        assert hub.timers_fired["LeaseExtension.run"] == 0
        store.is_refusing = True
        failed_at = hub.now
        membership.renewals.renew()
        for _ in range(3):
            eventlet.sleep(0)
        assert hub.now == failed_at
        assert _sent_kinds(peers)["StoreStatusRequest"] > 0
        eventlet.sleep(2.0)
        assert hub.timers_fired["LeaseExtension.run"] >= 9
        store.is_refusing = False
        membership.renewals.renew()
        eventlet.sleep(0.3)
        hub.timers_fired.clear()
        eventlet.sleep(10.0)
        assert hub.timers_fired["LeaseExtension.run"] == 0

    run_in_virtual_time(run)


def test_ticks_fall_together_and_never_come_late() -> None:
    """Guards against checks that are longer apart than their interval."""
    for hundredths in range(1000):
        now = hundredths / 100
        short = next_tick_in_s(now, TICK_S, 0.1)
        long = next_tick_in_s(now, 1.0, 0.1)
        assert MIN_SLEEP_S <= short <= TICK_S + MIN_SLEEP_S
        assert MIN_SLEEP_S <= long <= 1.0 + MIN_SLEEP_S
        steps = (long - short) / TICK_S
        assert steps == pytest.approx(round(steps), abs=1e-6)
