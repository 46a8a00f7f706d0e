"""Exponentially decayed demand, updated lazily."""

from __future__ import annotations

import math

MIN_DEMAND = 1e-3
"""Decayed count below which a key is forgotten."""
PRUNE_AT = 1024
"""Number of keys at which forgotten keys are removed."""


class DemandTracker:
    """Decayed request counts by adapter version.

    Counting costs O(1); keys that decay away are removed when the table has grown
    to a bound, so that no tick visits every known adapter.
    """

    def __init__(self, half_life_s: float) -> None:
        self._rate = math.log(2) / half_life_s
        self._values: dict[str, tuple[float, float]] = {}
        self._prune_at = PRUNE_AT

    def count(self, key: str, now: float, weight: float = 1.0) -> None:
        """Add ``weight`` to the demand for ``key``."""
        self._values[key] = (self.demand(key, now) + weight, now)
        if len(self._values) > self._prune_at:
            self._prune(now)

    def demand(self, key: str, now: float) -> float:
        """Return the decayed count of ``key``."""
        value, at = self._values.get(key, (0.0, now))
        return value * math.exp(-self._rate * (now - at))

    def _prune(self, now: float) -> None:
        kept = {
            key: value
            for key, value in self._values.items()
            if self.demand(key, now) >= MIN_DEMAND
        }
        self._values = kept
        self._prune_at = max(PRUNE_AT, 2 * len(kept))
