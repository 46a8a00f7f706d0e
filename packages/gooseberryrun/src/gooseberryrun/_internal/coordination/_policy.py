"""Scheduling policies: what a runner grants, loads and evicts next."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator

from gooseberryrun._internal.state import PolicySettings

from ._queues import ModelQueue, Waiting

STARVATION_FACTOR = 20.0
"""Multiple of ``starvation_s`` after which age overrides all other criteria."""
SHORT_QUEUE_LENGTH = 1
"""Waiting requests up to which an adapter's queue is considered short."""
DEEP_SLOTS_FOR_STALLS = 2
"""Slots for adapters with long queues where load stalls weigh more."""
MIN_SLOTS_TO_RESERVE = 2
"""Adapter slots above which one may be reserved for interactive work."""


class RunnerView(ABC):
    """State of a runner that a policy may read."""

    slots: int
    batch: int

    @abstractmethod
    def resident(self) -> Iterable[str]:
        """Return the resident adapter versions, for which grants may be given."""

    @abstractmethod
    def running(self) -> int:
        """Return the number of grants in use."""

    @abstractmethod
    def pins(self, model: str) -> int:
        """Return the number of grants that use an adapter version."""

    @abstractmethod
    def is_in_use(self, model: str) -> bool:
        """Return whether a request may be using an adapter version."""

    @abstractmethod
    def last_used(self, model: str) -> float:
        """Return the time at which an adapter version was last granted or loaded."""

    @abstractmethod
    def demand(self, model: str, now: float) -> float:
        """Return the exponentially decayed demand for an adapter version."""

    @abstractmethod
    def queues(self) -> Iterable[tuple[str, ModelQueue]]:
        """Return the queues of the adapter versions that requests wait for."""

    @abstractmethod
    def queue_of(self, model: str) -> ModelQueue:
        """Return the queue of one adapter version."""

    @abstractmethod
    def suspects_running(self) -> bool:
        """Return whether a suspect request is in flight."""


class Policy(ABC):
    """Scheduling decisions that differ between deployments and baselines."""

    def max_running(self, batch: int) -> int:
        """Return how many requests may run at once, background jobs included."""
        return batch

    @abstractmethod
    def pick_waiting(self, view: RunnerView, now: float) -> Waiting | None:
        """Return the request to grant next, or None."""

    @abstractmethod
    def pick_load(self, view: RunnerView, now: float) -> str | None:
        """Return the adapter version to load next, or None."""

    @abstractmethod
    def pick_victim(self, view: RunnerView, model: str, now: float) -> str | None:
        """Return the adapter version to evict for ``model``, or None."""


def first_allowed(view: RunnerView, requests: Iterable[Waiting]) -> Waiting | None:
    """Return the first request that may run; suspects run one at a time."""
    suspect_running = view.suspects_running()
    return next(
        (waiting for waiting in requests if not (suspect_running and waiting.suspect)),
        None,
    )


def _queues_without_adapter(view: RunnerView) -> Iterator[tuple[str, ModelQueue]]:
    resident = set(view.resident())
    return (pair for pair in view.queues() if pair[0] not in resident)


def _length_and_age(queue: ModelQueue) -> tuple[int, float]:
    oldest = queue.oldest()
    return (len(queue), -oldest.enqueued_at if oldest is not None else 0.0)


class FifoLruPolicy(Policy):
    """Baseline: grants first in, first out, evicts the least recently used."""

    def pick_waiting(self, view: RunnerView, now: float) -> Waiting | None:
        """Return the oldest request whose adapter is resident."""
        heads = []
        for model in view.resident():
            queue = view.queue_of(model)
            heads.append(first_allowed(view, queue.interactive))
            heads.append(first_allowed(view, queue.background))
        return _oldest(heads)

    def pick_load(self, view: RunnerView, now: float) -> str | None:
        """Return the adapter of the oldest request whose adapter is not resident."""
        oldest = _oldest(queue.oldest() for _, queue in _queues_without_adapter(view))
        return oldest.model if oldest is not None else None

    def pick_victim(self, view: RunnerView, model: str, now: float) -> str | None:
        """Return the least recently used adapter that is not in use."""
        unpinned = [name for name in view.resident() if not view.is_in_use(name)]
        return min(unpinned, key=view.last_used, default=None)


def _oldest(requests: Iterable[Waiting | None]) -> Waiting | None:
    known = [request for request in requests if request is not None]
    return min(known, key=lambda request: request.enqueued_at, default=None)


class WeightedPolicy(Policy):
    """Weighs load stalls against batch efficiency.

    Interactive work goes first and may exceed the batch, since engines honour
    priorities. Among background jobs the shortest queue goes first, so that its slot
    is soon free for another adapter, while the rest of the batch goes to a long queue.
    Where load stalls weigh more, more slots hold adapters with long queues, whose loads
    end the most stalls, and one slot is reserved for interactive work; where batch
    efficiency weighs more, one long queue fills the batch while short queues use the
    other slots.
    """

    def __init__(self, cfg: PolicySettings) -> None:
        self._cfg = cfg
        stalls_weigh_more = cfg.load_stall_weight >= cfg.batch_efficiency_weight
        self._deep_slots = DEEP_SLOTS_FOR_STALLS if stalls_weigh_more else 1
        self._reserved_slots = 1 if stalls_weigh_more else 0

    def max_running(self, batch: int) -> int:
        """Return the batch plus the excess allowed to interactive work."""
        return batch + max(1, int(batch * self._cfg.quick_overcommit))

    def pick_waiting(self, view: RunnerView, now: float) -> Waiting | None:
        """Return the oldest interactive request, or a background one.

        The latter is taken from the shortest queue, unless the oldest one is starving.
        It goes first if it is older by more than ``starvation_s``.
        """
        queues = [view.queue_of(model) for model in view.resident()]
        interactive = _oldest(
            first_allowed(view, queue.interactive) for queue in queues
        )
        if view.running() >= view.batch:
            return interactive
        background = self._pick_background(view, queues, now)
        if interactive is None or background is None:
            return interactive or background
        overdue = self._age(background, now) > 1.0 + self._age(interactive, now)
        return background if overdue else interactive

    def _pick_background(
        self, view: RunnerView, queues: list[ModelQueue], now: float
    ) -> Waiting | None:
        heads = [
            (view.pins(head.model) + len(queue), head.enqueued_at, head)
            for queue in queues
            if (head := first_allowed(view, queue.background)) is not None
        ]
        oldest = _oldest(head for _, _, head in heads)
        if oldest is None or self._is_starving(oldest, now):
            return oldest
        return min(heads, key=lambda entry: entry[:2])[2]

    def _age(self, waiting: Waiting, now: float) -> float:
        return (now - waiting.enqueued_at) / self._cfg.starvation_s

    def _is_starving(self, waiting: Waiting, now: float) -> bool:
        return self._age(waiting, now) > STARVATION_FACTOR

    def pick_load(self, view: RunnerView, now: float) -> str | None:
        """Return an adapter for interactive work, or else the best background one."""
        absent = list(_queues_without_adapter(view))
        interactive = _oldest(
            queue.interactive[0] for _, queue in absent if queue.interactive
        )
        if interactive is not None:
            return interactive.model
        reserved = self._reserved_slots if view.slots > MIN_SLOTS_TO_RESERVE else 0
        if self._wanted_slots(view) >= view.slots - reserved:
            return None
        oldest = _oldest(queue.oldest() for _, queue in absent)
        if oldest is not None and self._is_starving(oldest, now):
            return oldest.model
        return self._pick_by_depth(view, absent)

    def _wanted_slots(self, view: RunnerView) -> int:
        """Return how many resident adapters are in use or have waiting requests."""
        return sum(
            view.is_in_use(name) or len(view.queue_of(name)) > 0
            for name in view.resident()
        )

    def _pick_by_depth(
        self, view: RunnerView, absent: list[tuple[str, ModelQueue]]
    ) -> str | None:
        """Return the adapter with the longest queue of ``absent``.

        A load ends the stalls of all requests that wait for it, so the longest queue
        comes first. Few loads are needed to fill the batch from long queues, so once
        enough of those adapters are resident only short queues are considered, and the
        rest of the store's rate goes to them.
        """
        deep = sum(
            len(view.queue_of(name)) + view.pins(name) > SHORT_QUEUE_LENGTH
            for name in view.resident()
        )
        short = [pair for pair in absent if len(pair[1]) <= SHORT_QUEUE_LENGTH]
        candidates = short if short and deep >= self._deep_slots else absent
        longest = max(
            candidates, key=lambda pair: _length_and_age(pair[1]), default=None
        )
        return longest[0] if longest is not None else None

    def pick_victim(self, view: RunnerView, model: str, now: float) -> str | None:
        """Return the unused adapter with the least waiting and expected work.

        An adapter that requests wait for is evicted only for interactive work, and only
        if all of those requests are background jobs.
        """
        interactive = bool(view.queue_of(model).interactive)
        best, best_value = None, float("inf")
        for name in view.resident():
            if view.is_in_use(name):
                continue
            waiting = view.queue_of(name)
            if len(waiting) and (waiting.interactive or not interactive):
                continue
            value = len(waiting) * view.batch + view.demand(name, now)
            if value < best_value:
                best, best_value = name, value
        return best


def make_policy(cfg: PolicySettings) -> Policy:
    """Return the policy named by the settings."""
    if cfg.name == "fifo-lru":
        return FifoLruPolicy()
    return WeightedPolicy(cfg)
