"""Reading the store after it was away."""

from __future__ import annotations

import eventlet
import pytest
from gooseberryrun._internal.coordination.serving import (
    Records,
    StoreFault,
    StoreFaultKind,
    _follower,
)
from gooseberryrun._internal.coordination.serving._follower import DirectoryFollower
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import (
    DirectoryRecord,
    Position,
    Topic,
    _read_pacing,
)
from result import Err, Ok, Result

from tests.lib.fleet import GroupStore, make_members, make_runners, make_vm

SILENT = StoreFault(StoreFaultKind.UNREACHABLE, "timed out")
LONG_S = 60.0
LIMIT_S = 10.0


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


def make_follower(store: LogStore) -> DirectoryFollower:
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
    assert store.waits == [pytest.approx(5.0)]
    store.failures = failures
    runner = make_runners(1, 1)[0]
    store.records.append(
        DirectoryRecord(Topic.RUNNERS, Position(), runner.id, runner=runner)
    )
    follower.catch_up()
    settle()
    assert follower._ctx.directory.runner(runner.id) == runner


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
