"""Policies: what a runner grants, loads and evicts next."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gooseberryrun._internal.state import PolicySettings, WorkClass

if TYPE_CHECKING:
    from ._scheduler import Waiting

QUICK_LOAD_WEIGHT = 100.0
"""Patient requests that one quick request outweighs when a load is chosen."""
STARVATION_WEIGHT = 0.05
"""Requests that one ``starvation_s`` of age outweighs when a load is chosen."""
MIN_SLOTS_TO_RESERVE = 3
"""Adapter slots from which on one is kept free of patient work."""


@dataclass(frozen=True, slots=True)
class WaitingView:
    """Waiting requests for one adapter version, oldest first."""

    requests: tuple[Waiting, ...]

    def __len__(self) -> int:
        return len(self.requests)


class RunnerView(ABC):
    """What a policy may see of a runner."""

    slots: int
    batch: int

    @abstractmethod
    def resident(self) -> Iterable[str]:
        """Return the adapter versions that may be granted."""

    @abstractmethod
    def running(self) -> int:
        """Return the number of grants in use."""

    @abstractmethod
    def patient_running(self) -> int:
        """Return the number of grants of patient work."""

    @abstractmethod
    def pins(self, model: str) -> int:
        """Return the number of grants that use an adapter version."""

    @abstractmethod
    def is_in_use(self, model: str) -> bool:
        """Tell whether a request may be using an adapter version."""

    @abstractmethod
    def last_used(self, model: str) -> float:
        """Return when an adapter version was last granted or loaded."""

    @abstractmethod
    def demand(self, model: str, now: float) -> float:
        """Return the decayed demand for an adapter version."""

    @abstractmethod
    def queues(self) -> Iterable[tuple[str, WaitingView]]:
        """Return the waiting work by adapter version, oldest queue first."""

    @abstractmethod
    def queue_of(self, model: str) -> WaitingView:
        """Return the waiting work for one adapter version."""

    @abstractmethod
    def suspects_running(self) -> bool:
        """Tell whether a suspect request is in flight."""


class Policy(ABC):
    """Behaviour that differs between deployments and rivals."""

    @abstractmethod
    def pick_waiting(self, view: RunnerView, now: float) -> Waiting | None:
        """Return the request to grant next, or None."""

    @abstractmethod
    def pick_load(self, view: RunnerView, now: float) -> str | None:
        """Return the adapter version to load next, or None."""

    @abstractmethod
    def pick_victim(self, view: RunnerView, model: str, now: float) -> str | None:
        """Return the adapter version to evict for ``model``, or None."""


def _may_run(view: RunnerView, waiting: Waiting) -> bool:
    return not (waiting.suspect and view.suspects_running())


class FifoLruPolicy(Policy):
    """Plain rival: first in, first out; evicts what was used least recently."""

    def pick_waiting(self, view: RunnerView, now: float) -> Waiting | None:
        """Return the oldest request whose adapter is resident."""
        heads = [
            waiting
            for model in view.resident()
            for waiting in view.queue_of(model).requests[:1]
            if _may_run(view, waiting)
        ]
        return min(heads, key=lambda waiting: waiting.enqueued_at, default=None)

    def pick_load(self, view: RunnerView, now: float) -> str | None:
        """Return the adapter of the oldest request that waits for one."""
        resident = set(view.resident())
        heads = [
            queue.requests[0]
            for model, queue in view.queues()
            if model not in resident and len(queue)
        ]
        oldest = min(heads, key=lambda waiting: waiting.enqueued_at, default=None)
        return oldest.model if oldest is not None else None

    def pick_victim(self, view: RunnerView, model: str, now: float) -> str | None:
        """Return the unpinned adapter that was used least recently."""
        unpinned = [name for name in view.resident() if not view.is_in_use(name)]
        return min(unpinned, key=view.last_used, default=None)


class WeightedPolicy(Policy):
    """Weighs load stalls against batch efficiency.

    A load is worth the stall that it ends and the batch places that it can fill; a
    victim is the unpinned adapter with the least waiting work and expected demand.
    """

    def __init__(self, cfg: PolicySettings) -> None:
        self._cfg = cfg

    def pick_waiting(self, view: RunnerView, now: float) -> Waiting | None:
        """Return the most urgent request whose adapter is resident."""
        best: Waiting | None = None
        for model in view.resident():
            for waiting in self._heads(view.queue_of(model)):
                if not self._has_room(view, waiting) or not _may_run(view, waiting):
                    continue
                if best is None or self._urgency(waiting, now) > self._urgency(
                    best, now
                ):
                    best = waiting
        return best

    def _heads(self, queue: WaitingView) -> list[Waiting]:
        """Return the oldest request of each class, without suspects twice."""
        heads: dict[tuple[WorkClass, bool], Waiting] = {}
        for waiting in queue.requests:
            heads.setdefault((waiting.work_class, waiting.suspect), waiting)
        return list(heads.values())

    def _has_room(self, view: RunnerView, waiting: Waiting) -> bool:
        if waiting.work_class is not WorkClass.PATIENT:
            return True
        reserved = int(view.batch * self._cfg.quick_reserve)
        return view.running() < view.batch - reserved

    def _urgency(self, waiting: Waiting, now: float) -> float:
        age = (now - waiting.enqueued_at) / self._cfg.starvation_s
        return age if waiting.work_class is WorkClass.PATIENT else 1.0 + age

    def pick_load(self, view: RunnerView, now: float) -> str | None:
        """Return the waiting adapter whose load is worth most."""
        resident = set(view.resident())
        spare = self._has_spare_slot(view)
        best, best_value = None, 0.0
        for model, queue in view.queues():
            if model in resident or not (spare or _has_quick(queue)):
                continue
            value = self._load_value(view, queue, now)
            if value > best_value:
                best, best_value = model, value
        return best

    def _has_spare_slot(self, view: RunnerView) -> bool:
        """Tell whether patient work may take a slot and leave one for quick work."""
        in_use = sum(view.is_in_use(name) for name in view.resident())
        return view.slots < MIN_SLOTS_TO_RESERVE or in_use < view.slots - 1

    def _load_value(self, view: RunnerView, queue: WaitingView, now: float) -> float:
        """Weigh the stalls that a load ends against the batch places it fills.

        The number of waiting requests counts most, so that each load ends as many
        stalls as it can; age only keeps a lonely request from starving.
        """
        stall = float(len(queue))
        stall += QUICK_LOAD_WEIGHT * sum(
            waiting.work_class is not WorkClass.PATIENT for waiting in queue.requests
        )
        oldest = queue.requests[0] if len(queue) else None
        age = (now - oldest.enqueued_at) / self._cfg.starvation_s if oldest else 0.0
        fill = min(len(queue), view.batch) / view.batch
        return (
            self._cfg.load_stall_weight * (stall + STARVATION_WEIGHT * age)
            + self._cfg.batch_efficiency_weight * fill
        )

    def pick_victim(self, view: RunnerView, model: str, now: float) -> str | None:
        """Return the unpinned adapter with the least work waiting and expected."""
        best, best_value = None, float("inf")
        gain = self._load_value(view, view.queue_of(model), now)
        for name in view.resident():
            if view.is_in_use(name):
                continue
            waiting = view.queue_of(name)
            if len(waiting) and self._load_value(view, waiting, now) >= gain:
                continue
            value = len(waiting) * view.batch + view.demand(name, now)
            if value < best_value:
                best, best_value = name, value
        return best


def _has_quick(queue: WaitingView) -> bool:
    return any(one.work_class is not WorkClass.PATIENT for one in queue.requests)


def make_policy(cfg: PolicySettings) -> Policy:
    """Return the policy that the settings name."""
    if cfg.name == "fifo-lru":
        return FifoLruPolicy()
    return WeightedPolicy(cfg)
