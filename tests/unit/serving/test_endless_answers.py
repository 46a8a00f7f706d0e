"""Runners that send bytes without end: bodies, heads, stray responses, events."""

from __future__ import annotations

import contextlib
import io
import itertools
import socket
import threading
from collections.abc import Iterator
from typing import Any

import eventlet
import pytest
from gooseberryrun._internal.coordination.serving import (
    AttemptFailure,
    AttemptFault,
    OutboundRequest,
    RunnerResponse,
)
from gooseberryrun._internal.coordination.serving._event_stream import EventBuffer
from gooseberryrun._internal.state import (
    MAX_EVENT_BYTES,
    MAX_EVENT_PIECES,
    ManualClock,
    ServingSettings,
    SystemClock,
)
from gooseberryrun._internal.state.serving import Runner
from gooseberryrun._internal.transport import BoundedResponse
from gooseberryrun._internal.transport._bounded_response import READS_PER_TURN
from gooseberryrun._internal.transport.serving import InputBounds, RunnerConnectionPool
from gooseberryrun._internal.transport.serving._input_work import (
    FREE_PIECES,
    PIECES_PER_TURN,
    SHARED_PIECES_PER_S,
    InputWork,
    SharedPieces,
)
from gooseberryrun_platform._control import PlatformControl
from gooseberryrun_platform._headers import PlatformHeaders
from result import Err, Ok

REQUEST_ID = "r1"
OWN_HEAD = f"HTTP/1.1 200 OK\r\nX-Gooseberryrun-Request-Id: {REQUEST_ID}\r\n".encode()
STRAY_HEAD = b"HTTP/1.1 200 OK\r\nX-Gooseberryrun-Request-Id: other\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
PIECE = b"x" * 40
CHUNK = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
SENT_CHUNKS = 1200
"""Most chunks of 64 KiB that are sent: far more than any limit on what is read."""


class EndlessServer:
    """Sends a head and then the same bytes many times on each connection."""

    def __init__(self, head: bytes, repeated: bytes) -> None:
        self._head = head
        self._repeated = repeated
        self.was_read_to_end = False
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                self._answer(conn)

    def _answer(self, conn: socket.socket) -> None:
        with contextlib.suppress(OSError), conn:
            conn.recv(65536)
            conn.sendall(self._head)
            for _ in range(SENT_CHUNKS):
                conn.sendall(self._repeated)
            self.was_read_to_end = True

    def runner(self) -> Runner:
        return Runner(
            "i-1",
            "s",
            "127.0.0.1",
            self.port,
            "d",
            6,
            False,
            born_ms=1,
            order_seq=0,
            models=(),
        )

    def close(self) -> None:
        self._listener.close()


@pytest.fixture
def clock() -> SystemClock:
    return SystemClock()


@contextlib.contextmanager
def endless(head: bytes, repeated: bytes = CHUNK) -> Iterator[EndlessServer]:
    server = EndlessServer(head, repeated)
    yield server
    server.close()


def request() -> OutboundRequest:
    headers = [("host", "h"), ("x-gooseberryrun-request-id", REQUEST_ID)]
    return OutboundRequest("GET", "/", headers, b"", REQUEST_ID, True)


def ask(server: EndlessServer, clock: SystemClock) -> RunnerResponse | AttemptFault:
    runners = RunnerConnectionPool(clock, PlatformHeaders(), InputBounds(clock))
    sent = runners.send(server.runner(), request(), clock.monotonic() + 60)
    return sent.ok_value if isinstance(sent, Ok) else sent.err_value


def ask_failing(server: EndlessServer, clock: SystemClock) -> AttemptFault:
    fault = ask(server, clock)
    assert isinstance(fault, AttemptFault)
    return fault


def test_body_without_end_is_given_up(clock: SystemClock) -> None:
    with endless(OWN_HEAD + CHUNKED) as server:
        answer = ask(server, clock)
        assert isinstance(answer, RunnerResponse)
        body = answer.read_all(clock.monotonic() + 60)
        answer.close()
        assert isinstance(body, Err)
        assert body.err_value.failure is AttemptFailure.INVALID_RESPONSE


def test_body_that_never_pauses_ends_at_the_deadline(clock: SystemClock) -> None:
    with endless(OWN_HEAD + CHUNKED) as server:
        answer = ask(server, clock)
        assert isinstance(answer, RunnerResponse)
        body_chunks = list(answer.body_chunks(clock.monotonic() - 1))
        answer.close()
        assert [isinstance(piece, Err) for piece in body_chunks] == [True]


def test_stray_answer_without_end_is_given_up(clock: SystemClock) -> None:
    with endless(STRAY_HEAD + CHUNKED) as server:
        fault = ask_failing(server, clock)
        assert fault.failure is AttemptFailure.SENT
        assert "response to another request is too long" in fault.detail


def test_head_without_end_is_given_up(clock: SystemClock) -> None:
    with endless(OWN_HEAD, b"x-more: " + b"y" * 65536) as server:
        assert ask_failing(server, clock).failure is AttemptFailure.INVALID_RESPONSE


def test_informational_answers_without_end_are_given_up(clock: SystemClock) -> None:
    with endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100) as server:
        fault = ask_failing(server, clock)
        assert fault.failure is AttemptFailure.SENT
        assert "too many informational responses" in fault.detail


def test_event_without_end_is_noticed() -> None:
    events = EventBuffer()
    assert events.feed(b"data: " + b"x" * MAX_EVENT_BYTES) == b""
    assert events.exceeds_limit


def test_event_in_pieces_without_end_is_noticed() -> None:
    """Guards against review/2: 26,000 pieces of 40 bytes were read into one event.

    Each of them copied and searched the whole event, for 9 s in all.
    """
    events = EventBuffer()
    pieces = 0
    while not events.exceeds_limit:
        assert events.feed(PIECE) == b""
        pieces += 1
    assert pieces <= MAX_EVENT_PIECES + 1


def test_event_may_come_in_many_pieces_after_others() -> None:
    events = EventBuffer()
    for _ in range(3):
        for _ in range(MAX_EVENT_PIECES - 1):
            assert events.feed(PIECE) == b""
        assert events.feed(b"\n\n").endswith(b"\n\n")
        assert not events.exceeds_limit


@pytest.mark.parametrize("size", [1, 40, 64])
def test_pieces_without_end_leave_the_event_loop_its_turns(
    clock: SystemClock, size: int
) -> None:
    """Guards against review/2: a megabyte of short pieces passed in one turn."""
    piece = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
    turns: list[int] = []
    with endless(OWN_HEAD + CHUNKED, piece * 4000) as server:
        answer = ask(server, clock)
        assert isinstance(answer, RunnerResponse)
        parsed = 0

        def count_turns() -> None:
            while True:
                turns.append(parsed)
                eventlet.sleep(0)

        counter = eventlet.spawn(count_turns)
        for chunk in answer.body_chunks(clock.monotonic() + 60):
            assert isinstance(chunk, Ok)
            parsed += 1
            if parsed > FREE_PIECES:
                break
        counter.kill()
        answer.close()
    between = [later - earlier for earlier, later in itertools.pairwise(turns)]
    assert max(between) <= PIECES_PER_TURN


def test_answers_without_end_share_a_bounded_rate() -> None:
    """Turn by turn, three answers in pieces of a byte used up the processor."""
    clock = ManualClock()
    shared = SharedPieces(clock)
    answers = [InputWork(shared, clock) for _ in range(30)]
    pieces = 100
    delays = [shared.delay_s(pieces) for _ in answers]
    assert max(delays) == pytest.approx(len(answers) * pieces / SHARED_PIECES_PER_S)
    clock.now += max(delays)
    assert shared.delay_s(0) == pytest.approx(0.0)


@pytest.mark.parametrize("pieces_per_s", [0, 300])
def test_sound_answer_in_short_pieces_is_not_delayed(
    monkeypatch: pytest.MonkeyPatch, pieces_per_s: int
) -> None:
    """A long stream of many events, or a whole answer of a thousand pieces."""
    clock = ManualClock()
    work = InputWork(SharedPieces(clock), clock)
    delays: list[float] = []
    monkeypatch.setattr(eventlet, "sleep", delays.append)
    if pieces_per_s:
        work.allow_stream()
    for _ in range(20 * pieces_per_s or FREE_PIECES):
        work.count_piece(40)
        clock.now += 1 / pieces_per_s if pieces_per_s else 0.0
    assert delays
    assert not any(delays)


def test_deadline_ends_an_answer_whose_reader_never_waits(clock: SystemClock) -> None:
    with endless(STRAY_HEAD + CHUNKED, b"1\r\nx\r\n" * 10000) as server:
        runners = RunnerConnectionPool(clock, PlatformHeaders(), InputBounds(clock))
        sent = runners.send(server.runner(), request(), clock.monotonic() + 0.3)
        assert isinstance(sent, Err)
        assert sent.err_value.failure is AttemptFailure.LATE


REPORT_HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    ("head", "repeated"),
    [
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
        (REPORT_HEAD, b"x-more: " + b"y" * 60000 + b"\r\n"),
        (REPORT_HEAD + CHUNKED, CHUNK),
        (REPORT_HEAD + CHUNKED, b"1\r\nx\r\n" * 10000),
        (REPORT_HEAD + CHUNKED, b"1;" + b"e" * 60000),
        (REPORT_HEAD + b"\r\n", b"x" * 65536),
    ],
)
def test_report_without_end_is_given_up(head: bytes, repeated: bytes) -> None:
    """Guards against reports that keep the event loop until their runner closes."""
    cfg = ServingSettings.model_validate(
        {
            "vm": {"id": "vm-a", "domain": "d", "address": "127.0.0.1"},
            "peer": {"port": 1, "secret": "s"},
            "entry": {"callers": "a:1", "readiness": "a:2", "metrics_port": 3},
            "store": {"address": "a:4"},
        }
    )
    with endless(head, repeated) as server:
        report = PlatformControl(cfg).read_report(server.runner())
        assert isinstance(report, Err)
        assert not server.was_read_to_end


class CountingSocket:
    """Socket that always has bytes, and counts its reads between two turns."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.reads = 0

    def makefile(self, _mode: str) -> io.BufferedReader:
        """Return a reader without end."""
        return io.BufferedReader(_EndlessReader(self, self._data))


class _EndlessReader(io.RawIOBase):
    def __init__(self, sock: CountingSocket, data: bytes) -> None:
        self._sock = sock
        self._data = data

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        self._sock.reads += 1
        count = min(len(buffer), len(self._data))
        buffer[:count] = self._data[:count]
        return count


def test_endless_head_leaves_the_event_loop_its_turns() -> None:
    """Guards against a loop over informational answers that nothing interrupts."""
    sock: Any = CountingSocket(b"HTTP/1.1 100 Continue\r\n\r\n" * 300)
    response = BoundedResponse(sock)
    most = last = 0

    def count_turns() -> None:
        nonlocal most, last
        while True:
            most, last = max(most, sock.reads - last), sock.reads
            eventlet.sleep(0)

    counter = eventlet.spawn(count_turns)
    with pytest.raises(OSError, match="too long"):
        response.begin()
    counter.kill()
    assert sock.reads > READS_PER_TURN
    assert most <= READS_PER_TURN
