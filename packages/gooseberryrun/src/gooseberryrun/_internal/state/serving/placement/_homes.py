"""Home runners of an adapter, by weighted rendezvous hashing.

Made for domains of up to thousands of runners: a look-up hashes at most WINDOW runners,
and a runner that comes, goes or changes its weight moves only adapters of its own.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Mapping

from ..._hashing import hash_score, rank_nodes

WINDOW = 64
"""Runners of a domain among which the homes of an adapter are ranked. A domain of up to
as many runners is ranked whole; in a larger one each runner is in the windows of the
adapters whose hashes lie before its own, which evens out over 64 runners."""
_HASH_RANGE = 2.0**64


def rank_weighted(key: str, weights: Mapping[str, int]) -> list[str]:
    """Return nodes by descending weighted score for ``key``.

    A node is first for a share of the keys that is proportional to its weight. Nodes
    of equal weights are ranked as without weights.
    """
    if len(set(weights.values())) <= 1:
        return rank_nodes(key, weights)
    keys = []
    for node, weight in weights.items():
        value = hash_score(key, node)
        score = weight / -math.log((value + 0.5) / _HASH_RANGE)
        keys.append((-score, -value, node))
    return [node for _, _, node in sorted(keys)]


class HomeRing:
    """Runners of one domain ordered by the hashes of their ids."""

    def __init__(self) -> None:
        self._ring: list[tuple[int, str]] = []

    def __len__(self) -> int:
        """Return the number of runners."""
        return len(self._ring)

    def add(self, runner: str) -> None:
        """Add a runner; one that is there already is ignored."""
        entry = (hash_score("", runner), runner)
        at = bisect.bisect_left(self._ring, entry)
        if self._ring[at : at + 1] != [entry]:
            self._ring.insert(at, entry)

    def remove(self, runner: str) -> None:
        """Remove a runner; one that is not there is ignored."""
        entry = (hash_score("", runner), runner)
        at = bisect.bisect_left(self._ring, entry)
        if self._ring[at : at + 1] == [entry]:
            del self._ring[at]

    def window(self, key: str, size: int = WINDOW) -> list[str]:
        """Return the runners that follow the hash of ``key``, at most ``size``."""
        at = bisect.bisect_left(self._ring, (hash_score(key, ""), ""))
        picked = self._ring[at : at + size]
        if len(picked) < size:
            picked += self._ring[: min(at, size - len(picked))]
        return [runner for _, runner in picked]


class HolderIndex:
    """Runners that hold each adapter; a few of them are found at a constant cost."""

    def __init__(self) -> None:
        self._holders: dict[str, list[str]] = {}
        self._positions: dict[tuple[str, str], int] = {}
        self._held: dict[str, frozenset[str]] = {}

    def replace(self, runner: str, held: frozenset[str]) -> None:
        """Replace the adapters that a runner holds."""
        before = self._held.get(runner, frozenset())
        for adapter in before - held:
            self._remove(runner, adapter)
        for adapter in held - before:
            holders = self._holders.setdefault(adapter, [])
            self._positions[(runner, adapter)] = len(holders)
            holders.append(runner)
        if held:
            self._held[runner] = held
        else:
            self._held.pop(runner, None)

    def _remove(self, runner: str, adapter: str) -> None:
        holders = self._holders[adapter]
        at = self._positions.pop((runner, adapter))
        last = holders.pop()
        if last != runner:
            holders[at] = last
            self._positions[(last, adapter)] = at
        if not holders:
            del self._holders[adapter]

    def some(self, adapter: str, key: str, count: int) -> list[str]:
        """Return at most ``count`` holders, others for another ``key``."""
        holders = self._holders.get(adapter, [])
        if len(holders) <= count:
            return list(holders)
        at = hash_score(key, adapter) % len(holders)
        return (holders[at : at + count] + holders[:count])[:count]
