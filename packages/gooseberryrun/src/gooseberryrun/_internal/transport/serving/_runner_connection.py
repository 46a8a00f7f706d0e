"""Connections to runners that carry one HTTP/1.1 request at a time."""

from __future__ import annotations

import socket
from typing import Any

import eventlet
import h11

from gooseberryrun._internal.coordination import log_event
from gooseberryrun._internal.coordination.serving import (
    HeaderCodec,
    Headers,
    OutboundRequest,
    ResponseMetadata,
)

from .._bounded_response import LAST_STATUS
from ._input_work import InputWork
from ._output import send_now
from ._sockets import SocketReader

DEFAULT_IDLE_TIMEOUT_S = 3.0
"""Idle timeout of a connection, unless the runner sends one in a header."""
MAX_STRAY_RESPONSES = 3
"""Responses to other requests that are skipped on a connection."""
MAX_SKIPPED_BYTES = 1 << 20
"""Largest stray response in bytes that is read to get to the next one."""
MAX_DECLINED_REQUESTS = 64
"""Requests that a runner may decline on one connection before it is closed."""
MAX_INFORMATIONAL_RESPONSES = 8
"""Informational (1xx) responses that are skipped before a final one."""


class ConnectionLostError(Exception):
    """The connection was closed or given up before the response was complete."""


class RunnerConnection:
    """Connection to a runner that carries one request at a time.

    ``declined`` are the requests that the runner said it did not run.
    """

    def __init__(self, sock: Any, work: InputWork) -> None:
        self._sock = sock
        self._reader = SocketReader(sock)
        self._http = h11.Connection(h11.CLIENT)
        self._next: Any = None
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.declined: set[str] = set()
        self._is_writing = False
        self._writer: Any = None
        self.ends_with_connection = False
        self._work = work

    def close(self) -> None:
        """Close the socket; a runner that does not read keeps no body in memory."""
        if self._is_writing and self._writer is not None:
            self._writer.kill()
            self._writer = None
        self._reader.close()
        self._sock.close()

    def set_deadline(self, seconds: float | None) -> None:
        """Set one deadline for the following reads, in seconds from now."""
        self._reader.set_deadline(seconds)

    def has_input(self) -> bool:
        """Return whether there is unexpected input: bytes, a close or a reset."""
        if self._http.trailing_data[0]:
            return True
        fd = self._sock.fd
        try:
            fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def send(self, request: OutboundRequest) -> None:
        """Send a request with its body."""
        self._work.begin_message()
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        head = h11.Request(
            method=request.method,
            target=request.target.encode("latin-1"),
            headers=[
                (name.encode("latin-1"), value.encode("latin-1"))
                for name, value in request.headers
            ],
        )
        parts = [self._http.send(head) or b""]
        if request.body:
            # With a length, the body is sent as it is.
            parts.append(self._http.send(h11.Data(data=request.body)) or b"")
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        self._write(parts)

    def _write(self, parts: list[bytes]) -> None:
        """Send without blocking; the rest is sent in a separate green thread.

        A body is not copied: it counts as buffered for as long as its request is open,
        and the thread ends with the connection.
        """
        left = send_now(self._sock, parts)
        if left:
            self._is_writing = True
            self._writer = eventlet.spawn(self._write_rest, left)

    def _write_rest(self, parts: list[memoryview]) -> None:
        try:
            for part in parts:
                self._sock.sendall(part)
            self._is_writing = False
        except OSError as exc:
            log_event("runner_write_failed", level="debug", reason=repr(exc))

    def read_response_head(
        self, request: OutboundRequest, codec: HeaderCodec
    ) -> tuple[int, Headers, ResponseMetadata]:
        """Read the response head of ``request``, skipping stray responses."""
        for _ in range(MAX_STRAY_RESPONSES):
            status, headers = self._read_head()
            metadata = codec.decode_response(status, headers)
            if metadata.request_id == request.request_id:
                self._read_idle_timeout(headers)
                if metadata.is_not_run:
                    self.declined.add(metadata.request_id)
                return status, headers, metadata
            log_event(
                "stray_answer",
                level="warning",
                request=request.request_id,
                answers=metadata.request_id or "none",
                status=status,
            )
            self._skip_response(request)
        raise ConnectionLostError("too many responses to other requests")

    def _skip_response(self, request: OutboundRequest) -> None:
        """Read a stray response to its end and prepare to read the next one."""
        skipped = 0
        while (chunk := self.read_chunk()) is not None:
            skipped += len(chunk)
            if skipped > MAX_SKIPPED_BYTES:
                raise ConnectionLostError("response to another request is too long")
        if self._http.their_state is not h11.DONE:
            raise ConnectionLostError("closed after a response to another request")
        rest, _ = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        head = h11.Request(method=request.method, target="/", headers=[("host", "-")])
        self._http.send(head)
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)

    def _read_head(self) -> tuple[int, Headers]:
        for _ in range(MAX_INFORMATIONAL_RESPONSES):
            event = self._next_event()
            if isinstance(event, h11.Response):
                _check_status_line(event)
                self.ends_with_connection = _ends_with_connection(event)
                headers = [
                    (name.decode("latin-1"), value.decode("latin-1"))
                    for name, value in event.headers.raw_items()
                ]
                return event.status_code, headers
            if isinstance(event, h11.InformationalResponse):
                continue
            raise ConnectionLostError("closed before a response")
        raise ConnectionLostError("too many informational responses")

    def begin_stream(self) -> None:
        """Expect a stream of events for the rest of the response."""
        self._work.allow_stream()

    def read_chunk(self) -> bytes | None:
        """Return what has arrived of the body and was not returned, None at its end."""
        self._reader.check_deadline()
        event = self._next_event()
        if isinstance(event, h11.Data):
            return self._join_pieces(event)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionLostError("closed within a response")

    def _join_pieces(self, event: h11.Data) -> bytes:
        """Return a piece with those that have arrived behind it, within one turn.

        A runner or link that paused delivers many events at once, each of which would
        be parsed, counted and sent to the caller by itself.
        """
        pieces = []
        while isinstance(event, h11.Data):
            self._work.count_piece(len(event.data))
            pieces.append(bytes(event.data))
            if self._work.is_turn_over_next():
                break
            event = self._parse_ahead()
        else:
            self._next = event
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def _parse_ahead(self) -> Any:
        """Return the next event in the bytes that have arrived, or the error in them.

        An error counts only once the pieces before it have been passed on.
        """
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as exc:
            return exc

    def _next_event(self) -> Any:
        event, self._next = self._next, None
        if isinstance(event, h11.RemoteProtocolError):
            raise event
        while True:
            event = event or self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = self._receive()
            if not data and self._is_response_incomplete():
                raise ConnectionLostError("closed within a response")
            self._http.receive_data(data)
            event = None

    def _receive(self) -> bytes:
        self._work.count_read()
        return self._reader.receive()

    def _is_response_incomplete(self) -> bool:
        """Return whether closing the connection now would truncate the response."""
        if self._http.their_state is not h11.SEND_BODY:
            return True
        return not self.ends_with_connection

    def is_reusable(self) -> bool:
        """Return whether another request may be sent on the connection."""
        return (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._is_writing
            and not self.has_input()
            and self.idle_timeout_s > 0
            and len(self.declined) < MAX_DECLINED_REQUESTS
        )

    def _read_idle_timeout(self, headers: Headers) -> None:
        for name, value in headers:
            if name.lower() == "keep-alive" and "timeout=" in value:
                digits = value.partition("timeout=")[2].partition(",")[0].strip()
                if digits.isdigit():
                    self.idle_timeout_s = max(0.0, int(digits) - 1.0)


def _check_status_line(response: h11.Response) -> None:
    """Raise RemoteProtocolError for a status or a major version that HTTP/1 lacks.

    The parser raises it for a status below 100.
    """
    if response.status_code > LAST_STATUS:
        raise h11.RemoteProtocolError(f"status {response.status_code}")
    if not response.http_version.startswith(b"1."):
        raise h11.RemoteProtocolError(f"version {response.http_version!r}")


def _ends_with_connection(response: h11.Response) -> bool:
    """Return whether a response has neither a length nor a transfer encoding."""
    names = {name for name, _ in response.headers}
    return not names & {b"content-length", b"transfer-encoding"}
