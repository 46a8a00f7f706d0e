"""Connections of callers that are closed while a VM stops."""

from __future__ import annotations

import socket
from typing import Any

import eventlet
from eventlet.greenio import GreenSocket
from gooseberryrun._internal.coordination.serving import Caller, InboundRequest
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import ClientLimits
from gooseberryrun._internal.transport.serving import InputBounds
from gooseberryrun._internal.transport.serving._caller_connection import (
    CallerConnection,
    CallerServerState,
)

LIMITS = ClientLimits(8192, 20_000, 0.7, 4.0)
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


class Handler:
    """Handler that responds to each request."""

    def handle(self, _request: InboundRequest, caller: Caller) -> None:
        """Respond with 200."""
        caller.respond(200, [("content-length", "0")], b"")


def connect() -> tuple[socket.socket, CallerConnection]:
    """Return a caller's socket and the connection that serves it."""
    listener = socket.create_server(("127.0.0.1", 0))
    own = socket.create_connection(listener.getsockname())
    accepted, _ = listener.accept()
    listener.close()
    handler: Any = Handler()
    clock = ManualClock()
    state = CallerServerState(lambda: LIMITS, InputBounds(clock), is_stopping=True)
    conn = CallerConnection(state, GreenSocket(accepted), clock)
    eventlet.spawn(conn.run, handler)
    eventlet.sleep(0)
    own.settimeout(2.0)
    return own, conn


def test_request_that_has_arrived_on_an_idle_connection_is_answered() -> None:
    """It was read after the connection had been shut down, and sent to a runner."""
    own, conn = connect()
    own.sendall(REQUEST)
    conn.end_if_idle()
    eventlet.sleep(0.05)
    assert own.recv(100).startswith(b"HTTP/1.1 200")


def test_connection_without_a_request_is_closed() -> None:
    own, conn = connect()
    conn.end_if_idle()
    eventlet.sleep(0.05)
    assert own.recv(100) == b""
