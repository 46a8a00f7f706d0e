"""Periodic removal of what is known of runners and VMs that are gone."""

from __future__ import annotations

import eventlet

from .._events import log_event
from .._tasks import spawn_until_done
from ._context import Context
from ._directory_log import DirectoryLog
from ._ticks import sleep_until_tick

CLEANUP_INTERVAL_S = 30.0
"""Interval at which what is known of runners and VMs that are gone is dropped."""


class Sweep:
    """Removes expired runners soon, and old figures of runners and VMs later."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._log = DirectoryLog()

    def start(self) -> None:
        """Start both loops in green threads."""
        spawn_until_done("directory_sweep", self._remove_expired)
        spawn_until_done("cleanup", self._forget_gone)

    def _remove_expired(self) -> None:
        while True:
            sleep_until_tick(self._ctx.clock)
            now = self._ctx.clock.monotonic()
            for runner in self._ctx.directory.expire(now):
                log_event(
                    "runner_gone",
                    runner=runner,
                    why="expired entry was not written again",
                )
            self._log.log_settled(self._ctx.directory.settle(now))

    def _forget_gone(self) -> None:
        while True:
            eventlet.sleep(CLEANUP_INTERVAL_S)
            self._ctx.forget_gone()
