"""Persistent connections that runners reset, or on which they repeat a response."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading

import pytest
from gooseberryrun._internal.coordination.serving import (
    AttemptFailure,
    OutboundRequest,
    RunnerResponse,
)
from gooseberryrun._internal.state import SystemClock
from gooseberryrun._internal.state.serving import Runner
from gooseberryrun._internal.transport.serving import InputBounds, RunnerConnectionPool
from gooseberryrun_platform._headers import PlatformHeaders
from result import Err, Ok

from tests.lib.scripted_server import ScriptedServer

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ResettingServer:
    """Answers one request per connection, and resets the connection on the next one."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        self.connections = 0
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(target=self._answer, args=[conn], daemon=True).start()

    def _answer(self, conn: socket.socket) -> None:
        with contextlib.suppress(OSError), conn:
            head = conn.recv(65536).decode()
            request_id = head.partition("request-id: ")[2].partition("\r\n")[0]
            conn.sendall(
                f"HTTP/1.1 200 OK\r\nX-Gooseberryrun-Request-Id: {request_id}\r\n"
                "Content-Length: 2\r\n\r\nok".encode()
            )
            conn.recv(65536)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def close(self) -> None:
        self._listener.close()


def make_pool() -> RunnerConnectionPool:
    clock = SystemClock()
    return RunnerConnectionPool(clock, PlatformHeaders(), InputBounds(clock))


def send(
    runners: RunnerConnectionPool, port: int, name: str, is_idempotent: bool
) -> RunnerResponse | None:
    """Send a request; return the response, None if there is none."""
    runner = Runner("i-1", "s", "127.0.0.1", port, "d", 6, False, 1, 0, ())
    headers = [("host", "h"), ("x-gooseberryrun-request-id", name)]
    request = OutboundRequest("GET", "/", headers, b"", name, is_idempotent)
    sent = runners.send(runner, request, SystemClock().monotonic() + 30)
    return sent.ok_value if isinstance(sent, Ok) else None


def is_answered(
    runners: RunnerConnectionPool, port: int, name: str, is_idempotent: bool
) -> bool:
    """Send a request; return whether the whole response arrived."""
    response = send(runners, port, name, is_idempotent)
    if response is None:
        return False
    body = response.read_all(SystemClock().monotonic() + 30)
    response.close()
    return body == Ok(b"ok")


def test_request_that_may_run_once_is_not_lost_on_a_dropped_connection() -> None:
    """After a reset it is unknown whether the request ran, so it cannot be retried."""
    server = ResettingServer()
    runners = make_pool()
    assert is_answered(runners, server.port, "first", is_idempotent=False)
    assert is_answered(runners, server.port, "second", is_idempotent=False)
    assert server.connections == 2
    server.close()


def test_repeatable_requests_use_kept_connections() -> None:
    server = ResettingServer()
    runners = make_pool()
    assert is_answered(runners, server.port, "first", is_idempotent=True)
    assert not is_answered(runners, server.port, "second", is_idempotent=True)
    assert server.connections == 1
    server.close()


def test_request_that_may_no_longer_be_sent_leaves_its_new_connection() -> None:
    """Its usage permit ran out while it connected; sent late it exceeds the cap."""
    server = ScriptedServer(lambda _number, name: answer(200, name))
    runners = make_pool()
    runner = Runner("i-1", "s", "127.0.0.1", server.port, "d", 6, False, 1, 0, ())
    headers = [("host", "h"), ("x-gooseberryrun-request-id", "first")]
    request = OutboundRequest("GET", "/", headers, b"", "first", True, lambda: False)
    sent = runners.send(runner, request, SystemClock().monotonic() + 30)
    assert isinstance(sent, Err)
    assert sent.err_value.failure is AttemptFailure.WITHDRAWN
    assert sent.err_value.failure.is_not_run
    assert is_answered(runners, server.port, "second", is_idempotent=True)
    assert server.connections == 1
    server.close()


def answer(status: int, request_id: str, body: str = "ok", head: str = "") -> bytes:
    """Return a whole response of a runner."""
    return (
        f"HTTP/1.1 {status} X\r\nX-Gooseberryrun-Request-Id: {request_id}\r\n{head}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def ask(runners: RunnerConnectionPool, port: int, name: str) -> tuple[int, bool]:
    """Send a request; return the status and whether it says that it was not run."""
    response = send(runners, port, name, is_idempotent=True)
    if response is None:
        return 0, False
    response.read_all(SystemClock().monotonic() + 30)
    response.close()
    return response.status, response.metadata.is_not_run


@pytest.mark.parametrize("status", [421, 429, 503])
@pytest.mark.parametrize("between", [0, 1, 3])
def test_refusal_that_comes_again_is_not_taken_for_that_of_a_retry(
    status: int, between: int
) -> None:
    """A request was refused, sent again on the connection, and ran.

    The faulty runner wrote the earlier refusal once more before the response, so the
    caller was told that the request had not run.
    """

    def script(number: int, request_id: str) -> bytes:
        refusal = answer(status, "r1", "", "X-Gooseberryrun-Not-Run: 1\r\n")
        if number == 1 and server.connections == 1:
            return refusal
        again = refusal if request_id == "r1" and server.connections == 1 else b""
        return again + answer(200, request_id)

    server = ScriptedServer(script)
    runners = make_pool()
    assert ask(runners, server.port, "r1") == (status, True)
    for other in range(between):
        assert ask(runners, server.port, f"other{other}") == (200, False)
    assert ask(runners, server.port, "r1") == (200, False)
    server.close()


def test_refusal_of_another_request_is_skipped() -> None:
    def script(number: int, request_id: str) -> bytes:
        refusal = answer(503, "r1", "", "X-Gooseberryrun-Not-Run: 1\r\n")
        return refusal if number == 1 else refusal + answer(200, request_id)

    server = ScriptedServer(script)
    runners = make_pool()
    assert ask(runners, server.port, "r1") == (503, True)
    assert ask(runners, server.port, "r2") == (200, False)
    assert server.connections == 1
    server.close()


HEAD = answer(200, "r1").partition(b"\r\n\r\n")[0] + b"\r\n\r\n"


@pytest.mark.parametrize("before", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"])
@pytest.mark.parametrize("length", range(1, len(HEAD)))
def test_head_that_breaks_off_is_no_response(before: bytes, length: int) -> None:
    """A head that ended early would be a 200 with a short body and no framing."""
    server = ScriptedServer(lambda *_: before + HEAD[:length], closes_after_answer=True)
    runners = make_pool()
    assert ask(runners, server.port, "r1") == (0, False)
    server.close()
