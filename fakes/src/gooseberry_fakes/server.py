"""Base of the stand-ins: a JSON server with faults that tests set by a request."""

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
    """Raised to close the connection without a response."""


@dataclass(frozen=True, slots=True)
class FakeRequest:
    """Request to a stand-in; ``client`` is the IP address of the caller."""

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
    """Response of a stand-in: streamed ``chunks``, or else ``value`` as JSON."""

    value: Any = None
    status: int = 200
    headers: dict[str, str] | None = None
    chunks: Iterator[bytes] | None = None


class FakeServer:
    """WSGI server with a ``/control`` path that sets entries of ``faults``.

    Requests from the IP addresses in ``cut`` hang; with ``down``, all others get 503.
    """

    def __init__(self, address: str, port: int) -> None:
        self.address = address
        self.port = port
        self.faults: dict[str, Any] = {}

    def handle(self, request: FakeRequest) -> FakeResponse:
        """Handle one request; implemented by each stand-in."""
        raise NotImplementedError

    def take_fault(self, name: str) -> bool:
        """Use up one count of a fault; return whether one was left."""
        count = int(self.faults.get(name, 0))
        if count <= 0:
            return False
        self.faults[name] = count - 1
        return True

    def run(self) -> None:
        """Serve until the process ends; the listener may close and reopen."""
        logger = logging.getLogger("fakes")
        logger.propagate = False
        logger.addHandler(logging.NullHandler())
        while True:
            sock = eventlet.listen((self.address, self.port), backlog=1024)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            server = eventlet.spawn(
                eventlet.wsgi.server,
                sock,
                self._application,
                log=logger,
                log_output=False,
                max_size=4000,
                debug=False,
            )
            self.wait_until_closed()
            server.kill()
            sock.close()
            self.wait_until_reopened()

    def wait_until_closed(self) -> None:
        """Block while the listener is open, by default forever."""
        eventlet.event.Event().wait()

    def wait_until_reopened(self) -> None:
        """Block while the listener is closed, by default not at all."""

    def _application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterator[bytes]:
        environ["eventlet.minimum_write_chunk_size"] = 0
        request = _to_request(environ)
        try:
            response = self._respond(request)
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

    def _respond(self, request: FakeRequest) -> FakeResponse:
        if request.path == "/control":
            self.faults.update(request.json())
            return FakeResponse(self.faults)
        while request.client in self.faults.get("cut", []):
            eventlet.sleep(0.05)
        if self.faults.get("down"):
            return FakeResponse({"error": "down"}, 503)
        return self.handle(request)


def _close_socket(environ: dict[str, Any]) -> None:
    """Close a connection before the WSGI server sends a 500 response on it."""
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
