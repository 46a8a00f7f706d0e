"""Records of the store that entry VMs get from one another."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import eventlet
from result import Err

from gooseberryrun._internal.state.serving import Position, Topic

from .._events import log_event
from .._ports import InboundMessage
from .._serving_messages import DirectoryReply, DirectoryRequest, ServingGossip
from .._tasks import spawn
from ._context import Context
from ._directory_log import DirectoryLog

PEER_FETCH_DELAY_S = {Topic.CONFIGURATION: 0.6, Topic.RUNNERS: 1.0}
"""Time for the store to deliver records before they are fetched from a peer."""
FETCH_TIMEOUT_S = 1.0


class DirectoryPeers:
    """Fetches records that peers have read and this VM lacks, and serves theirs.

    ``is_unreachable`` tells whether the store cannot be reached for a topic.
    """

    def __init__(
        self, ctx: Context, log: DirectoryLog, is_unreachable: Callable[[Topic], bool]
    ) -> None:
        self._ctx = ctx
        self._log = log
        self._is_unreachable = is_unreachable
        self._fetching: set[Topic] = set()

    def fetch_missing(self, peer: str, gossip: ServingGossip) -> None:
        """Fetch the records that a peer has read and this VM lacks."""
        ends = self._ctx.directory.ends
        topic = Topic.CONFIGURATION
        if gossip.can_reach_store and gossip.ends.get(topic) == ends[topic]:
            self._ctx.freshness.record_peer(self._ctx.clock.boottime())
        for topic, end in gossip.ends.items():
            if self._lacks(topic, end, gossip) and topic not in self._fetching:
                self._fetching.add(topic)
                spawn("peer_read", partial(self._fetch, peer, topic, gossip))

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
            if not self._is_unreachable(topic):
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
        applied = self._ctx.directory.receive(
            reply.topic, reply.records, reply.end, now
        )
        self._log.log_applied(applied, f"peer:{peer}")

    def handle_directory_request(
        self, inbound: InboundMessage, request: DirectoryRequest
    ) -> None:
        """Reply with the records that a peer lacks."""
        directory = self._ctx.directory
        records = directory.records_since(request.topic, request.start)
        end = directory.ends[request.topic]
        inbound.reply(DirectoryReply(request.topic, end, records))
