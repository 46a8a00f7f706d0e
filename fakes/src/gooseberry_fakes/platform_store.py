"""Stand-in for the platform's store: keyed topics and a consumer group, in memory."""

from __future__ import annotations

import base64
import copy
import json
import struct
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit

PARTITIONS = 16


@dataclass
class _Member:
    deadline: float
    topics: list[str]


@dataclass(frozen=True)
class StoreCopy:
    """Contents of the store at one moment."""

    topics: dict[str, list[tuple[str, bytes]]]
    members: dict[str, _Member]
    generation: int


@dataclass
class PlatformStore:
    """Records and group members; requests of ``refused`` members get 503.

    ``snapshot_delays_s`` delays the reads of a topic's newest records, those of
    ``unreadable_topics`` get 503. ``epochs`` are the values of the epoch's header in
    all responses, ``calls`` counts the calls by path.
    """

    topics: dict[str, list[tuple[str, bytes]]] = field(default_factory=dict)
    members: dict[str, _Member] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    snapshot_delays_s: dict[str, float] = field(default_factory=dict)
    unreadable_topics: set[str] = field(default_factory=set)
    is_down: bool = False
    generation: int = 0
    epochs: list[str] = field(default_factory=lambda: ["1"])
    calls: Counter[str] = field(default_factory=Counter)
    changed: threading.Condition = field(default_factory=threading.Condition)

    def copy(self) -> StoreCopy:
        """Return a copy of the contents, to be restored later."""
        with self.changed:
            return StoreCopy(
                copy.deepcopy(self.topics), copy.deepcopy(self.members), self.generation
            )

    def restore(self, saved: StoreCopy) -> None:
        """Go back to an earlier copy, as a new epoch."""
        with self.changed:
            self.topics = copy.deepcopy(saved.topics)
            self.members = copy.deepcopy(saved.members)
            self.generation = saved.generation
            self.epochs = [str(int(self.epochs[0]) + 1)]
            self.changed.notify_all()

    def put(self, topic: str, key: str, value: Any) -> None:
        """Append a record; the value None marks the key as removed."""
        data = b"" if value is None else json.dumps(value).encode()
        self.append(topic, key, data)

    def append(self, topic: str, key: str, data: bytes) -> None:
        """Append a record of bytes; an empty one marks the key as removed."""
        self.append_all(topic, [(key, data)], None)

    def append_all(
        self, topic: str, records: list[tuple[str, bytes]], as_of: int | None
    ) -> tuple[int, int] | None:
        """Append records if the topic ends at ``as_of``; return where they stand."""
        with self.changed:
            kept = self.topics.setdefault(topic, [])
            offset = len(kept)
            if as_of not in (None, offset):
                return None
            kept += records
            self.changed.notify_all()
            return offset, len(kept)

    def newest(self, topic: str) -> dict[str, Any]:
        """Return the newest record of each key as one page."""
        with self.changed:
            records = list(self.topics.get(topic, []))
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in newest.items()
            if value
        ]
        return {"items": items, "has_more": False, "end": len(records)}

    def read(self, topic: str, start: int, wait_s: float) -> bytes | None:
        """Return the records from an offset on, waiting up to ``wait_s`` for the first.

        The body is the end offset and a zero, then each record with its length before
        it: the key, which has its length in one byte, and the value. Returns None if
        the topic ends before the offset.
        """
        deadline = time.monotonic() + wait_s
        with self.changed:
            while len(self.topics.get(topic, [])) == start:
                left_s = deadline - time.monotonic()
                if left_s <= 0 or not self.changed.wait(left_s):
                    break
            records = self.topics.get(topic, [])
            if len(records) < start:
                return None
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                prefix = bytes([len(key)]) + key.encode()
                content = prefix + value if topic.startswith("keyed.") else value
                body += struct.pack(">I", len(content)) + content
        return body

    def join(self, member: str, topics: list[str], ttl_s: float) -> dict[str, Any]:
        """Add a member to the group, or renew it; return its partitions."""
        with self.changed:
            self._expire()
            if member not in self.members:
                self.generation += 1
            self.members[member] = _Member(time.monotonic() + ttl_s, topics)
            parts = [row[:2] + [0] for row in self._assignments() if row[2] == member]
            return {"generation": self.generation, "parts": parts}

    def leave(self, member: str) -> None:
        """Remove a member from the group."""
        with self.changed:
            if self.members.pop(member, None):
                self.generation += 1

    def owners(self) -> dict[str, Any]:
        """Return the member of each partition."""
        with self.changed:
            self._expire()
            return {"parts": [[*row, 0] for row in self._assignments()]}

    def _expire(self) -> None:
        now = time.monotonic()
        for name in [n for n, m in self.members.items() if now >= m.deadline]:
            del self.members[name]
            self.generation += 1

    def _assignments(self) -> list[list[Any]]:
        names = sorted(self.members)
        topics = self.members[names[0]].topics if names else []
        rows = [[topic, part] for topic in topics for part in range(PARTITIONS)]
        return [
            [*row, names[index % len(names)]] for index, row in enumerate(rows) if names
        ]


class _Server(ThreadingHTTPServer):
    """Server whose handlers share the store."""

    daemon_threads = True
    store: PlatformStore

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connections that the client closed."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: _Server

    @property
    def store(self) -> PlatformStore:
        """Return the store of this server."""
        return self.server.store

    def log_message(self, *args: object) -> None:
        """Suppress the access log."""

    def do_GET(self) -> None:  # noqa: N802
        self._handle({})

    def do_POST(self) -> None:  # noqa: N802
        length = int(self.headers.get("Content-Length") or 0)
        data = self.rfile.read(length)
        if self.path.startswith("/v1/log-append?"):
            self._append(data)
            return
        self._handle(json.loads(data or b"{}"))

    def _append(self, data: bytes) -> None:
        """Append records, each with its length before it."""
        if self.store.is_down:
            self._send(503, b"")
            return
        query = dict(parse_qsl(urlsplit(self.path).query))
        topic, as_of = query["topic"], query.get("as_of")
        records = []
        while data:
            (length,) = struct.unpack_from(">I", data)
            content, data = data[4 : 4 + length], data[4 + length :]
            key_end = 1 + content[0] if topic.startswith("keyed.") else 0
            records.append((content[1:key_end].decode(), content[key_end:]))
        condition = None if as_of is None else int(as_of)
        appended = self.store.append_all(topic, records, condition)
        if appended is None:
            self._send(412, json.dumps({"end": len(self.store.topics[topic])}).encode())
            return
        offset, end = appended
        self._send(200, json.dumps({"offset": offset, "end": end}).encode())

    def _handle(self, body: dict[str, Any]) -> None:
        url = urlsplit(self.path)
        self.store.calls[url.path] += 1
        query = dict(parse_qsl(url.query))
        is_refused = body.get("member") in self.store.refused
        is_unreadable = query.get("topic") in self.store.unreadable_topics
        if self.store.is_down or is_refused or is_unreadable:
            self._send(503, b"")
            return
        if url.path == "/v1/log-read":
            wait_s = int(query.get("wait_ms", 0)) / 1000
            data = self.store.read(query["topic"], int(query["from"]), wait_s)
            if data is None:
                self._send(410, b'{"first": 0}')
            else:
                self._send(200, data)
            return
        self._send(200, json.dumps(self._reply(url.path, query, body)).encode())

    def _reply(
        self, path: str, query: dict[str, str], body: dict[str, Any]
    ) -> dict[str, Any]:
        if path == "/v1/log-newest":
            time.sleep(self.store.snapshot_delays_s.get(query["topic"], 0.0))
            return self.store.newest(query["topic"])
        if path == "/v1/log-owners":
            return self.store.owners()
        if path == "/v1/log-leave":
            self.store.leave(body["member"])
            return {}
        return self.store.join(body["member"], body["topics"], body["ttl_ms"] / 1000)

    def _send(self, status: int, data: bytes) -> None:
        self.send_response(status)
        for epoch in self.store.epochs:
            self.send_header("Store-Era", epoch)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


def serve_store(store: PlatformStore) -> ThreadingHTTPServer:
    """Serve the store on a free port of the loopback address."""
    server = _Server(("127.0.0.1", 0), _Handler)
    server.store = store
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
