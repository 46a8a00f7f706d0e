"""Which runners may get a request now, by what they say of themselves."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import Runner

from ._active_request import ActiveRequest, LocalResponse
from ._context import Context
from ._responses import failure_response, refusal_until
from ._turns import Turns


class Availability:
    """Tells which runners may get requests, and when, if none may."""

    def __init__(self, ctx: Context, turns: Turns) -> None:
        self._ctx = ctx
        self._turns = turns

    def may_serve(self, active: ActiveRequest, runner: Runner, now: float) -> bool:
        """Return whether a runner may be chosen for a request."""
        if runner.id in active.tried or runner.id in active.ungranted:
            return False
        if self._ctx.pauses.is_down(runner.id, now):
            return False
        if self._ctx.pauses.left_s(runner, now) > 0.0:
            return False
        return self._turns.is_in_time(active, runner, now)

    def may_send(self, runner: Runner, now: float) -> bool:
        """Return whether a runner that was chosen before a wait may still be used."""
        if not self._ctx.directory.takes_new_work(runner, now):
            return False
        return self._ctx.pauses.left_s(runner, now) <= 0.0

    def refusal(
        self, active: ActiveRequest, reason: str, retry_in_s: float, now: float
    ) -> LocalResponse:
        """Return the response to a request that no runner takes in time.

        If all of them limit their requests or asked for a pause, it may come again when
        the first of them takes one.
        """
        wait_s = self._shortest_wait_s(active.service, now)
        if wait_s <= 0.0:
            return failure_response(active, reason, retry_in_s)
        return refusal_until(active, "runners_limited", max(retry_in_s, wait_s))

    def _shortest_wait_s(self, service: str, now: float) -> float:
        """Return the shortest time after which a runner of a service is available."""
        waits = [
            max(
                self._ctx.pauses.left_s(runner, now),
                self._turns.expected_wait_s(runner, now),
            )
            for runner in self._ctx.directory.runners(service, now)
        ]
        return min(waits, default=0.0)
