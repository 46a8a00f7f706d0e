"""Stand-ins for the platform of the second review: store, runners, clients, entry VMs.

They use the standard library only. The store and the runners follow PROTOCOL.md of the
users' pages; where a page leaves a choice, they take one that it allows. Everything
listens on loopback addresses.
"""

from __future__ import annotations

import base64
import contextlib
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections import defaultdict
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
PREFIX = "X-Gooseberryrun-"
HOST = "ficu95.example"
MODEL = "m0"
PARTS = 16
BOUNDS = {
    "grace_s": 8,
    "lease_ms": 3000,
    "thaw_slack_ms": 300,
    "retry_budget_ratio": 0.2,
    "retry_slack": 58,
    "budget_window_s": 10,
}
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "fleet",
    "stream",
    "engine",
    "platform",
]


class Record:
    """Lines of ``record.txt``: what was sent, answered and run, with its time."""

    def __init__(self, path: Path) -> None:
        self._out = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.began_at = time.monotonic()

    def write(self, kind: str, **fields: Any) -> None:
        """Write one line."""
        at = time.monotonic() - self.began_at
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._out.write(f"{at:8.3f} {kind} {text}\n")
            self._out.flush()


class Server(ThreadingHTTPServer):
    """HTTP server whose handler threads end with the process."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 512
    owner: Any
    label: str = ""

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that the other side closed."""


def serve(
    handler: type, owner: Any, host: str = "127.0.0.1", label: str = ""
) -> Server:
    """Serve on a free port in a thread."""
    server = Server((host, 0), handler)
    server.owner, server.label = owner, label
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


# ---------------------------------------------------------------------------- store


class Group:
    """Members of a group and their partitions, as ``log-join`` tells them.

    A partition whose holder has to give it up stays with it until the holder joins with
    the generation of that change, or leaves, or lapses.
    """

    def __init__(self) -> None:
        self.generation = 0
        self.members: dict[str, float] = {}
        self.topics: list[str] = []
        self.holders: dict[tuple[str, int], str] = {}

    def targets(self) -> dict[tuple[str, int], str]:
        """Distribute all partitions evenly over the members."""
        names = sorted(self.members)
        rows = [(topic, part) for topic in self.topics for part in range(PARTS)]
        return (
            {row: names[n % len(names)] for n, row in enumerate(rows)} if names else {}
        )

    def change(self) -> None:
        """Begin another generation; partitions without a holder are dealt at once."""
        self.generation += 1
        self.deal()

    def deal(self) -> None:
        """Give the partitions that nobody holds to their members."""
        targets = self.targets()
        self.holders = {
            row: self.holders[row] if self.holders.get(row) in self.members else target
            for row, target in targets.items()
        }

    def expire(self) -> None:
        """Remove the members that have sent nothing for their time."""
        now = time.monotonic()
        lapsed = [name for name, deadline in self.members.items() if now >= deadline]
        for name in lapsed:
            del self.members[name]
        if lapsed:
            self.change()

    def join(self, name: str, topics: list[str], ttl_s: float, seen: int) -> list[list]:
        """Add or keep a member; return the partitions that belong to it."""
        self.expire()
        is_new = name not in self.members
        self.members[name] = time.monotonic() + ttl_s
        self.topics = topics
        if is_new:
            self.change()
        targets = self.targets()
        if seen >= self.generation:
            for row, holder in self.holders.items():
                if holder == name:
                    self.holders[row] = targets[row]
        return [
            [*row, 0]
            for row, holder in self.holders.items()
            if holder == name and targets[row] == name
        ]

    def leave(self, name: str) -> None:
        """Remove a member."""
        if self.members.pop(name, None) is not None:
            self.change()


class Store:
    """The platform's log service in memory.

    Each entry VM has a port of its own, by which the store knows it: a VM in ``away``
    is turned away with 503, by which nothing was done.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.changed = threading.Condition(threading.RLock())
        self.topics: dict[str, list[tuple[str, bytes]]] = defaultdict(list)
        self.groups: dict[str, Group] = defaultdict(Group)
        self.away: set[str] = set()
        self.is_silent = False
        self.era = 1
        self.calls: dict[str, int] = defaultdict(int)

    def listen(self, vm: str) -> str:
        """Return the address at which one VM reaches the store."""
        server = serve(_StoreHandler, self, label=vm)
        return f"127.0.0.1:{server.server_address[1]}"

    def put(self, topic: str, key: str, value: Any) -> None:
        """Write a record as the operator or a runner does; None removes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self.append(topic, [(key, data)])

    def append(self, topic: str, records: list[tuple[str, bytes]]) -> int:
        """Append records; return the offset of the first."""
        with self.changed:
            offset = len(self.topics[topic])
            self.topics[topic] += records
            self.changed.notify_all()
            return offset

    def newest(self, topic: str) -> dict[str, Any]:
        """Return the newest record of each key."""
        with self.changed:
            records = list(self.topics[topic])
        found = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        items = [
            {"key": k, "value": base64.b64encode(v).decode(), "offset": offset}
            for k, (offset, v) in sorted(found.items())
            if v
        ]
        return {"items": items, "has_more": False, "end": len(records)}

    def read(self, topic: str, start: int, wait_s: float) -> bytes | None:
        """Return the records from an offset on, None if the topic ends before it."""
        deadline = time.monotonic() + wait_s
        with self.changed:
            while len(self.topics[topic]) <= start:
                left_s = deadline - time.monotonic()
                if left_s <= 0:
                    break
                self.changed.wait(left_s)
            records = self.topics[topic]
            if len(records) < start:
                return None
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start : start + 500]:
                keyed = topic.startswith("keyed.")
                content = bytes([len(key)]) + key.encode() + value if keyed else value
                body += struct.pack(">I", len(content)) + content
            return body


class _StoreHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: Server

    def log_message(self, *args: object) -> None:
        """Write no access log."""

    def do_GET(self) -> None:  # noqa: N802
        """Answer a read."""
        self._handle(b"")

    def do_POST(self) -> None:  # noqa: N802
        """Answer a write."""
        self._handle(self.rfile.read(int(self.headers.get("Content-Length") or 0)))

    def _handle(self, data: bytes) -> None:
        store: Store = self.server.owner
        url = urlsplit(self.path)
        query = dict(parse_qsl(url.query))
        store.calls[url.path] += 1
        if store.is_silent:
            time.sleep(60)
            self.close_connection = True
            return
        time.sleep(0.004)
        if self.server.label in store.away:
            self._send(503, b"{}")
            return
        if url.path == "/v1/log-read":
            wait_s = int(query.get("wait_ms", 0)) / 1000
            found = store.read(query["topic"], int(query["from"]), wait_s)
            if self.server.label in store.away:
                self._send(503, b"{}")
            elif found is None:
                self._send(410, b'{"first": 0}')
            else:
                self._send(200, found)
            return
        if url.path == "/v1/log-append":
            self._append(store, query["topic"], data)
            return
        body = json.loads(data or b"{}")
        with store.changed:
            self._send(
                200, json.dumps(self._reply(store, url.path, query, body)).encode()
            )

    def _append(self, store: Store, topic: str, data: bytes) -> None:
        records = []
        while data:
            (length,) = struct.unpack_from(">I", data)
            content, data = data[4 : 4 + length], data[4 + length :]
            key_end = 1 + content[0] if topic.startswith("keyed.") else 0
            key = content[1:key_end].decode() if key_end else ""
            records.append((key, content[key_end:]))
        offset = store.append(topic, records)
        reply = {"offset": offset, "end": offset + len(records)}
        self._send(200, json.dumps(reply).encode())

    def _reply(self, store: Store, path: str, query: dict, body: dict) -> dict:
        if path == "/v1/log-newest":
            return store.newest(query["topic"])
        if path == "/v1/log-owners":
            group = store.groups[query["group"]]
            group.expire()
            rows = [[*row, holder, 0] for row, holder in group.holders.items()]
            return {"parts": rows}
        group = store.groups[body["group"]]
        before = group.generation
        if path == "/v1/log-leave":
            group.leave(body["member"])
            reply: dict = {}
        else:
            ttl_s = body["ttl_ms"] / 1000
            rows = group.join(body["member"], body["topics"], ttl_s, body["generation"])
            reply = {"generation": group.generation, "parts": rows}
        if group.generation != before:
            store.record.write(
                "group",
                group=body["group"],
                generation=group.generation,
                members=",".join(
                    sorted(name.partition("@")[0] for name in group.members)
                ),
                call=path,
                by=body["member"].partition("@")[0],
            )
        return reply

    def _send(self, status: int, data: bytes) -> None:
        self.send_response(status)
        self.send_header("Store-Era", str(self.server.owner.era))
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


# -------------------------------------------------------------------------- runners


class Runner:
    """A model runner, or a runner of a plain service if it has no model."""

    def __init__(
        self, record: Record, name: str, service: str, zone: str, has_model: bool
    ) -> None:
        self.record = record
        self.id, self.service, self.zone = name, service, zone
        self.has_model = has_model
        self.max_adapters = 6
        self.load_s = 0.25
        self.events = 11
        self.event_s = 0.03
        self.first_s = 0.1
        self.work_s = 0.05
        self.more_headers: dict[str, str] = {}
        self.breaks_off: Callable[[str], bool] = lambda _name: False
        self.lock = threading.RLock()
        self.born_ms = int(time.time() * 1000)
        self.state = "ready"
        self.seq = 0
        self.adapters: dict[str, int] = {}
        self.coming: dict[str, tuple[float, int]] = {}
        self.uses: dict[str, int] = defaultdict(int)
        self.orders: list[dict[str, Any]] = []
        self.ran: list[tuple[float, str]] = []
        self.received: dict[str, dict[str, str]] = {}
        self.newest_version: dict[str, int] = {}
        self.server = serve(_RunnerHandler, self)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        self.link: Link | None = None

    def add_link(self) -> Link:
        """Put a link before the runner that can be cut."""
        self.link = Link(self.record, self.address)
        self.address = self.link.address
        return self.link

    def entry(self) -> dict[str, Any]:
        """Return the runner's entry in the store."""
        with self.lock:
            self.finish_loads()
            found: dict[str, Any] = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "1.0",
                "slots": 64 if self.has_model else 6,
                "state": self.state,
                "cold_left_ms": 0,
                "seq": self.seq,
                "born": self.born_ms,
            }
            if self.has_model:
                found["models"] = self.models()
            return found

    def models(self) -> list[dict[str, Any]]:
        """Return what the runner holds."""
        held = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"name": MODEL, "version": 1, "adapters": held}]

    def finish_loads(self) -> None:
        """Complete the loads that are due."""
        now = time.monotonic()
        for name, (due_at, version) in list(self.coming.items()):
            if now >= due_at and not (name in self.adapters and self.uses[name]):
                del self.coming[name]
                self.adapters[name] = version

    def report(self) -> dict[str, Any]:
        """Return the runner's report."""
        with self.lock:
            self.finish_loads()
            return {
                "stage": "colocated",
                "models": self.models(),
                "busy": False,
                "seq": self.seq,
                "queued": 0,
                "in_flight": sum(self.uses.values()),
                "kv_used": 0,
                "kv_total": 120000,
                "handles": 0,
                "born": self.born_ms,
                "coming": [f"{MODEL}/{n}@{v}" for n, (_, v) in self.coming.items()],
            }

    def order(self, body: dict[str, Any]) -> int:
        """Judge, record and carry out an order; return the status."""
        with self.lock:
            self.finish_loads()
            status = self._order(body)
            at = time.monotonic()
            self.orders.append(
                {
                    "at": at,
                    "holder": body["holder"],
                    "fence": body["fence"],
                    "status": status,
                }
            )
            self.record.write(
                "order",
                runner=self.id,
                holder=body["holder"],
                fence=body["fence"],
                op=body["op"],
                adapter=body.get("adapter", ""),
                expect=body.get("expect"),
                status=status,
            )
            return status

    def _order(self, body: dict[str, Any]) -> int:
        if body.get("expect") is not None and body["expect"] != self.seq:
            return 409
        name = body.get("adapter", "")
        if body["op"] == "unload":
            if name not in self.adapters:
                return 200
            self.seq += 1
            del self.adapters[name]
            return 200 if not self.uses[name] else 202
        wanted = body.get("version") or self.newest_version.get(name, 1)
        if self.adapters.get(name, 0) >= wanted:
            return 200
        if name in self.coming:
            return 202
        if len(set(self.adapters) | set(self.coming) | {name}) > self.max_adapters:
            self.record.write("crash", runner=self.id, why="max_adapters")
            return 400
        self.seq += 1
        self.coming[name] = (time.monotonic() + self.load_s, wanted)
        return 202


class _RunnerHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: Server

    def log_message(self, *args: object) -> None:
        """Write no access log."""

    def do_GET(self) -> None:  # noqa: N802
        """Answer a report, a liveness check or a request."""
        runner: Runner = self.server.owner
        if self.path == "/v1/report":
            self._send(200, json.dumps(runner.report()).encode(), {})
        elif self.path == "/health":
            self._send(200, b"", {PREFIX + "Instance-Id": runner.id})
        else:
            self._request(runner)

    def do_POST(self) -> None:  # noqa: N802
        """Answer an order or a request."""
        runner: Runner = self.server.owner
        if self.path != "/v1/order":
            self._request(runner)
            return
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        if self.headers.get(PREFIX + "Expect-Instance", runner.id) != runner.id:
            self._send(421, b"", {})
            return
        self._send(runner.order(body), b"", {})

    def _request(self, runner: Runner) -> None:
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        name = self.headers.get(PREFIX + "Request-Id", "")
        adapter = self.headers.get(PREFIX + "Model", "").partition("/")[2]
        expected = self.headers.get(PREFIX + "Expect-Instance", runner.id)
        version = self.headers.get(PREFIX + "Expect-Version")
        with runner.lock:
            runner.finish_loads()
            held = runner.adapters.get(adapter, 0)
            is_wrong = bool(adapter) and (
                not held or (version or str(held)) != str(held)
            )
            if expected != runner.id or is_wrong:
                self._send(421, b"", {})
                return
            runner.uses[adapter] += 1
            runner.ran.append((time.monotonic(), name))
            runner.received[name] = {
                key.lower(): text for key, text in self.headers.items()
            }
        key = self.headers.get("Authorization", "")
        tenant = self.headers.get(PREFIX + "Tenant", "")
        runner.record.write(
            "run",
            runner=runner.id,
            request=name,
            adapter=f"{adapter}@{held}",
            tenant=tenant,
            authorization=key,
        )
        try:
            if adapter:
                self._stream(runner, name, held)
            else:
                time.sleep(runner.work_s)
                stamp = {PREFIX + "Server-Stamp": f"s.{runner.id}"}
                self._send(200, f"body of {name}".encode(), stamp | runner.more_headers)
        except OSError:
            self.close_connection = True
        finally:
            with runner.lock:
                runner.uses[adapter] -= 1

    def _stream(self, runner: Runner, name: str, version: int) -> None:
        time.sleep(runner.first_s)
        self.send_response(200)
        self.send_header(PREFIX + "Request-Id", name)
        self.send_header(PREFIX + "Server-Stamp", f"s.{runner.id}")
        self.send_header(PREFIX + "Weight-Versions", str(version))
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        last = int(self.headers.get("Last-Event-Id") or 0)
        is_cut = runner.breaks_off(name)
        for number in range(last + 1, runner.events + 1):
            data = f"id: {number}\ndata: {name}\n\n".encode()
            is_last = is_cut and number > runner.events // 2
            if is_last:
                data = data[: len(data) // 2]
                runner.record.write(
                    "broken_off", runner=runner.id, request=name, event=number
                )
            self.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            if is_last:
                break
            time.sleep(runner.event_s)
        self.wfile.write(b"0\r\n\r\n")

    def _send(self, status: int, data: bytes, headers: dict[str, str]) -> None:
        self.send_response(status)
        name = self.headers.get(PREFIX + "Request-Id")
        if name:
            self.send_header(PREFIX + "Request-Id", name)
        for key, value in headers.items():
            self.send_header(key, value)
        if status == 421:
            self.send_header(PREFIX + "Not-Run", "1")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Link:
    """The network before a runner: a TCP proxy that can be cut, and heals again.

    While it is cut, the opening packets of new channels are dropped, and the bytes of
    older channels are held. The sender's kernel sends them again at times that double
    from RTO_S on, as TCP does, also when the sender has closed the channel meanwhile; a
    reset drops them.
    """

    RTO_S = 0.2
    BACKLOG = 512
    LOSS = 0.3

    def __init__(self, record: Record, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._record = record
        self._target = host, int(port)
        self._is_cut = threading.Event()
        self._is_whole = threading.Event()
        self._is_whole.set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=self.BACKLOG)
        self._fillers: list[socket.socket] = []
        self.lossy: Callable[[bytes], bool] = lambda _data: False
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Let nothing pass any more; a full queue of new channels drops others."""
        self._record.write("cut", link=self.address)
        self._is_whole.clear()
        self._is_cut.set()
        self._listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._fillers.append(filler)

    def heal(self) -> None:
        """Let all pass again."""
        self._record.write("healed", link=self.address)
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._listener.listen(self.BACKLOG)
        self._is_cut.clear()
        self._is_whole.set()

    def _accept(self) -> None:
        while True:
            conn, _ = self._listener.accept()
            self._is_whole.wait()
            threading.Thread(target=self._join, args=(conn,), daemon=True).start()

    def _join(self, conn: socket.socket) -> None:
        try:
            other = socket.create_connection(self._target, 2)
        except OSError:
            conn.close()
            return
        for sock in (conn, other):
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = threading.Thread(target=self._pass, args=(other, conn), daemon=True)
        back.start()
        self._pass(conn, other)
        back.join()
        conn.close()
        other.close()

    def _pass(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65536):
                self._wait(time.monotonic())
                if self.lossy(data):
                    self._lose()
                sink.sendall(data)
            self._wait(time.monotonic())
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_RDWR)

    def _lose(self) -> None:
        """Delay bytes as TCP does that lose LOSS of their packets."""
        pause_s = self.RTO_S
        while random.random() < self.LOSS:
            time.sleep(pause_s)
            pause_s *= 2

    def _wait(self, sent_at: float) -> None:
        """Wait for the first time after the cut at which TCP sends the bytes again."""
        if not self._is_cut.is_set():
            return
        self._is_whole.wait()
        pause_s, again_at = self.RTO_S, sent_at
        while again_at < time.monotonic():
            again_at += pause_s
            pause_s *= 2
        time.sleep(max(0.0, again_at - time.monotonic()))


# -------------------------------------------------------------------- configuration


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    found = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 5000,
        "target_latency_ms": 1000,
        "priority": 1,
        "max_attempts": 1,
        "resumable": False,
    }
    if kind == "stream":
        found |= {"sticky": True, "gap_aim_ms": 250}
    return found | fields


def configuration(
    version: int, routes: list[dict[str, Any]], tenants: list[dict[str, Any]] | None
) -> dict[str, Any]:
    """Return a configuration with one model service and one plain service."""
    engine = {
        "models": [
            {
                "name": MODEL,
                "weights_mb": 72700,
                "load_time_s": 4.3,
                "adapters": 3000,
                "adapter_size_mb": 66,
            }
        ],
        "weights_mb": 75000,
        "max_adapters": 6,
        "loads_per_s": 2.1,
    }
    found: dict[str, Any] = {} if tenants is None else {"tenants": tenants}
    return found | {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "atelier-ai", "max_conns": 370, "engine": engine},
            {"name": "franchise-app", "max_conns": 110, "health_path": "/health"},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


# ------------------------------------------------------------------------ entry VMs


def free_port() -> int:
    """Return a free TCP port below those that the system gives to new channels."""
    while True:
        port = random.randrange(12000, 30000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
_VALUE = re.compile(r"\{\{([\w.]+)\}\}")


def _step(value: Any, name: str) -> Any:
    """Return a field of a table or an entry of a list, None if there is none."""
    if isinstance(value, dict):
        return value.get(name)
    if isinstance(value, list) and name.isdigit() and int(name) < len(value):
        return value[int(name)]
    return None


def _look_up(name: str, scope: list[Any]) -> Any:
    """Return a value by its path, from the innermost table that has it."""
    for fields in reversed(scope):
        value = fields
        for step in name.split("."):
            value = _step(value, step)
        if value is not None:
            return value
    return None


def _rows(value: Any) -> list[tuple[Any, Any]]:
    """Return the entries over which a section is rendered."""
    if value is None or value is False:
        return []
    if isinstance(value, dict):
        return list(value.items())
    if isinstance(value, list):
        return list(enumerate(value))
    return [(0, value)]


def render(template: str, scope: list[Any]) -> str:
    """Fill in the deploy file's template, as DEPLOY.md tells."""

    def fill_section(match: re.Match[str]) -> str:
        value = _look_up(match[1], scope)
        rows = _rows(value)
        parts = []
        for number, (key, entry) in enumerate(rows):
            comma = "," if number + 1 < len(rows) else ""
            text = match[2].replace("{{@}}", str(key)).replace("{{,}}", comma)
            text = text.replace("{{.}}", str(entry))
            parts.append(render(text, [*scope, value]))
        return "".join(parts)

    text = _SECTION.sub(fill_section, template)
    return _VALUE.sub(lambda match: str(_look_up(match[1], scope) or ""), text)


class Vm:
    """An entry VM: one process of the deploy file's role, at a loopback address."""

    def __init__(self, site: Site, name: str, zone: str, address: str) -> None:
        self.site, self.name, self.zone, self.address = site, name, zone, address
        ports = site.ports
        fields = {
            "node": name,
            "zone": zone,
            "ip": address,
            "listen": {
                "front": f"{address}:{ports[0]}",
                "ready": f"{address}:{ports[1]}",
            },
            "internal_ports": ports[2:4],
            "zones": dict.fromkeys(site.zones, "dakar"),
            "bounds": BOUNDS | site.bounds,
            "contracts": list(CONTRACTS) + site.contracts,
            "platform": {"address": site.store.listen(name), "parts": PARTS},
        }
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        text = render((ROOT / role["template"]).read_text(), [fields])
        self.settings = site.folder / f"{name}.toml"
        self.settings.write_text(text)
        self.log = site.folder / f"{name}.log"
        self._command = role["run"].split()
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start a process with the command of the deploy file."""
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["GOOSEBERRYRUN_BOOT"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log.open("a") as out:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=out, stderr=out
            )
        self.site.record.write("start", vm=self.name, pid=self.process.pid)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.site.record.write(
            "signal", vm=self.name, number=signal.Signals(number).name
        )
        if self.process is not None:
            self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the VM answers the platform's question with 200."""
        try:
            conn = http.client.HTTPConnection(
                self.address, self.site.ports[1], timeout=1
            )
            conn.request("GET", "/v1/ready")
            return conn.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def end(self) -> None:
        """End the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Site:
    """A small deployment: a store, runners and entry VMs, in a temporary folder."""

    def __init__(self, folder: Path, zones: dict[str, int]) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = zones
        self.bounds: dict[str, Any] = {}
        self.contracts: list[str] = []
        self.store = Store(self.record)
        self.ports = [free_port() for _ in range(4)]
        self.runners: list[Runner] = []
        self.vms: dict[str, Vm] = {}
        self.net = random.randrange(1, 250)
        self._is_closed = False
        self._version = 0

    def add_runner(self, name: str, service: str, zone: str, has_model: bool) -> Runner:
        """Start a runner that registers itself."""
        runner = Runner(self.record, name, service, zone, has_model)
        self.runners.append(runner)
        return runner

    def add_vms(self) -> None:
        """Prepare the entry VMs of all zones; they are started apart."""
        for place, (zone, count) in enumerate(self.zones.items()):
            for number in range(count):
                name = f"front-{zone}-{number + 1}"
                address = f"127.{self.net}.{place + 1}.{number + 1}"
                self.vms[name] = Vm(self, name, zone, address)

    def configure(
        self, routes: list[dict[str, Any]], tenants: list[dict[str, Any]] | None = None
    ) -> None:
        """Write a configuration."""
        self._version += 3
        config = configuration(self._version, routes, tenants)
        self.store.put("keyed.op", "config", config)
        self.record.write("config", version=self._version, tenants=tenants)

    def start(self) -> None:
        """Start everything and wait until all VMs are ready."""
        threading.Thread(target=self._write_entries, daemon=True).start()
        for vm in self.vms.values():
            vm.start()
        deadline = time.monotonic() + 25
        while not all(vm.is_ready() for vm in self.vms.values()):
            if time.monotonic() > deadline:
                raise RuntimeError("the entry VMs are not ready")
            time.sleep(0.1)
        self.record.write("ready", vms=len(self.vms))

    def _write_entries(self) -> None:
        """Write the runners' entries, every 1.2 s and when one changes."""
        written: dict[str, tuple[float, dict[str, Any]]] = {}
        while not self._is_closed:
            now = time.monotonic()
            for runner in list(self.runners):
                if runner.state == "gone":
                    if runner.id in written:
                        del written[runner.id]
                        self.store.put("keyed.servers", runner.id, None)
                    continue
                entry = runner.entry()
                at, before = written.get(runner.id, (0.0, {}))
                if now - at >= 1.2 or before.get("state") != entry["state"]:
                    written[runner.id] = (now, entry)
                    self.store.put("keyed.servers", runner.id, entry)
            time.sleep(0.05)

    def close(self) -> None:
        """End all processes that the site started."""
        self._is_closed = True
        for vm in self.vms.values():
            vm.end()
        if os.environ.get("KEEP"):
            print(f"logs are in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# -------------------------------------------------------------------------- clients


class Answer:
    """Answer to one request: the status is 0 if the channel closed without one."""

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes, is_whole: bool
    ):
        self.status, self.headers = status, headers
        self.body, self.is_whole = body, is_whole


def send(
    site: Site,
    vm: Vm,
    method: str,
    path: str,
    request_id: str,
    body: bytes = b"",
    deadline_ms: int = 4000,
    **headers: str,
) -> Answer:
    """Send one request on a channel of its own, as a sound client does."""
    sent = {
        "Host": HOST,
        PREFIX + "Request-Id": request_id,
        PREFIX + "Deadline-Ms": str(deadline_ms),
    } | {name.replace("_", "-"): value for name, value in headers.items()}
    site.record.write("sent", request=request_id, vm=vm.name, path=path)
    conn = http.client.HTTPConnection(
        vm.address, site.ports[0], timeout=deadline_ms / 1000 + 3
    )
    answer = Answer(0, {}, b"", False)
    try:
        conn.request(method, path, body or None, sent)
        response = conn.getresponse()
        got = {name.lower(): value for name, value in response.getheaders()}
        answer = Answer(response.status, got, b"", False)
        answer.body = response.read()
        answer.is_whole = True
    except http.client.IncompleteRead as exc:
        answer.body = exc.partial
    except (OSError, http.client.HTTPException):
        pass
    finally:
        conn.close()
    site.record.write(
        "answered",
        request=request_id,
        status=answer.status,
        is_whole=answer.is_whole,
        bytes=len(answer.body),
    )
    return answer


class Channel:
    """A client's channel to a VM, kept for many requests."""

    def __init__(self, site: Site, vm: Vm) -> None:
        self._site, self._vm = site, vm
        self._conn: http.client.HTTPConnection | None = None

    def send(
        self, method: str, path: str, request_id: str, body: bytes = b""
    ) -> Answer:
        """Send a request; open another channel if the last one was closed."""
        if self._conn is None:
            self._conn = http.client.HTTPConnection(
                self._vm.address, self._site.ports[0], timeout=8
            )
        headers = {
            "Host": HOST,
            PREFIX + "Request-Id": request_id,
            PREFIX + "Deadline-Ms": "4000",
        }
        self._site.record.write("sent", request=request_id, vm=self._vm.name, path=path)
        answer = Answer(0, {}, b"", False)
        try:
            self._conn.request(method, path, body or None, headers)
            response = self._conn.getresponse()
            got = {name.lower(): value for name, value in response.getheaders()}
            answer = Answer(response.status, got, response.read(), True)
        except (OSError, http.client.HTTPException):
            self._conn.close()
            self._conn = None
        self._site.record.write("answered", request=request_id, status=answer.status)
        return answer


class Traffic:
    """Sends requests at a rate from threads of their own until it is stopped."""

    def __init__(self, per_s: float, send_one: Callable[[int], None]) -> None:
        self._per_s, self._send_one = per_s, send_one
        self._is_stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self._main = threading.Thread(target=self._run, daemon=True)
        self._main.start()

    def _run(self) -> None:
        number = 0
        next_at = time.monotonic()
        while not self._is_stopped.is_set():
            number += 1
            thread = threading.Thread(
                target=self._send_one, args=(number,), daemon=True
            )
            thread.start()
            self._threads.append(thread)
            next_at += random.expovariate(self._per_s)
            self._is_stopped.wait(max(0.0, next_at - time.monotonic()))

    def stop(self, wait_s: float = 0.0) -> None:
        """Send no more, and wait for the open requests."""
        self._is_stopped.set()
        deadline = time.monotonic() + wait_s
        for thread in self._threads:
            thread.join(max(0.0, deadline - time.monotonic()))


def run_case(play: Callable[[Path, bool], list[str]], folder: Path) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if neither."""
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = play(folder, is_troubled)
    except Exception as exc:  # noqa: BLE001
        print(f"the case could not run: {exc!r}")
        raise SystemExit(2) from exc
    for line in broken[:20]:
        print(line)
    print(f"broken: {len(broken)}")
    with contextlib.suppress(OSError), (folder / "record.txt").open("a") as out:
        out.writelines(f"BROKEN {line}\n" for line in broken)
    sys.stdout.flush()
    os._exit(1 if broken else 0)
