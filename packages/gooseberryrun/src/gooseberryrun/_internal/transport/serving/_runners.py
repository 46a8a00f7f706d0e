"""HTTP/1.1 towards runners, on kept connections.

urllib3 hides what matters here: whether a request was sent, answers that belong to
earlier requests, and bodies that are cut. So this path speaks through h11.
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
    AnswerFacts,
    AttemptFailure,
    AttemptFault,
    HeaderCodec,
    Headers,
    OutboundRequest,
    RunnerAnswer,
    RunnerRequests,
)
from gooseberryrun._internal.state import Clock
from gooseberryrun._internal.state.serving import Runner

from ._sockets import DeadlinePassedError, SocketReader

CONNECT_TIMEOUT_S = 0.4
"""Time for a new connection: under the first retransmission of a lost packet."""
DEFAULT_IDLE_S = 3.0
"""Idle time after which a connection is closed if the runner names no other."""
MAX_KEPT = 2
"""Idle connections to a runner that are kept."""
MAX_STRAY_ANSWERS = 3
"""Answers to other requests that are skipped on a connection."""
MAX_SKIPPED_BYTES = 1 << 20
"""Bytes of a stray answer that are read to get to the next one."""
MAX_INFORMATIONAL = 8
"""Informational answers that are skipped before a final one."""
MAX_WHOLE_ANSWER_BYTES = 16 << 20
"""Longest body that is read whole before it is passed on."""
READS_PER_TURN = 16
"""Reads after which other green threads and timeouts get their turn, since a socket
that always has bytes never blocks."""
PROBE_TIMEOUT_S = 0.25


class _ConnectionLostError(Exception):
    """The connection ended or broke the protocol while an answer was due."""


@dataclass(slots=True)
class _Kept:
    conn: _RunnerConn
    idle_deadline: float


class RunnerConnectionPool(RunnerRequests):
    """Pool of connections to runners, by runner and address."""

    def __init__(self, clock: Clock, codec: HeaderCodec) -> None:
        self._clock = clock
        self._codec = codec
        self._kept: dict[tuple[str, str, int], list[_Kept]] = {}

    def send(
        self, runner: Runner, request: OutboundRequest, deadline: float
    ) -> Result[RunnerAnswer, AttemptFault]:
        # A runner may have dropped a kept connection; a reset would leave it unknown
        # whether a request ran that must not be sent again.
        conn = self._take(runner) if request.is_repeatable else None
        if conn is None:
            opened = self._open(runner, deadline)
            if isinstance(opened, Err):
                return opened
            conn = opened.ok_value
        return self._ask(runner, conn, request, deadline)

    def _ask(
        self,
        runner: Runner,
        conn: _RunnerConn,
        request: OutboundRequest,
        deadline: float,
    ) -> Result[RunnerAnswer, AttemptFault]:
        answered = False
        try:
            conn.set_deadline(max(0.001, deadline - self._clock.monotonic()))
            conn.send(request)
            status, headers, facts = conn.read_own_head(request, self._codec)
            conn.set_deadline(None)
            answered = True
            return Ok(_HttpAnswer(self, runner, conn, status, headers, facts))
        except DeadlinePassedError:
            return Err(AttemptFault(AttemptFailure.LATE, "no answer in time"))
        except (_ConnectionLostError, OSError) as exc:
            return Err(AttemptFault(AttemptFailure.SENT, repr(exc)))
        except h11.ProtocolError as exc:
            return Err(AttemptFault(AttemptFailure.SPOILED, repr(exc)))
        finally:
            if not answered:
                conn.close()

    def is_refusing(self, runner: Runner) -> bool:
        try:
            with Timeout(PROBE_TIMEOUT_S):
                sock = green_socket.create_connection((runner.host, runner.port))
        except ConnectionRefusedError:
            return True
        except (OSError, Timeout):
            return False
        sock.close()
        return False

    def keep(self, runner: Runner, conn: _RunnerConn) -> None:
        """Keep a connection for the next request."""
        key = (runner.id, runner.host, runner.port)
        idle_deadline = self._clock.monotonic() + conn.idle_s
        kept = self._kept.setdefault(key, [])
        kept.append(_Kept(conn, idle_deadline))
        if len(kept) > MAX_KEPT:
            kept.pop(0).conn.close()

    def close_expired(self) -> None:
        """Close the connections that were idle for too long."""
        now = self._clock.monotonic()
        for key, kept in list(self._kept.items()):
            fresh = []
            for one in kept:
                if now < one.idle_deadline and not one.conn.has_input():
                    fresh.append(one)
                else:
                    one.conn.close()
            self._kept[key] = fresh
            if not fresh:
                del self._kept[key]

    def _take(self, runner: Runner) -> _RunnerConn | None:
        kept = self._kept.get((runner.id, runner.host, runner.port), [])
        while kept:
            one = kept.pop()
            is_idle = not one.conn.has_input()
            if is_idle and self._clock.monotonic() < one.idle_deadline:
                return one.conn
            one.conn.close()
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
    """One connection to a runner, for one request at a time."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._reader = SocketReader(sock)
        self._http = h11.Connection(h11.CLIENT)
        self.idle_s = DEFAULT_IDLE_S
        self._is_writing = False
        self._ends_with_connection = False
        self._reads = 0

    def close(self) -> None:
        """Close the socket."""
        self._reader.close()
        self._sock.close()

    def set_deadline(self, seconds: float | None) -> None:
        """Bound the reads that follow by one deadline."""
        self._reader.set_deadline(seconds)

    def has_input(self) -> bool:
        """Tell whether bytes or an end are waiting although nothing was asked."""
        if self._http.trailing_data[0]:
            return True
        raw = self._sock.fd
        try:
            raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def send(self, request: OutboundRequest) -> None:
        """Send a whole request."""
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
        """Send in a green thread of its own if the runner does not read at once."""
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

    def read_own_head(
        self, request: OutboundRequest, codec: HeaderCodec
    ) -> tuple[int, Headers, AnswerFacts]:
        """Read the head of the answer to ``request``, skipping stray answers."""
        for _ in range(MAX_STRAY_ANSWERS):
            status, headers = self._read_head()
            facts = codec.decode_answer(status, headers)
            if facts.request_id == request.request_id:
                self._note_idle(headers)
                return status, headers, facts
            log_event(
                "stray_answer",
                level="warning",
                request=request.request_id,
                answers=facts.request_id or "none",
                status=status,
            )
            self._skip_answer(request)
        raise _ConnectionLostError("only answers to other requests")

    def _skip_answer(self, request: OutboundRequest) -> None:
        """Read a stray answer to its end and wait for the next one."""
        skipped = 0
        while (piece := self.read_piece()) is not None:
            skipped += len(piece)
            if skipped > MAX_SKIPPED_BYTES:
                raise _ConnectionLostError("too long an answer to another request")
        if self._http.their_state is not h11.DONE:
            raise _ConnectionLostError("closed after an answer to another request")
        rest, _ = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        head = h11.Request(method=request.method, target="/", headers=[("host", "-")])
        self._http.send(head)
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)

    def _read_head(self) -> tuple[int, Headers]:
        for _ in range(MAX_INFORMATIONAL):
            event = self._next_event()
            if isinstance(event, h11.Response):
                self._ends_with_connection = _ends_with_connection(event)
                headers = [
                    (name.decode("latin-1"), value.decode("latin-1"))
                    for name, value in event.headers.raw_items()
                ]
                return event.status_code, headers
            if isinstance(event, h11.InformationalResponse):
                continue
            raise _ConnectionLostError("closed before an answer")
        raise _ConnectionLostError("only informational answers")

    def read_piece(self) -> bytes | None:
        """Return the next piece of the body, None at its end."""
        event = self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise _ConnectionLostError("closed within an answer")

    def _next_event(self) -> Any:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = self._receive()
            if not data and self._is_body_open():
                raise _ConnectionLostError("closed within an answer")
            self._http.receive_data(data)

    def _receive(self) -> bytes:
        self._reads += 1
        if self._reads % READS_PER_TURN == 0:
            eventlet.sleep(0)
        return self._reader.receive()

    def _is_body_open(self) -> bool:
        """Tell whether an end of the connection now cuts an answer off."""
        if self._http.their_state is not h11.SEND_BODY:
            return True
        return not self._ends_with_connection

    def is_reusable(self) -> bool:
        """Tell whether another request may be sent on the connection."""
        return (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._is_writing
            and not self.has_input()
            and self.idle_s > 0
        )

    def _note_idle(self, headers: Headers) -> None:
        for name, value in headers:
            if name.lower() == "keep-alive" and "timeout=" in value:
                digits = value.partition("timeout=")[2].partition(",")[0].strip()
                if digits.isdigit():
                    self.idle_s = max(0.0, int(digits) - 1.0)


def _ends_with_connection(response: h11.Response) -> bool:
    """Tell whether an answer has neither a length nor chunks."""
    names = {name for name, _ in response.headers}
    return not names & {b"content-length", b"transfer-encoding"}


class _HttpAnswer(RunnerAnswer):
    """Answer on one connection."""

    def __init__(
        self,
        pool: RunnerConnectionPool,
        runner: Runner,
        conn: _RunnerConn,
        status: int,
        headers: Headers,
        facts: AnswerFacts,
    ) -> None:
        self._pool = pool
        self._runner = runner
        self._conn = conn
        self.status = status
        self.headers = headers
        self.facts = facts
        self._is_read = False
        self._deadline: float | None = None

    def read_all(self, deadline: float) -> Result[bytes, AttemptFault]:
        body = bytearray()
        for piece in self.pieces(deadline):
            if isinstance(piece, Err):
                return piece
            body += piece.ok_value
            if len(body) > MAX_WHOLE_ANSWER_BYTES:
                return Err(AttemptFault(AttemptFailure.SPOILED, "too long a body"))
        return Ok(bytes(body))

    def pieces(self, deadline: float) -> Iterator[Result[bytes, AttemptFault]]:
        while True:
            read = self._read_piece(deadline)
            if isinstance(read, Err):
                yield read
                return
            if read.ok_value is None:
                self._is_read = True
                return
            yield Ok(read.ok_value)

    def _read_piece(self, deadline: float) -> Result[bytes | None, AttemptFault]:
        left_s = deadline - self._pool._clock.monotonic()
        if left_s <= 0:
            return Err(AttemptFault(AttemptFailure.LATE, "the deadline passed"))
        if deadline != self._deadline:
            self._deadline = deadline
            self._conn.set_deadline(left_s if math.isfinite(left_s) else None)
        try:
            return Ok(self._conn.read_piece())
        except DeadlinePassedError:
            return Err(AttemptFault(AttemptFailure.LATE, "the deadline passed"))
        except (_ConnectionLostError, OSError) as exc:
            return Err(AttemptFault(AttemptFailure.SENT, repr(exc)))
        except h11.ProtocolError as exc:
            return Err(AttemptFault(AttemptFailure.SPOILED, repr(exc)))

    def close(self) -> None:
        self._conn.set_deadline(None)
        if self._is_read and self._conn.is_reusable():
            self._pool.keep(self._runner, self._conn)
        else:
            self._conn.close()
