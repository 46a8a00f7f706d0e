"""Weights of the runners, which the owners decide and all VMs learn by gossip.

Made so that all VMs agree on the home runners of an adapter although their own
observations differ: a VM never uses a weight other than the one that the owner of the
runner has published.
"""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Iterable

from ._speed import MAX_STEPS, STEPS_PER_UNIT, RunnerWeight

NEWS_PER_ROUND = 8
"""Largest number of recently changed weights in a message of gossip."""
NEWS_ROUNDS = 6
"""Rounds in which a VM repeats a changed weight; with 8 peers a round all VMs know it
after 3 to 4 rounds, and a few lost messages do not matter."""
REPEATS_PER_ROUND = 4
"""Weights repeated in turn in a message of gossip, for VMs that missed the news."""


class WeightTable:
    """Newest known weight of each runner that differs from the median one."""

    def __init__(self) -> None:
        self._weights: dict[str, RunnerWeight] = {}
        self._news: dict[str, int] = {}
        self._turn: deque[str] = deque()

    def __len__(self) -> int:
        """Return the number of runners with a published weight."""
        return len(self._weights)

    def get(self, runner: str) -> RunnerWeight | None:
        """Return the newest weight of a runner, of any of its incarnations."""
        return self._weights.get(runner)

    def steps(self, runner: str, born_ms: int) -> int:
        """Return the weight of an incarnation; an unknown one has the median weight."""
        known = self._weights.get(runner)
        if known is None or known.born_ms != born_ms:
            return STEPS_PER_UNIT
        return known.steps

    def merge(self, runner: str, weight: RunnerWeight) -> bool:
        """Store a weight unless a newer one is known; return whether it was stored.

        One out of range, as a VM of another release might send, is ignored.
        """
        if not 1 <= weight.steps <= MAX_STEPS:
            return False
        known = self._weights.get(runner)
        if known is not None and not weight.supersedes(known):
            return False
        if known is None:
            self._turn.append(runner)
        self._weights[runner] = weight
        self._news[runner] = NEWS_ROUNDS
        return True

    def has_news(self) -> bool:
        """Return whether a weight has changed within the latest rounds."""
        return bool(self._news)

    def next_round(self) -> dict[str, RunnerWeight]:
        """Return the weights that the next message of gossip carries."""
        picked = list(itertools.islice(self._news, NEWS_PER_ROUND))
        for runner in picked:
            left = self._news.pop(runner) - 1
            if left:
                # Those sent least recently come first in the next round.
                self._news[runner] = left
        for _ in range(min(REPEATS_PER_ROUND, len(self._turn))):
            picked.append(self._turn[0])
            self._turn.rotate(-1)
        return {runner: self._weights[runner] for runner in picked}

    def drop_unregistered(self, registered: Iterable[str]) -> None:
        """Drop the weights of runners that are not registered any more."""
        gone = self._weights.keys() - set(registered)
        if not gone:
            return
        for runner in gone:
            del self._weights[runner]
            self._news.pop(runner, None)
        self._turn = deque(runner for runner in self._turn if runner not in gone)
