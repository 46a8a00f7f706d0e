"""Eventlet hub on asyncio that is driven by event loop callbacks.

Eventlet's own asyncio hub creates a task and a timeout for each of its iterations,
which costs several event loop iterations per message. That is expensive in processes
that wake up hundreds of times a second, so this hub fires its timers from a callback
of the loop instead.
"""

from __future__ import annotations

import asyncio
from typing import Any

from eventlet.hubs.asyncio import Hub as AsyncioHub
from eventlet.hubs.hub import BaseHub


class Hub(AsyncioHub):  # type: ignore[misc]
    """Fires timers when they are due and handles socket events reported by asyncio."""

    def __init__(self) -> None:
        super().__init__()
        self.running = False
        self._iteration_handle: asyncio.Handle | None = None
        self._iteration_at = float("inf")

    @staticmethod
    def is_available() -> bool:
        """Return True, so that eventlet accepts the hub on this platform."""
        return True

    def add_timer(self, timer: Any) -> float:
        """Register a timer; return the time of the hub's clock at which it is due."""
        due_at: float = BaseHub.add_timer(self, timer)
        self._schedule_iteration(due_at)
        return due_at

    def _file_cb(self, cb: Any, fileno: int) -> None:
        super()._file_cb(cb, fileno)
        if self.closed:
            self._schedule_iteration(0.0)

    def _schedule_iteration(self, at: float) -> None:
        """Schedule an iteration at clock time ``at``, unless one is due earlier."""
        if not self.running or at >= self._iteration_at:
            return
        if self._iteration_handle is not None:
            self._iteration_handle.cancel()
        self._iteration_at = at
        if at <= self.clock():
            self._iteration_handle = self.loop.call_soon(self._run_iteration)
        else:
            self._iteration_handle = self.loop.call_at(at, self._run_iteration)

    def _run_iteration(self) -> None:
        self._iteration_handle = None
        self._iteration_at = float("inf")
        while self.closed:
            self.close_one()
        self.prepare_timers()
        self.fire_timers(self.clock())
        self.prepare_timers()
        if self.stopping:
            self.loop.stop()
            return
        next_at = self.sleep_until()
        if next_at is not None:
            self._schedule_iteration(next_at)

    def run(self, *_args: Any, **_kwargs: Any) -> None:
        """Run until the hub is stopped."""
        if self.running:
            raise RuntimeError("the hub is already running")
        self.running = True
        self.stopping = False
        self._schedule_iteration(0.0)
        try:
            self.loop.run_forever()
        finally:
            self.running = False
            self.stopping = False
            self.timers_canceled = 0
            del self.timers[:]
            del self.next_timers[:]
