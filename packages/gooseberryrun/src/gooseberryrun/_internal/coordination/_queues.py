"""Waiting requests of one runner, by adapter version and class."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from gooseberryrun._internal.state import WorkClass


@dataclass(frozen=True, slots=True)
class Waiting:
    """Request that waits at the owner for a grant; times are monotonic seconds."""

    request_id: str
    model: str
    vm: str
    boot: str
    work_class: WorkClass
    fingerprint: str
    suspect: bool
    enqueued_at: float
    deadline: float

    def is_background(self) -> bool:
        """Return whether the request belongs to a background job."""
        return self.work_class is WorkClass.BACKGROUND


class ModelQueue:
    """Waiting requests for one adapter version, oldest first within a class."""

    def __init__(self) -> None:
        self.interactive: deque[Waiting] = deque()
        self.background: deque[Waiting] = deque()

    def __len__(self) -> int:
        return len(self.interactive) + len(self.background)

    def __iter__(self) -> Iterator[Waiting]:
        yield from self.interactive
        yield from self.background

    def add(self, waiting: Waiting) -> None:
        """Add a request."""
        self._class_queue(waiting).append(waiting)

    def remove(self, waiting: Waiting) -> None:
        """Remove a request that is in the queue."""
        self._class_queue(waiting).remove(waiting)

    def oldest(self) -> Waiting | None:
        """Return the request that has waited longest."""
        heads = [queue[0] for queue in (self.interactive, self.background) if queue]
        return min(heads, key=lambda waiting: waiting.enqueued_at, default=None)

    def _class_queue(self, waiting: Waiting) -> deque[Waiting]:
        return self.background if waiting.is_background() else self.interactive


EMPTY_QUEUE = ModelQueue()
"""Queue of an adapter version without waiting requests."""


class RunnerQueues:
    """All waiting requests of one runner."""

    def __init__(self) -> None:
        self._by_model: dict[str, ModelQueue] = {}
        self._by_id: dict[str, Waiting] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def models(self) -> Iterator[tuple[str, ModelQueue]]:
        """Yield the adapter versions with waiting requests, and their queues."""
        return iter(self._by_model.items())

    def queue_of(self, model: str) -> ModelQueue:
        """Return the queue of one adapter version."""
        return self._by_model.get(model, EMPTY_QUEUE)

    def add(self, waiting: Waiting) -> None:
        """Add a request."""
        self._by_model.setdefault(waiting.model, ModelQueue()).add(waiting)
        self._by_id[waiting.request_id] = waiting

    def pop(self, request_id: str) -> Waiting | None:
        """Remove and return a request, or None if it is not in a queue."""
        waiting = self._by_id.pop(request_id, None)
        if waiting is None:
            return None
        queue = self._by_model[waiting.model]
        queue.remove(waiting)
        if not len(queue):
            del self._by_model[waiting.model]
        return waiting

    def pop_expired(self, now: float) -> list[Waiting]:
        """Remove and return the requests whose deadline has passed."""
        expired = [
            request for request in self._by_id.values() if request.deadline <= now
        ]
        for waiting in expired:
            self.pop(waiting.request_id)
        return expired

    def pop_all(self) -> list[Waiting]:
        """Remove and return every request."""
        removed = list(self._by_id.values())
        self._by_model.clear()
        self._by_id.clear()
        return removed
