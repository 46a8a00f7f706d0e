"""Runners that reset idle persistent connections without notice."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading

from gooseberryrun._internal.coordination.serving import OutboundRequest
from gooseberryrun._internal.state import SystemClock
from gooseberryrun._internal.state.serving import Runner
from gooseberryrun._internal.transport.serving import RunnerConnectionPool
from gooseberryrun_platform._headers import PlatformHeaders
from result import Ok

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


def is_answered(
    runners: RunnerConnectionPool, port: int, name: str, is_idempotent: bool
) -> bool:
    """Send a request; return whether the whole response arrived."""
    clock = SystemClock()
    runner = Runner("i-1", "s", "127.0.0.1", port, "d", 6, False, 1, 0, ())
    headers = [("host", "h"), ("x-gooseberryrun-request-id", name)]
    request = OutboundRequest("GET", "/", headers, b"", name, is_idempotent)
    sent = runners.send(runner, request, clock.monotonic() + 30)
    if not isinstance(sent, Ok):
        return False
    body = sent.ok_value.read_all(clock.monotonic() + 30)
    sent.ok_value.close()
    return body == Ok(b"ok")


def test_request_that_may_run_once_is_not_lost_on_a_dropped_connection() -> None:
    """After a reset it is unknown whether the request ran, so it cannot be retried."""
    server = ResettingServer()
    runners = RunnerConnectionPool(SystemClock(), PlatformHeaders())
    assert is_answered(runners, server.port, "first", is_idempotent=False)
    assert is_answered(runners, server.port, "second", is_idempotent=False)
    assert server.connections == 2
    server.close()


def test_repeatable_requests_use_kept_connections() -> None:
    server = ResettingServer()
    runners = RunnerConnectionPool(SystemClock(), PlatformHeaders())
    assert is_answered(runners, server.port, "first", is_idempotent=True)
    assert not is_answered(runners, server.port, "second", is_idempotent=True)
    assert server.connections == 1
    server.close()
