"""Follows the store's topics: the configuration and the registry of runners."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import eventlet
from result import Err, Ok, Result

from gooseberryrun._internal.state.serving import Position, ReadPacing, Topic

from .._events import log_event
from .._tasks import spawn, spawn_until_done
from ._context import Context
from ._directory_log import DirectoryLog
from ._directory_notices import DirectoryNotices
from ._directory_peers import DirectoryPeers
from ._store_calls import check_for_silence, count_store_call
from ._store_port import StoreFault, StoreFaultKind
from ._ticks import sleep_until_tick
from ._topic_reads import TopicReads

CATCH_UP_TRIES = 3
SNAPSHOT_KINDS = (StoreFaultKind.EXPIRED, StoreFaultKind.OTHER_EPOCH)
"""Failures of a read after which all records have to be read anew."""
BATCH_PAUSE_S = {Topic.CONFIGURATION: 0.0, Topic.RUNNERS: 0.8}
"""Pause after a read that returned records, to batch the next ones: runners write at
each heartbeat, and one that leaves has to be known within 2 s."""


class DirectoryFollower:
    """Follows both topics through the store, or through peers if it is unreachable."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.reads = TopicReads(ctx)
        self._log = DirectoryLog()
        self.peers = DirectoryPeers(ctx, self._log, self.reads)
        self.notices = DirectoryNotices(ctx, self.reads, self.peers)
        self.on_snapshot: Callable[[], None] = lambda: None
        self.on_epoch: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Start one green thread per topic, and the keepalives."""
        for topic in Topic:
            spawn_until_done(f"follow_{topic}", partial(self._follow, topic))
        spawn_until_done("overdue_polls", self._leave_overdue_polls)
        spawn_until_done("directory_signs", self.notices.send_keepalives)

    def is_ready(self) -> bool:
        """Return whether a configuration is known and the runners have been read."""
        directory = self._ctx.directory
        is_known = directory.ends[Topic.RUNNERS] > Position()
        has_runners = Topic.RUNNERS in self.reads.read_at or is_known
        return directory.table is not None and has_runners

    def _follow(self, topic: Topic) -> None:
        pacing = ReadPacing()
        while True:
            if not pacing.needs_snapshot and not self.reads.must_read(topic):
                sleep_until_tick(self._ctx.clock)
                continue
            started_at = self._ctx.clock.monotonic()
            read = self._poll(topic, pacing.needs_snapshot)
            was_overtaken = not pacing.needs_snapshot and self.reads.has_read_since(
                topic, started_at
            )
            if isinstance(read, Err) and self._was_interrupted(topic, read.err_value):
                continue
            if isinstance(read, Err) and not was_overtaken:
                eventlet.sleep(self._handle_fault(topic, read.err_value, pacing))
                continue
            self.reads.record_reachable(topic)
            pacing.record_success()
            if isinstance(read, Ok) and read.ok_value:
                eventlet.sleep(BATCH_PAUSE_S[topic])

    def _poll(self, topic: Topic, needs_snapshot: bool) -> Result[int, StoreFault]:
        """Read a topic; a poll that is overdue is left for a new read."""
        wait_s = 0.0 if needs_snapshot else self.reads.poll_s(topic)
        if not wait_s:
            return self._read(topic, needs_snapshot, wait_s)
        now = self._ctx.clock.monotonic()
        self.reads.poll_deadlines[topic] = now + wait_s + self._ctx.schedule.overdue_s
        try:
            return self._read(topic, needs_snapshot, wait_s)
        finally:
            self.reads.poll_deadlines.pop(topic, None)

    def _leave_overdue_polls(self) -> None:
        while True:
            sleep_until_tick(self._ctx.clock)
            self.reads.leave_overdue()

    def _was_interrupted(self, topic: Topic, fault: StoreFault) -> bool:
        """Return whether a read was ended from within; the next one does not wait."""
        check_for_silence(self._ctx.ports.store, f"read_{topic}", fault)
        is_interrupted = fault.kind is StoreFaultKind.INTERRUPTED
        if is_interrupted:
            self.reads.interrupted.add(topic)
        return is_interrupted

    def _handle_fault(
        self, topic: Topic, fault: StoreFault, pacing: ReadPacing
    ) -> float:
        """Record a failed read; return the pause in seconds before the next one."""
        if not pacing.needs_snapshot and fault.kind in SNAPSHOT_KINDS:
            self._log.log_rejected(topic, self._ctx.directory.ends[topic], fault)
            return pacing.record_rejection()
        self.reads.record_unreachable(topic, fault)
        return pacing.record_failure()

    def catch_up(self) -> None:
        """Read both topics at once, since polls from before an outage may hang."""
        self._ctx.ports.store.interrupt_reads()
        for topic in self.reads.read_at:
            if self.reads.is_reading[topic]:
                spawn("catch_up", partial(self._catch_up, topic))

    def _catch_up(self, topic: Topic) -> None:
        """Read a topic; a failure closes a connection that may have gone silent."""
        needs_snapshot = False
        for _ in range(CATCH_UP_TRIES):
            read = self._read(topic, needs_snapshot, wait_s=0.0)
            if not isinstance(read, Err):
                return
            needs_snapshot = read.err_value.kind in SNAPSHOT_KINDS
            log_event("catch_up_failed", topic=topic, why=read.err_value.detail)

    def read_registry(self) -> bool:
        """Read the latest records of the runners; return whether that succeeded."""
        read = self._read(Topic.RUNNERS, needs_snapshot=False, wait_s=0.0)
        if isinstance(read, Err):
            log_event("registry_unconfirmed", why=read.err_value.detail)
        return not isinstance(read, Err)

    def _read(
        self, topic: Topic, needs_snapshot: bool, wait_s: float
    ) -> Result[int, StoreFault]:
        """Read and apply records; return their number."""
        directory = self._ctx.directory
        store = self._ctx.ports.store
        asked_at = self._ctx.clock.boottime()
        if needs_snapshot:
            read = store.read_snapshot(topic)
        else:
            read = store.read_changes(topic, directory.ends[topic], wait_s)
        count_store_call(f"read_{topic}", read)
        if isinstance(read, Err):
            return read
        self.reads.interrupted.discard(topic)
        records = read.ok_value
        start = directory.ends[topic]
        if records.end.epoch < start.epoch:
            detail = f"epoch {records.end.epoch} after {start.epoch}"
            return Err(StoreFault(StoreFaultKind.OTHER_EPOCH, detail))
        self.reads.record_reachable(topic)
        now = self._ctx.clock.monotonic()
        self.reads.read_at[topic] = now
        if topic is Topic.CONFIGURATION:
            self._ctx.freshness.record_read(asked_at, self._ctx.clock.boottime())
        if needs_snapshot:
            applied = directory.replace(topic, records.records, records.end, now)
        else:
            applied = directory.receive(topic, records.records, records.end, now)
        self._log.log_applied(applied, "store")
        self._log.log_ignored(records.records, applied, start)
        if needs_snapshot:
            self.reads.snapshot_asked_at[topic] = asked_at
            self._handle_snapshot(start, records.end)
        if records.records and not needs_snapshot:
            self.notices.send(topic, start, records.records)
        return Ok(len(records.records))

    def _handle_snapshot(self, start: Position, end: Position) -> None:
        """Tell other tasks that all records were read, perhaps of a new epoch."""
        self.on_snapshot()
        if start > Position() and end.epoch > start.epoch:
            self.on_epoch()
