"""Which topics of the store this VM reads itself, and what its reads found."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import (
    READERS_PER_DOMAIN,
    Position,
    Topic,
    reads_store,
)

from .._events import log_event
from .._metrics import POLLS_LEFT
from ._context import Context
from ._directory_log import describe_position
from ._store_port import StoreFault

MIN_OUTAGE_S = 0.8
"""Shortest store outage during which entries may have expired."""
MAX_ACCOUNTS_POLL_S = 2.0
"""Longest poll of a configuration with accounts: less than CONFIRMATION_TTL_S."""


class TopicReads:
    """Reads of each topic, by this VM and by those of its domain that read for it.

    ``unreachable_since`` is when a topic could not be read any more, ``read_at`` when
    it was read last, ``snapshot_asked_at`` when all its records were last asked for,
    and ``notice_received_at`` when a reader last said that it reads it.
    ``announced_ends`` are ends that this VM has not come to yet, ``interrupted`` the
    topics whose next read is the first one after a pause or an interruption, and
    ``poll_deadlines`` when the answers to the polls in progress are due.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.unreachable_since: dict[Topic, float] = {}
        self.notice_received_at: dict[Topic, float] = {}
        self.read_at: dict[Topic, float] = {}
        self.snapshot_asked_at: dict[Topic, float] = {}
        self.is_reading = dict.fromkeys(Topic, True)
        self.interrupted: set[Topic] = set()
        self.announced_ends: dict[Topic, Position] = {}
        self.poll_deadlines: dict[Topic, float] = {}

    def must_read(self, topic: Topic) -> bool:
        """Return whether this VM has to read the store; log when that changes."""
        # All records that were read at some time tell as much as a notice of that time.
        received_at = max(
            self.notice_received_at.get(topic, float("-inf")),
            self.snapshot_asked_at.get(topic, float("-inf")),
        )
        # This clock counts suspension, since notices from before it may be out of date.
        now = self._ctx.clock.boottime()
        rank = self._ctx.reader_rank()
        if not self._ctx.ownership.view.members:
            # Until the members are read, there may be three readers already.
            rank = READERS_PER_DOMAIN
        is_announced = (
            self.announced_ends.get(topic, Position()) > self._ctx.directory.ends[topic]
        )
        is_due = is_announced or reads_store(rank, received_at, now, self._ctx.schedule)
        if is_due is not self.is_reading[topic]:
            self.is_reading[topic] = is_due
            if is_due:
                # What it missed is there already, and a poll may hang.
                self.interrupted.add(topic)
            age_s = now - received_at
            log_event(
                "reading", topic=topic, is_due=is_due, rank=rank, heard_age_s=age_s
            )
        return is_due

    def reads_for_others(self) -> bool:
        """Return whether other VMs of the domain rely on the reads of this one."""
        return (
            self._ctx.reader_rank()
            < READERS_PER_DOMAIN
            <= len(self._ctx.local_peer_ids())
        )

    def poll_s(self, topic: Topic) -> float:
        """Return how long a read waits for records.

        It does not wait after one that failed or was interrupted, to learn at once
        whether the store is there.
        """
        if topic in self.unreachable_since or topic in self.interrupted:
            return 0.0
        schedule = self._ctx.schedule
        longest_s = (
            schedule.reader_poll_s if self.reads_for_others() else schedule.poll_s
        )
        table = self._ctx.directory.table
        has_accounts = table is not None and table.accounts is not None
        if topic is Topic.CONFIGURATION and has_accounts:
            longest_s = MAX_ACCOUNTS_POLL_S
        return min(longest_s, self._ctx.cfg.store.poll_wait_s)

    def expect(self, topic: Topic, end: Position) -> None:
        """Read the store until a position that another VM has read up to."""
        self.announced_ends[topic] = max(
            end, self.announced_ends.get(topic, Position())
        )

    def leave_overdue(self) -> None:
        """Leave the connections of all polls if the answer to one is overdue."""
        now = self._ctx.clock.monotonic()
        overdue = [t for t, at in self.poll_deadlines.items() if now >= at]
        for topic in overdue:
            del self.poll_deadlines[topic]
            self.leave_connections(topic, "overdue")

    def leave_connections(self, topic: Topic, why: str) -> None:
        """End the reads that wait and read anew: their connections seem to be silent.

        ``why`` is ``overdue`` if a poll's answer is, ``awaited`` if a peer has read
        what this VM lacks.
        """
        interrupted = self._ctx.ports.store.interrupt_reads()
        POLLS_LEFT.labels(why=why).inc()
        log_event(
            "poll_hangs",
            topic=topic,
            why=why,
            own=describe_position(self._ctx.directory.ends[topic]),
            read_age_s=self._ctx.clock.monotonic() - self.read_at.get(topic, 0.0),
            interrupted_reads=interrupted,
        )

    def has_read_since(self, topic: Topic, since: float) -> bool:
        """Return whether a later read succeeded while this one hung."""
        return self.read_at.get(topic, float("-inf")) > since

    def record_unreachable(self, topic: Topic, fault: StoreFault) -> None:
        """Record a failed read, and log the first one."""
        if topic in self.unreachable_since:
            return
        self.unreachable_since[topic] = self._ctx.clock.monotonic()
        log_event(
            "store_lost",
            level="warning",
            topic=topic,
            kind=fault.kind,
            why=fault.detail,
        )

    def record_reachable(self, topic: Topic) -> None:
        """Record that a topic can be read again, here or by a reader."""
        unreachable_since = self.unreachable_since.pop(topic, None)
        if unreachable_since is None:
            return
        now = self._ctx.clock.monotonic()
        if now - unreachable_since >= MIN_OUTAGE_S:
            self._ctx.directory.store_reachable_since = now
        log_event("store_regained", topic=topic, lost_s=now - unreachable_since)
