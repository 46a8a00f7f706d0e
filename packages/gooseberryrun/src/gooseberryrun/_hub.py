"""Hub of the green threads on asyncio, woken by callbacks instead of a coroutine.

Answers processes that wake some hundred times a second: the hub of eventlet makes a
task and a timeout for each of its rounds, which costs several turns of the event loop
for one message. This one fires the timers from a callback of the loop.
"""

from __future__ import annotations

import asyncio
from typing import Any

from eventlet.hubs.asyncio import Hub as AsyncioHub
from eventlet.hubs.hub import BaseHub


class Hub(AsyncioHub):  # type: ignore[misc]
    """Fires timers when they are due and serves sockets as asyncio reports them."""

    def __init__(self) -> None:
        super().__init__()
        self.running = False
        self._round: asyncio.Handle | None = None
        self._round_at = float("inf")

    @staticmethod
    def is_available() -> bool:
        """Tell eventlet that the hub runs on this platform."""
        return True

    def add_timer(self, timer: Any) -> float:
        """Register a timer; return the time of the clock at which it is due."""
        due_at: float = BaseHub.add_timer(self, timer)
        self._plan_round(due_at)
        return due_at

    def _file_cb(self, cb: Any, fileno: int) -> None:
        super()._file_cb(cb, fileno)
        if self.closed:
            self._plan_round(0.0)

    def _plan_round(self, at: float) -> None:
        """Run the next round at this time of the clock, or sooner if one is planned."""
        if not self.running or at >= self._round_at:
            return
        if self._round is not None:
            self._round.cancel()
        self._round_at = at
        if at <= self.clock():
            self._round = self.loop.call_soon(self._run_round)
        else:
            self._round = self.loop.call_at(at, self._run_round)

    def _run_round(self) -> None:
        self._round = None
        self._round_at = float("inf")
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
            self._plan_round(next_at)

    def run(self, *_args: Any, **_kwargs: Any) -> None:
        """Run until the hub is stopped."""
        if self.running:
            raise RuntimeError("the hub is running already")
        self.running = True
        self.stopping = False
        self._plan_round(0.0)
        try:
            self.loop.run_forever()
        finally:
            self.running = False
            self.stopping = False
            self.timers_canceled = 0
            del self.timers[:]
            del self.next_timers[:]
