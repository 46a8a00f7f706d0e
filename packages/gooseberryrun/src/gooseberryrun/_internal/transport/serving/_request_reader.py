"""Reads the requests of a caller's connection, within limits of size and time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any, TypeVar

import h11
from eventlet.timeout import Timeout
from result import Err, Ok, Result

from gooseberryrun._internal.coordination.serving import (
    CheckedHead,
    Headers,
    InboundRequest,
)
from gooseberryrun._internal.state import Clock
from gooseberryrun._internal.state.serving import ClientLimits

from ._body_buffers import BodyBuffer, BodyGivenUpError
from ._event_sender import EventSender
from ._input_bounds import InputBounds
from ._input_work import InputWork
from ._sockets import SocketReader

T = TypeVar("T")


class BadRequestError(Exception):
    """The request is invalid or over a limit; ``status`` is that of the response."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class ConnectionClosedError(Exception):
    """The connection was closed between requests or while one was being read."""


class RequestReader:
    """Reads requests from a socket, and asks the caller for a body by a sender."""

    def __init__(
        self,
        sock: SocketReader,
        sender: EventSender,
        limits: Callable[[], ClientLimits],
        bounds: InputBounds,
        clock: Clock,
    ) -> None:
        self._sock = sock
        self._sender = sender
        self.http = sender.http
        self._current_limits = limits
        self._limits = limits()
        self._buffers = bounds.buffers
        self._clock = clock
        self._work = InputWork(bounds.pieces, clock)
        self._body: BodyBuffer | None = None
        self.is_idle = True

    def release_body(self) -> None:
        """Count the body of the last request as buffered no longer."""
        if self._body is not None:
            self._body.release()

    def attempt(self, read: Callable[[], T]) -> Result[T, BadRequestError]:
        """Read a part of a request; return what makes it a bad one on error."""
        try:
            return Ok(read())
        except BadRequestError as exc:
            return Err(exc)
        except BodyGivenUpError:
            return Err(BadRequestError(503, "too many bodies are buffered"))
        except h11.RemoteProtocolError as exc:
            # The text after the colon quotes the request, perhaps with an API key.
            detail = str(exc).partition(":")[0]
            return Err(BadRequestError(exc.error_status_hint, detail))

    def read_head(self) -> InboundRequest:
        """Return a request without its body."""
        self._limits = self._current_limits()
        self._work.begin_message()
        head = self._read_h11_head()
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers.raw_items()
        ]
        _check_framing(headers, head.http_version)
        size = len(head.target) + sum(len(n) + len(v) + 4 for n, v in headers)
        if size > self._limits.max_header_bytes:
            raise BadRequestError(431, "the headers are too large")
        hosts = [value for name, value in headers if name.lower() == "host"]
        return InboundRequest(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            host=hosts[0] if hosts else "",
            headers=headers,
            body=b"",
            read_at=self._clock.monotonic(),
        )

    def read_rest(
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
        if self._sender.is_ended:
            # What arrived before the end can still be read, but not answered.
            raise ConnectionClosedError("ended")
        self.is_idle = False
        with Timeout(
            self._limits.header_timeout_s,
            BadRequestError(408, "the headers did not arrive in time"),
        ):
            event = self._next_event()
        if not isinstance(event, h11.Request):
            raise ConnectionClosedError("closed")
        return event

    def _read_body(self, headers: Headers) -> bytes:
        length = _content_length(headers)
        if length > self._limits.max_body_bytes:
            raise BadRequestError(413, "the body is too large")
        if not self._buffers.has_room(length):
            raise BadRequestError(503, "too many bodies are buffered")
        body = self._body = self._buffers.open()
        if self.http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._sender.send(go_on)

        def keep(data: bytes) -> int:
            body.append(data)
            return body.size

        self._read_pieces(keep)
        return body.complete()

    def discard_body(self) -> None:
        """Discard the body of a request that has been answered."""
        size = 0

        def drop(data: bytes) -> int:
            nonlocal size
            size += len(data)
            return size

        self._read_pieces(drop)

    def _read_pieces(self, take: Callable[[bytes], int]) -> None:
        """Pass the pieces of a body to ``take``, which returns their size so far."""
        with Timeout(
            self._limits.idle_timeout_s,
            BadRequestError(408, "the body did not arrive in time"),
        ):
            while True:
                event = self._next_event()
                if isinstance(event, h11.EndOfMessage):
                    return
                if not isinstance(event, h11.Data):
                    raise ConnectionClosedError("closed by the caller within a body")
                size = take(event.data)
                self._work.count_piece(len(event.data))
                if size > self._limits.max_body_bytes:
                    raise BadRequestError(413, "the body is too large")

    def _next_event(self) -> Any:
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self._receive()
                continue
            return event

    def _receive(self) -> None:
        self._work.count_read()
        data = self._sock.receive()
        is_idle = self.http.their_state is h11.IDLE
        if not data and is_idle and not self.http.trailing_data[0]:
            raise ConnectionClosedError("closed")
        self.http.receive_data(data)

    def discard_input(self) -> None:
        """Discard input for a moment, since a reset could drop the response."""
        with Timeout(0.5, False):
            while self._sock.receive():
                pass


def _check_framing(headers: Headers, version: bytes) -> None:
    """Reject requests whose host or length is ambiguous (request smuggling)."""
    names = [name.lower() for name, _ in headers]
    lengths = names.count("content-length")
    chunked = names.count("transfer-encoding")
    if lengths > 1 or chunked > 1 or (lengths and chunked):
        raise BadRequestError(
            400, "ambiguous length: repeated or conflicting length headers"
        )
    if chunked and version < b"1.1":
        raise BadRequestError(400, "chunked encoding requires HTTP/1.1")
    if names.count("host") > 1:
        raise BadRequestError(400, "more than one Host header")


def _content_length(headers: Headers) -> int:
    """Return the announced length of a body, 0 if there is none."""
    lengths = [value for name, value in headers if name.lower() == "content-length"]
    return int(lengths[0]) if lengths else 0


def has_body(headers: Headers) -> bool:
    """Return whether a request announces a body."""
    chunked = any(name.lower() == "transfer-encoding" for name, _ in headers)
    return chunked or _content_length(headers) > 0
