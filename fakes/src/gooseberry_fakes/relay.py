"""TCP relay between entry VMs, with which a test can block single links."""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Any

import eventlet

from .server import FakeRequest, FakeResponse, FakeServer

READ_BYTES = 65536
POLL_INTERVAL_S = 0.02


class FakeRelay(FakeServer):
    """Forwards every route; a blocked link holds back bytes in both directions.

    Routes are ``[listen address, target address, port, link name]``. Faults: ``links``
    (names of the blocked links).
    """

    def __init__(self, address: str, port: int, routes: list[list[Any]]) -> None:
        super().__init__(address, port)
        for listen, target, target_port, link in routes:
            eventlet.spawn(self._listen, listen, target, int(target_port), link)

    def handle(self, request: FakeRequest) -> FakeResponse:
        """Return an empty object, which shows that the relay runs."""
        return FakeResponse({})

    def _is_blocked(self, link: str) -> bool:
        return link in self.faults.get("links", [])

    def _listen(self, listen: str, target: str, port: int, link: str) -> None:
        sock = eventlet.listen((listen, port), backlog=256)
        while True:
            client, _ = sock.accept()
            eventlet.spawn(self._connect, client, target, port, link)

    def _connect(self, client: Any, target: str, port: int, link: str) -> None:
        while self._is_blocked(link):
            eventlet.sleep(POLL_INTERVAL_S)
        try:
            upstream = eventlet.connect((target, port))
        except OSError:
            client.close()
            return
        for sock in (client, upstream):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        eventlet.spawn(self._copy, client, upstream, link)
        eventlet.spawn(self._copy, upstream, client, link)

    def _copy(self, source: Any, target: Any, link: str) -> None:
        try:
            while data := source.recv(READ_BYTES):
                while self._is_blocked(link):
                    eventlet.sleep(POLL_INTERVAL_S)
                target.sendall(data)
        except OSError:
            pass
        for sock in (source, target):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue


def read_routes(path: str) -> list[list[Any]]:
    """Read the routes from a JSON file."""
    routes: list[list[Any]] = json.loads(Path(path).read_text(encoding="utf-8"))
    return routes
