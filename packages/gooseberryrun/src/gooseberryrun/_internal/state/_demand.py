"""Exponentially decayed request counts, updated lazily."""

from __future__ import annotations

import math

MIN_DEMAND = 1e-3
"""Decayed count below which a key may be removed."""
PRUNE_THRESHOLD = 1024
"""Smallest number of keys above which the table is pruned."""


class DemandTracker:
    """Decayed request counts by adapter version.

    Counting costs O(1) amortized: keys below ``MIN_DEMAND`` are removed when the table
    has outgrown a bound, so that no periodic task has to visit every known adapter.
    """

    def __init__(self, half_life_s: float) -> None:
        self._decay_per_s = math.log(2) / half_life_s
        self._values: dict[str, tuple[float, float]] = {}
        self._prune_above = PRUNE_THRESHOLD

    def count(self, key: str, now: float, weight: float = 1.0) -> None:
        """Add ``weight`` to the count of ``key``."""
        self._values[key] = (self.demand(key, now) + weight, now)
        if len(self._values) > self._prune_above:
            self._prune(now)

    def demand(self, key: str, now: float) -> float:
        """Return the count of ``key``, decayed to the time ``now``."""
        value, at = self._values.get(key, (0.0, now))
        return value * math.exp(-self._decay_per_s * (now - at))

    def _prune(self, now: float) -> None:
        kept = {
            key: value
            for key, value in self._values.items()
            if self.demand(key, now) >= MIN_DEMAND
        }
        self._values = kept
        self._prune_above = max(PRUNE_THRESHOLD, 2 * len(kept))
