"""Server that accepts the connections of callers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import eventlet
import h11
from eventlet.timeout import Timeout

from gooseberryrun._internal.coordination import log_event
from gooseberryrun._internal.coordination.serving import (
    CallerDisconnectedError,
    RequestHandler,
)
from gooseberryrun._internal.state import Clock
from gooseberryrun._internal.state.serving import ClientLimits

from .._listening import bind
from ._caller_connection import CallerConnection, CallerServerState
from ._input_bounds import InputBounds
from ._request_reader import ConnectionClosedError

BACKLOG = 1024


class CallerServer:
    """Accepts connections of callers and serves each in a green thread."""

    def __init__(
        self,
        clock: Clock,
        limits: Callable[[], ClientLimits],
        handler: RequestHandler,
        max_connections: int,
        bounds: InputBounds,
    ) -> None:
        self._clock = clock
        self.state = CallerServerState(limits, bounds, handler.check_head)
        self._handler = handler
        self._max_connections = max_connections
        self._connections: set[CallerConnection] = set()
        self._listener: Any = None

    def serve(self, host: str, port: int) -> None:
        """Listen in a separate green thread."""
        self._listener = bind(
            f"{host}:{port}",
            self._clock,
            lambda: eventlet.listen((host, port), backlog=BACKLOG),
        )
        eventlet.spawn(self._accept_all)

    def close(self) -> None:
        """Stop listening and close every connection."""
        self._listener.close()
        for conn in list(self._connections):
            conn.end()

    def interrupt_open(self) -> None:
        """Let the open requests end with a response now, since the process exits."""
        for conn in list(self._connections):
            conn.interrupt()

    def close_idle(self) -> None:
        """Close the connections on which no request is open or has arrived."""
        for conn in list(self._connections):
            conn.end_if_idle()

    def _accept_all(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError as exc:
                log_event("accept_failed", level="warning", reason=repr(exc))
                if self._listener.fd.fileno() < 0:
                    return
                eventlet.sleep(0.05)
                continue
            if len(self._connections) >= self._max_connections:
                log_event("connection_refused", reason="max_connections")
                sock.close()
                continue
            conn = CallerConnection(self.state, sock, self._clock)
            self._connections.add(conn)
            eventlet.spawn(self._run, conn)

    def _run(self, conn: CallerConnection) -> None:
        try:
            conn.run(self._handler)
        except (
            ConnectionClosedError,
            CallerDisconnectedError,
            OSError,
            Timeout,
        ) as exc:
            log_event("connection_ended", level="debug", reason=repr(exc))
        except h11.ProtocolError as exc:
            log_event("connection_broken", level="warning", reason=repr(exc))
        finally:
            conn.close()
            self._connections.discard(conn)
