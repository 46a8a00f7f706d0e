"""Stand-in for the platform's append-only log."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

import eventlet

from .server import DropConnectionError, FakeRequest, FakeResponse, FakeServer


@dataclass(slots=True)
class _Stream:
    first: int = 0
    records: list[dict[str, Any]] = field(default_factory=list)
    times: list[float] = field(default_factory=list)

    def end(self) -> int:
        return self.first + len(self.records)


class FakeLog(FakeServer):
    """Log with an append limit (token bucket) and retention, in memory.

    Faults: ``lose_answers`` (number of appends that take effect without a response).
    A pending read of a client in ``cut`` is dropped after a second.
    """

    def __init__(
        self, address: str, port: int, appends_per_s: float, retention_s: float
    ) -> None:
        super().__init__(address, port)
        self._appends_per_s = appends_per_s
        self._retention_s = retention_s
        self._tokens = appends_per_s
        self._refilled_at = time.monotonic()
        self._streams: dict[str, _Stream] = {}
        self._appends = 0
        self._refused = 0

    def handle(self, request: FakeRequest) -> FakeResponse:
        """Append to a stream or read from it."""
        if request.path == "/debug/state":
            return FakeResponse(self._state())
        parts = request.path.strip("/").split("/")
        if len(parts) != 4 or parts[:2] != ["v1", "streams"]:
            return FakeResponse({"error": "no such path"}, 404)
        stream = self._streams.setdefault(parts[2], _Stream())
        self._trim(stream)
        if request.method == "POST":
            return self._append(stream, request.json())
        return self._read(stream, request)

    def _state(self) -> dict[str, Any]:
        ends = {name: stream.end() for name, stream in self._streams.items()}
        return {"appends": self._appends, "refused": self._refused, "ends": ends}

    def _append(self, stream: _Stream, body: dict[str, Any]) -> FakeResponse:
        if not self._take_token():
            self._refused += 1
            return FakeResponse({"error": "append limit"}, 429)
        self._appends += 1
        offset = stream.end()
        for record in body["records"]:
            entry = {"offset": stream.end(), "writer": body["writer"], **record}
            stream.records.append(entry)
            stream.times.append(time.monotonic())
        if self.take_fault("lose_answers"):
            raise DropConnectionError
        return FakeResponse({"offset": offset})

    def _take_token(self) -> bool:
        now = time.monotonic()
        self._tokens = min(
            self._appends_per_s,
            self._tokens + (now - self._refilled_at) * self._appends_per_s,
        )
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _read(self, stream: _Stream, request: FakeRequest) -> FakeResponse:
        start = int(request.query["from"])
        limit = int(request.query.get("max", "1000"))
        deadline = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000
        while stream.end() <= start and time.monotonic() < deadline:
            if self.faults.get("down"):
                return FakeResponse({"error": "down"}, 503)
            if request.client in self.faults.get("cut", []):
                eventlet.sleep(1.0)
                raise DropConnectionError
            eventlet.sleep(0.005)
        index = max(0, start - stream.first)
        records = stream.records[index : index + limit]
        response = {"records": records, "first": stream.first, "end": stream.end()}
        return FakeResponse(response)

    def _trim(self, stream: _Stream) -> None:
        oldest = time.monotonic() - self._retention_s
        count = 0
        while count < len(stream.times) and stream.times[count] < oldest:
            count += 1
        if count:
            del stream.times[:count]
            del stream.records[:count]
            stream.first += count
