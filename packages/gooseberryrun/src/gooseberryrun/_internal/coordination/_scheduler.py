"""Scheduling of one runner: which request to grant, what to load, what to evict.

The scheduler does no I/O and reads no clock, so the owner's task and the virtual-time
simulation run the same code.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from gooseberryrun._internal.state import DemandTracker, WorkClass, check_invariant

from ._policy import Policy, RunnerView
from ._queues import ModelQueue, RunnerQueues, Waiting

LOAD_INTERVAL_GAIN = 0.1
"""Weight of the last load in the moving average of the time between loads."""


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to run one request on the runner; pins the adapter until it ends."""

    grant_id: str
    request_id: str
    model: str
    vm: str
    boot: str
    work_class: WorkClass
    fingerprint: str
    suspect: bool
    load_wait_s: float = 0.0
    granted_at: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Adapter version to load, after evicting ``victim`` if one is given."""

    model: str
    victim: str | None


class RunnerScheduler(RunnerView):
    """Grants, resident adapters and queues of one runner, and what to do next."""

    def __init__(
        self,
        runner: str,
        slots: int,
        batch: int,
        policy: Policy,
        queue_limit: int,
        demand_half_life_s: float,
    ) -> None:
        self.runner = runner
        self.slots = slots
        self.batch = batch
        self._policy = policy
        self._queue_limit = queue_limit
        self._demand = DemandTracker(demand_half_life_s)
        self._queues = RunnerQueues()
        self._resident: dict[str, float] = {}
        self._loading: str | None = None
        self._evicting: str | None = None
        self._load_finished_at: dict[str, float] = {}
        self._failed_until: dict[str, float] = {}
        self._last_load_at = 0.0
        self._load_interval_s = 0.0
        self._grants: dict[str, Grant] = {}
        self._pins: Counter[str] = Counter()
        self._background_running = 0
        self._suspects_running = 0
        self.unaccounted_use: frozenset[str] = frozenset()

    def resident(self) -> Iterable[str]:
        """Return the resident adapter versions, for which grants may be given."""
        return self._resident.keys()

    def running(self) -> int:
        """Return the number of grants in use."""
        return len(self._grants)

    def pins(self, model: str) -> int:
        """Return the number of grants that use an adapter version."""
        return self._pins[model]

    def is_in_use(self, model: str) -> bool:
        """Return whether a grant or a use of unknown origin needs the adapter."""
        return self._pins[model] > 0 or model in self.unaccounted_use

    def last_used(self, model: str) -> float:
        """Return the time at which an adapter version was last granted or loaded."""
        return self._resident.get(model, 0.0)

    def demand(self, model: str, now: float) -> float:
        """Return the exponentially decayed demand for an adapter version."""
        return self._demand.demand(model, now)

    def queues(self) -> Iterable[tuple[str, ModelQueue]]:
        """Return the queues of the adapter versions that requests wait for."""
        return self._queues.models()

    def queue_of(self, model: str) -> ModelQueue:
        """Return the queue of one adapter version."""
        return self._queues.queue_of(model)

    def expected_wait_s(self, model: str) -> float:
        """Return how long interactive work will wait for an adapter.

        The estimate is the average time between loads times the loads ahead of it.
        """
        if model in self._resident or self.queue_of(model).interactive:
            return 0.0
        return (self._interactive_loads() + 1) * self._load_interval_s

    def has_interactive_waiting(self) -> bool:
        """Return whether interactive work waits for an adapter that is not resident."""
        return self._interactive_loads() > 0

    def _interactive_loads(self) -> int:
        """Return the number of absent adapters that interactive work waits for."""
        return sum(
            model not in self._resident and len(queue.interactive) > 0
            for model, queue in self._queues.models()
        )

    def suspects_running(self) -> bool:
        """Return whether a suspect request is in flight."""
        return self._suspects_running > 0

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._queues)

    @property
    def grants(self) -> dict[str, Grant]:
        """Grants in use by id."""
        return self._grants

    def count_grants(self, vm: str, boot: str) -> int:
        """Return the number of grants of one boot of a VM."""
        return sum(
            (grant.vm, grant.boot) == (vm, boot) for grant in self._grants.values()
        )

    def has_order_outstanding(self) -> bool:
        """Return whether an order to the engine is outstanding."""
        return self._loading is not None or self._evicting is not None

    def is_full(self) -> bool:
        """Return whether the queue has reached its limit."""
        return len(self._queues) >= self._queue_limit

    def enqueue(self, waiting: Waiting) -> None:
        """Add a request to the queue."""
        self._queues.add(waiting)
        self._demand.count(waiting.model, waiting.enqueued_at)

    def remove_expired(self, now: float) -> list[Waiting]:
        """Remove and return the requests whose deadline has passed."""
        return self._queues.pop_expired(now)

    def remove_all(self) -> list[Waiting]:
        """Remove and return every waiting request."""
        return self._queues.pop_all()

    def next_grant(self, grant_id: str, now: float) -> Grant | None:
        """Grant the waiting request that the policy picks, if one may run now."""
        if len(self._grants) >= self._policy.max_running(self.batch):
            return None
        waiting = self._policy.pick_waiting(self, now)
        if waiting is None:
            return None
        check_invariant(
            waiting.model in self._resident, "grant-is-resident", waiting.model
        )
        check_invariant(waiting.model != self._evicting, "no-grant-while-evicting")
        full = self._background_running >= self.batch
        check_invariant(
            not (waiting.is_background() and full), "patient-work-within-batch"
        )
        self._queues.pop(waiting.request_id)
        grant = Grant(
            grant_id=grant_id,
            request_id=waiting.request_id,
            model=waiting.model,
            vm=waiting.vm,
            boot=waiting.boot,
            work_class=waiting.work_class,
            fingerprint=waiting.fingerprint,
            suspect=waiting.suspect,
            load_wait_s=self._load_wait_s(waiting, now),
            granted_at=now,
        )
        self.adopt(grant)
        self._resident[waiting.model] = now
        return grant

    def _load_wait_s(self, waiting: Waiting, now: float) -> float:
        """Return how long the request waited before its adapter was resident."""
        loaded_at = self._load_finished_at.get(waiting.model, 0.0)
        return max(0.0, min(loaded_at, now) - waiting.enqueued_at)

    def adopt(self, grant: Grant) -> bool:
        """Record a grant; return False if it is already known."""
        if grant.grant_id in self._grants:
            return False
        self._grants[grant.grant_id] = grant
        self._pins[grant.model] += 1
        self._background_running += grant.work_class is WorkClass.BACKGROUND
        self._suspects_running += grant.suspect
        return True

    def release(self, grant_id: str) -> Grant | None:
        """End a grant; return None if it is unknown, as when the end is repeated."""
        grant = self._grants.pop(grant_id, None)
        if grant is None:
            return None
        self._pins[grant.model] -= 1
        check_invariant(self._pins[grant.model] >= 0, "pins-not-negative", grant.model)
        if not self._pins[grant.model]:
            del self._pins[grant.model]
        self._background_running -= grant.work_class is WorkClass.BACKGROUND
        self._suspects_running -= grant.suspect
        return grant

    def next_order(self, now: float, may_evict: bool) -> LoadOrder | None:
        """Return the load that the policy picks, or None if none is possible now."""
        if self.has_order_outstanding():
            return None
        model = self._policy.pick_load(self, now)
        if model is None or self._failed_until.get(model, 0.0) > now:
            return None
        victim = None
        if len(self._resident) >= self.slots:
            if not may_evict:
                return None
            victim = self._policy.pick_victim(self, model, now)
            if victim is None:
                return None
        return LoadOrder(model, victim)

    def start_order(self, order: LoadOrder) -> None:
        """Record an order that is about to be sent and reserve its slot."""
        check_invariant(not self.has_order_outstanding(), "one-order-at-a-time")
        self._loading = order.model
        if order.victim is not None:
            self.start_evict(order.victim)

    def start_evict(self, model: str) -> None:
        """Stop granting an adapter version that is about to be evicted."""
        check_invariant(self._pins[model] == 0, "no-eviction-in-use", model)
        self._evicting = model
        self._resident.pop(model, None)

    def finish_evict(self, evicted: bool, now: float) -> None:
        """Record the end of an eviction; a failed one leaves the adapter resident."""
        if self._evicting is not None and not evicted:
            self._resident[self._evicting] = now
        self._evicting = None

    def finish_load(self, loaded: bool, now: float, retry_s: float) -> None:
        """Record the end of a load; a failed one is not retried for ``retry_s``."""
        model = self._loading
        self._loading = None
        if model is None:
            return
        if loaded:
            self._update_load_interval(model, now)
            self._resident[model] = now
            self._load_finished_at[model] = now
        else:
            self._failed_until[model] = now + retry_s

    def _update_load_interval(self, model: str, now: float) -> None:
        """Update the moving average of the time between loads under demand."""
        oldest = self.queue_of(model).oldest()
        if oldest is None:
            return
        interval_s = now - max(self._last_load_at, oldest.enqueued_at)
        self._last_load_at = now
        self._load_interval_s += LOAD_INTERVAL_GAIN * (
            interval_s - self._load_interval_s
        )

    def sync_resident(self, models: list[str], now: float) -> None:
        """Replace the resident adapters by those that the engine reports."""
        listed = set(models) - {self._evicting}
        for model in listed - set(self._resident):
            self._resident[model] = now
        for model in set(self._resident) - listed:
            del self._resident[model]
        stale = set(self._load_finished_at) - listed
        for model in stale:
            del self._load_finished_at[model]
