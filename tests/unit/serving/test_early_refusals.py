"""Requests that are refused by their head, and the connections they came on."""

from __future__ import annotations

import socket
from typing import Any

import eventlet
import pytest
from eventlet.greenio import GreenSocket
from gooseberryrun._internal.coordination.serving import (
    Caller,
    CheckedHead,
    EarlyRefusal,
    InboundRequest,
)
from gooseberryrun._internal.state import SystemClock
from gooseberryrun._internal.state.serving import ClientLimits
from gooseberryrun._internal.transport.serving import InputBounds, _caller_connection
from gooseberryrun._internal.transport.serving._caller_connection import (
    CallerConnection,
    CallerServerState,
)

MAX_BODY_BYTES = 300_000
LIMITS = ClientLimits(8192, MAX_BODY_BYTES, 0.7, 0.4)
SECRET = b"gk-4f9c2e77a1"


class Handler:
    """Handler that refuses requests to ``/no``, and responds with 200 to others."""

    def __init__(self) -> None:
        self.handled: list[str] = []
        self.head = CheckedHead()

    def check_head(self, request: InboundRequest) -> EarlyRefusal | CheckedHead | None:
        """Refuse requests to ``/no``."""
        assert not request.body
        refusal = EarlyRefusal(401, [("www-authenticate", "Token")])
        return refusal if request.target == "/no" else self.head

    def handle(self, request: InboundRequest, caller: Caller) -> None:
        """Respond with 200."""
        assert request.checked is (self.head if request.body else None)
        self.handled.append(f"{request.target} {len(request.body)}")
        caller.respond(200, [], b"")


def connect() -> tuple[socket.socket, Handler, CallerServerState]:
    """Return a caller's socket, and what serves it."""
    listener = socket.create_server(("127.0.0.1", 0))
    own = socket.create_connection(listener.getsockname())
    accepted, _ = listener.accept()
    listener.close()
    handler = Handler()
    clock = SystemClock()
    state = CallerServerState(lambda: LIMITS, InputBounds(clock), handler.check_head)
    conn = CallerConnection(state, GreenSocket(accepted), clock)
    any_handler: Any = handler
    eventlet.spawn(_run, conn, any_handler)
    eventlet.sleep(0)
    own.settimeout(2.0)
    return own, handler, state


def _run(conn: CallerConnection, handler: Any) -> None:
    try:
        conn.run(handler)
    except Exception:  # noqa: BLE001
        pass
    finally:
        conn.close()


def post(target: str, length: int, *extra: str) -> bytes:
    lines = [f"POST {target} HTTP/1.1", "Host: h", f"Content-Length: {length}", *extra]
    return "\r\n".join([*lines, "", ""]).encode()


def receive(own: socket.socket) -> bytes:
    """Return what has arrived."""
    eventlet.sleep(0.05)
    return own.recv(65536)


def test_answer_comes_before_the_body() -> None:
    """A body of an unknown sender took memory before it was refused."""
    own, handler, state = connect()
    own.sendall(post("/no", 100_000))
    assert receive(own).startswith(b"HTTP/1.1 401")
    assert state.bounds.buffers.held_bytes == 0
    own.sendall(b"x" * 50_000)
    eventlet.sleep(0.05)
    assert state.bounds.buffers.held_bytes == 0
    assert handler.handled == []


def test_connection_serves_on_once_the_body_has_arrived() -> None:
    own, handler, _ = connect()
    own.sendall(post("/no", 100_000))
    assert receive(own).startswith(b"HTTP/1.1 401")
    own.sendall(b"x" * 100_000 + post("/yes", 3) + b"abc")
    assert receive(own).startswith(b"HTTP/1.1 200")
    assert handler.handled == ["/yes 3"]


def test_answer_reaches_a_caller_that_reads_after_it_has_sent_all() -> None:
    """A close with unread bytes resets the connection, and the answer is lost."""
    own, _, _ = connect()
    own.sendall(post("/no", MAX_BODY_BYTES))
    for _ in range(3):
        own.sendall(b"x" * (MAX_BODY_BYTES // 3))
        eventlet.sleep(0.01)
    assert receive(own).startswith(b"HTTP/1.1 401")


def test_body_without_end_is_not_read_for_ever() -> None:
    own, _, _ = connect()
    own.sendall(b"POST /no HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
    chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
    sent = 0
    with pytest.raises(OSError):  # noqa: PT011
        for _ in range(200):
            own.sendall(chunk)
            sent += len(chunk)
            eventlet.sleep(0.01)
    assert sent >= MAX_BODY_BYTES


def test_body_that_does_not_come_ends_the_connection() -> None:
    own, _, _ = connect()
    own.sendall(post("/no", 1000))
    assert receive(own).startswith(b"HTTP/1.1 401")
    eventlet.sleep(LIMITS.idle_timeout_s + 0.7)
    assert own.recv(100) == b""


def test_caller_that_asks_first_is_not_told_to_go_on() -> None:
    own, _, _ = connect()
    own.sendall(post("/no", 1000, "Expect: 100-continue"))
    answer = receive(own)
    assert answer.startswith(b"HTTP/1.1 401")
    assert b"connection: close" in answer.lower()


def test_malformed_header_is_not_quoted_in_the_log(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """h11 quotes the malformed line, which may hold an API key."""
    logged: list[str] = []
    monkeypatch.setattr(
        _caller_connection,
        "log_event",
        lambda event, **fields: logged.append(f"{event} {fields}"),
    )
    own, _, _ = connect()
    own.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\nAuthorization : " + SECRET)
    own.sendall(b"\x00\r\n\r\n")
    assert receive(own).startswith(b"HTTP/1.1 400")
    assert any("request_rejected" in line for line in logged)
    assert not any(SECRET.decode() in line for line in logged)
