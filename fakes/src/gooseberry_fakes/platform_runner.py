"""Stand-in for a backend server of the platform: requests, orders and faults."""

from __future__ import annotations

import json
import socket
import struct
import threading
import time
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

LOAD_S = 0.1
TURN_S = 3.0


@dataclass
class PlatformRunner:
    """State of one backend server; ``fault`` names what the next answers do.

    Faults: ``reset`` (run, then reset), ``unframed_reset`` (half a body without a
    length, then reset), ``stray`` (an answer to another request first), ``error``
    (500), ``full`` (not run), ``cut`` (a stream ends within an event), ``crash`` (the
    connection ends within an answer and the address refuses new ones).
    """

    id: str
    service: str
    model: str = ""
    max_adapters: int = 6
    fault: str = ""
    fault_count: int = 0
    event_pause_s: float = 0.01
    adapters: dict[str, int] = field(default_factory=dict)
    coming: dict[str, tuple[float, int]] = field(default_factory=dict)
    seq: int = 0
    ran: list[str] = field(default_factory=list)
    resumed: list[str] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    order_times: list[float] = field(default_factory=list)
    abandoned: list[str] = field(default_factory=list)
    lock: threading.RLock = field(default_factory=threading.RLock)

    def entry(self, address: str, state: str = "ready") -> dict[str, Any]:
        """Return the registry's entry."""
        return {
            "service": self.service,
            "address": address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": 1,
            "models": self.models() if self.model else [],
        }

    def models(self) -> list[dict[str, Any]]:
        """Return what is held, after the loads that are due."""
        with self.lock:
            now = time.monotonic()
            for name, (at, version) in list(self.coming.items()):
                if now >= at:
                    self.adapters[name] = version
                    del self.coming[name]
            adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"name": self.model, "version": 1, "adapters": adapters}]

    def order(self, body: dict[str, Any]) -> int:
        """Carry out an order; return the status."""
        with self.lock:
            self.models()
            self.orders.append(body)
            self.order_times.append(time.monotonic())
            name = body.get("adapter", "")
            if body.get("expect") != self.seq:
                return 409
            if body["op"] == "load":
                return self._load(name, body.get("version") or 1)
            self.adapters.pop(name, None)
            self.seq += 1
            return 200

    def _load(self, name: str, version: int) -> int:
        if self.adapters.get(name, 0) >= version:
            return 200
        if name in self.coming:
            return 202
        count = len(set(self.adapters) | set(self.coming) | {name})
        assert count <= self.max_adapters, "ordered to load more than there is room for"
        self.coming[name] = (time.monotonic() + LOAD_S, version)
        self.seq += 1
        return 202

    def has_ownership_flapping(self) -> bool:
        """Tell whether holders took turns within 3 s or a fencing token went down."""
        last_of: dict[str, float] = {}
        token = 0
        before = ""
        with self.lock:
            orders = list(zip(self.order_times, self.orders, strict=True))
        for at, order in orders:
            holder = order["holder"]
            came_back = holder != before and at - last_of.get(holder, -TURN_S) < TURN_S
            if came_back or order["fence"] < token:
                return True
            last_of[holder], token, before = at, order["fence"], holder
        return False

    def take_fault(self) -> str:
        """Return the fault of this answer."""
        with self.lock:
            if not self.fault_count:
                return ""
            self.fault_count -= 1
            return self.fault


class _Server(ThreadingHTTPServer):
    """Server that keeps the state for its handlers."""

    daemon_threads = True
    runner: PlatformRunner

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Keep quiet about connections that a fault closed."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: _Server

    @property
    def runner(self) -> PlatformRunner:
        """Return the state behind this server."""
        return self.server.runner

    def log_message(self, *args: object) -> None:
        """Keep quiet."""

    def do_GET(self) -> None:  # noqa: N802
        if self.path == "/v1/report":
            report = {
                "models": self.runner.models(),
                "busy": False,
                "seq": self.runner.seq,
                "coming": [f"{self.runner.model}/{n}@1" for n in self.runner.coming],
            }
            self._send(200, json.dumps(report).encode())
            return
        self._run()

    def do_POST(self) -> None:  # noqa: N802
        if self.path == "/v1/order":
            length = int(self.headers["Content-Length"])
            self._send(self.runner.order(json.loads(self.rfile.read(length))), b"")
            return
        self._run()

    def _run(self) -> None:
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        fault = self.runner.take_fault()
        name = self.headers.get("X-Gooseberryrun-Model", "").partition("/")[2]
        self.runner.models()
        expected = self.headers.get("X-Gooseberryrun-Expect-Instance")
        if expected != self.runner.id or (name and name not in self.runner.adapters):
            self._send(421, b"")
        elif fault == "full":
            self._send(503, b"", {"X-Gooseberryrun-Not-Run": "1"})
        else:
            self.runner.ran.append(self.headers["X-Gooseberryrun-Request-Id"])
            self._answer(fault)

    def _answer(self, fault: str) -> None:
        if fault == "reset":
            self._reset()
        elif fault == "unframed_reset":
            head = f"HTTP/1.1 200 OK\r\n{self._own_headers()}\r\n"
            self.wfile.write(head.encode() + b"half")
            time.sleep(0.05)
            self._reset()
        elif fault == "error":
            self._send(500, b"failed", {"X-Gooseberryrun-Server-Stamp": "s"})
        elif self.headers.get("X-Gooseberryrun-Model"):
            self._stream(fault)
        else:
            if fault == "stray":
                stray = "X-Gooseberryrun-Request-Id: other\r\nContent-Length: 1\r\n"
                self.wfile.write(f"HTTP/1.1 200 OK\r\n{stray}\r\nx".encode())
            body = f"body of {self.path}".encode()
            self._send(200, body, {"X-Gooseberryrun-Server-Stamp": "s"})

    def _stream(self, fault: str) -> None:
        last = self.headers.get("Last-Event-Id")
        if last:
            self.runner.resumed.append(last)
        first = int(last or 0) + 1
        self.send_response(200)
        self._own("X-Gooseberryrun-Server-Stamp", "s")
        self._own("Content-Type", "text/event-stream")
        self._own("Transfer-Encoding", "chunked")
        self._own(
            "X-Gooseberryrun-Request-Id", self.headers["X-Gooseberryrun-Request-Id"]
        )
        self.end_headers()
        try:
            self._events(first, fault)
        except OSError:
            self.runner.abandoned.append(self.headers["X-Gooseberryrun-Request-Id"])
            self.close_connection = True

    def _events(self, first: int, fault: str) -> None:
        for number in range(first, 11):
            time.sleep(self.runner.event_pause_s)
            event = f"id: {number}\ndata: {number}\n\n".encode()
            if fault == "crash" and number == 3:
                self.server.socket.shutdown(socket.SHUT_RDWR)
                self.close_connection = True
                return
            if fault == "cut" and number == 5:
                self._chunk(event[:-4])
                self._reset()
                return
            self._chunk(event)
        self.wfile.write(b"0\r\n\r\n")

    def _chunk(self, data: bytes) -> None:
        self.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        self.wfile.flush()

    def _own(self, name: str, value: str) -> None:
        self.send_header(name, value)

    def _own_headers(self) -> str:
        request_id = self.headers["X-Gooseberryrun-Request-Id"]
        return (
            f"X-Gooseberryrun-Request-Id: {request_id}\r\n"
            "X-Gooseberryrun-Server-Stamp: s\r\n"
        )

    def _reset(self) -> None:
        linger = struct.pack("ii", 1, 0)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close_connection = True
        self.rfile.close()
        self.wfile.close()
        self.connection.close()

    def _send(
        self, status: int, data: bytes, headers: dict[str, str] | None = None
    ) -> None:
        self.send_response(status)
        request_id = self.headers.get("X-Gooseberryrun-Request-Id")
        if request_id:
            self._own("X-Gooseberryrun-Request-Id", request_id)
        for name, value in (headers or {}).items():
            self._own(name, value)
        self._own("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


def serve_runner(runner: PlatformRunner) -> ThreadingHTTPServer:
    """Serve a backend server on a free port of the loopback address."""
    server = _Server(("127.0.0.1", 0), _Handler)
    server.runner = runner
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
