"""Adapter slots of one runner: which adapter to load and which to evict.

Made for demand that shifts over thousands of adapters with a few slots per runner: a
slot is never assigned twice, an adapter in use is never evicted, and the adapter with
the lowest recent demand is evicted first.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import msgspec

DEMAND_HALF_LIFE_S = 20.0
"""Half-life of an adapter's demand score."""
DEFAULT_SLOT_WAIT_S = 0.17
"""Expected wait for a free slot before the first sample."""
MAX_SLOT_WAIT_S = 1.5
"""Upper bound of a sample."""
SLOT_WAIT_WEIGHT = 0.15
"""Weight of the newest sample in the mean."""
MAX_CONCURRENT_LOADS = 4
"""Adapters that a runner loads at the same time."""
USE_TTL_S = 30.0
"""Age up to which a VM's count of requests on an adapter is valid."""
MAX_RECENT_ADAPTERS = 36
"""Adapters that a runner is assumed to cache in its memory."""
MAX_DEMAND_ENTRIES = 400
"""Adapters whose demand is tracked."""


class Step(Enum):
    """Next action of a runner's owner for an adapter."""

    PRESENT = "present"
    WAIT = "wait"
    LOAD = "load"
    EVICT = "evict"


class Plan(msgspec.Struct, frozen=True):
    """Next step; ``victim`` is the key of the adapter to evict."""

    step: Step
    victim: str = ""


class _Demand(msgspec.Struct):
    """Decayed number of requests as of the time ``at``."""

    score: float
    at: float


class AdapterSlots(msgspec.Struct):
    """Slots of one runner: its adapters by ``model/adapter`` key, with versions.

    ``held`` are the loaded adapters and ``loading`` those being loaded. ``unloading``
    maps adapters with an accepted unload order to the time up to which the order is not
    repeated.
    """

    limit: int
    held: dict[str, int] = msgspec.field(default_factory=dict)
    loading: dict[str, int] = msgspec.field(default_factory=dict)
    unloading: dict[str, float] = msgspec.field(default_factory=dict)
    _reserved: dict[str, float] = msgspec.field(default_factory=dict)
    _uses: dict[tuple[str, str], tuple[int, float]] = msgspec.field(
        default_factory=dict
    )
    _demand: dict[str, _Demand] = msgspec.field(default_factory=dict)

    def record_use(self, vm: str, adapter: str, count: int, now: float) -> None:
        """Record how many requests of a VM use an adapter."""
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
        if len(self._demand) > MAX_DEMAND_ENTRIES:
            least = min(self._demand, key=lambda key: self.demand(key, now))
            del self._demand[least]

    def demand(self, adapter: str, now: float) -> float:
        """Return the decayed number of requests for an adapter."""
        known = self._demand.get(adapter)
        if known is None:
            return 0.0
        return known.score * float(0.5 ** ((now - known.at) / DEMAND_HALF_LIFE_S))

    def reserve(self, adapter: str, deadline: float) -> None:
        """Keep an adapter until the deadline for a request that is about to use it."""
        self._reserved[adapter] = deadline

    def use_count(self, now: float) -> int:
        """Return the number of requests that use an adapter of the runner."""
        recent = [n for n, at in self._uses.values() if now - at < USE_TTL_S]
        return sum(recent)

    def in_use(self, adapter: str, now: float) -> bool:
        """Return whether the adapter is reserved or a request of any VM uses it."""
        if now < self._reserved.get(adapter, 0.0):
            return True
        return any(
            key[1] == adapter and now - at < USE_TTL_S
            for key, (_, at) in self._uses.items()
        )

    def expire_unloading(self, now: float) -> None:
        """Remove unload orders and reservations whose time has passed."""
        self.unloading = {key: at for key, at in self.unloading.items() if now < at}
        self._reserved = {key: at for key, at in self._reserved.items() if now < at}

    def plan(self, adapter: str, version: int, now: float) -> Plan:
        """Return the next step to get ``adapter`` loaded at ``version`` or newer."""
        if adapter in self.held and self.held[adapter] >= version:
            return Plan(Step.PRESENT)
        if adapter in self.loading or len(self.loading) >= MAX_CONCURRENT_LOADS:
            return Plan(Step.WAIT)
        if adapter in self.held:
            return Plan(Step.LOAD)
        if len(set(self.held) | set(self.loading)) < self.limit:
            return Plan(Step.LOAD)
        victim = self._pick_victim(now)
        return Plan(Step.EVICT, victim) if victim else Plan(Step.WAIT)

    def idle_count(self, now: float) -> int:
        """Return the number of slots that are free or hold an evictable adapter."""
        taken = len(set(self.held) | set(self.loading))
        return self.limit - taken + len(self._evictable(now))

    def _evictable(self, now: float) -> list[str]:
        return [
            key
            for key in self.held
            if key not in self.unloading
            and key not in self.loading
            and not self.in_use(key, now)
        ]

    def _pick_victim(self, now: float) -> str:
        return min(
            self._evictable(now), key=lambda key: self.demand(key, now), default=""
        )


class SlotWaitEstimator:
    """Mean wait for a slot per request that waits before, itself included.

    Measured rather than fixed, since with more demand than slots the wait in the queue
    depends on how long current requests use their adapters. Requests that find an idle
    slot are no samples: they would make a full runner look as fast as an idle one.
    """

    def __init__(self) -> None:
        self.mean_s = DEFAULT_SLOT_WAIT_S

    def record(self, waited_s: float, position: int) -> None:
        """Record the wait of a request that was at a position of the queue, from 1."""
        sample_s = min(MAX_SLOT_WAIT_S, waited_s / position)
        self.mean_s += SLOT_WAIT_WEIGHT * (sample_s - self.mean_s)


class RecentAdapters:
    """Adapters that one runner held recently and reloads from its memory cache."""

    def __init__(self) -> None:
        self._born_ms = 0
        self._recent: dict[str, None] = {}

    def record(self, born_ms: int, held: Iterable[str]) -> None:
        """Record what the runner holds; a new incarnation starts with no records."""
        if born_ms != self._born_ms:
            self._born_ms = born_ms
            self._recent.clear()
        for adapter in held:
            self._recent.pop(adapter, None)
            self._recent[adapter] = None
        while len(self._recent) > MAX_RECENT_ADAPTERS:
            del self._recent[next(iter(self._recent))]

    def contains(self, born_ms: int, adapter: str) -> bool:
        """Return whether this incarnation of the runner held the adapter recently."""
        return born_ms == self._born_ms and adapter in self._recent
