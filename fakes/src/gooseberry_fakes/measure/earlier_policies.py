"""Earlier versions of the product's policy, kept as baselines."""

from __future__ import annotations

import gooseberryrun._internal.coordination as coordination

from .workload import Scenario

INTERACTIVE_LOAD_WEIGHT = 100.0
STARVATION_S = 60.0
RESERVED_BATCH_SLOTS = 1


class FirstPolicy(coordination.Policy):
    """First version: the most urgent request first, loads by urgency and batch fill.

    Urgency grows with age, and one batch slot is reserved for interactive requests.
    """

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario

    def pick_waiting(
        self, view: coordination.RunnerView, now: float
    ) -> coordination.Waiting | None:
        """Return the most urgent request whose adapter is resident."""
        full = view.running() >= view.batch - RESERVED_BATCH_SLOTS
        candidates = []
        for model in view.resident():
            queue = view.queue_of(model)
            candidates += list(queue.interactive)[:1]
            candidates += [] if full else list(queue.background)[:1]
        return max(candidates, key=lambda head: self._urgency(head, now), default=None)

    def _urgency(self, waiting: coordination.Waiting, now: float) -> float:
        age = (now - waiting.enqueued_at) / STARVATION_S
        return age if waiting.is_background() else 1.0 + age

    def pick_load(self, view: coordination.RunnerView, now: float) -> str | None:
        """Return the waiting adapter whose load has the highest value."""
        resident = set(view.resident())
        load_values = [
            (self._load_value(view, queue, now), model)
            for model, queue in view.queues()
            if model not in resident and self._is_load_allowed(view, queue)
        ]
        return max(load_values, default=(0.0, None))[1]

    def _is_load_allowed(
        self, view: coordination.RunnerView, queue: coordination.ModelQueue
    ) -> bool:
        return True

    def _load_value(
        self, view: coordination.RunnerView, queue: coordination.ModelQueue, now: float
    ) -> float:
        stall = sum(self._urgency(waiting, now) + 0.1 for waiting in queue)
        return self._weighted_value(view, queue, stall)

    def _weighted_value(
        self,
        view: coordination.RunnerView,
        queue: coordination.ModelQueue,
        stall: float,
    ) -> float:
        fill = min(len(queue), view.batch) / view.batch
        return (
            self._scenario.load_stall_weight * stall
            + self._scenario.batch_efficiency_weight * fill
        )

    def pick_victim(
        self, view: coordination.RunnerView, model: str, now: float
    ) -> str | None:
        """Return the adapter not in use with the least queued and expected work.

        Adapters whose queue is worth at least as much as the new one's are kept.
        """
        gain = self._load_value(view, view.queue_of(model), now)
        values = []
        for name in view.resident():
            waiting = view.queue_of(name)
            is_kept = len(waiting) and self._load_value(view, waiting, now) >= gain
            if not view.is_in_use(name) and not is_kept:
                demand = view.demand(name, now)
                values.append((len(waiting) * view.batch + demand, name))
        return min(values, default=(0.0, None))[1]


class SecondPolicy(FirstPolicy):
    """Second version: interactive loads first, one adapter slot reserved for them."""

    def _is_load_allowed(
        self, view: coordination.RunnerView, queue: coordination.ModelQueue
    ) -> bool:
        in_use = sum(view.is_in_use(name) for name in view.resident())
        return in_use < view.slots - 1 or bool(queue.interactive)

    def _load_value(
        self, view: coordination.RunnerView, queue: coordination.ModelQueue, now: float
    ) -> float:
        oldest = queue.oldest()
        age = (now - oldest.enqueued_at) / STARVATION_S if oldest else 0.0
        stall = (
            len(queue) + INTERACTIVE_LOAD_WEIGHT * len(queue.interactive) + 0.05 * age
        )
        return self._weighted_value(view, queue, stall)
