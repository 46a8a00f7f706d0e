"""Pauses of the requests to runners that ask for one or that were found down.

Made for loads in which runners are full: each refusal may say for how long the runner
wants nothing more. After that time one request at a time tries it, so that all that was
kept back does not come at once.
"""

from __future__ import annotations

import msgspec

from ._runners import Runner

MAX_PAUSE_S = 60.0
"""Longest pause at a time: one request after it learns whether the runner, which may
ask for any time by mistake, still wants one."""
FORGET_S = 60.0
"""Time after its end for which a pause is kept without a trial."""
TRIAL_S = 1.0
"""Time for which no other request follows the one that tries a runner."""


class _Pause(msgspec.Struct):
    """Pause of one incarnation of a runner, and of the others during a trial."""

    born_ms: int
    deadline: float
    trial_deadline: float = float("-inf")


class RunnerPauses:
    """Times without requests, by runner, in monotonic seconds.

    A runner asks for a pause itself, or this VM marks one down that it found full or
    unreachable.
    """

    def __init__(self) -> None:
        self._pauses: dict[str, _Pause] = {}
        self._down_until: dict[str, float] = {}

    def mark_down(self, runner: str, pause_s: float, now: float) -> None:
        """Send nothing to an unreachable or full runner for a time."""
        self._down_until = {r: end for r, end in self._down_until.items() if end > now}
        self._down_until[runner] = now + pause_s

    def is_down(self, runner: str, now: float) -> bool:
        """Return whether a runner is marked down."""
        return now < self._down_until.get(runner, now)

    def record_refusal(self, runner: Runner, pause_s: float, now: float) -> None:
        """Record that a runner wants nothing for a time."""
        deadline = now + min(max(0.0, pause_s), MAX_PAUSE_S)
        known = self._find(runner)
        if known is None:
            self._drop_old(now)
            self._pauses[runner.id] = _Pause(runner.born_ms, deadline)
        else:
            known.deadline = max(known.deadline, deadline)

    def record_accepted(self, runner: Runner, sent_at: float) -> bool:
        """End a pause that was over when the accepted request was sent.

        Returns whether it has ended: requests sent before the refusal tell nothing.
        """
        known = self._find(runner)
        if known is None or sent_at < known.deadline:
            return False
        del self._pauses[runner.id]
        return True

    def left_s(self, runner: Runner, now: float) -> float:
        """Return the seconds until a request may be sent to a runner."""
        known = self._find(runner)
        if known is None:
            return 0.0
        return max(0.0, known.deadline - now, known.trial_deadline - now)

    def begin_send(self, runner: Runner, now: float) -> None:
        """Keep other requests back while one tries a runner after its pause."""
        known = self._find(runner)
        if known is not None:
            known.trial_deadline = now + TRIAL_S

    def _drop_old(self, now: float) -> None:
        """Drop pauses that ended long ago, as of runners that are gone."""
        self._pauses = {
            runner: pause
            for runner, pause in self._pauses.items()
            if now - pause.deadline <= FORGET_S
        }

    def _find(self, runner: Runner) -> _Pause | None:
        """Return the pause of a runner's incarnation."""
        known = self._pauses.get(runner.id)
        is_current = known is not None and known.born_ms == runner.born_ms
        return known if is_current else None
