"""Adapter places of one runner: what to load and what to drop.

Answers demand that moves over thousands of adapters with a few places a runner: a
place is never promised twice, an adapter in use is never dropped, and the adapter
with the least recent demand makes way.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

HALF_LIFE_S = 20.0
"""Half-life of an adapter's demand."""
DEFAULT_SLOT_WAIT_S = 0.17
"""Time after which a place becomes free, before any was seen."""
MAX_TURN_S = 1.5
"""Longest time between two places that counts."""
TURN_WEIGHT = 0.15
"""Weight of the newest time between two places."""
MAX_COMING = 4
"""Adapters that a runner fetches at the same time."""
USE_TTL_S = 30.0
"""Age up to which a VM's count of requests on an adapter holds."""
MAX_REMEMBERED = 36
"""Adapters that a runner is taken to keep in its memory."""
MAX_TRACKED = 400
"""Adapters whose demand is remembered."""


class Step(Enum):
    """What a runner's owner does next for an adapter."""

    PRESENT = "present"
    WAIT = "wait"
    LOAD = "load"
    EVICT = "evict"


@dataclass(frozen=True, slots=True)
class Plan:
    """Next step; ``victim`` names the adapter to drop."""

    step: Step
    victim: str = ""


@dataclass(slots=True)
class _Demand:
    score: float
    at: float


@dataclass(slots=True)
class AdapterSlots:
    """Adapters of one runner by ``model/adapter`` key, with versions.

    ``unloading`` has the adapters that were ordered out, with the time up to which they
    are not ordered out again.
    """

    limit: int
    held: dict[str, int] = field(default_factory=dict)
    coming: dict[str, int] = field(default_factory=dict)
    unloading: dict[str, float] = field(default_factory=dict)
    _promised: dict[str, float] = field(default_factory=dict)
    _uses: dict[tuple[str, str], tuple[int, float]] = field(default_factory=dict)
    _demand: dict[str, _Demand] = field(default_factory=dict)

    def record_use(self, vm: str, adapter: str, count: int, now: float) -> None:
        """Note how many requests of a VM are on an adapter."""
        before, _ = self._uses.get((vm, adapter), (0, now))
        if count > before:
            self.record_demand(adapter, now)
        if count:
            self._uses[(vm, adapter)] = (count, now)
        else:
            self._uses.pop((vm, adapter), None)

    def record_demand(self, adapter: str, now: float) -> None:
        """Count one request for an adapter."""
        self._demand[adapter] = _Demand(self.demand(adapter, now) + 1.0, now)
        if len(self._demand) > MAX_TRACKED:
            least = min(self._demand, key=lambda key: self.demand(key, now))
            del self._demand[least]

    def demand(self, adapter: str, now: float) -> float:
        """Return the decayed number of requests for an adapter."""
        known = self._demand.get(adapter)
        if known is None:
            return 0.0
        return known.score * float(0.5 ** ((now - known.at) / HALF_LIFE_S))

    def reserve(self, adapter: str, deadline: float) -> None:
        """Keep an adapter for a request that is about to use it."""
        self._promised[adapter] = deadline

    def in_use(self, adapter: str, now: float) -> bool:
        """Tell whether some VM has a request on the adapter, or is about to."""
        if now < self._promised.get(adapter, 0.0):
            return True
        return any(
            key[1] == adapter and now - at < USE_TTL_S
            for key, (_, at) in self._uses.items()
        )

    def expire_unloading(self, now: float) -> None:
        """Forget the adapters whose dropping was ordered too long ago."""
        self.unloading = {key: at for key, at in self.unloading.items() if now < at}
        self._promised = {key: at for key, at in self._promised.items() if now < at}

    def plan(self, adapter: str, version: int, now: float) -> Plan:
        """Return the next step towards holding ``adapter`` at ``version`` or newer."""
        if adapter in self.held and self.held[adapter] >= version:
            return Plan(Step.PRESENT)
        if adapter in self.coming or len(self.coming) >= MAX_COMING:
            return Plan(Step.WAIT)
        if adapter in self.held:
            return Plan(Step.LOAD)
        if len(set(self.held) | set(self.coming)) < self.limit:
            return Plan(Step.LOAD)
        victim = self._pick_victim(now)
        return Plan(Step.EVICT, victim) if victim else Plan(Step.WAIT)

    def idle_count(self, now: float) -> int:
        """Return the number of places that could take another adapter at once."""
        taken = len(set(self.held) | set(self.coming))
        return self.limit - taken + len(self._idle(now))

    def _idle(self, now: float) -> list[str]:
        return [
            key
            for key in self.held
            if key not in self.unloading
            and key not in self.coming
            and not self.in_use(key, now)
        ]

    def _pick_victim(self, now: float) -> str:
        return min(self._idle(now), key=lambda key: self.demand(key, now), default="")


class SlotWaitEstimator:
    """Time after which one more place becomes free while requests wait for one.

    Answers demand beyond the places: how long a queue takes depends on how long the
    requests of the hour hold their adapters.
    """

    def __init__(self) -> None:
        self.mean_s = DEFAULT_SLOT_WAIT_S
        self._since: float | None = None

    def record_waiting(self, now: float) -> None:
        """Note that a request waits; the first one starts the clock."""
        if self._since is None:
            self._since = now

    def record_idle(self) -> None:
        """Note that no request waits."""
        self._since = None

    def record_taken(self, now: float) -> None:
        """Note that a place was taken for a request that waited."""
        if self._since is None:
            return
        turn_s = min(MAX_TURN_S, now - self._since)
        self.mean_s += TURN_WEIGHT * (turn_s - self.mean_s)
        self._since = now


class RecentAdapters:
    """Adapters that one runner held lately; it loads these again from its memory."""

    def __init__(self) -> None:
        self._born_ms = 0
        self._recent: dict[str, None] = {}

    def record(self, born_ms: int, held: Iterable[str]) -> None:
        """Note what the runner holds; a restart forgets what was before."""
        if born_ms != self._born_ms:
            self._born_ms = born_ms
            self._recent.clear()
        for adapter in held:
            self._recent.pop(adapter, None)
            self._recent[adapter] = None
        while len(self._recent) > MAX_REMEMBERED:
            del self._recent[next(iter(self._recent))]

    def contains(self, born_ms: int, adapter: str) -> bool:
        """Tell whether the runner held the adapter lately."""
        return born_ms == self._born_ms and adapter in self._recent
