"""Periodic checks of one process that fall together, to cost one wake-up."""

from __future__ import annotations

import random

import eventlet

from gooseberryrun._internal.state import Clock

TICK_S = 0.25
"""Interval of the checks of time-dependent state. It is a poll, not a timer at the next
deadline, since a timer stands still while the VM is suspended."""

MIN_SLEEP_S = 0.001

_PHASE_S = random.random()
"""Offset of the ticks of this process, so that VMs do not tick at the same time."""


def next_tick_in_s(now: float, interval_s: float, phase_s: float = _PHASE_S) -> float:
    """Return the seconds from ``now`` to the next tick.

    A tick that is due within ``MIN_SLEEP_S`` counts as this one, since timers may fire
    a little early: the result is at most ``interval_s + MIN_SLEEP_S``.
    """
    wait_s = interval_s - (now - phase_s) % interval_s
    return wait_s if wait_s >= MIN_SLEEP_S else wait_s + interval_s


def sleep_until_tick(clock: Clock, interval_s: float = TICK_S) -> None:
    """Sleep until the next tick, together with all who sleep for this interval."""
    eventlet.sleep(next_tick_in_s(clock.monotonic(), interval_s))
