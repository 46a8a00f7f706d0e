"""Runners that send bytes without end: bodies, heads, stray responses, events."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator

import pytest
from gooseberryrun._internal.coordination.serving import (
    AttemptFailure,
    AttemptFault,
    OutboundRequest,
    RunnerResponse,
)
from gooseberryrun._internal.coordination.serving._event_stream import (
    MAX_EVENT_BYTES,
    EventBuffer,
)
from gooseberryrun._internal.state import ServingSettings, SystemClock
from gooseberryrun._internal.state.serving import Runner
from gooseberryrun._internal.transport.serving import RunnerConnectionPool
from gooseberryrun_platform._control import PlatformControl
from gooseberryrun_platform._headers import PlatformHeaders
from result import Err, Ok

REQUEST_ID = "r1"
OWN_HEAD = f"HTTP/1.1 200 OK\r\nX-Gooseberryrun-Request-Id: {REQUEST_ID}\r\n".encode()
STRAY_HEAD = b"HTTP/1.1 200 OK\r\nX-Gooseberryrun-Request-Id: other\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
SENT_CHUNKS = 1200
"""Most chunks of 64 KiB that are sent: far more than any limit on what is read."""


class EndlessServer:
    """Sends a head and then the same bytes many times on each connection."""

    def __init__(self, head: bytes, repeated: bytes) -> None:
        self._head = head
        self._repeated = repeated
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
    runners = RunnerConnectionPool(clock, PlatformHeaders())
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


def test_report_without_end_is_given_up() -> None:
    cfg = ServingSettings.model_validate(
        {
            "vm": {"id": "vm-a", "domain": "d", "address": "127.0.0.1"},
            "peer": {"port": 1, "secret": "s"},
            "entry": {"callers": "a:1", "readiness": "a:2", "metrics_port": 3},
            "store": {"address": "a:4"},
        }
    )
    with endless(b"HTTP/1.1 200 OK\r\n" + CHUNKED) as server:
        report = PlatformControl(cfg).read_report(server.runner())
        assert isinstance(report, Err)
        assert "too long" in report.err_value
