"""Reading the store after it was away."""

from __future__ import annotations

import eventlet
import pytest
from eventlet.event import Event
from gooseberryrun._internal.coordination.serving import (
    Records,
    StoreFault,
    StoreFaultKind,
    _follower,
)
from gooseberryrun._internal.coordination.serving._follower import DirectoryFollower
from gooseberryrun._internal.coordination.serving._lease_renewals import LeaseRenewals
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import (
    DirectoryRecord,
    Member,
    Position,
    Runner,
    Topic,
    _read_pacing,
    _read_schedule,
)
from result import Err, Ok, Result

from tests.lib.fleet import GroupStore, make_members, make_runners, make_vm

SILENT = StoreFault(StoreFaultKind.UNREACHABLE, "timed out")
LONG_S = 60.0
LIMIT_S = 10.0
IN_TOUCH_S = 3.0
"""Time after a silence from which on a VM has to keep the bounds again."""
CONFIGURATION_S = 2.0
"""Time within which a configuration has to be in force."""
READ_AND_APPLY_S = 0.5
NOTICE_S = 0.2


class LogStore(GroupStore):
    """Store with one record, whose polls fail, hang or wait for more records."""

    def __init__(self) -> None:
        super().__init__(make_members(1, 1))
        self.waits: list[float] = []
        self.failures = 0
        self.records: list[DirectoryRecord] = []

    def read_snapshot(self, topic: Topic) -> Result[Records, StoreFault]:
        return Ok(Records([], Position()))

    def read_changes(
        self, topic: Topic, start: Position, wait_s: float
    ) -> Result[Records, StoreFault]:
        if topic is Topic.CONFIGURATION:
            eventlet.sleep(LONG_S)
        self.waits.append(wait_s)
        if self.failures:
            self.failures -= 1
            return Err(SILENT)
        if wait_s:
            eventlet.sleep(LONG_S)
        return Ok(Records(self.records[start.offset :], Position(0, len(self.records))))


@pytest.fixture(autouse=True)
def _short_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_read_pacing, "RETRY_S", 0.001)
    monkeypatch.setattr(_read_pacing, "MAX_RETRY_S", 0.001)
    monkeypatch.setattr(_follower, "BATCH_PAUSE_S", dict.fromkeys(Topic, 0.0))


def make_follower(store: LogStore | SilentStore) -> DirectoryFollower:
    members = store.groups["d0"]
    ctx, _ = make_vm(members[0], store, [], ManualClock(10.0))
    follower = DirectoryFollower(ctx)
    follower.start()
    return follower


def settle() -> None:
    eventlet.sleep(0.05)


def wait_for_reads(store: LogStore, count: int) -> None:
    """Let other green threads run until the store was read often enough."""
    with eventlet.Timeout(LIMIT_S):
        while len(store.waits) < count:
            eventlet.sleep(0.005)


def test_poll_that_hangs_delays_nothing_once_the_store_is_back() -> None:
    """The outage was too short to fail the poll, which was never answered."""
    check_catch_up(failures=0)


def test_read_after_an_outage_may_meet_a_silent_connection() -> None:
    """Connections that were open before may stay silent; each failure closes one."""
    check_catch_up(failures=2)


def check_catch_up(failures: int) -> None:
    store = LogStore()
    follower = make_follower(store)
    settle()
    assert store.waits == [pytest.approx(_read_schedule.MAX_POLL_S)]
    store.failures = failures
    runner = make_runners(1, 1)[0]
    store.records.append(
        DirectoryRecord(Topic.RUNNERS, Position(), runner.id, runner=runner)
    )
    follower.catch_up()
    settle()
    assert follower._ctx.directory.runner(runner.id) == runner


class SilentStore(GroupStore):
    """Store whose reads that wait hang until they are interrupted."""

    def __init__(self) -> None:
        super().__init__(make_members(1, 1))
        self.hanging: list[Event] = []
        self.reads = 0
        self.renewal: Result[int, StoreFault] = Ok(1)

    def read_snapshot(self, topic: Topic) -> Result[Records, StoreFault]:
        return Ok(Records([], Position()))

    def renew(
        self, group: str, member: Member, generation: int
    ) -> Result[int, StoreFault]:
        return self.renewal

    def interrupt_reads(self) -> int:
        hanging, self.hanging = self.hanging, []
        for event in hanging:
            event.send(Err(StoreFault(StoreFaultKind.INTERRUPTED, "")))
        return len(hanging)

    def read_changes(
        self, topic: Topic, start: Position, wait_s: float
    ) -> Result[Records, StoreFault]:
        if topic is Topic.CONFIGURATION:
            eventlet.sleep(LONG_S)
        self.reads += 1
        if wait_s:
            event = Event()
            self.hanging.append(event)
            result: Result[Records, StoreFault] = event.wait()
            return result
        found = self.registry[start.offset :]
        return Ok(Records(found, Position(0, len(self.registry))))


def add_runner(store: SilentStore) -> Runner:
    runner = make_runners(1, 1)[0]
    record = DirectoryRecord(Topic.RUNNERS, Position(), runner.id, runner=runner)
    store.registry.append(record)
    return runner


@pytest.mark.parametrize("kind", list(StoreFaultKind))
def test_call_that_times_out_ends_polls_on_older_connections(
    kind: StoreFaultKind,
) -> None:
    """Guards against review/4: a poll on a silent connection hung for 6 s.

    Other faults say nothing of open connections.
    """
    store = SilentStore()
    follower = make_follower(store)
    settle()
    runner = add_runner(store)
    store.renewal = Err(StoreFault(kind, ""))
    renewals = LeaseRenewals(follower._ctx, "d0", follower._ctx.ownership)
    renewals.renew()
    settle()
    is_read = follower._ctx.directory.runner(runner.id) == runner
    assert is_read is (kind is StoreFaultKind.TIMED_OUT)
    assert len(store.hanging) == 1
    assert store.reads == (3 if is_read else 1)
    assert not follower.reads.unreachable_since


def test_longest_poll_leaves_time_to_apply_a_configuration() -> None:
    """Without any other sign a silent connection is noticed by the poll on it."""
    timeout_s = make_follower(LogStore())._ctx.cfg.store.timeout_s
    blind_s = _read_schedule.MAX_POLL_S + timeout_s + READ_AND_APPLY_S
    assert blind_s < IN_TOUCH_S + CONFIGURATION_S
    reader_s = _read_schedule.MAX_READER_POLL_S + timeout_s + READ_AND_APPLY_S
    assert reader_s + NOTICE_S < IN_TOUCH_S + CONFIGURATION_S


def test_reads_after_a_failed_one_do_not_wait_for_records() -> None:
    """That the store was back showed only when a poll without records had ended.

    For seconds more, entries that were removed were taken for lapsed ones.
    """
    store = LogStore()
    store.failures = 3
    make_follower(store)
    wait_for_reads(store, 5)
    assert store.waits[0] > 0.0
    assert store.waits[1:4] == [0.0] * 3
    assert store.waits[4] > 0.0


def test_rejected_reads_are_repeated_with_a_pause() -> None:
    """Each was repeated at once, 15 times a second on each VM, without end."""
    pacing = _read_pacing.ReadPacing()
    pauses = []
    for _ in range(20):
        pacing.record_success()
        pauses.append(pacing.record_rejection())
        assert pacing.needs_snapshot
    assert sum(pauses[1:]) >= 19 * _read_pacing.RETRY_S
    for _ in range(2):
        pacing.record_success()
    assert pacing.record_rejection() <= _read_pacing.MAX_SNAPSHOT_DELAY_S
