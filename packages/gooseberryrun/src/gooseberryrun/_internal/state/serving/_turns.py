"""Turns of requests at runners that take only so many a second from all VMs.

Made for loads in which callers come to many VMs and a runner in need takes fewer
requests than these VMs would send: one VM spaces the requests of all, and each request
learns at once whether its turn comes in time.
"""

from __future__ import annotations

import msgspec

MIN_RATE_PER_S = 0.1
"""Lowest rate of turns, so that a response tells when a limit has ended."""
MAX_TURN_WAIT_S = 1.2
"""Longest time between the grant of a turn and the turn."""
PERMIT_TTL_S = 1.0
"""Time after its turn for which a permit may be used."""
MAX_CREDIT_S = 1.0
"""Longest time without requests that allows another one at once."""
IDLE_TTL_S = 30.0
"""Time after which the schedule of a runner without requests is dropped."""


class Turn(msgspec.Struct, frozen=True, array_like=True):
    """Next turn at a runner, in ``wait_s`` seconds; the request has it if granted."""

    is_granted: bool
    wait_s: float


class Permit(msgspec.Struct, frozen=True):
    """Turn that a request has at a runner, on a clock that counts suspensions."""

    runner: str
    turn_at: float

    def is_valid(self, runner: str, now: float) -> bool:
        """Return whether the permit is for this runner and has not expired."""
        return self.runner == runner and now <= self.turn_at + PERMIT_TTL_S


def turn_interval_s(rate_per_s: float) -> float:
    """Return the seconds between two turns at a rate."""
    return 1.0 / max(rate_per_s, MIN_RATE_PER_S)


class _Schedule(msgspec.Struct):
    """Time of the last turn at a runner, and of the last request for one."""

    last_turn_at: float
    asked_at: float


class TurnSchedules:
    """Schedules of turns, by runner; all times are seconds on one clock.

    A new schedule begins with a whole interval, since another VM may have granted
    turns until now.
    """

    def __init__(self) -> None:
        self._schedules: dict[str, _Schedule] = {}

    def take(
        self, runner: str, rate_per_s: float, max_wait_s: float, now: float
    ) -> Turn:
        """Grant the next turn if it comes within ``max_wait_s`` seconds."""
        schedule = self._schedules.get(runner)
        if schedule is None:
            self._drop_idle(now)
            schedule = self._schedules[runner] = _Schedule(now, now)
        schedule.asked_at = now
        interval_s = turn_interval_s(rate_per_s)
        earliest = now - min(interval_s, MAX_CREDIT_S)
        turn_at = max(schedule.last_turn_at + interval_s, earliest)
        wait_s = max(0.0, turn_at - now)
        if wait_s > min(max_wait_s, MAX_TURN_WAIT_S):
            return Turn(False, wait_s)
        schedule.last_turn_at = turn_at
        return Turn(True, wait_s)

    def _drop_idle(self, now: float) -> None:
        self._schedules = {
            runner: schedule
            for runner, schedule in self._schedules.items()
            if now - schedule.asked_at <= IDLE_TTL_S
        }


class ExpectedTurns:
    """When the next turn at each limited runner is expected, from the last answers."""

    def __init__(self) -> None:
        self._turn_at: dict[str, float] = {}

    def record(self, runner: str, turn: Turn, rate_per_s: float, now: float) -> None:
        """Record the answer to a request for a turn, and drop past turns."""
        self._turn_at = {r: at for r, at in self._turn_at.items() if at > now}
        taken_s = turn_interval_s(rate_per_s) if turn.is_granted else 0.0
        self._turn_at[runner] = now + turn.wait_s + taken_s

    def wait_s(self, runner: str, now: float) -> float:
        """Return the seconds until the next turn."""
        return max(0.0, self._turn_at.get(runner, now) - now)
