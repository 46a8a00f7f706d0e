"""Whether this VM knows the runners as they are now, before it relies on that.

A VM that was cut off or stood still knows an old registry and hears of nothing newer,
so what it has not heard of proves nothing: only a read of the store that succeeds now
does, or that no VM can have read more.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from eventlet.event import Event
from eventlet.timeout import Timeout

from .._tasks import spawn
from ._context import Context
from ._fleet_knowledge import knows_registry_of_all

CHECK_TIMEOUT_S = 0.3
"""Longest wait for the store before the registry counts as unconfirmed."""
FRESH_S = 0.1
"""Time for which a successful read confirms the registry."""


class RegistryCheck:
    """Reads the registry of runners on demand, once for all that wait for it.

    ``read`` reads the latest records of the registry and returns whether it could.
    """

    def __init__(self, ctx: Context, read: Callable[[], bool]) -> None:
        self._ctx = ctx
        self._read = read
        self._reading: Event | None = None
        self._confirmed_at = -math.inf

    def is_current(self) -> bool:
        """Return whether no VM can know of other runners than this one."""
        if self._ctx.clock.boottime() - self._confirmed_at <= FRESH_S:
            return True
        return self._is_read() or knows_registry_of_all(self._ctx)

    def _is_read(self) -> bool:
        """Wait for a read; return whether it succeeded in time."""
        if self._reading is None:
            self._reading = Event()
            spawn("registry_check", self._run)
        reading = self._reading
        with Timeout(CHECK_TIMEOUT_S, False):
            return bool(reading.wait())
        return False

    def _run(self) -> None:
        started_at = self._ctx.clock.boottime()
        is_read = False
        try:
            is_read = self._read()
        finally:
            if is_read:
                self._confirmed_at = started_at
            reading, self._reading = self._reading, None
            if reading is not None:
                reading.send(is_read)
