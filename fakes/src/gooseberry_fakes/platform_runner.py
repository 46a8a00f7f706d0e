"""Stand-in for a backend server of the platform, with load orders and faults."""

from __future__ import annotations

import contextlib
import json
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

LOAD_S = 0.1
SILENCE_S = 60.0
"""Time after which a silent server responds after all: longer than a test lasts."""
FLAPPING_WINDOW_S = 3.0
"""Shortest time in which ownership may pass to another VM and back, in seconds."""


@dataclass
class PlatformRunner:
    """State of one backend server; the next ``fault_count`` responses have ``fault``.

    Faults: ``reset`` (the request runs, then the connection is reset),
    ``unframed_reset`` (half a body without a length, then a reset), ``stray`` (a
    response to another request comes first), ``error`` (500), ``full`` (503, not run),
    ``cut`` (a stream is reset within an event), ``unframed`` (a whole response without
    a length that ends with the connection), ``unframed_cut`` (such a stream ends within
    an event), ``chunked_cut`` and ``length_cut`` (so does a stream whose framing says
    that this is all), ``chunked_empty`` and ``length_empty`` (so framed, no event at
    all), ``HTTP/1.1 000 OK`` and the like (this status line), ``half_head`` (the
    connection closes within the head), ``crash`` (the connection closes within a stream
    and the address accepts no more), ``silent`` (the request runs, and no response
    comes).

    A prompt takes ``prompt_token_s`` a token before the first event; ``most_reading``
    is the largest number of prompts that were being read at the same time. A plain
    request takes ``work_s``; ``most_working`` is the largest number of those that ran
    at the same time.

    A prompt with one of ``deadly_parts`` crashes the server once the head of its
    response is sent: all connections close, and the server is back, empty and as
    another incarnation, after ``restart_s``.

    ``own_headers`` are added to all responses, to say what the server says of itself,
    and one of ``changing_headers`` to each response in turn;
    ``arrivals`` are the times of all requests, those that are turned away included;
    ``refused_at`` are the times of refusals that ask for a pause.

    Plain responses have ``body_bytes`` more bytes, and each event of a stream that
    starts now ``event_bytes`` more.
    A response that stays unread for ``unread_timeout_s`` is reset and its id added to
    ``unread``; bodies of requests are read only after ``read_delay_s``.

    ``kv_total`` tokens of requests fit its memory, as it reports; ``most_kv_held`` is
    the largest number that it held at once.

    ``ran`` are the ids of the requests that ran, ``resumed`` the last event ids of
    resumed streams, ``abandoned`` the ids of streams whose client disconnected,
    ``begun`` the requests that brought the first events of the streams that ran here,
    ``received`` the headers of all requests by id, with their names in lower case.
    """

    id: str
    service: str
    model: str = ""
    software: str = "v1"
    max_adapters: int = 6
    fault: str = ""
    fault_count: int = 0
    event_pause_s: float = 0.01
    slots: int = 6
    body_bytes: int = 0
    event_bytes: int = 0
    unread_timeout_s: float = 0.0
    read_delay_s: float = 0.0
    unread: list[str] = field(default_factory=list)
    kv_total: int = 0
    kv_held: int = 0
    most_kv_held: int = 0
    prompt_token_s: float = 0.0
    deadly_parts: set[str] = field(default_factory=set)
    restart_s: float = 0.5
    born_ms: int = 1
    crashes: int = 0
    on_restart: Callable[[], None] = lambda: None
    own_headers: list[tuple[str, str]] = field(default_factory=list)
    changing_headers: list[list[tuple[str, str]]] = field(default_factory=list)
    responses: int = 0
    arrivals: list[float] = field(default_factory=list)
    refused_at: list[float] = field(default_factory=list)
    reading: int = 0
    most_reading: int = 0
    work_s: float = 0.0
    working: int = 0
    most_working: int = 0
    adapters: dict[str, int] = field(default_factory=dict)
    coming: dict[str, tuple[float, int]] = field(default_factory=dict)
    seq: int = 0
    ran: list[str] = field(default_factory=list)
    resumed: list[str] = field(default_factory=list)
    begun: list[str] = field(default_factory=list)
    received: dict[str, list[tuple[str, str]]] = field(default_factory=dict)
    orders: list[dict[str, Any]] = field(default_factory=list)
    order_times: list[float] = field(default_factory=list)
    abandoned: list[str] = field(default_factory=list)
    lock: threading.RLock = field(default_factory=threading.RLock)

    def next_headers(self) -> list[tuple[str, str]]:
        """Return what the server says of itself in its next response."""
        with self.lock:
            self.responses += 1
            if not self.changing_headers:
                return self.own_headers
            place = self.responses % len(self.changing_headers)
            return [*self.own_headers, *self.changing_headers[place]]

    def entry(self, address: str, state: str = "ready") -> dict[str, Any]:
        """Return the registry entry of this server."""
        return {
            "service": self.service,
            "address": address,
            "zone": "zone-a",
            "version": self.software,
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born_ms,
            "models": self.models() if self.model else [],
        }

    def models(self) -> list[dict[str, Any]]:
        """Finish the loads that are due and return the resident adapters."""
        with self.lock:
            now = time.monotonic()
            for name, (at, version) in list(self.coming.items()):
                if now >= at:
                    self.adapters[name] = version
                    del self.coming[name]
            adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"name": self.model, "version": 1, "adapters": adapters}]

    def order(self, body: dict[str, Any]) -> int:
        """Carry out a load or unload order and return the HTTP status."""
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
        assert count <= self.max_adapters, "load order exceeds max_adapters"
        self.coming[name] = (time.monotonic() + LOAD_S, version)
        self.seq += 1
        return 202

    def has_ownership_flapping(self) -> bool:
        """Return whether owners alternated or a fencing token decreased.

        Owners alternate if one orders within `FLAPPING_WINDOW_S` of its last order and
        another one ordered in between.
        """
        last_order_at: dict[str, float] = {}
        highest_token = 0
        previous = ""
        with self.lock:
            orders = list(zip(self.order_times, self.orders, strict=True))
        for at, order in orders:
            holder = order["holder"]
            has_returned = (
                holder != previous
                and at - last_order_at.get(holder, -FLAPPING_WINDOW_S)
                < FLAPPING_WINDOW_S
            )
            if has_returned or order["fence"] < highest_token:
                return True
            last_order_at[holder], highest_token, previous = at, order["fence"], holder
        return False

    def restart(self) -> None:
        """Lose all adapters and become another incarnation."""
        with self.lock:
            self.adapters.clear()
            self.coming.clear()
            self.seq = 0
            self.born_ms += 1

    def most_arrivals(self, span_s: float, since: float) -> int:
        """Return the most requests that arrived in any span of time."""
        times = [at for at in list(self.arrivals) if at >= since]
        return max(
            (sum(at <= other <= at + span_s for other in times) for at in times),
            default=0,
        )

    def is_deadly(self, prompt: str) -> bool:
        """Return whether a prompt, as ``ID:TOKENS`` pairs, crashes the server."""
        return any(
            part.partition(":")[0] in self.deadly_parts for part in prompt.split(",")
        )

    def read_prompt(self, tokens: int) -> None:
        """Take the time that a prompt needs before its first event."""
        if not self.prompt_token_s:
            return
        with self.lock:
            self.reading += 1
            self.most_reading = max(self.most_reading, self.reading)
        time.sleep(tokens * self.prompt_token_s)
        with self.lock:
            self.reading -= 1

    def work(self) -> None:
        """Take the time of a plain request."""
        with self.lock:
            self.working += 1
            self.most_working = max(self.most_working, self.working)
        time.sleep(self.work_s)
        with self.lock:
            self.working -= 1

    @contextlib.contextmanager
    def holding(self, counts: str) -> Iterator[None]:
        """Hold the prompt and output tokens of a request."""
        tokens = sum(int(count) for count in counts.split(","))
        with self.lock:
            self.kv_held += tokens
            self.most_kv_held = max(self.most_kv_held, self.kv_held)
        try:
            yield
        finally:
            with self.lock:
                self.kv_held -= tokens

    def take_fault(self) -> str:
        """Use up one count of the fault; return its name, or an empty string."""
        with self.lock:
            if not self.fault_count:
                return ""
            self.fault_count -= 1
            return self.fault


class RunnerServer(ThreadingHTTPServer):
    """Server whose handlers share the runner."""

    daemon_threads = True
    allow_reuse_address = True
    # Hundreds of requests may come at once.
    request_queue_size = 512
    runner: PlatformRunner

    def __init__(self, address: tuple[str, int], runner: PlatformRunner) -> None:
        self.runner = runner
        self._connections: set[socket.socket] = set()
        self.serving = threading.Thread(target=self.serve_forever, daemon=True)
        super().__init__(address, _Handler)

    def start(self) -> None:
        """Serve in a thread."""
        self.serving.start()

    def process_request(self, request: Any, client_address: Any) -> None:
        """Remember the connection, so that a crash can close it."""
        self._connections.add(request)
        super().process_request(request, client_address)

    def crash(self) -> None:
        """Close all connections and the listening socket; restart later."""
        with self.runner.lock:
            self.runner.crashes += 1
        host, port = self.server_address[0], self.server_address[1]
        self.end()
        for conn in list(self._connections):
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)
        restart = threading.Timer(
            self.runner.restart_s, _restart, (self.runner, (str(host), port))
        )
        restart.daemon = True
        restart.start()

    def end(self) -> None:
        """Refuse connections at once; the socket is closed when no thread polls it.

        The number of a socket that is closed earlier may be that of another one, which
        the thread would poll without a pause.
        """
        self.socket.shutdown(socket.SHUT_RDWR)
        threading.Thread(target=self._close, daemon=True).start()

    def _close(self) -> None:
        self.shutdown()
        self.server_close()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that a fault closed."""


def _restart(runner: PlatformRunner, address: tuple[str, int]) -> None:
    """Serve a crashed runner again at its address."""
    runner.restart()
    RunnerServer(address, runner).start()
    runner.on_restart()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: RunnerServer
    is_framed = True

    @property
    def runner(self) -> PlatformRunner:
        """Return the runner of this server."""
        return self.server.runner

    def log_message(self, *args: object) -> None:
        """Suppress the access log."""

    def do_GET(self) -> None:  # noqa: N802
        if self.path == "/v1/report":
            report = {
                "models": self.runner.models(),
                "busy": False,
                "seq": self.runner.seq,
                "kv_total": self.runner.kv_total,
                "born": self.runner.born_ms,
                "coming": [f"{self.runner.model}/{n}@1" for n in self.runner.coming],
            }
            self._send(200, json.dumps(report).encode())
            return
        self._handle_request()

    def do_POST(self) -> None:  # noqa: N802
        if self.path == "/v1/order":
            length = int(self.headers["Content-Length"])
            self._send(self.runner.order(json.loads(self.rfile.read(length))), b"")
            return
        self._handle_request()

    def _handle_request(self) -> None:
        if self.runner.read_delay_s:
            time.sleep(self.runner.read_delay_s)
        if self.runner.unread_timeout_s:
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
            self.connection.settimeout(self.runner.unread_timeout_s)
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self.runner.arrivals.append(time.monotonic())
        self.runner.received[self.headers["X-Gooseberryrun-Request-Id"]] = [
            (name.lower(), value) for name, value in self.headers.items()
        ]
        fault = self.runner.take_fault()
        name = self.headers.get("X-Gooseberryrun-Model", "").partition("/")[2]
        self.runner.models()
        expected = self.headers.get("X-Gooseberryrun-Expect-Instance")
        if expected != self.runner.id or (name and name not in self.runner.adapters):
            self._send(421, b"")
        elif fault == "full":
            self._send(503, b"", {"X-Gooseberryrun-Not-Run": "1"})
        elif fault.startswith("busy "):
            pause = fault.removeprefix("busy ")
            headers = {"X-Gooseberryrun-Not-Run": "1", "Retry-After": pause}
            self.runner.refused_at.append(time.monotonic())
            self._send(503, b"", headers)
        else:
            self.runner.ran.append(self.headers["X-Gooseberryrun-Request-Id"])
            if fault == "silent":
                time.sleep(SILENCE_S)
            self._respond(fault)

    def _respond(self, fault: str) -> None:
        if fault == "reset":
            self._reset()
        elif fault.startswith("HTTP/") or fault in ("unframed_reset", "half_head"):
            self._respond_raw(fault)
        elif fault == "error":
            self._send(500, b"failed", {"X-Gooseberryrun-Server-Stamp": "s"})
        elif fault == "error_404":
            self._send(404, b"failed", {"X-Gooseberryrun-Server-Stamp": "s"})
        elif fault == "unsigned":
            self._send(200, b"failed")
        elif self.headers.get("X-Gooseberryrun-Model"):
            self._stream(fault)
        else:
            if fault == "stray":
                stray_headers = (
                    "X-Gooseberryrun-Request-Id: other\r\nContent-Length: 1\r\n"
                )
                self.wfile.write(f"HTTP/1.1 200 OK\r\n{stray_headers}\r\nx".encode())
            self.runner.work()
            body = f"body of {self.path}".encode() + b"." * self.runner.body_bytes
            if fault == "unframed":
                head = f"HTTP/1.1 200 OK\r\n{self._identity_headers()}\r\n"
                self.wfile.write(head.encode() + body)
                self.close_connection = True
                return
            self._send(200, body, {"X-Gooseberryrun-Server-Stamp": "s"})

    def _respond_raw(self, fault: str) -> None:
        """Send bytes that no response class would write, and end the connection."""
        status_line = fault if fault.startswith("HTTP/") else "HTTP/1.1 200 OK"
        head = f"{status_line}\r\n{self._identity_headers()}"
        if fault == "unframed_reset":
            head += "\r\nhalf"
        elif fault.startswith("HTTP/"):
            head += "X-Gooseberryrun-Server-Stamp: s\r\nContent-Length: 4\r\n\r\nnone"
        self.wfile.write(head.encode())
        self.close_connection = True
        if fault == "unframed_reset":
            time.sleep(0.05)
            self._reset()

    def _stream(self, fault: str) -> None:
        last = self.headers.get("Last-Event-Id")
        if last:
            self.runner.resumed.append(last)
        request_id = self.headers["X-Gooseberryrun-Request-Id"]
        self.runner.begun.append(self.headers.get("Resumes") or request_id)
        first = int(last or 0) + 1
        counts = self.headers.get("X-Gooseberryrun-Token-Count", "0,0")
        self.runner.read_prompt(int(counts.partition(",")[0]))
        self.send_response(200)
        self._add_own_headers()
        self._add_header("X-Gooseberryrun-Server-Stamp", "s")
        self._add_header("Content-Type", "text/event-stream")
        self.is_framed = not fault.startswith("unframed")
        self.has_length = fault.startswith("length")
        if self.has_length:
            length = sum(len(event) for event in self._events(first, fault))
            self._add_header("Content-Length", str(length))
        elif self.is_framed:
            self._add_header("Transfer-Encoding", "chunked")
        self._add_header(
            "X-Gooseberryrun-Request-Id", self.headers["X-Gooseberryrun-Request-Id"]
        )
        self.end_headers()
        if self.runner.is_deadly(self.headers.get("X-Gooseberryrun-Prompt-Prefix", "")):
            self.server.crash()
            self.close_connection = True
            return
        try:
            with self.runner.holding(counts):
                self._send_events(first, fault)
        except TimeoutError:
            self.runner.unread.append(self.headers["X-Gooseberryrun-Request-Id"])
            self._reset()
        except OSError:
            self.runner.abandoned.append(self.headers["X-Gooseberryrun-Request-Id"])
            self.close_connection = True

    def _events(self, first: int, fault: str) -> Iterator[bytes]:
        """Yield the events of a stream, or what a fault leaves of them."""
        if fault.endswith("_empty"):
            return
        padding = "." * self.runner.event_bytes
        for number in range(first, 11):
            event = f"id: {number}\ndata: {number}{padding}\n\n".encode()
            if fault.endswith("cut") and number == 5:
                yield event[:-4]
                return
            yield event

    def _send_events(self, first: int, fault: str) -> None:
        for number, event in enumerate(self._events(first, fault), first):
            time.sleep(self.runner.event_pause_s)
            if fault == "crash" and number == 3:
                self.server.end()
                self.close_connection = True
                return
            self._send_chunk(event)
            if fault == "cut" and number == 5:
                self._reset()
                return
        if self.is_framed and not self.has_length:
            self.wfile.write(b"0\r\n\r\n")
        self.close_connection = not self.is_framed

    def _send_chunk(self, data: bytes) -> None:
        if self.is_framed and not self.has_length:
            data = f"{len(data):x}\r\n".encode() + data + b"\r\n"
        self.wfile.write(data)
        self.wfile.flush()

    def _add_own_headers(self) -> None:
        for name, value in self.runner.next_headers():
            self._add_header(name, value)

    def _add_header(self, name: str, value: str) -> None:
        self.send_header(name, value)

    def _identity_headers(self) -> str:
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
            self._add_header("X-Gooseberryrun-Request-Id", request_id)
        self._add_own_headers()
        for name, value in (headers or {}).items():
            self._add_header(name, value)
        self._add_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


def serve_runner(runner: PlatformRunner) -> RunnerServer:
    """Serve a backend server on a free port of the loopback address."""
    server = RunnerServer(("127.0.0.1", 0), runner)
    server.start()
    return server
