"""Work of a VM per request, stream event and log line, as counts of calls."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Iterator
from typing import Any

import eventlet
import h11
import pytest
from absl import logging as absl_logging
from eventlet.greenio import GreenSocket
from gooseberryrun._internal.coordination import _events, log_event, write_lines_to
from gooseberryrun._internal.coordination.serving import (
    Caller,
    InboundRequest,
    OutboundRequest,
)
from gooseberryrun._internal.state import ManualClock, SystemClock
from gooseberryrun._internal.state.serving import ClientLimits, Runner, RunnerLoads
from gooseberryrun._internal.transport.serving import (
    InputBounds,
    RunnerConnectionPool,
)
from gooseberryrun._internal.transport.serving._caller_connection import (
    CallerConnection,
    CallerServerState,
)
from gooseberryrun._internal.transport.serving._input_work import (
    PIECES_PER_TURN,
    InputWork,
)
from gooseberryrun._internal.transport.serving._runner_connection import (
    RunnerConnection,
)
from gooseberryrun._internal.transport.serving._sockets import SocketReader
from gooseberryrun_platform._headers import PlatformHeaders

LIMITS = ClientLimits(8192, 20_000, 0.7, 4.0)
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT = b"id: 1\ndata: 1\n\n"
CHUNK = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)


def connect_pair() -> tuple[socket.socket, GreenSocket]:
    """Return both ends of a connection, the second one for green threads."""
    listener = socket.create_server(("127.0.0.1", 0))
    own = socket.create_connection(listener.getsockname())
    accepted, _ = listener.accept()
    listener.close()
    own.settimeout(2.0)
    return own, GreenSocket(accepted)


class Handler:
    """Handler that responds to each request after a turn of the event loop."""

    def handle(self, _request: InboundRequest, caller: Caller) -> None:
        """Respond with 200."""
        eventlet.sleep(0.002)
        caller.respond(200, [], b"")


def test_a_request_takes_no_green_thread_and_no_registration_of_its_own(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a green thread per request that watches for a disconnection.

    It registered and unregistered the socket for itself, as did the next read.
    """
    counts = {"spawn": 0, "register": 0}
    register = SocketReader._register

    def count_registration(reader: SocketReader) -> None:
        counts["register"] += not reader._is_registered
        register(reader)

    own, sock = connect_pair()
    clock = ManualClock()
    state = CallerServerState(lambda: LIMITS, InputBounds(clock))
    conn = CallerConnection(state, sock, clock)
    handler: Any = Handler()
    eventlet.spawn(conn.run, handler)
    eventlet.sleep(0.01)
    monkeypatch.setattr(SocketReader, "_register", count_registration)
    spawn = eventlet.spawn

    def count_spawn(*args: Any) -> Any:
        counts["spawn"] += 1
        return spawn(*args)

    monkeypatch.setattr(eventlet, "spawn", count_spawn)
    for _ in range(5):
        own.sendall(REQUEST)
        eventlet.sleep(0.02)
        assert own.recv(100).startswith(b"HTTP/1.1 200")
    assert counts == {"spawn": 0, "register": 0}
    conn.close()


class WaitingHandler:
    """Handler that notes how its wait ended."""

    def __init__(self) -> None:
        self.ended: list[str] = []

    def handle(self, _request: InboundRequest, caller: Caller) -> None:
        """Wait for longer than the test."""
        try:
            eventlet.sleep(5.0)
        except BaseException as exc:
            self.ended.append(type(exc).__name__)
            raise


@pytest.mark.parametrize("sends_more", [False, True])
def test_a_disconnection_still_interrupts_a_request(sends_more: bool) -> None:
    """Guards against requests that go on without a caller.

    A caller that sends its next request early is watched no more, as before.
    """
    own, sock = connect_pair()
    clock = ManualClock()
    state = CallerServerState(lambda: LIMITS, InputBounds(clock))
    conn = CallerConnection(state, sock, clock)
    handler: Any = WaitingHandler()
    thread = eventlet.spawn(conn.run, handler)
    own.sendall(REQUEST)
    eventlet.sleep(0.02)
    if sends_more:
        own.sendall(REQUEST)
        eventlet.sleep(0.02)
    own.close()
    eventlet.sleep(0.02)
    assert handler.ended == ([] if sends_more else ["CallerDisconnectedError"])
    thread.kill()
    conn.close()


@pytest.fixture
def stream() -> Iterator[tuple[socket.socket, RunnerConnection]]:
    """Return a runner's socket and the connection that reads a stream from it."""
    own, sock = connect_pair()
    clock = SystemClock()
    conn = RunnerConnection(sock, InputWork(InputBounds(clock).pieces, clock))
    conn._http.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
    conn._http.send(h11.EndOfMessage())
    own.sendall(HEAD)
    eventlet.sleep(0.01)
    conn._read_head()
    conn.begin_stream()
    yield own, conn
    own.close()
    conn.close()


def test_events_that_are_there_at_once_are_relayed_in_one_step(
    stream: tuple[socket.socket, RunnerConnection],
) -> None:
    """Guards against a send to the caller for each of 20 events that came together."""
    own, conn = stream
    own.sendall(CHUNK * 20 + b"0\r\n\r\n")
    eventlet.sleep(0.01)
    assert conn.read_chunk() == EVENT * 20
    assert conn.read_chunk() is None


def test_events_of_one_turn_wait_for_no_other(
    stream: tuple[socket.socket, RunnerConnection],
) -> None:
    """Guards against events that are held while the connection pauses for others."""
    own, conn = stream
    own.sendall(CHUNK * 3 * PIECES_PER_TURN)
    eventlet.sleep(0.01)
    lengths: list[int] = []
    while sum(lengths) < 3 * PIECES_PER_TURN:
        chunk = conn.read_chunk()
        assert chunk is not None
        lengths.append(len(chunk) // len(EVENT))
    assert max(lengths) <= PIECES_PER_TURN
    assert len(lengths) <= 4


def test_events_before_a_malformed_one_are_passed_on(
    stream: tuple[socket.socket, RunnerConnection],
) -> None:
    """Guards against an error that takes the events with it that came before."""
    own, conn = stream
    own.sendall(CHUNK * 2 + b"no length\r\n")
    eventlet.sleep(0.01)
    assert conn.read_chunk() == EVENT * 2
    with pytest.raises(h11.RemoteProtocolError):
        conn.read_chunk()


class UniterableResults(deque[tuple[float, bool]]):
    """Results that cannot be gone through."""

    def __iter__(self) -> Iterator[tuple[float, bool]]:
        raise AssertionError("each request goes through all recent results")


def test_totals_are_read_without_going_through_the_results() -> None:
    """Guards against sums over the results of 3 s: 176 steps per request."""
    loads = RunnerLoads()
    for number in range(100):
        loads.record_result("r", number % 4 > 0, 10.0 + number / 100)
    own = loads._own["r"]
    own.results = UniterableResults(own.results)
    view = loads.total("r", 11.0)
    assert (view.ok, view.failed) == (75, 25)
    later = loads.total("r", 13.505)
    assert (later.ok, later.failed) == (37, 12)
    assert (loads.total("r", 20.0).ok, loads.total("r", 20.0).failed) == (0, 0)


def test_an_event_is_written_without_a_record_of_the_log_library(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the cost of a log record and its formatting for each line."""

    def fail(*_args: object) -> None:
        raise AssertionError("the log library was called")

    written: list[tuple[str, str]] = []
    monkeypatch.setattr(absl_logging, "log", fail)
    monkeypatch.setattr(_events, "_line_writers", [])
    write_lines_to(lambda level, text: written.append((level, text)))
    log_event("one", level="warning", number=1, text="two words")
    log_event("two", level="debug")
    assert written == [("warning", 'event=one number=1 text="two words"')]


def test_one_timer_covers_a_response_with_one_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against one timer for the head of a stream and another for its events."""
    armed: list[float] = []
    set_deadline = SocketReader.set_deadline

    def count_timer(reader: SocketReader, seconds: float | None) -> None:
        if seconds is not None:
            armed.append(seconds)
        set_deadline(reader, seconds)

    monkeypatch.setattr(SocketReader, "set_deadline", count_timer)
    listener = eventlet.listen(("127.0.0.1", 0))
    head = HEAD.replace(b"\r\n\r\n", b"\r\nX-Gooseberryrun-Request-Id: q\r\n\r\n")

    def serve() -> None:
        sock, _ = listener.accept()
        sock.recv(65536)
        for part in (head, CHUNK, CHUNK, b"0\r\n\r\n"):
            sock.sendall(part)
            eventlet.sleep(0.005)

    eventlet.spawn(serve)
    clock = SystemClock()
    pool = RunnerConnectionPool(clock, PlatformHeaders(), InputBounds(clock))
    port = listener.getsockname()[1]
    runner = Runner("i", "s", "127.0.0.1", port, "d", 6, False, 1, 0, ())
    headers = [("host", "h"), ("x-gooseberryrun-request-id", "q")]
    request = OutboundRequest("GET", "/", headers, b"", "q", False)
    deadline = clock.monotonic() + 5.0
    response = pool.send(runner, request, deadline).unwrap()
    events = [chunk.unwrap() for chunk in response.body_chunks(deadline)]
    response.close()
    assert b"".join(events) == EVENT * 2
    assert len(armed) == 1
