"""Choice of the runner that should serve an adapter version."""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass

from gooseberryrun._internal.state import (
    Clock,
    DemandTracker,
    PrefixTable,
    Settings,
    Vm,
    hash_score,
    rank_nodes,
    top_node,
)

from ._membership import Membership

DEFAULT_BATCH = 8
"""Batch size of an engine whose VM record does not give it."""
RANK_COST = 8.0
"""Batches by which a runner must be less loaded than the one ranked before it."""
SPREAD_FACTOR = 4.0
"""Share of the runners for an adapter, as a multiple of its share of all demand."""
SPREAD_BATCHES = 2.0
"""Batches of demand that an adapter must have for each further runner."""
BUCKETS = 4096
"""Adapters with the same bucket share a ranking, which keeps the cache small."""
CACHED_RANKINGS = 4096
MAX_RANKING_LENGTH = 16
"""Runners kept of each ranking, best first."""
AVOID_S = 2.0
"""Time for which a runner is skipped after it failed."""
LOAD_HINT_TTL_S = 2.0
"""Age at which a runner's last reported load is no longer used."""

_ALL = ""


@dataclass(frozen=True, slots=True)
class _LoadHint:
    load: float
    at: float


class Placement:
    """Ranks runners by rendezvous hashing; popular adapters get more of them."""

    def __init__(self, cfg: Settings, clock: Clock, membership: Membership) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._demand = DemandTracker(cfg.policy.demand_half_life_s)
        self._rankings: OrderedDict[int, list[str]] = OrderedDict()
        self._version = -1
        self._avoided_until: dict[str, float] = {}
        self._hints: dict[str, _LoadHint] = {}
        self._prefixes = PrefixTable()
        self._total = DemandTracker(cfg.policy.demand_half_life_s)
        self._waiting: Counter[tuple[str, bool]] = Counter()
        self._engine_ids: list[str] = []
        self._vm_count = 1

    def choose(
        self, model: str, prefix: str, exclude: set[str], background: bool = False
    ) -> Vm | None:
        """Return the runner for a request for ``model``, or None if there is none.

        Interactive work precedes the background jobs in a runner's queue, so it goes to
        the first runner of the ranking, where the adapter is most often loaded, unless
        interactive work queues there. Among the runners that share a popular adapter,
        one that probably holds the prompt's prefix is ranked as less loaded by
        ``policy.prefix_bonus``.
        """
        now = self._clock.monotonic()
        self._demand.count(model, now)
        self._total.count(_ALL, now)
        ranking = self._usable(model, exclude, now)
        if not ranking:
            return None
        spread = self._spread(model, ranking, now)
        position, _ = min(
            enumerate(ranking[:spread]),
            key=lambda item: self._cost(item[0], item[1], prefix, background, now),
        )
        return self._membership.get(ranking[position])

    def choose_isolated(self, fingerprint: str, exclude: set[str]) -> Vm | None:
        """Return the runner for a request that may crash it.

        Every VM with the same information chooses the same one, whatever the load, so
        that copies of the request reach one owner, which runs them one at a time.
        """
        self._refresh_vms()
        runners = [runner for runner in self._engine_ids if runner not in exclude]
        runner = top_node(fingerprint, runners)
        return self._membership.get(runner) if runner is not None else None

    def _usable(self, model: str, exclude: set[str], now: float) -> list[str]:
        ranking = [runner for runner in self._ranking(model) if runner not in exclude]
        usable = [
            runner for runner in ranking if self._avoided_until.get(runner, 0.0) <= now
        ]
        return usable or ranking

    def _spread(self, model: str, ranking: list[str], now: float) -> int:
        """Return how many runners share the adapter, by its share of all demand.

        The balancer spreads requests evenly, so each VM observes its share of them.
        """
        demand = self._demand.demand(model, now)
        total = max(demand, self._total.demand(_ALL, now))
        by_share = demand / total * len(self._engine_ids) * SPREAD_FACTOR
        by_amount = demand * self._vm_count / self._batch(ranking[0]) / SPREAD_BATCHES
        return 1 + int(min(by_share, by_amount))

    def _batch(self, runner: str) -> int:
        vm = self._membership.get(runner)
        return vm.batch if vm is not None and vm.batch else DEFAULT_BATCH

    def _cost(
        self, rank: int, runner: str, prefix: str, background: bool, now: float
    ) -> float:
        cost = RANK_COST * rank
        if self._prefixes.runner(prefix) == runner:
            cost = -self._cfg.policy.prefix_bonus
        if not background:
            return cost + self._waiting_load(runner, background)
        return cost + max(
            self._reported_load(runner, now), self._waiting_load(runner, True)
        )

    def _reported_load(self, runner: str, now: float) -> float:
        """Return the load in batches last reported by the owner, or 0 if outdated."""
        hint = self._hints.get(runner)
        return (
            hint.load if hint is not None and now - hint.at <= LOAD_HINT_TTL_S else 0.0
        )

    def _waiting_load(self, runner: str, background: bool) -> float:
        """Return the batches that all VMs wait for, extrapolated from this one."""
        waiting = self._waiting[(runner, background)]
        return waiting * self._vm_count / self._batch(runner)

    def begin_wait(self, runner: str, background: bool) -> None:
        """Count a request that starts to wait for a grant on a runner."""
        self._waiting[(runner, background)] += 1

    def end_wait(self, runner: str, background: bool) -> None:
        """Count the end of a wait that ``begin_wait`` counted."""
        self._waiting[(runner, background)] -= 1
        if not self._waiting[(runner, background)]:
            del self._waiting[(runner, background)]

    def _ranking(self, model: str) -> list[str]:
        self._refresh_vms()
        bucket = hash_score(model, "") % BUCKETS
        ranking = self._rankings.get(bucket)
        if ranking is None:
            ranking = rank_nodes(str(bucket), self._engine_ids)[:MAX_RANKING_LENGTH]
            self._rankings[bucket] = ranking
            if len(self._rankings) > CACHED_RANKINGS:
                self._rankings.popitem(last=False)
        return ranking

    def _refresh_vms(self) -> None:
        if self._version == self._membership.version:
            return
        self._rankings.clear()
        self._version = self._membership.version
        self._engine_ids = [engine.id for engine in self._membership.engines()]
        self._vm_count = max(1, len(self._membership.entry_vms()))

    def avoid(self, runner: str) -> None:
        """Skip a runner for ``AVOID_S`` while others are usable."""
        self._avoided_until[runner] = self._clock.monotonic() + AVOID_S

    def record_load(self, runner: str, queued: int, running: int, batch: int) -> None:
        """Record the load that an owner reported in a reply."""
        load = (queued + running) / max(1, batch)
        self._hints[runner] = _LoadHint(load, self._clock.monotonic())

    def record_prefix(self, prefix: str, runner: str, cached: bool | None) -> None:
        """Record whether a runner holds a prefix; None if that is not known."""
        if cached is not None:
            self._prefixes.record_report(prefix, runner, cached)
