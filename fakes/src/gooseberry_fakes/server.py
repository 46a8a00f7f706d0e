"""Small JSON server on which the stand-ins are built, with faults on command."""

from __future__ import annotations

import contextlib
import json
import logging
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import eventlet
import eventlet.event
import eventlet.wsgi


class DropConnectionError(Exception):
    """Ends the connection without an answer."""


@dataclass(frozen=True, slots=True)
class FakeRequest:
    """Request to a stand-in; ``client`` is the caller's IP number."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    client: str

    def json(self) -> Any:
        """Return the parsed body."""
        return json.loads(self.body or b"{}")


@dataclass(frozen=True, slots=True)
class FakeResponse:
    """Answer of a stand-in; ``chunks`` streams, else ``value`` is sent as JSON."""

    value: Any = None
    status: int = 200
    headers: dict[str, str] | None = None
    chunks: Iterator[bytes] | None = None


class FakeServer:
    """WSGI server with a ``/control`` path that sets entries of ``faults``.

    ``cut`` is a list of IP numbers whose requests hang; ``down`` answers 503.
    """

    def __init__(self, address: str, port: int) -> None:
        self.address = address
        self.port = port
        self.faults: dict[str, Any] = {}

    def handle(self, request: FakeRequest) -> FakeResponse:
        """Answer one request; overridden by each stand-in."""
        raise NotImplementedError

    def take_fault(self, name: str) -> bool:
        """Use up one count of a fault."""
        left = int(self.faults.get(name, 0))
        if left <= 0:
            return False
        self.faults[name] = left - 1
        return True

    def run(self) -> None:
        """Serve until the process is ended."""
        quiet = logging.getLogger("fakes")
        quiet.propagate = False
        quiet.addHandler(logging.NullHandler())
        while True:
            sock = eventlet.listen((self.address, self.port), backlog=1024)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            server = eventlet.spawn(
                eventlet.wsgi.server,
                sock,
                self._application,
                log=quiet,
                log_output=False,
                max_size=4000,
                debug=False,
            )
            self.wait_until_closed()
            server.kill()
            sock.close()
            self.wait_until_reopened()

    def wait_until_closed(self) -> None:
        """Block while the listener is open; overridden where it closes."""
        eventlet.event.Event().wait()

    def wait_until_reopened(self) -> None:
        """Block while the listener is closed."""

    def _application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterator[bytes]:
        environ["eventlet.minimum_write_chunk_size"] = 0
        request = _to_request(environ)
        try:
            response = self._answer(request)
        except DropConnectionError:
            _close_socket(environ)
            raise
        headers = dict(response.headers or {})
        if response.chunks is not None:
            start_response(f"{response.status} Status", list(headers.items()))
            return response.chunks
        if response.status == HTTPStatus.NOT_MODIFIED:
            start_response("304 Not Modified", list(headers.items()))
            return iter([])
        headers.setdefault("Content-Type", "application/json")
        start_response(f"{response.status} Status", list(headers.items()))
        return iter([json.dumps(response.value).encode()])

    def _answer(self, request: FakeRequest) -> FakeResponse:
        if request.path == "/control":
            self.faults.update(request.json())
            return FakeResponse(self.faults)
        while request.client in self.faults.get("cut", []):
            eventlet.sleep(0.05)
        if self.faults.get("down"):
            return FakeResponse({"error": "down"}, 503)
        return self.handle(request)


def _close_socket(environ: dict[str, Any]) -> None:
    """Close a connection before the server can answer 500 on it."""
    with contextlib.suppress(OSError):
        environ["eventlet.input"].get_socket().shutdown(socket.SHUT_RDWR)


def _to_request(environ: dict[str, Any]) -> FakeRequest:
    query = {}
    for pair in environ.get("QUERY_STRING", "").split("&"):
        key, _, value = pair.partition("=")
        query[key] = value
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    return FakeRequest(
        method=environ["REQUEST_METHOD"],
        path=environ.get("PATH_INFO", "/"),
        query=query,
        headers=headers,
        body=environ["wsgi.input"].read(),
        client=environ.get("REMOTE_ADDR", ""),
    )
