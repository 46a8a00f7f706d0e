"""Finds out whether this VM is cut off from all runners, and when that has ended."""

from __future__ import annotations

import random
from collections.abc import Callable

from eventlet.greenpool import GreenPool

from gooseberryrun._internal.state.serving import Runner

from .._events import log_event
from .._metrics import RUNNERS_CUT_OFF
from .._tasks import spawn_until_done
from ._context import Context
from ._ticks import sleep_until_tick

PROBED_RUNNERS = 3
"""Runners that are tried at a time, beside those that requests try."""


class Reach:
    """Watches the connections to runners; ``on_change`` is called with each verdict."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.on_change: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Start the checks in a green thread."""
        spawn_until_done("reach", self._run)

    def record_connection(self, runner: Runner, is_open: bool) -> None:
        """Record an attempt to open a connection to a runner, or to another VM."""
        if self._ctx.directory.runner(runner.id) is None:
            return
        if is_open:
            self._ctx.reach.record_opened(self._ctx.clock.monotonic())
        else:
            self._ctx.reach.record_unreached(runner.id)

    def _run(self) -> None:
        while True:
            sleep_until_tick(self._ctx.clock)
            self.check()

    def check(self) -> None:
        """Try some runners if need be, and decide whether this VM is cut off."""
        reach = self._ctx.reach
        if reach.needs_probe():
            self._probe()
            reach.is_asked = False
        now = self._ctx.clock.monotonic()
        is_cut_off = reach.unreached > 0 and (
            reach.is_cut_off or reach.seems_cut_off(now)
        )
        if is_cut_off is reach.is_cut_off:
            return
        reach.is_cut_off = is_cut_off
        RUNNERS_CUT_OFF.set(is_cut_off)
        if is_cut_off:
            self._ctx.ports.requests.close_idle()
        log_event(
            "runners_cut_off" if is_cut_off else "runners_reached",
            unreached=reach.unreached,
            peers_in_reach=len(reach.peers_in_reach(now)),
        )
        self.on_change()

    def _probe(self) -> None:
        """Open connections to some runners, those first that were not missed yet."""
        runners = self._ctx.directory.all_runners()
        random.shuffle(runners)
        runners.sort(key=lambda runner: self._ctx.reach.has_missed(runner.id))
        pool = GreenPool(PROBED_RUNNERS)
        for runner in runners[:PROBED_RUNNERS]:
            pool.spawn(self._ctx.ports.requests.probe, runner)
        pool.waitall()
