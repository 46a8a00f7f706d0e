"""Stand-in for the platform's rate-limited weight store."""

from __future__ import annotations

import time

import eventlet

from .server import FakeRequest, FakeResponse, FakeServer


class FakeStore(FakeServer):
    """Store whose fetches start at a limited rate and slow each other down.

    A fetch takes ``load_s`` seconds, or proportionally longer if it starts while more
    than ``in_flight`` run. Faults: ``slow`` (factor on the fetch time), ``fail``
    (number of fetches that fail).
    """

    def __init__(
        self, address: str, port: int, rate: float, load_s: float, in_flight: int
    ) -> None:
        super().__init__(address, port)
        self._fetches_per_s = rate
        self._load_s = load_s
        self._full_speed_in_flight = in_flight
        self._next_start = 0.0
        self._in_flight = 0
        self._peak = 0
        self._fetches = 0

    def handle(self, request: FakeRequest) -> FakeResponse:
        """Return the weights of one adapter version after the fetch time."""
        if request.path == "/debug/state":
            return FakeResponse({"fetches": self._fetches, "peak": self._peak})
        now = time.monotonic()
        start = max(now, self._next_start)
        self._next_start = start + 1.0 / self._fetches_per_s
        eventlet.sleep(start - now)
        if self.take_fault("fail"):
            return FakeResponse({"error": "fetch failed"}, 503)
        self._fetches += 1
        self._in_flight += 1
        self._peak = max(self._peak, self._in_flight)
        try:
            factor = float(self.faults.get("slow", 1.0))
            eventlet.sleep(
                self._load_s
                * factor
                * max(1.0, self._in_flight / self._full_speed_in_flight)
            )
        finally:
            self._in_flight -= 1
        return FakeResponse({"weights": request.path})
