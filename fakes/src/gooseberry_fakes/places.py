"""Batch places of the stand-in for a model engine."""

from __future__ import annotations

import heapq
import itertools

from eventlet.event import Event


class Places:
    """Places that requests hold; a lower number has the higher priority."""

    def __init__(self, count: int) -> None:
        self._free = count
        self._waiting: list[tuple[int, int, Event]] = []
        self._order = itertools.count()

    def acquire(self, priority: int) -> None:
        """Take a place, after everybody of higher priority who waits."""
        if self._free:
            self._free -= 1
            return
        turn = Event()
        entry = (priority, next(self._order), turn)
        heapq.heappush(self._waiting, entry)
        try:
            turn.wait()
        except BaseException:
            self._give_up(entry)
            raise

    def _give_up(self, entry: tuple[int, int, Event]) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
            heapq.heapify(self._waiting)
        else:
            self.release()

    def release(self) -> None:
        """Give a place back."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].send()
        else:
            self._free += 1

    def give_way(self, priority: int) -> None:
        """Let a request of higher priority run first, if one waits."""
        if self._waiting and self._waiting[0][0] < priority:
            self.release()
            self.acquire(priority)
