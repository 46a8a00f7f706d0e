"""HTTP/1.1 client for runners with a pool of persistent connections.

urllib3 hides whether a request was sent, responses that belong to earlier requests, and
truncated bodies. All of these matter here, so this client uses h11.
"""

from __future__ import annotations

import math
import socket
from collections.abc import Callable, Iterator

import h11
import msgspec
from eventlet.green import socket as green_socket
from eventlet.hubs import get_hub
from eventlet.timeout import Timeout
from result import Err, Ok, Result

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

from ._body_buffers import BodyGivenUpError
from ._input_bounds import InputBounds
from ._input_work import InputWork
from ._output import limit_send_buffer
from ._runner_connection import ConnectionLostError, RunnerConnection
from ._sockets import DeadlinePassedError

CONNECT_TIMEOUT_S = 0.4
"""Timeout of a new connection: less than the first retransmission of a lost packet."""
MAX_IDLE_CONNECTIONS = 2
"""Idle connections kept per runner."""
SWEEP_INTERVAL_S = 1.0
"""Interval at which idle connections are checked, while there are any."""
MAX_BUFFERED_RESPONSE_BYTES = 16 << 20
"""Largest body in bytes that is buffered before it is passed on."""
PROBE_TIMEOUT_S = 0.25


class _IdleConnection(msgspec.Struct):
    """Idle connection with the time up to which it may be used again."""

    conn: RunnerConnection
    idle_deadline: float


class RunnerConnectionPool(RunnerRequests):
    """Pool of connections to runners, by runner and address."""

    def __init__(self, clock: Clock, codec: HeaderCodec, bounds: InputBounds) -> None:
        self._clock = clock
        self.bounds = bounds
        self._codec = codec
        self._idle: dict[tuple[str, str, int], list[_IdleConnection]] = {}
        self._is_sweep_scheduled = False
        self._on_connection: Callable[[Runner, bool], None] = lambda runner, _: None

    def watch(self, on_connection: Callable[[Runner, bool], None]) -> None:
        self._on_connection = on_connection

    def probe(self, runner: Runner) -> None:
        opened = self._open(runner, self._clock.monotonic() + CONNECT_TIMEOUT_S)
        if not isinstance(opened, Err):
            opened.ok_value.close()

    def close_idle(self) -> None:
        idle, self._idle = self._idle, {}
        for entries in idle.values():
            for entry in entries:
                entry.conn.close()

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
            if request.may_send is not None and not request.may_send():
                self.put_back(runner, conn)
                return Err(AttemptFault(AttemptFailure.WITHDRAWN, "waited too long"))
        return self._exchange(runner, conn, request, deadline)

    def _exchange(
        self,
        runner: Runner,
        conn: RunnerConnection,
        request: OutboundRequest,
        deadline: float,
    ) -> Result[RunnerResponse, AttemptFault]:
        has_response = False
        try:
            conn.set_deadline(max(0.001, deadline - self._clock.monotonic()))
            conn.send(request)
            status, headers, metadata = conn.read_response_head(request, self._codec)
            has_response = True
            head = _Head(status, headers, metadata)
            return Ok(_HttpResponse(self, runner, conn, head, deadline))
        except DeadlinePassedError:
            return Err(AttemptFault(AttemptFailure.LATE, "no response in time"))
        except (ConnectionLostError, OSError) as exc:
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

    def put_back(self, runner: Runner, conn: RunnerConnection) -> None:
        """Return a connection to the pool."""
        key = (runner.id, runner.host, runner.port)
        idle_deadline = self._clock.monotonic() + conn.idle_timeout_s
        idle = self._idle.setdefault(key, [])
        idle.append(_IdleConnection(conn, idle_deadline))
        if len(idle) > MAX_IDLE_CONNECTIONS:
            idle.pop(0).conn.close()
        self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        if not self._is_sweep_scheduled:
            self._is_sweep_scheduled = True
            get_hub().schedule_call_global(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        self._is_sweep_scheduled = False
        self.close_expired()
        if self._idle:
            self._schedule_sweep()

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
    ) -> RunnerConnection | None:
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
    ) -> Result[RunnerConnection, AttemptFault]:
        left_s = deadline - self._clock.monotonic()
        try:
            with Timeout(max(0.001, min(CONNECT_TIMEOUT_S, left_s))):
                sock = green_socket.create_connection((runner.host, runner.port))
        except (OSError, Timeout) as exc:
            self._on_connection(runner, False)
            return Err(AttemptFault(AttemptFailure.NOT_SENT, f"connect: {exc!r}"))
        self._on_connection(runner, True)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        limit_send_buffer(sock)
        return Ok(RunnerConnection(sock, InputWork(self.bounds.pieces, self._clock)))


class _Head(msgspec.Struct, frozen=True):
    """Head of a response."""

    status: int
    headers: Headers
    metadata: ResponseMetadata


class _HttpResponse(RunnerResponse):
    """Response read from a connection, which goes back to the pool if reusable.

    ``deadline`` is the one that the connection's timer was set for already.
    """

    def __init__(
        self,
        pool: RunnerConnectionPool,
        runner: Runner,
        conn: RunnerConnection,
        head: _Head,
        deadline: float,
    ) -> None:
        self._pool = pool
        self._runner = runner
        self._conn = conn
        self.status = head.status
        self.headers = head.headers
        self.metadata = head.metadata
        self.ends_with_connection = conn.ends_with_connection
        self._body = pool.bounds.buffers.open()
        self._is_read = False
        self._is_released = False
        self._deadline = deadline

    def read_all(self, deadline: float) -> Result[bytes, AttemptFault]:
        try:
            return self._read_all(deadline)
        except BodyGivenUpError:
            return _invalid_response("too many bodies are buffered")

    def _read_all(self, deadline: float) -> Result[bytes, AttemptFault]:
        for chunk in self._chunks(deadline):
            if isinstance(chunk, Err):
                return chunk
            self._body.append(chunk.ok_value)
            if self._body.size > MAX_BUFFERED_RESPONSE_BYTES:
                return _invalid_response("the body is too long")
        return Ok(self._body.complete())

    def body_chunks(self, deadline: float) -> Iterator[Result[bytes, AttemptFault]]:
        self._conn.begin_stream()
        yield from self._chunks(deadline)

    def _chunks(self, deadline: float) -> Iterator[Result[bytes, AttemptFault]]:
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
        except (ConnectionLostError, OSError) as exc:
            return Err(AttemptFault(AttemptFailure.SENT, repr(exc)))
        except h11.ProtocolError as exc:
            return Err(AttemptFault(AttemptFailure.INVALID_RESPONSE, repr(exc)))

    def close(self) -> None:
        self._body.release()
        self.release()

    def release(self) -> None:
        if self._is_released:
            return
        self._is_released = True
        self._conn.set_deadline(None)
        if self._is_read and self._conn.is_reusable():
            self._pool.put_back(self._runner, self._conn)
        else:
            self._conn.close()


def _invalid_response(why: str) -> Err[AttemptFault]:
    return Err(AttemptFault(AttemptFailure.INVALID_RESPONSE, why))
