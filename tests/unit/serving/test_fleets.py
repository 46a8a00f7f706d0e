"""Exact counts of a VM's messages and store reads at 9, 72, 195 and 440 VMs."""

from __future__ import annotations

import dataclasses
import random

import pytest
from gooseberryrun._internal.coordination._serving_messages import (
    DirectoryNotice,
    ViewNotice,
)
from gooseberryrun._internal.coordination.serving import (
    Records,
    StoreFault,
    _directory_log,
)
from gooseberryrun._internal.coordination.serving._follower import DirectoryFollower
from gooseberryrun._internal.coordination.serving._gossip import FANOUT, Gossip
from gooseberryrun._internal.coordination.serving._membership import Membership
from gooseberryrun._internal.coordination.serving._remote_domains import RemoteDomains
from gooseberryrun._internal.coordination.serving._view_forwarding import (
    REMOTE_VIEW_RECIPIENTS,
)
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import (
    READERS_PER_DOMAIN,
    ClientLimits,
    Configuration,
    DirectoryRecord,
    Position,
    ReadSchedule,
    RunnerLoads,
    RunnerView,
    Topic,
    View,
    reads_store,
)
from result import Ok, Result

from tests.lib.fleet import (
    CountingPeers,
    GroupStore,
    make_members,
    make_runners,
    make_vm,
)

# Domains, VMs, model runners.
SCHEDULE = ReadSchedule.within(7.0)
FLEETS = [(3, 9, 5), (3, 72, 45), (5, 195, 78), (20, 440, 600)]


@pytest.mark.parametrize(("domains", "vms", "runners"), FLEETS)
def test_changes_of_a_runner_are_told_within_its_domain(
    domains: int, vms: int, runners: int
) -> None:
    """Notifying all VMs would make an owner's messages grow with the fleet."""
    members = make_members(domains, vms)
    ctx, _ = make_vm(
        members["d0"][0],
        GroupStore(members),
        make_runners(domains, runners),
        ManualClock(),
    )
    local = next(r for r in ctx.directory.all_runners() if r.domain == "d0")
    followers = ctx.followers(local)
    if runners // domains >= 6:
        assert len(followers) == len(members["d0"]) - 1
    else:
        assert len(followers) == vms - 1


@pytest.mark.parametrize(("domains", "vms", "runners"), FLEETS)
def test_a_round_of_gossip_costs_the_same_in_any_fleet(
    domains: int, vms: int, runners: int
) -> None:
    members = make_members(domains, vms)
    ctx, _ = make_vm(members["d0"][0], GroupStore(members), [], ManualClock())
    gossip = Gossip(ctx, list, lambda vm, notice: None)
    assert len(gossip._pick_peers()) == min(FANOUT, vms - 1)


@pytest.mark.parametrize(("domains", "vms", "runners"), FLEETS)
def test_a_view_is_told_to_the_domain_and_a_few_elsewhere(
    domains: int, vms: int, runners: int
) -> None:
    members = make_members(domains, vms)
    ctx, peers = make_vm(members["d0"][0], GroupStore(members), [], ManualClock())
    Membership(ctx)._views.forward(ctx.ownership.view)
    expected = len(members["d0"]) - 1 + REMOTE_VIEW_RECIPIENTS * (domains - 1)
    assert len(peers.sent) == min(expected, vms - 1)


@pytest.mark.parametrize(("domains", "vms", "runners"), FLEETS)
def test_a_few_vms_of_a_domain_read_the_store(
    domains: int, vms: int, runners: int
) -> None:
    """195 VMs that each followed both topics read the same records 195 times."""
    members = make_members(domains, vms)
    store = GroupStore(members)
    readers = 0
    for member in members["d0"]:
        ctx, _ = make_vm(member, store, [], ManualClock())
        readers += reads_store(
            ctx.reader_rank(), notice_received_at=0.0, now=1.0, schedule=ctx.schedule
        )
    assert readers == READERS_PER_DOMAIN


def test_others_read_the_store_when_its_readers_fall_silent() -> None:
    assert not reads_store(READERS_PER_DOMAIN, 0.0, 2.0, SCHEDULE)
    assert reads_store(READERS_PER_DOMAIN, 0.0, 2.5, SCHEDULE)
    # VMs of different rank take over at different times.
    assert not reads_store(READERS_PER_DOMAIN + 9, 0.0, 2.3, SCHEDULE)
    assert reads_store(READERS_PER_DOMAIN + 200, 0.0, 3.0, SCHEDULE)


def make_follower(place: int) -> tuple[DirectoryFollower, GroupStore]:
    members = make_members(1, 9)
    store = GroupStore(members)
    ctx, _ = make_vm(members["d0"][place], store, [], ManualClock(10.0))
    return DirectoryFollower(ctx), store


def at(offset: int) -> Position:
    return Position(0, offset)


def record(offset: int, key: str) -> DirectoryRecord:
    runner = dataclasses.replace(make_runners(1, 1)[0], id=key)
    return DirectoryRecord(Topic.RUNNERS, at(offset), key, runner=runner)


def test_records_of_a_reader_are_taken_in_order() -> None:
    follower, _ = make_follower(8)
    ctx = follower._ctx
    follower.notices.handle_directory_notice(
        "vm-000", DirectoryNotice(Topic.RUNNERS, at(0), at(2), [record(1, "a")], False)
    )
    assert ctx.directory.ends[Topic.RUNNERS] == at(2)
    # An older notice of another reader changes nothing.
    follower.notices.handle_directory_notice(
        "vm-001", DirectoryNotice(Topic.RUNNERS, at(0), at(1), [record(0, "a")], False)
    )
    assert ctx.directory.ends[Topic.RUNNERS] == at(2)
    assert ctx.directory.runner("a") is not None


def test_a_gap_in_the_records_of_a_reader_is_not_passed_over() -> None:
    follower, _ = make_follower(8)
    follower.notices.handle_directory_notice(
        "vm-000", DirectoryNotice(Topic.RUNNERS, at(7), at(9), [record(8, "a")], False)
    )
    assert follower._ctx.directory.ends[Topic.RUNNERS] == at(0)
    assert follower.reads.must_read(Topic.RUNNERS)


def test_a_whole_configuration_is_announced_and_read_by_each_vm() -> None:
    """Forwarding long configurations to all VMs of a domain saturates slow links.

    With links of 5 Mbit/s, the messages that followed were 2 to 3 s late.
    """
    reader, _ = make_follower(0)
    table = Configuration(7, (), (), ClientLimits())
    entry = DirectoryRecord(Topic.CONFIGURATION, at(3), "config", configuration=table)
    reader._ctx.directory.receive(Topic.CONFIGURATION, [entry], at(4), 0.0)
    reader.notices.send(Topic.CONFIGURATION, at(3), [entry])
    peers = reader._ctx.peers
    assert isinstance(peers, CountingPeers)
    announced = DirectoryNotice(Topic.CONFIGURATION, at(4), at(4), [], False)
    assert [message for _, message in peers.sent] == [announced] * 8
    other, _ = make_follower(8)
    other.notices.handle_directory_notice(
        "vm-000", DirectoryNotice(Topic.CONFIGURATION, at(0), at(0), [], False)
    )
    assert not other.reads.must_read(Topic.CONFIGURATION)
    other.notices.handle_directory_notice("vm-000", announced)
    assert other.reads.must_read(Topic.CONFIGURATION)
    assert other._ctx.directory.ends[Topic.CONFIGURATION] == at(0)


def test_those_who_do_not_read_learn_that_the_store_was_away() -> None:
    """Otherwise entries that expired in the outage would be removed at once."""
    follower, _ = make_follower(8)
    follower.notices.handle_directory_notice(
        "vm-000", DirectoryNotice(Topic.RUNNERS, at(0), at(0), [], True)
    )
    assert follower._ctx.directory.is_after_outage(10.0)


def test_a_domain_without_vms_is_guarded_through_its_own_group() -> None:
    """The fencing tokens of a domain's runners all come from the domain's group."""
    members = make_members(2, 6)
    members["d1"] = []
    store = GroupStore(members)
    runners = make_runners(2, 4)
    ctx, _ = make_vm(members["d0"][0], store, runners, ManualClock(1.0))
    remote = RemoteDomains(ctx)
    remote._check()
    assert list(ctx.covered_domains) == ["d1"]
    membership = remote._coverage["d1"]
    membership._renew()
    lost = next(runner for runner in runners if runner.domain == "d1")
    owner = ctx.owner_of(lost)
    assert owner is not None
    assert owner.vm == ctx.vm
    # A former member of the domain may still hold its lease.
    assert ctx.ownership_for(lost).fencing_token(lost, 5.0) is None


def test_guarding_ends_when_vms_of_the_domain_are_back() -> None:
    members = make_members(2, 6)
    back, members["d1"] = members["d1"], []
    store = GroupStore(members)
    ctx, _ = make_vm(members["d0"][0], store, make_runners(2, 4), ManualClock(1.0))
    remote = RemoteDomains(ctx)
    remote._check()
    remote._coverage["d1"]._renew()
    store.groups["d1"] += back
    remote._check()
    assert not ctx.covered_domains
    assert [member.domain for member in store.groups["d1"]] == ["d1"] * 3


def test_only_one_vm_of_a_domain_reads_the_other_domains() -> None:
    members = make_members(3, 72)
    store = GroupStore(members)
    for member in members["d0"]:
        ctx, _ = make_vm(member, store, [], ManualClock(1.0))
        remote = RemoteDomains(ctx)
        if remote._is_domain_reader():
            remote._check()
    assert store.calls["members"] == 2


def test_news_of_another_domain_are_passed_on_to_neighbours_once() -> None:
    members = make_members(2, 8)
    ctx, peers = make_vm(members["d0"][0], GroupStore(members), [], ManualClock())
    remote = RemoteDomains(ctx)
    notice = ViewNotice("d1", View(99, tuple(members["d1"][:2])))
    remote.handle_view_notice("vm-001", notice)
    remote.handle_view_notice("vm-001", notice)
    assert [vm for vm, _ in peers.sent] == ctx.local_peer_ids()


def test_sums_of_load_are_those_of_the_figures_heard() -> None:
    """The sums are updated incrementally and must always match the figures."""
    rng = random.Random(7)
    loads = RunnerLoads()
    reported: dict[str, tuple[float, dict[str, RunnerView]]] = {}
    for step in range(2000):
        now = step * 0.05
        peer = f"vm-{rng.randrange(40)}"
        views = {
            f"r{rng.randrange(9)}": RunnerView(
                rng.randrange(9), rng.randrange(5000), rng.randrange(4), 1, 1.0
            )
            for _ in range(3)
        }
        loads.receive(peer, views, now)
        reported[peer] = (now, views)
        runner = f"r{rng.randrange(9)}"
        fresh = [
            v[runner] for at, v in reported.values() if now - at <= 2.5 and runner in v
        ]
        total = loads.total(runner, now)
        assert total.in_flight == sum(view.in_flight for view in fresh)
        assert total.unread_tokens == sum(view.unread_tokens for view in fresh)
        assert total.failed == sum(view.failed for view in fresh)


def test_the_owners_word_counts_where_little_was_heard() -> None:
    loads = RunnerLoads()
    loads.receive_from_owner("r1", RunnerView(40, 30000, 5, 0, 1.0), 1.0)
    assert loads.total("r1", 2.0).unread_tokens == 30000
    assert loads.total("r1", 9.0).unread_tokens == 0


def test_a_vm_that_was_suspended_reads_the_store_at_once() -> None:
    """Notices from before a suspension do not show that the reader is still alive."""
    follower, _ = make_follower(8)
    follower.notices.handle_directory_notice(
        "vm-000", DirectoryNotice(Topic.RUNNERS, at(0), at(0), [], False)
    )
    assert not follower.reads.must_read(Topic.RUNNERS)
    clock = follower._ctx.clock
    assert isinstance(clock, ManualClock)
    clock.suspend(5.0)
    assert follower.reads.must_read(Topic.RUNNERS)


class SnapshotStore(GroupStore):
    """Store whose topics are empty."""

    def read_snapshot(self, topic: Topic) -> Result[Records, StoreFault]:
        return Ok(Records([], at(1)))


def test_runners_are_owned_as_soon_as_they_have_been_read() -> None:
    """A VM that starts looked for its runners only 0.3 s after it had read them."""
    members = make_members(1, 3)
    ctx, _ = make_vm(members["d0"][0], SnapshotStore(members), [], ManualClock(10.0))
    follower = DirectoryFollower(ctx)
    seen: list[Position] = []
    follower.on_snapshot = lambda: seen.append(ctx.directory.ends[Topic.RUNNERS])
    assert follower._read(Topic.RUNNERS, needs_snapshot=True, wait_s=0.0) == Ok(0)
    assert seen == [at(1)]


def test_heartbeats_that_only_count_orders_are_not_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """34 runners change their entries every second, which filled every VM's log."""
    lines: list[object] = []
    monkeypatch.setattr(
        _directory_log,
        "log_event",
        lambda event, **fields: lines.append(fields["says"]),
    )
    log = _directory_log.DirectoryLog()
    runner = make_runners(1, 1)[0]
    for seq in range(5):
        changed = dataclasses.replace(runner, order_seq=seq)
        entry = DirectoryRecord(Topic.RUNNERS, at(seq), "a", runner=changed)
        log.log_applied([entry], "store")
    leaving = dataclasses.replace(runner, draining=True)
    log.log_applied(
        [DirectoryRecord(Topic.RUNNERS, at(9), "a", runner=leaving)], "store"
    )
    log.log_applied([DirectoryRecord(Topic.RUNNERS, at(10), "a")], "store")
    assert lines == ["serving", "draining", "removed"]
