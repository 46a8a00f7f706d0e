"""Records of the store that entry VMs get from one another."""

from __future__ import annotations

from functools import partial

import eventlet
from result import Err

from gooseberryrun._internal.state.serving import Position, Topic

from .._events import log_event
from .._ports import InboundMessage
from .._serving_messages import DirectoryReply, DirectoryRequest, ServingGossip
from .._tasks import run_protected, spawn
from ._context import Context
from ._directory_log import DirectoryLog, describe_position
from ._topic_reads import TopicReads

PEER_FETCH_DELAY_S = {Topic.CONFIGURATION: 0.6, Topic.RUNNERS: 1.0}
"""Time for the store to deliver records before they are fetched from a peer."""
FETCH_TIMEOUT_S = 1.0


class DirectoryPeers:
    """Fetches records that peers have read and this VM lacks, and serves theirs."""

    def __init__(self, ctx: Context, log: DirectoryLog, reads: TopicReads) -> None:
        self._ctx = ctx
        self._log = log
        self._reads = reads
        self._fetching: set[Topic] = set()
        self._awaited: Position | None = None

    def fetch_missing(self, peer: str, gossip: ServingGossip) -> None:
        """Fetch the records that a peer has read and this VM lacks."""
        ends = self._ctx.directory.ends
        topic = Topic.CONFIGURATION
        if gossip.can_reach_store and gossip.ends.get(topic) == ends[topic]:
            self._ctx.freshness.record_peer(self._ctx.clock.boottime())
        if gossip.ends.get(topic, Position()) > ends[topic]:
            self.expect_configuration(peer, gossip.ends[topic])
        for topic, end in gossip.ends.items():
            if self._lacks(topic, end, gossip) and topic not in self._fetching:
                self._fetching.add(topic)
                spawn("peer_read", partial(self._fetch, peer, topic, gossip))

    def expect_configuration(self, peer: str, end: Position) -> None:
        """Take note that a peer has read the configuration up to a newer position.

        This VM's own read brings it soon, unless it hangs: then it is made anew.
        """
        topic = Topic.CONFIGURATION
        own_end = self._ctx.directory.ends[topic]
        now = self._ctx.clock.monotonic()
        if self._ctx.heard_configuration.record(end, now):
            log_event(
                "configuration_announced",
                peer=peer,
                position=describe_position(end),
                own=describe_position(own_end),
            )
        is_waiting, self._awaited = self._awaited is not None, end
        if not is_waiting:
            eventlet.spawn_after(
                self._ctx.schedule.peer_delay_s,
                run_protected,
                "configuration_awaited",
                self._read_awaited,
            )

    def _read_awaited(self) -> None:
        end, self._awaited = self._awaited, None
        topic = Topic.CONFIGURATION
        if end is None or end <= self._ctx.directory.ends[topic]:
            return
        if topic in self._reads.unreachable_since:
            return
        self._reads.expect(topic, end)
        if self._reads.is_reading[topic]:
            self._reads.leave_connections(topic, "awaited")

    def _lacks(self, topic: Topic, end: Position, gossip: ServingGossip) -> bool:
        """Return whether a peer has records of a topic that this VM lacks.

        Among them may be a configuration that a restored store has lost.
        """
        directory = self._ctx.directory
        if end > directory.ends[topic]:
            return True
        is_newer = gossip.configuration_version > directory.configuration_version
        now = self._ctx.clock.monotonic()
        return (
            topic is Topic.CONFIGURATION
            and is_newer
            and directory.accepts_held_over(now)
        )

    def _fetch(self, peer: str, topic: Topic, gossip: ServingGossip) -> None:
        try:
            if topic not in self._reads.unreachable_since:
                eventlet.sleep(PEER_FETCH_DELAY_S[topic])
            if not self._lacks(topic, gossip.ends[topic], gossip):
                return
            deadline = self._ctx.clock.monotonic() + FETCH_TIMEOUT_S
            request = DirectoryRequest(topic, self._ctx.directory.ends[topic])
            reply = self._ctx.peers.request_from(peer, request, deadline)
            if isinstance(reply, Err):
                log_event("peer_read_failed", peer=peer, why=reply.err_value.detail)
                return
            if isinstance(reply.ok_value, DirectoryReply):
                self.apply_reply(peer, reply.ok_value)
        finally:
            self._fetching.discard(topic)

    def apply_reply(self, peer: str, reply: DirectoryReply) -> None:
        """Apply records of a peer."""
        now = self._ctx.clock.monotonic()
        directory = self._ctx.directory
        is_snapshot = reply.is_snapshot and reply.end >= directory.ends[reply.topic]
        apply = directory.replace if is_snapshot else directory.receive
        applied = apply(reply.topic, reply.records, reply.end, now)
        self._log.log_applied(applied, f"peer:{peer}")

    def handle_directory_request(
        self, inbound: InboundMessage, request: DirectoryRequest
    ) -> None:
        """Reply with the records that a peer lacks."""
        directory = self._ctx.directory
        topic = request.topic
        is_snapshot = not directory.has_removals_since(topic, request.start)
        start = Position() if is_snapshot else request.start
        records = directory.records_since(topic, start)
        end = directory.ends[topic]
        inbound.reply(DirectoryReply(topic, end, records, is_snapshot))
