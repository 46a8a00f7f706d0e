"""Notices of the VMs that read the store to those of their domain that do not."""

from __future__ import annotations

import eventlet

from gooseberryrun._internal.state.serving import DirectoryRecord, Position, Topic

from .._serving_messages import DirectoryNotice, DirectoryReply
from ._context import Context
from ._directory_peers import DirectoryPeers
from ._ticks import MIN_SLEEP_S, sleep_until_tick
from ._topic_reads import TopicReads

KEEPALIVE_INTERVAL_S = 1.0
"""Interval of the notices that the first reader sends to the VMs it reads for."""
KEEPALIVE_STEP_S = 0.3
"""Additional time per rank after which another reader sends its own, if no earlier one
has: the last of them does so 1.6 s after the first one's last notice."""


class DirectoryNotices:
    """Sends the records that this VM has read, and applies those of other readers."""

    def __init__(self, ctx: Context, reads: TopicReads, peers: DirectoryPeers) -> None:
        self._ctx = ctx
        self._reads = reads
        self._peers = peers

    def send_keepalives(self) -> None:
        """Notify the VMs that this VM reads for that it is still reading."""
        while True:
            due_in_s = self._keepalive_due_at() - self._ctx.clock.boottime()
            if 0.0 < due_in_s < KEEPALIVE_INTERVAL_S and self._reads.reads_for_others():
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
        for topic, read_at in self._reads.read_at.items():
            if (
                topic not in self._reads.unreachable_since
                and now - read_at <= 2 * self._ctx.schedule.reader_poll_s
            ):
                self.send(topic, self._ctx.directory.ends[topic], [])

    def _keepalive_due_at(self) -> float:
        """Return when this reader has to send a notice, by ``boottime``.

        All readers forward records. A notice without records only says that there is
        a reader, so those of one reader are enough.
        """
        rank = self._ctx.reader_rank()
        if rank == 0:
            return float("-inf")
        heard_at = min(
            self._reads.notice_received_at.get(topic, float("-inf")) for topic in Topic
        )
        return heard_at + KEEPALIVE_INTERVAL_S + rank * KEEPALIVE_STEP_S

    def send(
        self, topic: Topic, start: Position, records: list[DirectoryRecord]
    ) -> None:
        """Forward records to the local peers that do not read the store.

        A configuration is only announced, and each VM reads it itself: forwarding a
        long one to every VM of the domain saturates the link of a small VM for seconds.
        """
        if not self._reads.reads_for_others():
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
        self._reads.notice_received_at[notice.topic] = ctx.clock.boottime()
        if (
            notice.topic in self._reads.unreachable_since
            and not self._reads.is_reading[notice.topic]
        ):
            self._reads.record_reachable(notice.topic)
        if notice.is_after_outage and not ctx.directory.is_after_outage(now):
            ctx.directory.store_reachable_since = now
        if notice.start > ctx.directory.ends[notice.topic]:
            self._reads.expect(notice.topic, notice.end)
            if notice.topic is Topic.CONFIGURATION:
                self._peers.expect_configuration(peer, notice.end)
            return
        reply = DirectoryReply(notice.topic, notice.end, notice.records)
        self._peers.apply_reply(peer, reply)
