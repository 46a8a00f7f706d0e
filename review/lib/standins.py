"""Stand-ins for the platform, servers and clients, and the processes under review.

Standard library only. All addresses are loopback addresses, all times real.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
ROUTE_HOST = "review.example"
PARTS = 16
PAGE_ITEMS = 500
"""Most items in one answer of ``log-newest``, as PROTOCOL.md says."""
PREFIX = "X-Gooseberryrun-"


def trouble() -> bool:
    """Return whether the run has its disruption: not with ``TROUBLE=0``."""
    return os.environ.get("TROUBLE", "1") != "0"


class Journal:
    """What was sent, answered and run, written to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Write one line with its time."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


class _Group:
    """Members of a group and the partitions that they hold.

    A partition that a member loses by a change stays with it until it joins with the
    generation of that change, as PROTOCOL.md says.
    """

    def __init__(self) -> None:
        self.generation = 0
        self._deadlines: dict[str, float] = {}
        self._topics: list[str] = []
        self._holders: dict[tuple[str, int], str] = {}

    def expire(self) -> None:
        """Remove the members that have sent nothing for their time."""
        now = time.monotonic()
        for name in [n for n, at in self._deadlines.items() if now >= at]:
            self.remove(name)

    def remove(self, name: str) -> None:
        """Remove a member; its partitions go to the others at once."""
        if self._deadlines.pop(name, None) is None:
            return
        self.generation += 1
        self._holders = {k: v for k, v in self._holders.items() if v != name}
        self._deal()

    def join(self, body: dict[str, object]) -> dict[str, object]:
        """Add or keep a member; return the generation and its partitions."""
        name = str(body["member"])
        self._topics = list(body["topics"])  # type: ignore[call-overload]
        if name not in self._deadlines:
            self.generation += 1
        self._deadlines[name] = time.monotonic() + float(str(body["ttl_ms"])) / 1000
        due = self._due()
        if body.get("generation") == self.generation:
            self._holders = {
                k: v for k, v in self._holders.items() if v != name or due[k] == name
            }
        self._deal()
        held = [k for k, v in self._holders.items() if v == name and due[k] == name]
        parts = [[topic, part, 0] for topic, part in held]
        return {"generation": self.generation, "parts": parts}

    def rows(self) -> list[list[object]]:
        """Return topic, partition, member and offset of what is held."""
        return [[topic, part, v, 0] for (topic, part), v in self._holders.items()]

    def _due(self) -> dict[tuple[str, int], str]:
        """Return the member that each partition is to go to."""
        names = sorted(self._deadlines)
        keys = [(topic, part) for topic in self._topics for part in range(PARTS)]
        return {key: names[n % len(names)] for n, key in enumerate(keys) if names}

    def _deal(self) -> None:
        """Give the partitions that nobody holds to the members that they go to."""
        for key, name in self._due().items():
            self._holders.setdefault(key, name)


class Store:
    """The platform's store: keyed and plain topics, and groups.

    ``delay_s`` is how long each answer takes, given the path and the query. What an
    answer says is what holds when its call arrives.
    """

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.groups: dict[str, _Group] = {}
        self.delay_s = lambda _path, _query: 0.0
        self.on_call = lambda _path, _query: None
        self.refuses = lambda _machine: False
        self.changed = threading.Condition()
        self.server = _serve(_StoreHandler, "store", self)

    @property
    def port(self) -> int:
        """Return the port of the store."""
        return self.server.server_address[1]

    def put(self, topic: str, key: str, value: object) -> int:
        """Append a record of a keyed topic; return its offset."""
        data = b"" if value is None else json.dumps(value).encode()
        return self.append(topic, key, data)

    def append(self, topic: str, key: str, data: bytes) -> int:
        """Append a record; return its offset."""
        with self.changed:
            records = self.topics.setdefault(topic, [])
            records.append((key, data))
            self.changed.notify_all()
            return len(records) - 1

    def newest(self, topic: str, after: str) -> dict[str, object]:
        """Return a page of the newest record of each key, in the order of keys."""
        with self.changed:
            records = list(self.topics.get(topic, []))
        newest = {key: (at, value) for at, (key, value) in enumerate(records)}
        keys = sorted(key for key in newest if key > after and newest[key][1])
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        more = len(keys) > PAGE_ITEMS
        return {"items": items, "has_more": more, "end": len(records)}

    def read(self, topic: str, start: int, wait_s: float) -> bytes | None:
        """Return the records from an offset on, None if the topic ends before it."""
        deadline = time.monotonic() + wait_s
        with self.changed:
            while len(self.topics.get(topic, [])) == start:
                left_s = deadline - time.monotonic()
                if left_s <= 0:
                    break
                self.changed.wait(left_s)
            records = list(self.topics.get(topic, []))
        if len(records) < start:
            return None
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = value
            if topic.startswith("keyed."):
                content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return body

    def append_raw(self, topic: str, data: bytes) -> dict[str, int]:
        """Append records, each with its length before it."""
        offset = len(self.topics.get(topic, []))
        while data:
            (length,) = struct.unpack_from(">I", data)
            content, data = data[4 : 4 + length], data[4 + length :]
            key_end = 1 + content[0] if topic.startswith("keyed.") else 0
            self.append(topic, content[1:key_end].decode(), content[key_end:])
        return {"offset": offset, "end": len(self.topics.get(topic, []))}

    def join(self, body: dict[str, object]) -> dict[str, object]:
        """Add a member to its group, or keep it there."""
        with self.changed:
            return self._group(str(body["group"])).join(body)

    def leave(self, body: dict[str, object]) -> dict[str, object]:
        """Remove a member from its group."""
        with self.changed:
            self._group(str(body["group"])).remove(str(body["member"]))
        return {}

    def owners(self, group: str) -> dict[str, object]:
        """Return a row for each partition that a member holds."""
        with self.changed:
            return {"parts": self._group(group).rows()}

    def _group(self, name: str) -> _Group:
        group = self.groups.setdefault(name, _Group())
        group.expire()
        return group

    def port_for(self, machine: str) -> int:
        """Return a port of its own for a machine, so that it can be refused."""
        server = _serve(_StoreHandler, "store", self)
        server.RequestHandlerClass.machine = machine  # type: ignore[attr-defined]
        return int(server.server_address[1])


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address: tuple[str, int], handler: type) -> None:
        super().__init__(address, handler)
        self._open: set[socket.socket] = set()

    def process_request(self, request: socket.socket, client_address: object) -> None:
        """Remember a channel, so that a crash can close it."""
        self._open.add(request)
        super().process_request(request, client_address)

    def end(self) -> None:
        """Close all channels at once and accept no more."""
        self.socket.shutdown(socket.SHUT_RDWR)
        threading.Thread(target=self._end, daemon=True).start()
        for sock in list(self._open):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def _end(self) -> None:
        self.shutdown()
        self.server_close()

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore connections that the other side closed."""


def _serve(handler: type, name: str, owner: object, port: int = 0) -> _Server:
    made = type(f"{handler.__name__}Of", (handler,), {name: owner})
    server = _Server((HOST, port), made)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args: object) -> None:
        """Write no access log."""

    def read_body(self) -> bytes:
        """Return the body of the request."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status: int, headers: dict[str, str], data: bytes) -> None:
        """Send one whole answer."""
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class _StoreHandler(_Handler):
    store: Store
    machine = ""

    def do_GET(self) -> None:  # noqa: N802
        """Answer a reading call."""
        self._handle()

    def do_POST(self) -> None:  # noqa: N802
        """Answer a writing call."""
        self._handle()

    def _handle(self) -> None:
        data = self.read_body()
        url = urlsplit(self.path)
        query = dict(parse_qsl(url.query))
        self.store.on_call(url.path, query)
        if self.store.refuses(self.machine):
            self.answer(503, {"Store-Era": "1"}, b"")
            return
        status, reply = self._reply(url.path, query, data)
        time.sleep(self.store.delay_s(url.path, query))
        self.answer(status, {"Store-Era": "1"}, reply)

    def _reply(
        self, path: str, query: dict[str, str], data: bytes
    ) -> tuple[int, bytes]:
        if path == "/v1/log-read":
            wait_s = int(query.get("wait_ms", "0")) / 1000
            read = self.store.read(query["topic"], int(query["from"]), wait_s)
            return (200, read) if read is not None else (410, b'{"first": 0}')
        if path == "/v1/log-newest":
            page = self.store.newest(query["topic"], query.get("after", ""))
            return 200, json.dumps(page).encode()
        if path == "/v1/log-append":
            added = self.store.append_raw(query["topic"], data)
            return 200, json.dumps(added).encode()
        if path == "/v1/log-owners":
            return 200, json.dumps(self.store.owners(query["group"])).encode()
        body = json.loads(data or b"{}")
        call = {"/v1/log-join": self.store.join, "/v1/log-leave": self.store.leave}
        return 200, json.dumps(call[path](body)).encode()


class PlainServer:
    """A sound server of a plain service, which records what reaches it."""

    def __init__(
        self, store: Store, journal: Journal, name: str, service: str, zone: str
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.journal = journal
        self.arrivals: dict[str, float] = {}
        self.work_s = 0.02
        self._store = store
        self.server = _serve(_PlainHandler, "plain", self)
        self.port = self.server.server_address[1]
        self.register()

    def register(self, state: str = "ready") -> None:
        """Write this server's entry into the registry."""
        self._store.put("keyed.servers", self.name, self.entry(state))

    def entry(self, state: str) -> dict[str, object]:
        """Return this server's entry."""
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_left_ms": 0,
            "seq": 0,
            "born": 1,
        }

    def run(self, request_id: str) -> None:
        """Record and do the work of one request."""
        self.arrivals[request_id] = self.journal.now()
        self.journal.write(f"run {request_id} at {self.name} of {self.service}")
        time.sleep(self.work_s)


class _PlainHandler(_Handler):
    plain: PlainServer

    def do_GET(self) -> None:  # noqa: N802
        """Run a request."""
        self._run()

    def do_POST(self) -> None:  # noqa: N802
        """Run a request."""
        self._run()

    def _run(self) -> None:
        self.read_body()
        request_id = self.headers.get(f"{PREFIX}Request-Id", "")
        if self.headers.get(f"{PREFIX}Expect-Instance") not in (None, self.plain.name):
            self.answer(421, {f"{PREFIX}Request-Id": request_id}, b"")
            return
        self.plain.run(request_id)
        headers = {
            f"{PREFIX}Request-Id": request_id,
            f"{PREFIX}Server-Stamp": f"stamp.{self.plain.name}",
        }
        self.answer(200, headers, f"{self.plain.name} {request_id}".encode())


class ModelRunner:
    """A sound model runner with adapters, which records its orders and requests."""

    LOAD_S = 0.25
    PLACES = 6
    EVENTS = 3
    EVENT_S = 0.02
    RESTART_S = 2.0
    MODEL_LOAD_S = 1.3

    def __init__(
        self,
        store: Store,
        journal: Journal,
        name: str,
        zone: str,
        handler: type | None = None,
    ) -> None:
        self._handler = handler or ModelHandler
        self.crash_times: list[float] = []
        self.name, self.zone, self.journal = name, zone, journal
        self.orders: list[tuple[float, str, int]] = []
        self.arrivals: list[tuple[float, str]] = []
        self.adapters: dict[str, int] = {}
        self.coming: dict[str, tuple[float, int]] = {}
        self.seq = 0
        self.born_ms = 1
        self.holds_model = True
        self.lock = threading.RLock()
        self._store = store
        self.server = _serve(self._handler, "model", self)
        self.port = self.server.server_address[1]
        self.register()

    def crashes_at(self, _body: bytes) -> int:
        """Return the event before which a request crashes the runner, 0 if none."""
        return 0

    def _finish_model(self) -> None:
        self.holds_model = True
        self.register()

    def crash(self) -> None:
        """Close all channels and accept none; come back empty after a time."""
        with self.lock:
            self.crash_times.append(self.journal.now())
        self.journal.write(f"{self.name} crashes")
        self.server.end()
        threading.Timer(self.RESTART_S, self._restart).start()

    def _restart(self) -> None:
        with self.lock:
            self.adapters.clear()
            self.coming.clear()
            self.seq = 0
            self.born_ms += 1
            self.holds_model = False
        self.server = _serve(self._handler, "model", self, self.port)
        self.journal.write(f"{self.name} is back")
        self.register()

    def models(self) -> list[dict[str, object]]:
        """Finish the loads that are due; return what the runner holds."""
        with self.lock:
            for name, (at, version) in list(self.coming.items()):
                if time.monotonic() >= at:
                    self.adapters[name] = version
                    del self.coming[name]
            held = [f"{name}@{version}" for name, version in self.adapters.items()]
        model = {"name": "m0", "version": 1, "adapters": held}
        return [model] if self.holds_model else []

    def register(self) -> None:
        """Write this runner's entry into the registry."""
        entry = {
            "service": "models",
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self.seq,
            "born": self.born_ms,
            "models": self.models(),
        }
        self._store.put("keyed.servers", self.name, entry)

    def report(self) -> dict[str, object]:
        """Return the report."""
        models = self.models()
        with self.lock:
            coming = [f"m0/{name}@{v}" for name, (_, v) in self.coming.items()]
            return {
                "stage": "colocated",
                "models": models,
                "busy": False,
                "seq": self.seq,
                "born": self.born_ms,
                "coming": coming,
                "queued": 0,
                "in_flight": 0,
                "kv_used": 0,
                "kv_total": 90000,
                "handles": 0,
            }

    def order(self, body: dict[str, object]) -> int:
        """Carry out an order; return the status."""
        self.models()
        with self.lock:
            holder, fence = str(body["holder"]), int(str(body["fence"]))
            self.orders.append((self.journal.now(), holder, fence))
            status = self._carry_out(body)
        self.journal.write(
            f"order at {self.name}: {body['op']} {body.get('adapter', '')} of {holder},"
            f" generation {fence}, expect {body.get('expect')}: {status}"
        )
        return status

    def _carry_out(self, body: dict[str, object]) -> int:
        name = str(body.get("adapter", ""))
        if body["op"] == "load" and not name and self.holds_model:
            return 200
        if body["op"] == "load" and name in self.adapters:
            return 200
        if body["op"] == "load" and name in self.coming:
            return 202
        if body.get("expect", self.seq) != self.seq:
            return 409
        self.seq += 1
        if body["op"] == "unload":
            self.adapters.pop(name, None)
            return 200
        if not name:
            threading.Timer(self.MODEL_LOAD_S, self._finish_model).start()
            return 202
        self.coming[name] = (time.monotonic() + self.LOAD_S, 1)
        return 202


class ModelHandler(_Handler):
    """Serves the calls to a model runner."""

    model: ModelRunner
    body = b""

    def do_GET(self) -> None:  # noqa: N802
        """Answer a call for the report, or refuse."""
        self.answer(200, {}, json.dumps(self.model.report()).encode())

    def do_POST(self) -> None:  # noqa: N802
        """Carry out an order or run a request."""
        data = self.body = self.read_body()
        if self.headers.get(f"{PREFIX}Expect-Instance") != self.model.name:
            self.answer(421, {}, b"")
        elif self.path == "/v1/order":
            self.answer(self.model.order(json.loads(data)), {}, b"")
        else:
            self._run()

    def _run(self) -> None:
        """Run a request, or refuse it where its adapter is missing."""
        model = self.model
        request_id = self.headers.get(f"{PREFIX}Request-Id", "")
        adapter = self.headers.get(f"{PREFIX}Model", "").partition("/")[2]
        held = model.models()
        if not held or (adapter and adapter not in model.adapters):
            self.answer(421, {f"{PREFIX}Request-Id": request_id}, b"")
            return
        model.arrivals.append((model.journal.now(), request_id))
        model.journal.write(f"run {request_id} at {model.name}")
        self.run_request(request_id)

    def send_head(self, request_id: str) -> None:
        """Send the head of a stream."""
        self.send_response(200)
        self.send_header(f"{PREFIX}Request-Id", request_id)
        self.send_header(f"{PREFIX}Server-Stamp", f"stamp.{self.model.name}")
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def run_request(self, request_id: str) -> None:
        """Send a stream; crash before the event at which the request says so."""
        model = self.model
        self.send_head(request_id)
        crash_event = model.crashes_at(self.body)
        for number in range(1, max(model.EVENTS, crash_event) + 1):
            time.sleep(model.EVENT_S)
            if number == crash_event:
                model.crash()
                self.close_connection = True
                return
            event = f"id: {number}\ndata: {number}\n\n".encode()
            self.wfile.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            self.wfile.flush()
        self.wfile.write(b"0\r\n\r\n")


class Proxy:
    """Passes bytes on to a port; the channels that are open can fall silent."""

    def __init__(self, port: int) -> None:
        self._target = port
        self._listener = socket.create_server((HOST, 0), backlog=128)
        self.port = self._listener.getsockname()[1]
        self._epoch = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open(self) -> None:
        """Pass nothing on any more on the channels that are open now."""
        self._epoch += 1

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            far = socket.create_connection((HOST, self._target))
            for one, other in ((near, far), (far, near)):
                args = (one, other, self._epoch)
                threading.Thread(target=self._pass, args=args, daemon=True).start()

    def _pass(self, source: socket.socket, sink: socket.socket, epoch: int) -> None:
        try:
            while data := source.recv(65536):
                while epoch != self._epoch:
                    time.sleep(3600)
                sink.sendall(data)
        except OSError:
            pass
        if epoch == self._epoch:
            for sock in (source, sink):
                sock.close()


ENGINE = {
    "models": [
        {
            "name": "m0",
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
"""The engine of the model service, as on the sheet of papillon-hq."""


def free_ports(count: int) -> list[int]:
    """Return ports that are free now, all different."""
    sockets = [socket.create_server((HOST, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def route(path: str, kind: str, service: str, **more: object) -> dict[str, object]:
    """Return a route of the configuration, with the times of the sheet's orders."""
    made: dict[str, object] = {
        "name": path.strip("/"),
        "host": ROUTE_HOST,
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "priority": 2,
        "service": service,
        "max_attempts": 2 if kind == "safe" else 1,
    }
    return made | more


def configuration(version: int, routes: list[dict[str, object]]) -> dict[str, object]:
    """Return a whole configuration."""
    names = sorted({str(made["service"]) for made in routes})
    services: list[dict[str, object]] = [
        {"name": name, "max_conns": 110} for name in names
    ]
    for service in services:
        if service["name"] == "models":
            service["engine"] = ENGINE
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class EntryVm:
    """One process of the deploy file's role, with the settings of its template."""

    def __init__(self, folder: Path, name: str, zone: str, store_port: int) -> None:
        self.name, self.zone = name, zone
        self.port, self.ready_port, peer, metrics = free_ports(4)
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            f"""[vm]
id = "{name}"
domain = "{zone}"
address = "{HOST}"
[peer]
port = {peer}
secret = "internal"
connect_timeout_s = 0.4
[entry]
callers = "{HOST}:{self.port}"
readiness = "{HOST}:{self.ready_port}"
metrics_port = {metrics}
[store]
address = "{HOST}:{store_port}"
parts = 16
[membership]
domains = ["{zone}"]
turn_ms = 3000
[repeats]
ratio = 0.2
slack = 58
window_s = 10
[stop]
grace_s = 8
""",
            encoding="utf-8",
        )
        self.log = folder / f"{name}.log"
        self.process = self._start()

    def _start(self) -> subprocess.Popen[bytes]:
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "GOOSEBERRYRUN_BOOT": str(self._settings),
        }
        command = [sys.executable, "platform/start.py"]
        with self.log.open("ab") as out:
            return subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=out, stderr=out
            )

    def restart(self) -> None:
        """Start the process again."""
        self.process = self._start()

    def kill(self) -> None:
        """Kill the process."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        try:
            conn = http.client.HTTPConnection(HOST, self.ready_port, timeout=1)
            conn.request("GET", "/v1/ready")
            return conn.getresponse().status == 200
        except OSError:
            return False

    def ask(
        self,
        method: str,
        path: str,
        request_id: str,
        deadline_ms: int = 4000,
        **headers: str,
    ) -> tuple[int, bytes]:
        """Send one request on a new channel; return the status and the body."""
        conn = http.client.HTTPConnection(HOST, self.port, timeout=20)
        body = b"order" if method == "POST" else None
        own = {f"{PREFIX}{name.replace('_', '-')}": v for name, v in headers.items()}
        every = request_headers(request_id, deadline_ms) | own
        conn.request(method, path, body, every)
        response = conn.getresponse()
        data = response.read()
        conn.close()
        return response.status, data


def request_headers(request_id: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "Host": ROUTE_HOST,
        f"{PREFIX}Request-Id": request_id,
        f"{PREFIX}Deadline-Ms": str(deadline_ms),
    }


def wait_ready(vms: list[EntryVm], within_s: float = 20.0) -> None:
    """Wait until all processes are ready; the case can't run otherwise."""
    deadline = time.monotonic() + within_s
    while not all(vm.is_ready() for vm in vms):
        if time.monotonic() > deadline:
            raise CannotRunError("a process isn't ready")
        time.sleep(0.05)


class CannotRunError(Exception):
    """The case could not run."""


MOST_S = 115.0
"""Time after which a run that has not ended is given up."""


def _give_up(journal: Journal, vms: list[EntryVm]) -> None:
    """End a run that takes too long, with its processes."""
    for vm in vms:
        vm.process.kill()
    journal.write(f"could not run: not over after {MOST_S} s")
    os._exit(2)


def main(case: object, folder: Path) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if neither."""
    journal = Journal(folder / "record.txt")
    vms: list[EntryVm] = []
    status = 2
    watchdog = threading.Timer(MOST_S, _give_up, (journal, vms))
    watchdog.daemon = True
    watchdog.start()
    with tempfile.TemporaryDirectory() as temporary:
        try:
            status = 1 if case(journal, Path(temporary), vms) else 0  # type: ignore[operator]
        except Exception as exc:
            journal.write(f"could not run: {exc!r}")
        finally:
            for vm in vms:
                if vm.process.poll() is None:
                    vm.kill()
    journal.write(f"exit {status}, trouble {trouble()}")
    print(f"exit {status}; see record.txt")
    sys.stdout.flush()
    os._exit(status)
