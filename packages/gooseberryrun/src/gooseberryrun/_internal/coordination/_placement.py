"""Choice of the runner that should serve an adapter version."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from gooseberryrun._internal.state import (
    Clock,
    DemandTracker,
    PrefixTable,
    Settings,
    Vm,
    hash_score,
    rank_nodes,
)

from ._membership import Membership

BUCKETS = 4096
"""Adapters with the same bucket share a ranking, which keeps the cache small."""
CACHED_RANKINGS = 4096
KEPT_RANKS = 16
"""Best runners of a ranking that are kept."""
AVOID_S = 2.0
"""Time for which a runner is passed over after it failed."""
HINT_AGE_S = 2.0
"""Age at which a runner's last reported queue is no longer believed."""


@dataclass(frozen=True, slots=True)
class _Hint:
    load: float
    at: float


class Placement:
    """Ranks runners by rendezvous; popular adapters get more of them."""

    def __init__(self, cfg: Settings, clock: Clock, membership: Membership) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._demand = DemandTracker(cfg.policy.demand_half_life_s)
        self._rankings: OrderedDict[int, list[str]] = OrderedDict()
        self._version = -1
        self._avoid: dict[str, float] = {}
        self._hints: dict[str, _Hint] = {}
        self._prefixes = PrefixTable()

    def choose(self, model: str, prefix: str, exclude: set[str]) -> Vm | None:
        """Return the runner to ask for ``model``, or None if there is none.

        Among the runners that share a popular adapter, one that is believed to hold
        the prompt's prefix counts as less loaded by ``policy.prefix_bonus``.
        """
        now = self._clock.monotonic()
        self._demand.count(model, now)
        ranking = self._usable(model, exclude, now)
        if not ranking:
            return None
        spread = self._spread(model, ranking, now)
        position, _ = min(
            enumerate(ranking[:spread]),
            key=lambda item: self._cost(item[0], item[1], prefix, now),
        )
        return self._membership.get(ranking[position])

    def _usable(self, model: str, exclude: set[str], now: float) -> list[str]:
        ranking = [runner for runner in self._ranking(model) if runner not in exclude]
        fresh = [runner for runner in ranking if self._avoid.get(runner, 0.0) <= now]
        return fresh or ranking

    def _spread(self, model: str, ranking: list[str], now: float) -> int:
        """Return how many runners share the adapter: one per batch of demand."""
        first = self._membership.get(ranking[0])
        batch = first.batch if first is not None and first.batch else 8
        per_runner = batch * self._cfg.policy.demand_half_life_s / 4
        return 1 + int(self._demand.demand(model, now) / per_runner)

    def _cost(self, rank: int, runner: str, prefix: str, now: float) -> float:
        cost = float(rank)
        if self._prefixes.runner(prefix) == runner:
            cost = -self._cfg.policy.prefix_bonus
        hint = self._hints.get(runner)
        if hint is not None and now - hint.at <= HINT_AGE_S:
            cost += hint.load
        return cost

    def _ranking(self, model: str) -> list[str]:
        if self._version != self._membership.version:
            self._rankings.clear()
            self._version = self._membership.version
        bucket = hash_score(model, "") % BUCKETS
        ranking = self._rankings.get(bucket)
        if ranking is None:
            engines = [engine.id for engine in self._membership.engines()]
            ranking = rank_nodes(str(bucket), engines)[:KEPT_RANKS]
            self._rankings[bucket] = ranking
            if len(self._rankings) > CACHED_RANKINGS:
                self._rankings.popitem(last=False)
        return ranking

    def avoid(self, runner: str) -> None:
        """Pass a runner over for a while."""
        self._avoid[runner] = self._clock.monotonic() + AVOID_S

    def learn(self, runner: str, queued: int, running: int, batch: int) -> None:
        """Take the load that an owner reported with an answer."""
        load = (queued + running) / max(1, batch)
        self._hints[runner] = _Hint(load, self._clock.monotonic())

    def learn_prefix(self, prefix: str, runner: str, cached: bool | None) -> None:
        """Take what an owner said of a prefix, or that a request has just used it."""
        if cached is not None:
            self._prefixes.learn(prefix, runner, cached)
