"""HTTP/1.1 connections of callers: read complete requests and stream responses.

The WSGI server cannot detect that a caller disconnected, send chunks unbuffered or
close a connection within a response, so this server uses h11 on green sockets.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, TypeVar

import eventlet
import h11
from eventlet.hubs import get_hub, trampoline
from eventlet.timeout import Timeout
from result import Err, Ok, Result

from gooseberryrun._internal.coordination import log_event
from gooseberryrun._internal.coordination.serving import (
    Caller,
    CallerDisconnectedError,
    CheckedHead,
    EarlyRefusal,
    Headers,
    InboundRequest,
    RequestHandler,
    StoppingError,
)
from gooseberryrun._internal.state import Clock
from gooseberryrun._internal.state.serving import ClientLimits

from ._body_buffers import BodyBuffer, BodyGivenUpError
from ._input_bounds import InputBounds
from ._input_work import InputWork
from ._output import limit_send_buffer, send_now, total_size
from ._slow_readers import SlowReader
from ._sockets import end_connection, receive

T = TypeVar("T")
REJECTED_RETRY_S = "0.1"
"""Retry delay sent with a 503 for a request that is not served here."""
SEND_TIMEOUT_S = 20.0
"""Time after which the connection of a caller that does not read is closed."""


class _BadRequestError(Exception):
    """The request is invalid or over a limit; ``status`` is that of the response."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class ConnectionClosedError(Exception):
    """The connection was closed between requests or while one was being read."""


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
        self._limits = state.limits()
        self._clock = clock
        self._work = InputWork(state.bounds.pieces, clock)
        self.is_idle = True
        self._is_ended = False
        self._serving: tuple[Any, _HttpCaller] | None = None
        self._body: BodyBuffer | None = None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        limit_send_buffer(sock)
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()

    def end(self) -> None:
        """Shut the connection down; its green thread closes the socket."""
        self._is_ended = True
        end_connection(self._sock)

    def end_if_idle(self) -> None:
        """Shut the connection down unless a request is open or has arrived."""
        if self.is_idle and not self._has_input():
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
            get_hub().schedule_call_global(0, _interrupt_to_stop, request, caller)

    def run(self, handler: RequestHandler) -> None:
        """Serve requests until the connection ends."""
        is_open = True
        while is_open:
            try:
                is_open = self._run_request(handler)
            finally:
                if self._body is not None:
                    self._body.release()

    def _run_request(self, handler: RequestHandler) -> bool:
        """Serve a request; return whether another one may follow."""
        head = self._read(self._read_head)
        if isinstance(head, Err):
            self._reject(head.err_value)
            return False
        request = head.ok_value
        checked = self._check_head(request)
        if isinstance(checked, EarlyRefusal):
            return self._answer_early(checked)
        read = self._read(lambda: self._read_rest(request, checked))
        if isinstance(read, Err):
            self._reject(read.err_value)
            return False
        if self._state.refuses_new:
            self._reject(_BadRequestError(503, "stopping"))
            return False
        self._serve(handler, read.ok_value)
        return self._end_cycle()

    def _end_cycle(self) -> bool:
        """Prepare for the next request; return whether one may follow."""
        self.is_idle = True
        if self.http.our_state is not h11.DONE or (
            self.http.their_state is not h11.DONE
        ):
            return False
        self.http.start_next_cycle()
        return True

    def _serve(self, handler: RequestHandler, request: InboundRequest) -> None:
        caller = _HttpCaller(self, request)
        self._state.open_requests += 1
        self._serving = (eventlet.getcurrent(), caller)
        watcher = eventlet.spawn(
            _watch_disconnect, self._sock, eventlet.getcurrent(), caller
        )
        try:
            handler.handle(request, caller)
        finally:
            caller.is_interruptible = False
            self._serving = None
            watcher.kill()
            self._state.open_requests -= 1

    def _check_head(self, request: InboundRequest) -> EarlyRefusal | CheckedHead | None:
        """Check the head of a request that has a body; a refusal needs no reading."""
        if self._state.refuses_new or not _has_body(request.headers):
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
        self.send_event(
            h11.Response(status_code=refusal.status, headers=headers),
            h11.EndOfMessage(),
        )
        read = self._read(self._discard_body)
        if isinstance(read, Ok) and not close:
            return self._end_cycle()
        self._sock.shutdown(socket.SHUT_WR)
        self._discard_input()
        return False

    def _discard_body(self) -> None:
        """Discard the body of a request that has been answered."""
        size = 0
        with Timeout(
            self._limits.idle_timeout_s,
            _BadRequestError(408, "the body did not arrive in time"),
        ):
            while True:
                event = self._next_event()
                if isinstance(event, h11.EndOfMessage):
                    return
                if not isinstance(event, h11.Data):
                    raise ConnectionClosedError("closed by the caller within a body")
                self._work.count_piece(len(event.data))
                size += len(event.data)
                if size > self._limits.max_body_bytes:
                    raise _BadRequestError(413, "the body is too large")

    def _read(self, read: Callable[[], T]) -> Result[T, _BadRequestError]:
        """Read a part of a request; return what makes it a bad one on error."""
        try:
            return Ok(read())
        except _BadRequestError as exc:
            return Err(exc)
        except BodyGivenUpError:
            return Err(_BadRequestError(503, "too many bodies are buffered"))
        except h11.RemoteProtocolError as exc:
            # The text after the colon quotes the request, perhaps with an API key.
            detail = str(exc).partition(":")[0]
            return Err(_BadRequestError(exc.error_status_hint, detail))

    def _read_head(self) -> InboundRequest:
        """Return a request without its body."""
        self._limits = self._state.limits()
        self._work.begin_message()
        head = self._read_h11_head()
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers.raw_items()
        ]
        _check_framing(headers, head.http_version)
        size = len(head.target) + sum(len(n) + len(v) + 4 for n, v in headers)
        if size > self._limits.max_header_bytes:
            raise _BadRequestError(431, "the headers are too large")
        hosts = [value for name, value in headers if name.lower() == "host"]
        return InboundRequest(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            host=hosts[0] if hosts else "",
            headers=headers,
            body=b"",
            read_at=self._clock.monotonic(),
        )

    def _read_rest(
        self, request: InboundRequest, checked: CheckedHead | None
    ) -> InboundRequest:
        """Return a request with its body, and with what its head was found to be."""
        body = self._read_body(request.headers)
        now = self._clock.monotonic()
        return replace(request, body=body, read_at=now, checked=checked)

    def _read_h11_head(self) -> h11.Request:
        if not self.http.trailing_data[0]:
            with Timeout(self._limits.idle_timeout_s, ConnectionClosedError("idle")):
                self._receive()
        if self._is_ended:
            # What arrived before the end can still be read, but not answered.
            raise ConnectionClosedError("ended")
        self.is_idle = False
        with Timeout(
            self._limits.header_timeout_s,
            _BadRequestError(408, "the headers did not arrive in time"),
        ):
            event = self._next_event()
        if not isinstance(event, h11.Request):
            raise ConnectionClosedError("closed")
        return event

    def _read_body(self, headers: Headers) -> bytes:
        limit = self._limits.max_body_bytes
        length = _content_length(headers)
        if length > limit:
            raise _BadRequestError(413, "the body is too large")
        buffers = self._state.bounds.buffers
        if not buffers.has_room(length):
            raise _BadRequestError(503, "too many bodies are buffered")
        self._body = buffers.open()
        if self.http.they_are_waiting_for_100_continue:
            self.send_event(h11.InformationalResponse(status_code=100, headers=[]))
        with Timeout(
            self._limits.idle_timeout_s,
            _BadRequestError(408, "the body did not arrive in time"),
        ):
            while True:
                event = self._next_event()
                if isinstance(event, h11.EndOfMessage):
                    return self._body.complete()
                if not isinstance(event, h11.Data):
                    raise ConnectionClosedError("closed by the caller within a body")
                self._body.append(event.data)
                self._work.count_piece(len(event.data))
                if self._body.size > limit:
                    raise _BadRequestError(413, "the body is too large")

    def _next_event(self) -> Any:
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self._receive()
                continue
            return event

    def _receive(self) -> None:
        self._work.count_read()
        data = receive(self._sock)
        is_idle = self.http.their_state is h11.IDLE
        if not data and is_idle and not self.http.trailing_data[0]:
            raise ConnectionClosedError("closed")
        self.http.receive_data(data)

    def send_event(self, *events: Any, is_counted: bool = False) -> None:
        """Send the bytes of some events together.

        ``is_counted`` states that they belong to a body that counts as buffered.
        """
        left = send_now(self._sock, [self.http.send(event) or b"" for event in events])
        if left:
            self._wait_for_reader(left, is_counted)

    def _wait_for_reader(self, parts: list[memoryview], is_counted: bool) -> None:
        """Send the rest as the caller reads it; end a connection that does not.

        Nothing more is read from a runner meanwhile, so the rest is all that is held.
        """
        readers = self._state.bounds.slow_readers
        reader = SlowReader(total_size(parts), is_counted, self.end)
        readers.begin(reader)
        timeout = Timeout(SEND_TIMEOUT_S)
        try:
            for part in parts:
                self._sock.sendall(part)
        except Timeout as exc:
            if exc is not timeout:
                raise
            readers.record_end("deadline", reader.size)
            raise CallerDisconnectedError from None
        except OSError:
            if reader.is_ended:
                raise CallerDisconnectedError from None
            raise
        finally:
            timeout.cancel()
            readers.finish(reader)

    def _reject(self, exc: _BadRequestError) -> None:
        """Send an error response to a rejected request, then close the sending side."""
        log_event("request_rejected", status=exc.status, reason=str(exc))
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [("content-length", "0"), ("connection", "close")]
        if exc.status == 503:
            headers.append(("retry-after", REJECTED_RETRY_S))
        self.send_event(
            h11.Response(status_code=exc.status, headers=headers), h11.EndOfMessage()
        )
        self._sock.shutdown(socket.SHUT_WR)
        self._discard_input()

    def _discard_input(self) -> None:
        """Discard input for a moment, since a reset could drop the response."""
        with Timeout(0.5, False):
            while receive(self._sock):
                pass

    def closes_after(self) -> bool:
        """Return whether the connection closes after this response."""
        return self._state.is_stopping


def _check_framing(headers: Headers, version: bytes) -> None:
    """Reject requests whose host or length is ambiguous (request smuggling)."""
    names = [name.lower() for name, _ in headers]
    lengths = names.count("content-length")
    chunked = names.count("transfer-encoding")
    if lengths > 1 or chunked > 1 or (lengths and chunked):
        raise _BadRequestError(
            400, "ambiguous length: repeated or conflicting length headers"
        )
    if chunked and version < b"1.1":
        raise _BadRequestError(400, "chunked encoding requires HTTP/1.1")
    if names.count("host") > 1:
        raise _BadRequestError(400, "more than one Host header")


def _content_length(headers: Headers) -> int:
    """Return the announced length of a body, 0 if there is none."""
    lengths = [value for name, value in headers if name.lower() == "content-length"]
    return int(lengths[0]) if lengths else 0


def _has_body(headers: Headers) -> bool:
    """Return whether a request announces a body."""
    chunked = any(name.lower() == "transfer-encoding" for name, _ in headers)
    return chunked or _content_length(headers) > 0


def _watch_disconnect(sock: Any, request: Any, caller: _HttpCaller) -> None:
    """Interrupt the green thread of a request when its caller disconnects."""
    try:
        trampoline(sock.fd, read=True)
        if sock.fd.recv(1, socket.MSG_PEEK):
            return
    except OSError:
        pass
    caller.is_disconnected = True
    get_hub().schedule_call_global(0, _interrupt, request, caller)


def _interrupt(request: Any, caller: _HttpCaller) -> None:
    """Raise ``CallerDisconnectedError`` in a request's thread if interruptible."""
    if caller.is_interruptible and not request.dead:
        request.throw(CallerDisconnectedError())


def _interrupt_to_stop(request: Any, caller: _HttpCaller) -> None:
    """Raise ``StoppingError`` in a request's thread unless its response is sent."""
    if not caller.is_answered and not request.dead:
        request.throw(StoppingError())


class _HttpCaller(Caller):
    """Sends the response to one request."""

    def __init__(self, conn: CallerConnection, request: InboundRequest) -> None:
        self._conn = conn
        self._request = request
        self.is_interruptible = True
        self.is_disconnected = False
        self.is_answered = False

    def continue_after_disconnect(self) -> None:
        self.is_interruptible = False

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        self._end_interruptions()
        framed = [*headers, ("content-length", str(len(body)))]
        events: list[Any] = [self._head(status, framed)]
        if body and self._request.method != "HEAD":
            events.append(h11.Data(data=body))
        self._conn.send_event(*events, h11.EndOfMessage(), is_counted=True)

    def start(self, status: int, headers: Headers) -> None:
        self._conn.send_event(self._head(status, headers))

    def send(self, data: bytes) -> None:
        self._conn.send_event(h11.Data(data=data))

    def finish(self) -> None:
        self._end_interruptions()
        self._conn.send_event(h11.EndOfMessage())

    def abort(self) -> None:
        self._end_interruptions()
        self._conn.end()
        raise CallerDisconnectedError

    def _end_interruptions(self) -> None:
        self.is_interruptible = False
        self.is_answered = True

    def _head(self, status: int, headers: Headers) -> h11.Response:
        if self._conn.closes_after():
            headers = [*headers, ("connection", "close")]
        return h11.Response(status_code=status, headers=headers)
