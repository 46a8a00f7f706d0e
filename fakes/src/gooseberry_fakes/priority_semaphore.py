"""Semaphore with priorities, for the batch of the stand-in engine."""

from __future__ import annotations

import heapq
import itertools

from eventlet.event import Event


class PrioritySemaphore:
    """Counting semaphore that serves waiters by priority, equal ones in order.

    A lower number is a higher priority.
    """

    def __init__(self, count: int) -> None:
        self._free = count
        self._waiting: list[tuple[int, int, Event]] = []
        self._order = itertools.count()

    def acquire(self, priority: int) -> None:
        """Take a permit, waiting for one if none is free."""
        if self._free:
            self._free -= 1
            return
        granted = Event()
        entry = (priority, next(self._order), granted)
        heapq.heappush(self._waiting, entry)
        try:
            granted.wait()
        except BaseException:
            self._cancel(entry)
            raise

    def _cancel(self, entry: tuple[int, int, Event]) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
            heapq.heapify(self._waiting)
        else:
            self.release()

    def release(self) -> None:
        """Pass a permit to the first waiter, or free it."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].send()
        else:
            self._free += 1

    def yield_to_higher(self, priority: int) -> None:
        """Pass the permit to a waiter of higher priority, if any, and wait again."""
        if self._waiting and self._waiting[0][0] < priority:
            self.release()
            self.acquire(priority)
