"""Follows the store's topics: the configuration and the registry of runners."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import eventlet
from result import Err, Ok, Result

from gooseberryrun._internal.state.serving import (
    READERS_PER_DOMAIN,
    DirectoryRecord,
    Position,
    ReadPacing,
    Topic,
    reads_store,
)

from .._events import log_event
from .._serving_messages import DirectoryNotice, DirectoryReply
from .._tasks import spawn, spawn_until_done
from ._context import Context
from ._directory_log import DirectoryLog
from ._directory_peers import DirectoryPeers
from ._store_calls import check_for_silence, count_store_call
from ._store_port import StoreFault, StoreFaultKind
from ._ticks import MIN_SLEEP_S, sleep_until_tick

CATCH_UP_TRIES = 3
SNAPSHOT_KINDS = (StoreFaultKind.EXPIRED, StoreFaultKind.OTHER_EPOCH)
"""Failures of a read after which all records have to be read anew."""
MIN_OUTAGE_S = 0.8
"""Shortest store outage during which entries may have expired."""
BATCH_PAUSE_S = {Topic.CONFIGURATION: 0.0, Topic.RUNNERS: 0.8}
"""Pause after a read that returned records, to batch the next ones: runners write at
each heartbeat, and one that leaves has to be known within 2 s."""
MAX_POLL_S = 3.0
"""Longest poll. A connection that goes silent is noticed by a call that times out, at
the latest by the poll itself: MAX_POLL_S, the store's timeout of 1 s and a new read, in
all less than the 5 s within which a VM counts as in touch again and a configuration has
to be in force."""
MAX_ACCOUNTS_POLL_S = 2.0
"""Longest poll of a configuration with accounts: less than CONFIRMATION_TTL_S."""
MAX_READER_POLL_S = 2.5
"""Longest poll of a VM that reads for others, which get its notice after that."""
KEEPALIVE_INTERVAL_S = 1.0
"""Interval of the notices that the first reader sends to the VMs it reads for."""
KEEPALIVE_STEP_S = 0.3
"""Additional time per rank after which another reader sends its own, if no earlier one
has: the last of them does so within READER_TTL_S of the first one's last notice."""


class DirectoryFollower:
    """Follows both topics through the store, or through peers if it is unreachable."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._unreachable_since: dict[Topic, float] = {}
        self._notice_received_at: dict[Topic, float] = {}
        self._read_at: dict[Topic, float] = {}
        self._snapshot_asked_at: dict[Topic, float] = {}
        self._is_reading = dict.fromkeys(Topic, True)
        self._interrupted: set[Topic] = set()
        self._announced_ends: dict[Topic, Position] = {}
        self._log = DirectoryLog()
        self.peers = DirectoryPeers(
            ctx, self._log, lambda topic: topic in self._unreachable_since
        )
        self.on_snapshot: Callable[[], None] = lambda: None
        self.on_epoch: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Start one green thread per topic, and the keepalives."""
        for topic in Topic:
            spawn_until_done(f"follow_{topic}", partial(self._follow, topic))
        spawn_until_done("directory_signs", self._send_keepalives)

    def is_ready(self) -> bool:
        """Return whether a configuration is known and the runners have been read."""
        directory = self._ctx.directory
        is_known = directory.ends[Topic.RUNNERS] > Position()
        has_runners = Topic.RUNNERS in self._read_at or is_known
        return directory.table is not None and has_runners

    def _follow(self, topic: Topic) -> None:
        pacing = ReadPacing()
        while True:
            if not pacing.needs_snapshot and not self._must_read(topic):
                sleep_until_tick(self._ctx.clock)
                continue
            started_at = self._ctx.clock.monotonic()
            read = self._read(topic, pacing.needs_snapshot, self._poll_s(topic))
            was_overtaken = not pacing.needs_snapshot and self._has_read_since(
                topic, started_at
            )
            if isinstance(read, Err) and self._was_interrupted(topic, read.err_value):
                continue
            if isinstance(read, Err) and not was_overtaken:
                eventlet.sleep(self._handle_fault(topic, read.err_value, pacing))
                continue
            self._record_store_reachable(topic)
            pacing.record_success()
            if isinstance(read, Ok) and read.ok_value:
                eventlet.sleep(BATCH_PAUSE_S[topic])

    def _was_interrupted(self, topic: Topic, fault: StoreFault) -> bool:
        """Return whether a read was ended from within; the next one does not wait."""
        check_for_silence(self._ctx.ports.store, f"read_{topic}", fault)
        is_interrupted = fault.kind is StoreFaultKind.INTERRUPTED
        if is_interrupted:
            self._interrupted.add(topic)
        return is_interrupted

    def _handle_fault(
        self, topic: Topic, fault: StoreFault, pacing: ReadPacing
    ) -> float:
        """Record a failed read; return the pause in seconds before the next one."""
        if not pacing.needs_snapshot and fault.kind in SNAPSHOT_KINDS:
            self._log.log_rejected(topic, self._ctx.directory.ends[topic], fault)
            return pacing.record_rejection()
        self._record_store_unreachable(topic, fault)
        return pacing.record_failure()

    def catch_up(self) -> None:
        """Read both topics at once, since polls from before an outage may hang."""
        self._ctx.ports.store.interrupt_reads()
        for topic in self._read_at:
            if self._is_reading[topic]:
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

    def _must_read(self, topic: Topic) -> bool:
        """Return whether this VM has to read the store; log when that changes."""
        # All records that were read at some time tell as much as a notice of that time.
        received_at = max(
            self._notice_received_at.get(topic, float("-inf")),
            self._snapshot_asked_at.get(topic, float("-inf")),
        )
        # This clock counts suspension, since notices from before it may be out of date.
        now = self._ctx.clock.boottime()
        rank = self._ctx.reader_rank()
        if not self._ctx.ownership.view.members:
            # Until the members are read, there may be three readers already.
            rank = READERS_PER_DOMAIN
        is_announced = (
            self._announced_ends.get(topic, Position())
            > self._ctx.directory.ends[topic]
        )
        is_due = is_announced or reads_store(rank, received_at, now)
        if is_due is not self._is_reading[topic]:
            self._is_reading[topic] = is_due
            age_s = now - received_at
            log_event(
                "reading", topic=topic, is_due=is_due, rank=rank, heard_age_s=age_s
            )
        return is_due

    def _reads_for_others(self) -> bool:
        return (
            self._ctx.reader_rank()
            < READERS_PER_DOMAIN
            <= len(self._ctx.local_peer_ids())
        )

    def _poll_s(self, topic: Topic) -> float:
        """Return how long a read waits for records.

        It does not wait after one that failed or was interrupted, to learn at once
        whether the store is there.
        """
        if topic in self._unreachable_since or topic in self._interrupted:
            return 0.0
        longest_s = MAX_READER_POLL_S if self._reads_for_others() else MAX_POLL_S
        table = self._ctx.directory.table
        if topic is Topic.CONFIGURATION and table and table.accounts:
            longest_s = MAX_ACCOUNTS_POLL_S
        return min(longest_s, self._ctx.cfg.store.poll_wait_s)

    def _send_keepalives(self) -> None:
        """Notify the VMs that this VM reads for that it is still reading."""
        while True:
            due_in_s = self._keepalive_due_at() - self._ctx.clock.boottime()
            if 0.0 < due_in_s < KEEPALIVE_INTERVAL_S and self._reads_for_others():
                eventlet.sleep(max(due_in_s, MIN_SLEEP_S))
            else:
                sleep_until_tick(self._ctx.clock, KEEPALIVE_INTERVAL_S)
            self._ctx.freshness.tick(self._ctx.clock.boottime())
            self.send_due_keepalives()

    def send_due_keepalives(self) -> None:
        """Send a notice for both topics, unless an earlier reader has sent one."""
        if self._ctx.clock.boottime() < self._keepalive_due_at():
            return
        now = self._ctx.clock.monotonic()
        for topic, read_at in self._read_at.items():
            if (
                topic not in self._unreachable_since
                and now - read_at <= 2 * MAX_READER_POLL_S
            ):
                self._send_notice(topic, self._ctx.directory.ends[topic], [])

    def _keepalive_due_at(self) -> float:
        """Return when this reader has to send a notice, by ``boottime``.

        All readers forward records. A notice without records only says that there is
        a reader, so those of one reader are enough.
        """
        rank = self._ctx.reader_rank()
        if rank == 0:
            return float("-inf")
        heard_at = min(
            self._notice_received_at.get(topic, float("-inf")) for topic in Topic
        )
        return heard_at + KEEPALIVE_INTERVAL_S + rank * KEEPALIVE_STEP_S

    def _send_notice(
        self, topic: Topic, start: Position, records: list[DirectoryRecord]
    ) -> None:
        """Forward records to the local peers that do not read the store.

        A configuration is only announced, and each VM reads it itself: forwarding a
        long one to every VM of the domain saturates the link of a small VM for seconds.
        """
        if not self._reads_for_others():
            return
        if any(record.configuration is not None for record in records):
            start, records = self._ctx.directory.ends[topic], []
        directory = self._ctx.directory
        is_after_outage = directory.is_after_outage(self._ctx.clock.monotonic())
        notice = DirectoryNotice(
            topic, start, directory.ends[topic], records, is_after_outage
        )
        self._ctx.peers.send_to_all(self._ctx.local_peer_ids(), notice)

    def handle_directory_notice(self, peer: str, notice: DirectoryNotice) -> None:
        """Apply the records that a reader of this domain has forwarded."""
        ctx = self._ctx
        now = ctx.clock.monotonic()
        self._notice_received_at[notice.topic] = ctx.clock.boottime()
        if (
            notice.topic in self._unreachable_since
            and not self._is_reading[notice.topic]
        ):
            self._record_store_reachable(notice.topic)
        if notice.is_after_outage and not ctx.directory.is_after_outage(now):
            ctx.directory.store_reachable_since = now
        if notice.start > ctx.directory.ends[notice.topic]:
            self._announced_ends[notice.topic] = notice.end
            return
        reply = DirectoryReply(notice.topic, notice.end, notice.records)
        self.peers.apply_reply(peer, reply)

    def _has_read_since(self, topic: Topic, since: float) -> bool:
        """Return whether a later read succeeded while this one hung."""
        return self._read_at.get(topic, float("-inf")) > since

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
        self._interrupted.discard(topic)
        records = read.ok_value
        start = directory.ends[topic]
        if records.end.epoch < start.epoch:
            detail = f"epoch {records.end.epoch} after {start.epoch}"
            return Err(StoreFault(StoreFaultKind.OTHER_EPOCH, detail))
        self._record_store_reachable(topic)
        now = self._ctx.clock.monotonic()
        self._read_at[topic] = now
        if topic is Topic.CONFIGURATION:
            self._ctx.freshness.record_read(asked_at, self._ctx.clock.boottime())
        if needs_snapshot:
            applied = directory.replace(topic, records.records, records.end, now)
        else:
            applied = directory.receive(topic, records.records, records.end, now)
        self._log.log_applied(applied, "store")
        self._log.log_ignored(records.records, applied, start)
        if needs_snapshot:
            self._snapshot_asked_at[topic] = asked_at
            self._handle_snapshot(start, records.end)
        if records.records and not needs_snapshot:
            self._send_notice(topic, start, records.records)
        return Ok(len(records.records))

    def _handle_snapshot(self, start: Position, end: Position) -> None:
        """Tell other tasks that all records were read, perhaps of a new epoch."""
        self.on_snapshot()
        if start > Position() and end.epoch > start.epoch:
            self.on_epoch()

    def _record_store_unreachable(self, topic: Topic, fault: StoreFault) -> None:
        if topic in self._unreachable_since:
            return
        self._unreachable_since[topic] = self._ctx.clock.monotonic()
        log_event(
            "store_lost",
            level="warning",
            topic=topic,
            kind=fault.kind,
            why=fault.detail,
        )

    def _record_store_reachable(self, topic: Topic) -> None:
        unreachable_since = self._unreachable_since.pop(topic, None)
        if unreachable_since is None:
            return
        now = self._ctx.clock.monotonic()
        if now - unreachable_since >= MIN_OUTAGE_S:
            self._ctx.directory.store_reachable_since = now
        log_event("store_regained", topic=topic, lost_s=now - unreachable_since)
