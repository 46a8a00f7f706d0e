"""Whether this VM knows the runners as they are now, before it relies on that.

A VM that was cut off or stood still knows an old registry and hears of nothing newer,
so what it has not heard of proves nothing: only a read of the store that succeeds now
does, or that no VM can have read more.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from ._context import Context
from ._fleet_knowledge import knows_registry_of_all
from ._shared_read import SharedRead

CHECK_TIMEOUT_S = 0.3
"""Longest wait for the store before the registry counts as unconfirmed."""
FRESH_S = 0.1
"""Time for which a successful read confirms the registry."""


class RegistryCheck:
    """Reads the registry of runners on demand.

    ``read`` reads the latest records of the registry and returns whether it could.
    """

    def __init__(self, ctx: Context, read: Callable[[], bool]) -> None:
        self._ctx = ctx
        self._read = read
        self._shared_read = SharedRead("registry_check", self._read_and_note)
        self._confirmed_at = -math.inf

    def is_current(self) -> bool:
        """Return whether no VM can know of other runners than this one."""
        if self._ctx.clock.boottime() - self._confirmed_at <= FRESH_S:
            return True
        is_read = self._shared_read.wait(CHECK_TIMEOUT_S)
        return is_read or knows_registry_of_all(self._ctx)

    def _read_and_note(self) -> bool:
        started_at = self._ctx.clock.boottime()
        is_read = self._read()
        if is_read:
            self._confirmed_at = started_at
        return is_read
