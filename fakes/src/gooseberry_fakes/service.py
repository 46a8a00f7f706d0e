"""Stand-in for a plain service that records its effects."""

from __future__ import annotations

from typing import Any

import eventlet

from .server import DropConnectionError, FakeRequest, FakeResponse, FakeServer


class FakeService(FakeServer):
    """Service whose requests take effect each time, also when they repeat a key.

    With ``lookup``, the outcome of a key can be queried. With ``fencing``, a request
    with a lower fencing number than an earlier request or query of its key is rejected.
    Faults: ``lose_answers`` (number of effects without a response), ``drop_before``
    (number of connections closed before the effect), ``delay_s`` (pause before the
    effect).
    """

    def __init__(self, address: str, port: int, lookup: bool, fencing: bool) -> None:
        super().__init__(address, port)
        self._lookup = lookup
        self._fencing = fencing
        self._effects: list[dict[str, Any]] = []
        self._fencing_numbers: dict[str, int] = {}

    def handle(self, request: FakeRequest) -> FakeResponse:
        """Handle one request."""
        if request.path == "/debug/effects":
            return FakeResponse(self._effects)
        if request.path.startswith("/keys/"):
            return self._look_up(request)
        if request.method == "GET":
            return FakeResponse({"path": request.path, "stock": 7})
        return self._run(request)

    def _is_stale(self, key: str, request: FakeRequest) -> bool:
        number = request.headers.get("fencing-number")
        if not self._fencing or number is None or not key:
            return False
        if int(number) < self._fencing_numbers.get(key, -1):
            return True
        self._fencing_numbers[key] = int(number)
        return False

    def _run(self, request: FakeRequest) -> FakeResponse:
        if self.take_fault("drop_before"):
            raise DropConnectionError
        eventlet.sleep(float(self.faults.get("delay_s", 0.0)))
        key = request.headers.get("idempotency-key", "")
        if self._is_stale(key, request):
            return FakeResponse({"error": "stale fencing number"}, 412)
        confirmation = f"{self.address}-{len(self._effects) + 1}"
        effect = {"key": key, "path": request.path, "confirmation": confirmation}
        self._effects.append(effect)
        if self.take_fault("lose_answers"):
            raise DropConnectionError
        return FakeResponse({"confirmation": confirmation}, 201)

    def _look_up(self, request: FakeRequest) -> FakeResponse:
        if not self._lookup:
            return FakeResponse({"error": "no lookup"}, 405)
        key = request.path.removeprefix("/keys/")
        self._is_stale(key, request)
        for effect in self._effects:
            if effect["key"] == key:
                response = {"confirmation": effect["confirmation"]}
                return FakeResponse(response, 200, {"X-Recorded-Status": "201"})
        return FakeResponse({"error": "unknown key"}, 404)
