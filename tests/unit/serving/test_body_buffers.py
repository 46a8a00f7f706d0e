"""Memory for the bodies of all requests and responses of a process."""

from __future__ import annotations

import socket
from typing import Any

import eventlet
import pytest
from eventlet.greenio import GreenSocket
from gooseberryrun._internal.coordination.serving import (
    AttemptFailure,
    AttemptFault,
    RunnerResponse,
)
from gooseberryrun._internal.state import ManualClock, SystemClock
from gooseberryrun._internal.state.serving import ClientLimits
from gooseberryrun._internal.transport.serving import (
    InputBounds,
    RunnerConnectionPool,
    _body_buffers,
)
from gooseberryrun._internal.transport.serving._body_buffers import (
    BodyBuffers,
    BodyGivenUpError,
)
from gooseberryrun._internal.transport.serving._caller_connection import (
    CallerConnection,
    CallerServerState,
)
from gooseberryrun_platform._headers import PlatformHeaders
from result import Err, Ok, Result

from .test_endless_answers import CHUNK, CHUNKED, OWN_HEAD, endless, request

LIMIT = 4 << 20
SOUND = b"y" * 100_000
READ_BYTES = 65536


@pytest.fixture(autouse=True)
def _small_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_body_buffers, "MAX_BUFFERED_BYTES", LIMIT)


def test_largest_body_that_is_being_read_yields() -> None:
    buffers = BodyBuffers()
    complete, endless_body, small = (buffers.open() for _ in range(3))
    complete.append(b"c" * (LIMIT // 2))
    assert len(complete.complete()) == LIMIT // 2
    small.append(SOUND)
    endless_body.append(b"e" * (LIMIT // 3))
    small.append(b"y" * (LIMIT // 4))
    with pytest.raises(BodyGivenUpError):
        endless_body.append(b"e")
    with pytest.raises(BodyGivenUpError):
        endless_body.complete()
    assert small.complete().startswith(SOUND)
    for buffer in (complete, endless_body, small, small):
        buffer.release()
    assert buffers.held_bytes == 0


@pytest.mark.parametrize(
    ("head", "repeated"),
    [
        (OWN_HEAD + CHUNKED, CHUNK),
        (OWN_HEAD + b"\r\n", b"x" * READ_BYTES),
        (OWN_HEAD + b"Content-Length: 100000000000\r\n\r\n", b"x" * READ_BYTES),
    ],
)
def test_answers_without_end_share_bounded_memory(head: bytes, repeated: bytes) -> None:
    """Guards against 30 answers of up to 16 MB each, which ended the process.

    The sound answer beside them arrives whole.
    """
    clock = SystemClock()
    bounds = InputBounds(clock)
    runners = RunnerConnectionPool(clock, PlatformHeaders(), bounds)
    most_held = 0

    def read(server: Any) -> Result[bytes, AttemptFault]:
        nonlocal most_held
        sent = runners.send(server.runner(), request(), clock.monotonic() + 60)
        assert isinstance(sent, Ok)
        answer: RunnerResponse = sent.ok_value
        body = answer.read_all(clock.monotonic() + 60)
        most_held = max(most_held, bounds.buffers.held_bytes)
        answer.close()
        return body

    length = f"Content-Length: {len(SOUND)}\r\n\r\n".encode()
    with (
        endless(head, repeated) as faulty,
        endless(OWN_HEAD + length + SOUND, b"") as ok,
    ):
        reads = [eventlet.spawn(read, server) for server in [faulty] * 8 + [ok]]
        *bodies, sound = [thread.wait() for thread in reads]
    assert sound == Ok(SOUND)
    assert most_held <= LIMIT + READ_BYTES
    assert bounds.buffers.held_bytes == 0
    for body in bodies:
        assert isinstance(body, Err)
        assert body.err_value.failure is AttemptFailure.INVALID_RESPONSE


def test_request_whose_body_has_no_room_is_refused_at_once() -> None:
    """Bodies that were still being read did not count: 80 uploads took 378 MB."""
    clock = ManualClock()
    bounds = InputBounds(clock)
    bounds.buffers.open().append(b"x" * (LIMIT - 1000))
    state = CallerServerState(
        lambda: ClientLimits(max_body_bytes=LIMIT, idle_timeout_s=5.0), bounds
    )
    listener = socket.create_server(("127.0.0.1", 0))
    own = socket.create_connection(listener.getsockname())
    accepted, _ = listener.accept()
    listener.close()
    handler: Any = None
    conn = CallerConnection(state, GreenSocket(accepted), clock)
    own.sendall(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n")
    eventlet.spawn(conn.run, handler)
    eventlet.sleep(0.05)
    own.settimeout(2.0)
    assert own.recv(1000).startswith(b"HTTP/1.1 503")
    own.close()
