"""Stand-in for a model engine with a batch, adapter slots, load times and faults."""

from __future__ import annotations

import hashlib
import http.client
import json
import time
import uuid
from collections import Counter, OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

import eventlet
from eventlet.event import Event

from .priority_semaphore import PrioritySemaphore
from .server import DropConnectionError, FakeRequest, FakeResponse, FakeServer

CRASH_MARK = "CRASH-RUNNER"
"""Text in a prompt that crashes the engine."""
CRASHING_ADAPTER = "crashing@"
"""Beginning of the names of adapters whose weights crash the engine."""
DEFAULT_TOKENS = 16
REPORT_LAG_S = 0.5
"""Minimum age of the reported load, in seconds."""
MAX_CACHED_PREFIXES = 64
"""Prefixes in the cache of an engine; the least recently used is evicted."""
EVENT_LAG_S = 0.5
"""Age at which a cache event can be read, in seconds."""
LOST_EVENT_PERIOD = 7
"""One of this many cache events is lost."""
MAX_EVENTS = 512


def make_token(model: str, prompt: str, index: int) -> str:
    """Return the token at an index of a completion, the same on every engine."""
    digest = hashlib.blake2b(f"{model}|{prompt}|{index}".encode(), digest_size=3)
    return f"w{digest.hexdigest()} "


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Capacity and timing of an engine; ``token_s`` is the seconds per token."""

    slots: int
    batch: int
    token_s: float
    checks_fencing: bool
    store_url: str
    restart_s: float = 1.0


class FakeEngine(FakeServer):
    """Engine whose completions are a function of the model and the prompt.

    Faults: ``break_after`` (events after which a stream ends without its end mark) and
    ``breaks`` (number of such streams), ``wrong_model`` (number of responses that name
    another model), ``fail_loads`` (number of loads that fail), ``leaving`` (flag in the
    report).
    """

    def __init__(self, address: str, port: int, options: EngineOptions) -> None:
        super().__init__(address, port)
        self._options = options
        self._batch = PrioritySemaphore(options.batch)
        self._resident: set[str] = set()
        self._active: Counter[str] = Counter()
        self._cancelled: set[str] = set()
        self._running: dict[str, str] = {}
        self._highest_fencing: tuple[int, ...] = (-1,)
        self._boot = uuid.uuid4().hex[:12]
        self._crash = Event()
        self._reported_load: dict[str, Any] = {"running": 0, "active": {}}
        self._next_load = (0.0, self._reported_load)
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, dict[str, Any]]] = deque(maxlen=MAX_EVENTS)
        self._event_seq = 0
        self._counts: Counter[str] = Counter()
        self._violations: list[str] = []

    def wait_until_closed(self) -> None:
        """Block until the engine crashes."""
        self._crash.wait()

    def wait_until_reopened(self) -> None:
        """Restart without adapters and cache, after the restart time."""
        self._boot = uuid.uuid4().hex[:12]
        self._resident.clear()
        self._cache.clear()
        self._events.clear()
        self._event_seq = 0
        self._highest_fencing = (-1,)
        eventlet.sleep(self._options.restart_s)
        self._crash = Event()

    def _trigger_crash(self) -> None:
        if not self._crash.ready():
            self._counts["crashes"] += 1
            self._crash.send()

    def handle(self, request: FakeRequest) -> FakeResponse:
        """Handle one request."""
        if request.path == "/debug/state":
            return FakeResponse(self._state())
        if request.path == "/load":
            return FakeResponse(self._report())
        if request.path == "/v1/cache_events":
            return self._cache_events(int(request.query.get("after", 0)))
        if request.path == "/v1/load_lora_adapter":
            return self._load(request)
        if request.path == "/v1/unload_lora_adapter":
            return self._unload(request)
        if request.path.endswith("/cancel"):
            return self._cancel(request.path.split("/")[3])
        return self._complete(request)

    def _state(self) -> dict[str, Any]:
        return {
            "violations": self._violations,
            "counts": dict(self._counts),
            "resident": sorted(self._resident),
            "running": len(self._running),
        }

    def _report(self) -> dict[str, Any]:
        return {
            "incarnation": self._boot,
            "resident": sorted(self._resident),
            "leaving": bool(self.faults.get("leaving", False)),
            **self._lagging_load(),
        }

    def _lagging_load(self) -> dict[str, Any]:
        """Return a sample of the load that is at least `REPORT_LAG_S` old."""
        taken_at, load = self._next_load
        if time.monotonic() - taken_at >= REPORT_LAG_S:
            self._reported_load = load
            active = {name: n for name, n in self._active.items() if n}
            current = {"running": len(self._running), "active": active}
            self._next_load = (time.monotonic(), current)
        return self._reported_load

    def _use_prefix(self, prefix: str) -> None:
        self._counts["prefix_hits" if prefix in self._cache else "prefix_misses"] += 1
        if prefix not in self._cache:
            self._record_event(prefix, True)
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if len(self._cache) > MAX_CACHED_PREFIXES:
            oldest, _ = self._cache.popitem(last=False)
            self._record_event(oldest, False)

    def _record_event(self, prefix: str, cached: bool) -> None:
        self._event_seq += 1
        if self._event_seq % LOST_EVENT_PERIOD:
            event = {"seq": self._event_seq, "prefix": prefix, "cached": cached}
            self._events.append((time.monotonic(), event))

    def _cache_events(self, after: int) -> FakeResponse:
        visible_until = time.monotonic() - EVENT_LAG_S
        self._counts["cache_reads"] += 1
        events = [
            event
            for at, event in self._events
            if at <= visible_until and event["seq"] > after
        ]
        return FakeResponse({"events": events})

    def _is_stale(self, request: FakeRequest) -> bool:
        number = request.headers.get("fencing-number", "0")
        fencing = tuple(int(part) for part in number.split("."))
        if self._options.checks_fencing and fencing < self._highest_fencing:
            self._counts["stale_orders"] += 1
            return True
        self._highest_fencing = max(self._highest_fencing, fencing)
        return False

    def _load(self, request: FakeRequest) -> FakeResponse:
        name = request.json()["lora_name"]
        if self._is_stale(request):
            return FakeResponse({"error": "stale fencing number"}, 412)
        if self.take_fault("fail_loads"):
            return FakeResponse({"error": "load failed"}, 503)
        if name in self._resident:
            return FakeResponse({})
        if len(self._resident) >= self._options.slots:
            return FakeResponse({"error": "no free slot"}, 409)
        boot = self._boot
        if not self._fetch(name):
            return FakeResponse({"error": "weight store failed"}, 503)
        if boot != self._boot:
            raise DropConnectionError
        self._resident.add(name)
        self._counts["loads"] += 1
        return FakeResponse({})

    def _fetch(self, name: str) -> bool:
        url = urlsplit(self._options.store_url)
        conn = http.client.HTTPConnection(url.hostname or "", url.port, timeout=30)
        try:
            conn.request("GET", f"/v1/weights/{name}")
            return conn.getresponse().status == 200
        except OSError:
            return False
        finally:
            conn.close()

    def _unload(self, request: FakeRequest) -> FakeResponse:
        name = request.json()["lora_name"]
        if self._is_stale(request):
            return FakeResponse({"error": "stale fencing number"}, 412)
        if self._active[name]:
            self._violations.append(f"evicted {name} while in use")
        self._resident.discard(name)
        self._counts["evictions"] += 1
        return FakeResponse({})

    def _cancel(self, request_id: str) -> FakeResponse:
        if request_id not in self._running:
            return FakeResponse({"error": "unknown request"}, 404)
        self._cancelled.add(request_id)
        while request_id in self._running:
            eventlet.sleep(0.002)
        return FakeResponse({})

    def _complete(self, request: FakeRequest) -> FakeResponse:
        body = request.json()
        model = body["model"]
        if model not in self._resident:
            return FakeResponse({"error": f"{model} is not loaded"}, 404)
        self._counts["requests"] += 1
        self._use_prefix(str(body.get("prefix_id", "")))
        reported_model = "other@1" if self.take_fault("wrong_model") else model
        chat = request.path.endswith("chat/completions")
        headers = {"X-Engine-Boot": self._boot}
        if body.get("stream"):
            headers["Content-Type"] = "text/event-stream"
            events = self._stream(body, reported_model, chat)
            return FakeResponse(headers=headers, chunks=events)
        text = "".join(self._generate(body))
        message = {"message": {"role": "assistant", "content": text}}
        choice = message if chat else {"text": text}
        response = {
            "id": body["request_id"],
            "model": reported_model,
            "choices": [choice],
        }
        return FakeResponse(response, headers=headers)

    def _stream(
        self, body: dict[str, Any], reported_model: str, chat: bool
    ) -> Iterator[bytes]:
        break_after = int(self.faults.get("break_after", 0))
        for count, token in enumerate(self._generate(body), 1):
            choice = {"delta": {"content": token}} if chat else {"text": token}
            event = {
                "id": body["request_id"],
                "model": reported_model,
                "choices": [choice],
            }
            yield b"data: " + json.dumps(event).encode() + b"\n\n"
            if break_after and count >= break_after and self.take_fault("breaks"):
                raise DropConnectionError
        yield b"data: [DONE]\n\n"

    def _generate(self, body: dict[str, Any]) -> Iterator[str]:
        """Yield the tokens of a completion, holding a place in the batch."""
        model, request_id, boot = body["model"], body["request_id"], self._boot
        prompt = json.dumps(body.get("prompt", body.get("messages")))
        priority = int(body.get("priority", 0))
        start = int(body.get("resume_at", 0))
        self._active[model] += 1
        self._running[request_id] = model
        held = False
        try:
            self._batch.acquire(priority)
            held = True
            for index in range(start, int(body.get("max_tokens", DEFAULT_TOKENS))):
                held = False
                self._batch.yield_to_higher(priority)
                held = True
                eventlet.sleep(self._options.token_s)
                self._raise_if_aborted(boot, request_id)
                if index >= 1 and _is_deadly(model, prompt):
                    self._trigger_crash()
                    raise DropConnectionError
                if model not in self._resident:
                    self._violations.append(f"{model} is not resident while in use")
                yield make_token(model, prompt, index)
        finally:
            if held:
                self._batch.release()
            self._active[model] -= 1
            self._running.pop(request_id, None)
            self._cancelled.discard(request_id)

    def _raise_if_aborted(self, boot: str, request_id: str) -> None:
        if self._crash.ready() or boot != self._boot or request_id in self._cancelled:
            raise DropConnectionError


def _is_deadly(model: str, prompt: str) -> bool:
    """Return whether a completion crashes the engine."""
    return CRASH_MARK in prompt or model.startswith(CRASHING_ADAPTER)
