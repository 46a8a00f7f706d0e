"""Message streams between entry VMs, over grpclib.

asyncio tasks own the connections; green threads enqueue messages and wait for replies.
Each VM opens one stream to every peer that it sends to; a reply arrives on the
stream of its request.
"""

from __future__ import annotations

import asyncio
import hmac
import itertools
from collections.abc import Callable, Iterable
from typing import Any

import grpclib.client
import grpclib.server
import msgspec
from eventlet.asyncio import spawn_for_awaitable
from eventlet.event import Event
from eventlet.hubs import get_hub
from eventlet.timeout import Timeout
from grpclib.config import Configuration
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from result import Err, Ok, Result

from gooseberryrun._internal.coordination import (
    PEER_BYTES,
    PEER_MESSAGES,
    GrantAnswer,
    InboundMessage,
    PeerError,
    PeerMessage,
    Peers,
    Ping,
    StoreStatusAnswer,
    log_event,
    run_protected,
)
from gooseberryrun._internal.protocol import (
    decode_message,
    encode_message,
    peer_grpc,
    peer_pb2,
)
from gooseberryrun._internal.state import Clock, NodeSettings, Vm

from ._listening import bind
from ._liveness import PING_AFTER_S, Liveness, LivenessAction

MAX_QUEUED_MESSAGES = 10000
"""Maximum length of a peer's queue; the oldest message is dropped when it is full."""
RECONNECT_DELAY_S = 0.2
MIN_CHECK_INTERVAL_S = 0.1
"""Shortest time between two liveness checks, which bounds their cost under load."""
IDLE_TIMEOUT_S = 30.0
"""Idle time after which a link is closed."""
KEEPALIVE_INTERVAL_S = 5.0
KEEPALIVE_TIMEOUT_S = 3.0

_PING_KIND, _PING_BODY = encode_message(Ping())
_PING = peer_pb2.Envelope(id=0, kind=_PING_KIND, body=_PING_BODY)

_BYTES_IN = PEER_BYTES.labels(direction="in")
_BYTES_OUT = PEER_BYTES.labels(direction="out")
_MESSAGES_IN = PEER_MESSAGES.labels(direction="in")
_MESSAGES_OUT = PEER_MESSAGES.labels(direction="out")


class _PendingRequest(msgspec.Struct, frozen=True):
    response_event: Event
    sent_at: float


class _Link(msgspec.Struct):
    vm: str
    liveness: Liveness
    queue: asyncio.Queue[Any] = msgspec.field(default_factory=asyncio.Queue)
    pending: dict[int, _PendingRequest] = msgspec.field(default_factory=dict)
    used_at: float = 0.0

    @property
    def oldest_request_at(self) -> float | None:
        """Return when the oldest unanswered request was sent."""
        oldest = next(iter(self.pending.values()), None)
        return None if oldest is None else oldest.sent_at


def _enqueue(queue: asyncio.Queue[Any], envelope: Any) -> None:
    if queue.qsize() >= MAX_QUEUED_MESSAGES:
        queue.get_nowait()
    queue.put_nowait(envelope)


async def _next_frame(queue: asyncio.Queue[Any]) -> Any:
    """Wait for a queued message; return a frame with all that are queued."""
    queued = [await queue.get()]
    while not queue.empty():
        queued.append(queue.get_nowait())
    envelopes = [envelope for envelope in queued if envelope is not None]
    frame = peer_pb2.Frame(envelopes=envelopes)
    _BYTES_OUT.inc(frame.ByteSize())
    _MESSAGES_OUT.inc(len(envelopes))
    return frame


async def _send_frames(stream: Any, queue: asyncio.Queue[Any]) -> None:
    """Send queued messages; an empty frame (``None`` alone in the queue) ends it."""
    while (frame := await _next_frame(queue)).envelopes:
        await stream.send_message(frame)


def _count_received(frame: Any) -> None:
    _BYTES_IN.inc(frame.ByteSize())
    _MESSAGES_IN.inc(len(frame.envelopes))


class _PeerService(peer_grpc.PeerBase):
    """Server side of the peer streams."""

    def __init__(self, secret: str, dispatch: Callable[[InboundMessage], None]) -> None:
        self._secret = secret
        self._dispatch = dispatch

    async def Link(self, stream: Any) -> None:  # noqa: N802 (name of the RPC)
        """Serve the stream of one peer; it must present the shared secret."""
        given = stream.metadata.get("secret", "")
        if not hmac.compare_digest(str(given).encode(), self._secret.encode()):
            raise GRPCError(Status.UNAUTHENTICATED, "wrong peer secret")
        sender = stream.metadata.get("vm", "")
        queue: asyncio.Queue[Any] = asyncio.Queue()
        await stream.send_initial_metadata()
        writer = asyncio.ensure_future(_send_frames(stream, queue))
        try:
            async for frame in stream:
                _count_received(frame)
                for envelope in frame.envelopes:
                    self._handle_envelope(sender, envelope, queue)
        finally:
            writer.cancel()

    def _handle_envelope(
        self, sender: str, envelope: Any, queue: asyncio.Queue[Any]
    ) -> None:
        decoded = decode_message(envelope.kind, envelope.body)
        if isinstance(decoded, Err):
            log_event("peer_message_rejected", peer=sender, reason=decoded.err_value)
            return

        def reply(message: PeerMessage) -> None:
            kind, body = encode_message(message)
            response = peer_pb2.Envelope(
                id=envelope.id, answer=True, kind=kind, body=body
            )
            _enqueue(queue, response)

        if isinstance(decoded.ok_value, Ping):
            reply(decoded.ok_value)
            return
        self._dispatch(InboundMessage(sender, decoded.ok_value, reply))


class PeerLinks(Peers):
    """Streams to the other entry VMs, opened on first use."""

    def __init__(self, cfg: NodeSettings, clock: Clock) -> None:
        self._cfg = cfg
        self._clock = clock
        self._links: dict[str, _Link] = {}
        self._request_ids = itertools.count(1)
        self._server: grpclib.server.Server | None = None
        self._checked_at = float("-inf")
        self._next_check_at = float("inf")
        self._check_timer: Any = None
        self.find_vm: Callable[[str], Vm | None] = lambda vm: None
        self.dispatch: Callable[[InboundMessage], None] = lambda inbound: None

    def start(self) -> None:
        """Listen for peers."""
        secret = self._cfg.peer.secret.get_secret_value()
        service = _PeerService(secret, lambda inbound: self.dispatch(inbound))
        server = self._server = grpclib.server.Server([service])
        address, port = str(self._cfg.vm.address), self._cfg.peer.port
        bind(
            f"{address}:{port}",
            self._clock,
            lambda: spawn_for_awaitable(server.start(address, port)).wait(),
        )

    def send_to(self, vm: str, message: PeerMessage) -> None:
        """Queue a message; it is lost if the peer cannot be reached."""
        self.send_to_all([vm], message)

    def send_to_all(self, vms: Iterable[str], message: PeerMessage) -> None:
        """Queue one message for several VMs; it is encoded once."""
        kind, body = encode_message(message)
        envelope = peer_pb2.Envelope(kind=kind, body=body)
        for vm in vms:
            _enqueue(self._get_link(vm).queue, envelope)

    def request_from(
        self, vm: str, message: PeerMessage, deadline: float
    ) -> Result[PeerMessage, PeerError]:
        """Send a message and wait for the reply; fails at once if the link breaks."""
        link = self._get_link(vm)
        if link.liveness.is_silent:
            return Err(PeerError(vm, "the peer is silent"))
        request_id = next(self._request_ids)
        response_event: Event = Event()
        link.pending[request_id] = _PendingRequest(
            response_event, self._clock.monotonic()
        )
        self._schedule_check(self._clock.monotonic() + PING_AFTER_S)
        kind, body = encode_message(message)
        _enqueue(link.queue, peer_pb2.Envelope(id=request_id, kind=kind, body=body))
        timeout_s = max(0.0, deadline - self._clock.monotonic())
        with Timeout(timeout_s, False):
            result: Result[PeerMessage, PeerError] = response_event.wait()
            return result
        link.pending.pop(request_id, None)
        return Err(PeerError(vm, "the peer did not reply in time"))

    def _get_link(self, vm: str) -> _Link:
        link = self._links.get(vm)
        if link is None:
            link = _Link(vm, Liveness(self._cfg.peer.connect_timeout_s))
            self._links[vm] = link
            spawn_for_awaitable(self._maintain_link(link))
            self._schedule_check(self._clock.monotonic() + IDLE_TIMEOUT_S)
        link.used_at = self._clock.monotonic()
        return link

    async def _maintain_link(self, link: _Link) -> None:
        while self._links.get(link.vm) is link:
            vm = self.find_vm(link.vm)
            if vm is not None:
                await self._run_stream(link, vm)
            self._fail_link(link)
            if vm is None and link.queue.empty() and self._links.get(link.vm) is link:
                del self._links[link.vm]
                return
            await asyncio.sleep(RECONNECT_DELAY_S)

    def _fail_link(self, link: _Link) -> None:
        """Fail the pending requests and drop the messages that were not sent."""
        while not link.queue.empty():
            link.queue.get_nowait()
        self._fail_pending(link, "the link is down")

    def _fail_pending(self, link: _Link, detail: str) -> None:
        pending, link.pending = link.pending, {}
        for request in pending.values():
            request.response_event.send(Err(PeerError(link.vm, detail)))

    def _schedule_check(self, due_at: float) -> None:
        """Schedule a liveness check at a monotonic time, unless one is due earlier.

        There is no periodic check: nothing can become overdue while no reply is
        awaited, and an idle VM would only wake up.
        """
        due_at = max(due_at, self._checked_at + MIN_CHECK_INTERVAL_S)
        if due_at >= self._next_check_at:
            return
        if self._check_timer is not None:
            self._check_timer.cancel()
        self._next_check_at = due_at
        delay_s = max(0.0, due_at - self._clock.monotonic())
        self._check_timer = get_hub().schedule_call_global(delay_s, self._run_check)

    def _run_check(self) -> None:
        self._check_timer = None
        self._next_check_at = float("inf")
        run_protected("peer_liveness", self._check_liveness)
        if self._links:
            self._schedule_check(min(map(self._link_due_at, self._links.values())))

    def _link_due_at(self, link: _Link) -> float:
        """Return when a link has to be checked again."""
        overdue_at = link.liveness.next_check_at(link.oldest_request_at)
        idle_at = link.used_at + IDLE_TIMEOUT_S
        return idle_at if overdue_at is None else min(overdue_at, idle_at)

    def _check_liveness(self) -> None:
        """Ping peers with overdue replies, detect silent ones and close idle links."""
        now = self._checked_at = self._clock.monotonic()
        for link in list(self._links.values()):
            if now - link.used_at >= IDLE_TIMEOUT_S and not link.pending:
                self._close_idle_link(link)
                continue
            action = link.liveness.next_action(link.oldest_request_at, now)
            if action is LivenessAction.MARK_SILENT:
                log_event("peer_silent", peer=link.vm)
                self._fail_pending(link, "the peer is silent")
            elif action is LivenessAction.PING:
                _enqueue(link.queue, _PING)

    def _close_idle_link(self, link: _Link) -> None:
        """Close an idle link; the next message opens a new one."""
        del self._links[link.vm]
        link.queue.put_nowait(None)

    async def _run_stream(self, link: _Link, vm: Vm) -> None:
        config = Configuration(
            _keepalive_time=KEEPALIVE_INTERVAL_S, _keepalive_timeout=KEEPALIVE_TIMEOUT_S
        )
        channel = grpclib.client.Channel(vm.address, vm.peer_port, config=config)
        try:
            stub = peer_grpc.PeerStub(channel)
            metadata = {
                "vm": self._cfg.vm.id,
                "secret": self._cfg.peer.secret.get_secret_value(),
            }
            timeout_s = self._cfg.peer.connect_timeout_s
            async with stub.Link.open(metadata=metadata) as stream:
                await asyncio.wait_for(stream.send_request(), timeout_s)
                await asyncio.wait_for(stream.recv_initial_metadata(), timeout_s)
                await self._exchange(link, stream)
        except (TimeoutError, OSError, GRPCError, StreamTerminatedError) as exc:
            log_event("link_down", level="debug", peer=link.vm, reason=repr(exc))
        finally:
            channel.close()

    async def _exchange(self, link: _Link, stream: Any) -> None:
        writer = asyncio.ensure_future(_send_frames(stream, link.queue))
        reader = asyncio.ensure_future(self._receive(link, stream))
        try:
            await asyncio.wait({writer, reader}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (writer, reader):
                task.cancel()
            await asyncio.gather(writer, reader, return_exceptions=True)
            await stream.cancel()

    async def _receive(self, link: _Link, stream: Any) -> None:
        async for frame in stream:
            _count_received(frame)
            link.liveness.record_contact(self._clock.monotonic())
            for envelope in frame.envelopes:
                self._handle_response(link, envelope)

    def _handle_response(self, link: _Link, envelope: Any) -> None:
        decoded = decode_message(envelope.kind, envelope.body)
        if isinstance(decoded, Err):
            log_event("peer_message_rejected", peer=link.vm, reason=decoded.err_value)
            return
        pending = link.pending.pop(envelope.id, None)
        if pending is not None:
            pending.response_event.send(Ok(decoded.ok_value))
        elif isinstance(decoded.ok_value, GrantAnswer | StoreStatusAnswer):
            unawaited = InboundMessage(link.vm, decoded.ok_value, lambda message: None)
            self.dispatch(unawaited)
