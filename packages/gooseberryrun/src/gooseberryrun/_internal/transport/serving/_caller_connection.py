"""HTTP/1.1 connections of callers: read complete requests and stream responses.

The WSGI server cannot detect that a caller disconnected, send chunks unbuffered or
close a connection within a response, so this server uses h11 on green sockets.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import eventlet
import h11
from eventlet.hubs import get_hub
from result import Err, Ok

from gooseberryrun._internal.coordination import log_event
from gooseberryrun._internal.coordination.serving import (
    CheckedHead,
    EarlyRefusal,
    InboundRequest,
    RequestHandler,
)
from gooseberryrun._internal.state import Clock
from gooseberryrun._internal.state.serving import ClientLimits

from ._event_sender import EventSender
from ._http_caller import HttpCaller, check_disconnect, interrupt_to_stop
from ._input_bounds import InputBounds
from ._output import limit_send_buffer
from ._request_reader import BadRequestError, RequestReader, has_body
from ._sockets import SocketReader

REJECTED_RETRY_S = "0.1"
"""Retry delay sent with a 503 for a request that is not served here."""


@dataclass(slots=True)
class CallerServerState:
    """State that all connections of one server share.

    ``check_head`` is called for requests whose body has not been read.
    """

    limits: Callable[[], ClientLimits]
    bounds: InputBounds
    check_head: Callable[[InboundRequest], EarlyRefusal | CheckedHead | None] = (
        lambda _: None
    )
    is_stopping: bool = False
    refuses_new: bool = False
    open_requests: int = 0


class CallerConnection:
    """One connection of a caller."""

    def __init__(self, state: CallerServerState, sock: Any, clock: Clock) -> None:
        self._state = state
        self._sock = sock
        self._serving: tuple[Any, HttpCaller] | None = None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        limit_send_buffer(sock)
        max_head_bytes = state.limits().max_header_bytes
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=max_head_bytes)
        self._sender = EventSender(sock, self.http, state.bounds.slow_readers)
        self._socket_reader = SocketReader(sock)
        self._reader = RequestReader(
            self._socket_reader, self._sender, state.limits, state.bounds, clock
        )

    def close(self) -> None:
        """Close the socket."""
        self._socket_reader.close()
        self._sock.close()

    def end(self) -> None:
        """Shut the connection down; its green thread closes the socket."""
        self._sender.end()

    def end_if_idle(self) -> None:
        """Shut the connection down unless a request is open or has arrived."""
        if self._reader.is_idle and not self._has_input():
            self.end()

    def _has_input(self) -> bool:
        try:
            return bool(self._sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def interrupt(self) -> None:
        """Raise ``StoppingError`` in the green thread of an open request."""
        if self._serving is not None:
            request, caller = self._serving
            get_hub().schedule_call_global(0, interrupt_to_stop, request, caller)

    def run(self, handler: RequestHandler) -> None:
        """Serve requests until the connection ends."""
        is_open = True
        while is_open:
            try:
                is_open = self._run_request(handler)
            finally:
                self._reader.release_body()

    def _run_request(self, handler: RequestHandler) -> bool:
        """Serve a request; return whether another one may follow."""
        head = self._reader.attempt(self._reader.read_head)
        if isinstance(head, Err):
            self._reject(head.err_value)
            return False
        request = head.ok_value
        checked = self._check_head(request)
        if isinstance(checked, EarlyRefusal):
            return self._answer_early(checked)
        read = self._reader.attempt(lambda: self._reader.read_rest(request, checked))
        if isinstance(read, Err):
            self._reject(read.err_value)
            return False
        if self._state.refuses_new:
            self._reject(BadRequestError(503, "stopping"))
            return False
        self._serve(handler, read.ok_value)
        return self._end_cycle()

    def _end_cycle(self) -> bool:
        """Prepare for the next request; return whether one may follow."""
        self._reader.is_idle = True
        if self.http.our_state is not h11.DONE or (
            self.http.their_state is not h11.DONE
        ):
            return False
        self.http.start_next_cycle()
        return True

    def _serve(self, handler: RequestHandler, request: InboundRequest) -> None:
        caller = HttpCaller(self._sender, request, self.closes_after)
        self._state.open_requests += 1
        thread = eventlet.getcurrent()
        self._serving = (thread, caller)
        self._socket_reader.watch(lambda: check_disconnect(self._sock, thread, caller))
        try:
            handler.handle(request, caller)
        finally:
            caller.is_interruptible = False
            self._serving = None
            self._socket_reader.end_watch()
            self._state.open_requests -= 1

    def _check_head(self, request: InboundRequest) -> EarlyRefusal | CheckedHead | None:
        """Check the head of a request that has a body; a refusal needs no reading."""
        if self._state.refuses_new or not has_body(request.headers):
            return None
        return self._state.check_head(request)

    def _answer_early(self, refusal: EarlyRefusal) -> bool:
        """Answer before the body has been read; return whether a request may follow.

        The body is discarded as it arrives, at most as much as a caller may send: a
        connection that is closed with unread bytes is reset, and the caller may lose
        the answer.
        """
        close = self.closes_after() or self.http.they_are_waiting_for_100_continue
        headers = [*refusal.headers, ("content-length", "0")]
        if close:
            headers.append(("connection", "close"))
        self._sender.send(
            h11.Response(status_code=refusal.status, headers=headers),
            h11.EndOfMessage(),
        )
        read = self._reader.attempt(self._reader.discard_body)
        if isinstance(read, Ok) and not close:
            return self._end_cycle()
        self._sock.shutdown(socket.SHUT_WR)
        self._reader.discard_input()
        return False

    def _reject(self, exc: BadRequestError) -> None:
        """Send an error response to a rejected request, then close the sending side."""
        log_event("request_rejected", status=exc.status, reason=str(exc))
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [("content-length", "0"), ("connection", "close")]
        if exc.status == 503:
            headers.append(("retry-after", REJECTED_RETRY_S))
        self._sender.send(
            h11.Response(status_code=exc.status, headers=headers), h11.EndOfMessage()
        )
        self._sock.shutdown(socket.SHUT_WR)
        self._reader.discard_input()

    def closes_after(self) -> bool:
        """Return whether the connection closes after this response."""
        return self._state.is_stopping
