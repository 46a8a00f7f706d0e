"""TCP relay between entry VMs, so that a test can cut and heal single links."""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Any

import eventlet

from .server import FakeRequest, FakeResponse, FakeServer

BLOCK_BYTES = 65536
HOLD_S = 0.02


class FakeRelay(FakeServer):
    """Forwards every route; a cut link holds the bytes of both directions.

    Routes are ``[listen address, target address, port, link name]``. The fault
    ``links`` lists the names of the links that are cut.
    """

    def __init__(self, address: str, port: int, routes: list[list[Any]]) -> None:
        super().__init__(address, port)
        for listen, target, target_port, link in routes:
            eventlet.spawn(self._listen, listen, target, int(target_port), link)

    def handle(self, request: FakeRequest) -> FakeResponse:
        """Answer that the relay is there."""
        return FakeResponse({})

    def _is_cut(self, link: str) -> bool:
        return link in self.faults.get("links", [])

    def _listen(self, listen: str, target: str, port: int, link: str) -> None:
        sock = eventlet.listen((listen, port), backlog=256)
        while True:
            near, _ = sock.accept()
            eventlet.spawn(self._connect, near, target, port, link)

    def _connect(self, near: Any, target: str, port: int, link: str) -> None:
        while self._is_cut(link):
            eventlet.sleep(HOLD_S)
        try:
            far = eventlet.connect((target, port))
        except OSError:
            near.close()
            return
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        eventlet.spawn(self._copy, near, far, link)
        eventlet.spawn(self._copy, far, near, link)

    def _copy(self, source: Any, target: Any, link: str) -> None:
        try:
            while data := source.recv(BLOCK_BYTES):
                while self._is_cut(link):
                    eventlet.sleep(HOLD_S)
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
