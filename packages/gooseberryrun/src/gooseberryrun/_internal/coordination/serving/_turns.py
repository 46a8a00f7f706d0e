"""Turns at runners that limit their requests, agreed between all VMs.

The VM to which a runner is assigned grants the turns of all VMs, whatever VM a caller
comes to. While it does not answer, a deputy does; a VM that reaches none of them keeps
to its own share of the limit.
"""

from __future__ import annotations

from itertools import islice

import eventlet

from gooseberryrun._internal.state.serving import (
    MAX_TURN_WAIT_S,
    ExpectedTurns,
    Permit,
    RateLimit,
    Runner,
    Turn,
    TurnSchedules,
)

from .._events import log_event
from .._metrics import TURNS
from .._ports import InboundMessage
from .._serving_messages import TurnAnswer, TurnRequest
from ._active_request import ActiveRequest
from ._context import Context
from ._fleet_knowledge import known_vm_count
from ._granters import Granters
from ._statements import record_limit

GRANTERS = 3
"""VMs that are asked for a turn: that of the runner, and its deputies."""
ANSWER_TIMEOUT_S = 0.25


class Turns:
    """Gets turns for this VM's requests, and grants those of runners assigned to it."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._granted = TurnSchedules()
        self._own_share = TurnSchedules()
        self._expected = ExpectedTurns()
        self._peers = Granters(ctx, ANSWER_TIMEOUT_S)

    def expected_wait_s(self, runner: Runner, now: float) -> float:
        """Return the expected wait for a turn, 0 at a runner without a limit."""
        if self._ctx.statements.limit_per_s(runner, now) is None:
            return 0.0
        return self._expected.wait_s(runner.id, now)

    def is_in_time(self, active: ActiveRequest, runner: Runner, now: float) -> bool:
        """Return whether a request's turn at a runner is expected in time."""
        wait_s = self.expected_wait_s(runner, now)
        return wait_s <= 0.0 or wait_s <= self._longest_wait_s(active, now)

    def _longest_wait_s(self, active: ActiveRequest, now: float) -> float:
        """Return the longest time for which a request may wait for a turn."""
        policy = self._ctx.policy
        per_target_s = policy.max_turn_wait_per_target * active.route.target_latency_s
        return min(per_target_s, active.longest_wait_s(policy, now), MAX_TURN_WAIT_S)

    def take(self, active: ActiveRequest, runner: Runner) -> bool:
        """Get a turn for a request, unless it has one or the runner has no limit.

        Return False if no turn comes in time.
        """
        now = self._ctx.clock.monotonic()
        limit_per_s = self._ctx.statements.limit_per_s(runner, now)
        boottime = self._ctx.clock.boottime()
        if limit_per_s is None:
            return True
        if active.permit and active.permit.is_valid(runner.id, boottime):
            return True
        max_wait_s = self._longest_wait_s(active, now)
        turn = self._request(active, runner, limit_per_s, max_wait_s)
        self._expected.record(runner.id, turn, limit_per_s, self._ctx.clock.monotonic())
        if not turn.is_granted:
            active.permit = None
            return False
        turn_at = self._ctx.clock.boottime() + turn.wait_s
        active.permit = Permit(runner.id, turn_at)
        return True

    def wait_for(self, active: ActiveRequest, runner: Runner) -> bool:
        """Wait for a request's turn and use it; return whether it may be sent now."""
        if not self.take(active, runner):
            return False
        permit, active.permit = active.permit, None
        if permit is None or permit.runner != runner.id:
            return True
        eventlet.sleep(max(0.0, permit.turn_at - self._ctx.clock.boottime()))
        return permit.is_valid(runner.id, self._ctx.clock.boottime())

    def _request(
        self,
        active: ActiveRequest,
        runner: Runner,
        limit_per_s: float,
        max_wait_s: float,
    ) -> Turn:
        """Ask the VMs that may grant a turn, one after another."""
        turn = None
        granter = ""
        for granter in self._granters(runner):
            turn = self._ask(granter, active, runner, limit_per_s, max_wait_s)
            if turn is not None:
                break
        if turn is None:
            granter = "own_share"
            share_per_s = limit_per_s / max(1, known_vm_count(self._ctx))
            now = self._ctx.clock.monotonic()
            turn = self._own_share.take(runner.id, share_per_s, max_wait_s, now)
        outcome = "granted" if turn.is_granted else "refused"
        TURNS.labels(outcome=outcome).inc()
        log_event(
            "turn",
            request=active.metadata.request_id,
            runner=runner.id,
            limit_per_s=limit_per_s,
            granter=granter,
            wait_s=turn.wait_s,
            max_wait_s=max_wait_s,
            outcome=outcome,
        )
        return turn

    def _granters(self, runner: Runner) -> list[str]:
        """Return the VM that grants a runner's turns, and its deputies."""
        return list(islice(self._peers.ranked(runner), GRANTERS))

    def _ask(
        self,
        granter: str,
        active: ActiveRequest,
        runner: Runner,
        limit_per_s: float,
        max_wait_s: float,
    ) -> Turn | None:
        """Ask one VM for a turn; return None if it does not answer."""
        now = self._ctx.clock.monotonic()
        if granter == self._ctx.vm:
            return self._granted.take(runner.id, limit_per_s, max_wait_s, now)
        limit, age_s = self._ctx.statements.newest(runner.id, now)
        request = TurnRequest(
            runner.id, active.metadata.request_id, max_wait_s, limit, age_s
        )
        answer = self._peers.ask(
            granter, request, TurnAnswer, active.metadata.request_id
        )
        if answer is None:
            return None
        self._record(granter, runner.id, answer.limit, answer.age_s)
        return answer.turn

    def handle_turn_request(
        self, inbound: InboundMessage, request: TurnRequest
    ) -> None:
        """Grant a peer's request a turn, or tell when the next one comes."""
        self._record(inbound.sender, request.runner, request.limit, request.age_s)
        now = self._ctx.clock.monotonic()
        limit, age_s = self._ctx.statements.newest(request.runner, now)
        if limit.per_s is None:
            inbound.reply(TurnAnswer(Turn(True, 0.0), limit, age_s))
            return
        turn = self._granted.take(request.runner, limit.per_s, request.max_wait_s, now)
        inbound.reply(TurnAnswer(turn, limit, age_s))

    def _record(self, source: str, runner: str, limit: RateLimit, age_s: float) -> None:
        at = self._ctx.clock.monotonic() - max(0.0, age_s)
        record_limit(self._ctx, runner, limit, at, source)
