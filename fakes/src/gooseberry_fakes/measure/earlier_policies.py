"""Earlier versions of the project's policy, kept as rivals."""

from __future__ import annotations

import gooseberryrun._internal.coordination as coordination

from .workload import Scenario

QUICK_LOAD_WEIGHT = 100.0
STARVATION_S = 60.0
RESERVED_PLACES = 1


class FirstPolicy(coordination.Policy):
    """First version: urgency by age, loads by urgency and fill, one place reserved."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario

    def pick_waiting(
        self, view: coordination.RunnerView, now: float
    ) -> coordination.Waiting | None:
        """Return the most urgent request whose adapter is resident."""
        full = view.running() >= view.batch - RESERVED_PLACES
        heads = []
        for model in view.resident():
            queue = view.queue_of(model)
            heads += list(queue.interactive)[:1]
            heads += [] if full else list(queue.background)[:1]
        return max(heads, key=lambda one: self._urgency(one, now), default=None)

    def _urgency(self, waiting: coordination.Waiting, now: float) -> float:
        age = (now - waiting.enqueued_at) / STARVATION_S
        return age if waiting.is_background() else 1.0 + age

    def pick_load(self, view: coordination.RunnerView, now: float) -> str | None:
        """Return the waiting adapter whose load is worth most."""
        resident = set(view.resident())
        worths = [
            (self._worth(view, queue, now), model)
            for model, queue in view.queues()
            if model not in resident and self._may_load(view, queue)
        ]
        return max(worths, default=(0.0, None))[1]

    def _may_load(
        self, view: coordination.RunnerView, queue: coordination.ModelQueue
    ) -> bool:
        return True

    def _worth(
        self, view: coordination.RunnerView, queue: coordination.ModelQueue, now: float
    ) -> float:
        stall = sum(self._urgency(waiting, now) + 0.1 for waiting in queue)
        return self._weigh(view, queue, stall)

    def _weigh(
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
        """Return the unpinned adapter with the least work waiting and expected."""
        gain = self._worth(view, view.queue_of(model), now)
        values = []
        for name in view.resident():
            waiting = view.queue_of(name)
            kept = len(waiting) and self._worth(view, waiting, now) >= gain
            if not view.is_in_use(name) and not kept:
                demand = view.demand(name, now)
                values.append((len(waiting) * view.batch + demand, name))
        return min(values, default=(0.0, None))[1]


class SecondPolicy(FirstPolicy):
    """Second version: quick loads first, and one adapter slot kept for them."""

    def _may_load(
        self, view: coordination.RunnerView, queue: coordination.ModelQueue
    ) -> bool:
        in_use = sum(view.is_in_use(name) for name in view.resident())
        return in_use < view.slots - 1 or bool(queue.interactive)

    def _worth(
        self, view: coordination.RunnerView, queue: coordination.ModelQueue, now: float
    ) -> float:
        oldest = queue.oldest()
        age = (now - oldest.enqueued_at) / STARVATION_S if oldest else 0.0
        stall = len(queue) + QUICK_LOAD_WEIGHT * len(queue.interactive) + 0.05 * age
        return self._weigh(view, queue, stall)
