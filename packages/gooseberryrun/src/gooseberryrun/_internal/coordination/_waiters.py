"""Waits for changes of replicated state, by key."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import TypeVar

from eventlet.event import Event
from eventlet.timeout import Timeout

from gooseberryrun._internal.state import Clock

T = TypeVar("T")


class Waiters:
    """Green threads that wait for a change under a key, such as ``job:ID``."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._events: dict[str, list[Event]] = defaultdict(list)

    def notify(self, key: str) -> None:
        """Wake all green threads that wait for ``key``."""
        for event in self._events.pop(key, []):
            event.send()

    def wait(
        self, key: str, probe: Callable[[], T | None], deadline: float
    ) -> T | None:
        """Wait until ``probe`` returns a value; return None at the deadline.

        ``probe`` is called at once and after each change under ``key``.
        """
        while True:
            value = probe()
            if value is not None:
                return value
            left_s = deadline - self._clock.monotonic()
            if left_s <= 0 or not self._wait_once(key, left_s):
                return probe()

    def _wait_once(self, key: str, left_s: float) -> bool:
        event = Event()
        self._events[key].append(event)
        with Timeout(left_s, False):
            event.wait()
            return True
        waiting = self._events.get(key, [])
        if event in waiting:
            waiting.remove(event)
        if not waiting:
            self._events.pop(key, None)
        return False
