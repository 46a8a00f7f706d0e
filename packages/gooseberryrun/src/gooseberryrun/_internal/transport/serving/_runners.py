"""HTTP/1.1 client for runners with a pool of persistent connections.

urllib3 hides whether a request was sent, responses that belong to earlier requests, and
truncated bodies. All of these matter here, so this client uses h11.
"""

from __future__ import annotations

import math
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import eventlet
import h11
from eventlet.green import socket as green_socket
from eventlet.timeout import Timeout
from result import Err, Ok, Result

from gooseberryrun._internal.coordination import log_event
from gooseberryrun._internal.coordination.serving import (
    AttemptFailure,
    AttemptFault,
    HeaderCodec,
    Headers,
    OutboundRequest,
    ResponseMetadata,
    RunnerRequests,
    RunnerResponse,
)
from gooseberryrun._internal.state import Clock
from gooseberryrun._internal.state.serving import Runner

from ._sockets import DeadlinePassedError, SocketReader

CONNECT_TIMEOUT_S = 0.4
"""Timeout of a new connection: less than the first retransmission of a lost packet."""
DEFAULT_IDLE_TIMEOUT_S = 3.0
"""Idle timeout of a connection, unless the runner sends one in a header."""
MAX_IDLE_CONNECTIONS = 2
"""Idle connections kept per runner."""
MAX_STRAY_RESPONSES = 3
"""Responses to other requests that are skipped on a connection."""
MAX_SKIPPED_BYTES = 1 << 20
"""Largest stray response in bytes that is read to get to the next one."""
MAX_DECLINED_REQUESTS = 64
"""Requests that a runner may decline on one connection before it is closed."""
MAX_INFORMATIONAL_RESPONSES = 8
"""Informational (1xx) responses that are skipped before a final one."""
MAX_BUFFERED_RESPONSE_BYTES = 16 << 20
"""Largest body in bytes that is buffered before it is passed on."""
READS_PER_YIELD = 16
"""Reads after which control returns to the event loop, since a socket that always has
bytes never blocks and would starve other green threads and timeouts."""
PROBE_TIMEOUT_S = 0.25


class _ConnectionLostError(Exception):
    """The connection was closed or given up before the response was complete."""


@dataclass(slots=True)
class _IdleConnection:
    """Idle connection with the time up to which it may be used again."""

    conn: _RunnerConn
    idle_deadline: float


class RunnerConnectionPool(RunnerRequests):
    """Pool of connections to runners, by runner and address."""

    def __init__(self, clock: Clock, codec: HeaderCodec) -> None:
        self._clock = clock
        self._codec = codec
        self._idle: dict[tuple[str, str, int], list[_IdleConnection]] = {}

    def send(
        self, runner: Runner, request: OutboundRequest, deadline: float
    ) -> Result[RunnerResponse, AttemptFault]:
        # The runner may have closed an idle connection. After a reset it is unknown
        # whether the request ran, so a non-idempotent one gets a new connection.
        conn = self._take_idle(runner, request) if request.is_idempotent else None
        if conn is None:
            opened = self._open(runner, deadline)
            if isinstance(opened, Err):
                return opened
            conn = opened.ok_value
        return self._exchange(runner, conn, request, deadline)

    def _exchange(
        self,
        runner: Runner,
        conn: _RunnerConn,
        request: OutboundRequest,
        deadline: float,
    ) -> Result[RunnerResponse, AttemptFault]:
        has_response = False
        try:
            conn.set_deadline(max(0.001, deadline - self._clock.monotonic()))
            conn.send(request)
            status, headers, metadata = conn.read_response_head(request, self._codec)
            conn.set_deadline(None)
            has_response = True
            return Ok(_HttpResponse(self, runner, conn, status, headers, metadata))
        except DeadlinePassedError:
            return Err(AttemptFault(AttemptFailure.LATE, "no response in time"))
        except (_ConnectionLostError, OSError) as exc:
            return Err(AttemptFault(AttemptFailure.SENT, repr(exc)))
        except h11.ProtocolError as exc:
            return Err(AttemptFault(AttemptFailure.INVALID_RESPONSE, repr(exc)))
        finally:
            if not has_response:
                conn.close()

    def refuses_connections(self, runner: Runner) -> bool:
        try:
            with Timeout(PROBE_TIMEOUT_S):
                sock = green_socket.create_connection((runner.host, runner.port))
        except ConnectionRefusedError:
            return True
        except (OSError, Timeout):
            return False
        sock.close()
        return False

    def put_back(self, runner: Runner, conn: _RunnerConn) -> None:
        """Return a connection to the pool."""
        key = (runner.id, runner.host, runner.port)
        idle_deadline = self._clock.monotonic() + conn.idle_timeout_s
        idle = self._idle.setdefault(key, [])
        idle.append(_IdleConnection(conn, idle_deadline))
        if len(idle) > MAX_IDLE_CONNECTIONS:
            idle.pop(0).conn.close()

    def close_expired(self) -> None:
        """Close the idle connections that timed out or that the runner closed."""
        now = self._clock.monotonic()
        for key, idle in list(self._idle.items()):
            usable = []
            for entry in idle:
                if now < entry.idle_deadline and not entry.conn.has_input():
                    usable.append(entry)
                else:
                    entry.conn.close()
            self._idle[key] = usable
            if not usable:
                del self._idle[key]

    def _take_idle(
        self, runner: Runner, request: OutboundRequest
    ) -> _RunnerConn | None:
        """Take an idle connection on which this request was not declined before.

        A faulty runner may repeat the earlier response, which could not be told from
        the response to the retry.
        """
        idle = self._idle.get((runner.id, runner.host, runner.port), [])
        for entry in idle[::-1]:
            if request.request_id in entry.conn.declined:
                continue
            idle.remove(entry)
            is_idle = not entry.conn.has_input()
            if is_idle and self._clock.monotonic() < entry.idle_deadline:
                return entry.conn
            entry.conn.close()
        return None

    def _open(
        self, runner: Runner, deadline: float
    ) -> Result[_RunnerConn, AttemptFault]:
        left_s = deadline - self._clock.monotonic()
        try:
            with Timeout(max(0.001, min(CONNECT_TIMEOUT_S, left_s))):
                sock = green_socket.create_connection((runner.host, runner.port))
        except (OSError, Timeout) as exc:
            return Err(AttemptFault(AttemptFailure.NOT_SENT, f"connect: {exc!r}"))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Ok(_RunnerConn(sock))


class _RunnerConn:
    """Connection to a runner that carries one request at a time.

    ``declined`` are the requests that the runner said it did not run.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._reader = SocketReader(sock)
        self._http = h11.Connection(h11.CLIENT)
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.declined: set[str] = set()
        self._is_writing = False
        self.ends_with_connection = False
        self._reads = 0

    def close(self) -> None:
        """Close the socket."""
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
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        head = h11.Request(
            method=request.method,
            target=request.target.encode("latin-1"),
            headers=request.headers,
        )
        data = self._http.send(head) or b""
        if request.body:
            data += self._http.send(h11.Data(data=request.body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._write(data)

    def _write(self, data: bytes) -> None:
        """Send without blocking; the rest is sent in a separate green thread."""
        sent = 0
        try:
            sent = self._sock.fd.send(data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            sent = 0
        if sent < len(data):
            self._is_writing = True
            eventlet.spawn(self._write_rest, data[sent:])

    def _write_rest(self, data: bytes) -> None:
        try:
            self._sock.sendall(data)
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
        raise _ConnectionLostError("too many responses to other requests")

    def _skip_response(self, request: OutboundRequest) -> None:
        """Read a stray response to its end and prepare to read the next one."""
        skipped = 0
        while (chunk := self.read_chunk()) is not None:
            skipped += len(chunk)
            if skipped > MAX_SKIPPED_BYTES:
                raise _ConnectionLostError("response to another request is too long")
        if self._http.their_state is not h11.DONE:
            raise _ConnectionLostError("closed after a response to another request")
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
                self.ends_with_connection = _ends_with_connection(event)
                headers = [
                    (name.decode("latin-1"), value.decode("latin-1"))
                    for name, value in event.headers.raw_items()
                ]
                return event.status_code, headers
            if isinstance(event, h11.InformationalResponse):
                continue
            raise _ConnectionLostError("closed before a response")
        raise _ConnectionLostError("too many informational responses")

    def read_chunk(self) -> bytes | None:
        """Return the next chunk of the body, None at its end."""
        event = self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise _ConnectionLostError("closed within a response")

    def _next_event(self) -> Any:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = self._receive()
            if not data and self._is_response_incomplete():
                raise _ConnectionLostError("closed within a response")
            self._http.receive_data(data)

    def _receive(self) -> bytes:
        self._reads += 1
        if self._reads % READS_PER_YIELD == 0:
            eventlet.sleep(0)
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


def _ends_with_connection(response: h11.Response) -> bool:
    """Return whether a response has neither a length nor a transfer encoding."""
    names = {name for name, _ in response.headers}
    return not names & {b"content-length", b"transfer-encoding"}


class _HttpResponse(RunnerResponse):
    """Response read from a connection, which goes back to the pool if reusable."""

    def __init__(
        self,
        pool: RunnerConnectionPool,
        runner: Runner,
        conn: _RunnerConn,
        status: int,
        headers: Headers,
        metadata: ResponseMetadata,
    ) -> None:
        self._pool = pool
        self._runner = runner
        self._conn = conn
        self.status = status
        self.headers = headers
        self.metadata = metadata
        self.ends_with_connection = conn.ends_with_connection
        self._is_read = False
        self._deadline: float | None = None

    def read_all(self, deadline: float) -> Result[bytes, AttemptFault]:
        body = bytearray()
        for chunk in self.body_chunks(deadline):
            if isinstance(chunk, Err):
                return chunk
            body += chunk.ok_value
            if len(body) > MAX_BUFFERED_RESPONSE_BYTES:
                return Err(
                    AttemptFault(
                        AttemptFailure.INVALID_RESPONSE, "the body is too long"
                    )
                )
        return Ok(bytes(body))

    def body_chunks(self, deadline: float) -> Iterator[Result[bytes, AttemptFault]]:
        while True:
            read = self._read_chunk(deadline)
            if isinstance(read, Err):
                yield read
                return
            if read.ok_value is None:
                self._is_read = True
                return
            yield Ok(read.ok_value)

    def _read_chunk(self, deadline: float) -> Result[bytes | None, AttemptFault]:
        left_s = deadline - self._pool._clock.monotonic()
        if left_s <= 0:
            return Err(AttemptFault(AttemptFailure.LATE, "the deadline passed"))
        if deadline != self._deadline:
            self._deadline = deadline
            self._conn.set_deadline(left_s if math.isfinite(left_s) else None)
        try:
            return Ok(self._conn.read_chunk())
        except DeadlinePassedError:
            return Err(AttemptFault(AttemptFailure.LATE, "the deadline passed"))
        except (_ConnectionLostError, OSError) as exc:
            return Err(AttemptFault(AttemptFailure.SENT, repr(exc)))
        except h11.ProtocolError as exc:
            return Err(AttemptFault(AttemptFailure.INVALID_RESPONSE, repr(exc)))

    def close(self) -> None:
        self._conn.set_deadline(None)
        if self._is_read and self._conn.is_reusable():
            self._pool.put_back(self._runner, self._conn)
        else:
            self._conn.close()
