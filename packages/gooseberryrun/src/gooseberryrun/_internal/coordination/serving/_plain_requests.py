"""Requests to plain services, whose responses are relayed once complete."""

from __future__ import annotations

import msgspec
from result import Err

from gooseberryrun._internal.state.serving import (
    Candidate,
    RouteKind,
    Runner,
    choose_plain_server,
)

from ._active_request import ActiveRequest, LocalResponse, Round
from ._attempts import Attempts, check_connected
from ._availability import Availability
from ._context import Context
from ._request_ports import AttemptFailure, ForwardingMetadata, RunnerResponse
from ._responses import (
    ResponseWriter,
    failure_response,
    is_valid_response,
    run_rounds,
)
from ._turns import Turns
from .accounts import UsageCaps, forwarded_account
from .admission import MAX_ASKS, PlainSlots
from .crossing import Crossing, Departure

MAX_SENDS = 5
"""Largest number of sends for one request."""
RETRY_SHARE = 0.35
"""Share of the time left after which a request is retried at another server."""
FULL_RETRY_S = 0.4
"""Retry delay sent after every server was full."""


class _Answer(msgspec.Struct, frozen=True):
    """Complete response of a server that is still to be relayed."""

    response: RunnerResponse
    body: bytes


class PlainRequests:
    """Serves requests whose responses are buffered before they are relayed."""

    def __init__(
        self,
        ctx: Context,
        turns: Turns,
        slots: PlainSlots,
        availability: Availability,
        attempts: Attempts,
        responses: ResponseWriter,
        crossing: Crossing,
        usage: UsageCaps,
    ) -> None:
        self._ctx = ctx
        self._crossing = crossing
        self._usage = usage
        self._turns = turns
        self._slots = slots
        self._availability = availability
        self._attempts = attempts
        self._responses = responses

    def serve(self, active: ActiveRequest) -> None:
        """Serve a request and respond to its caller."""
        rounds = MAX_SENDS + (MAX_ASKS if self._slots.is_enabled() else 0)
        outcome = run_rounds(
            active, rounds, FULL_RETRY_S, lambda: self._try_once(active)
        )
        if isinstance(outcome, LocalResponse):
            self._responses.send_local(active, outcome)

    def _try_once(self, active: ActiveRequest) -> LocalResponse | Round:
        """Choose a server and make one attempt."""
        if active.sends:
            check_connected(active)
        now = self._ctx.clock.monotonic()
        if now >= active.deadline:
            return failure_response(active, "deadline")
        is_spent = active.sends >= MAX_SENDS or self._slots.is_spent(active)
        runner = None if is_spent else self._choose(active, now)
        if runner is None:
            refusal = self._slots.refusal(active)
            return refusal or self._availability.refusal(
                active, "no_server", FULL_RETRY_S, now
            )
        if not self._turns.wait_for(active, runner):
            active.ungranted.add(runner.id)
            return Round.AGAIN
        if not self._slots.take(active, runner):
            return Round.AGAIN
        try:
            return self._attempt(active, runner)
        finally:
            self._slots.give_back(active, is_answered=False)

    def _attempt(self, active: ActiveRequest, runner: Runner) -> LocalResponse | Round:
        """Make one attempt at a server unless it became unavailable meanwhile."""
        if (refusal := self._usage.renew(active)) is not None:
            return refusal
        now = self._ctx.clock.monotonic()
        if not self._availability.may_send(runner, now):
            return Round.AGAIN
        if not self._attempts.withdraw_attempt(active):
            return failure_response(active, "repeat_budget", FULL_RETRY_S)
        self._ctx.loads.begin(runner.id, 0)
        try:
            answer = self._send(active, runner, self._attempt_deadline(active))
        finally:
            self._ctx.loads.end(runner.id)
        return self._relay(active, answer) if isinstance(answer, _Answer) else answer

    def _relay(self, active: ActiveRequest, answer: _Answer) -> Round:
        """Relay an answer; its server is free, however slowly the caller reads."""
        try:
            self._responses.relay(active, answer.response, answer.body)
        finally:
            answer.response.close()
        return Round.DONE

    def _send(
        self, active: ActiveRequest, runner: Runner, deadline: float
    ) -> LocalResponse | Round | _Answer:
        left_s = active.deadline - self._ctx.clock.monotonic()
        forwarding = ForwardingMetadata(
            runner.id, left_s, account=forwarded_account(self._ctx, active)
        )
        sent = self._attempts.send(active, runner, forwarding, deadline)
        if isinstance(sent, Err):
            return self._after_fault(active, sent.err_value.failure)
        response = sent.ok_value
        answer: LocalResponse | Round | _Answer = Round.AGAIN
        try:
            if not response.metadata.is_not_run:
                answer = self._handle_response(active, runner, response)
            return answer
        finally:
            if isinstance(answer, _Answer):
                response.release()
            else:
                response.close()

    def _handle_response(
        self, active: ActiveRequest, runner: Runner, response: RunnerResponse
    ) -> LocalResponse | Round | _Answer:
        body = response.read_all(active.deadline)
        self._slots.give_back(active, is_answered=not isinstance(body, Err))
        if isinstance(body, Err):
            self._attempts.record_invalid_response(active, runner, body.err_value)
            return self._after_fault(active, body.err_value.failure)
        if not is_valid_response(response):
            return self._after_fault(active, AttemptFailure.INVALID_RESPONSE)
        now = self._ctx.clock.monotonic()
        is_failure = response.status >= 500
        self._ctx.loads.record_result(runner.id, ok=not is_failure, now=now)
        if is_failure and self._can_retry(active, now):
            return Round.AGAIN
        self._attempts.record_answer(active)
        return _Answer(response, body.ok_value)

    def _can_retry(self, active: ActiveRequest, now: float) -> bool:
        """Return whether a failure may be followed by another attempt."""
        if not active.may_retry or now >= active.deadline:
            return False
        if not self._attempts.has_retry_budget(active):
            return False
        return self._choose(active, now) is not None

    def _after_fault(
        self, active: ActiveRequest, failure: AttemptFailure
    ) -> LocalResponse | Round:
        if failure.is_not_run or active.may_retry:
            return Round.AGAIN
        is_late = failure is AttemptFailure.LATE
        return failure_response(active, "deadline" if is_late else "server_failed")

    def _attempt_deadline(self, active: ActiveRequest) -> float:
        """Return the attempt's deadline, which leaves time for a retry if allowed."""
        now = self._ctx.clock.monotonic()
        is_last = active.attempts + 1 >= active.route.max_attempts
        if active.route.kind is not RouteKind.SAFE or is_last:
            return active.deadline
        return now + RETRY_SHARE * (active.deadline - now)

    def _choose(self, active: ActiveRequest, now: float) -> Runner | None:
        candidates = self.candidates(active, self._crossing.select(active), now)
        choice = choose_plain_server(candidates, active.metadata.request_id)
        return choice.candidate.runner if choice else None

    def candidates(
        self, active: ActiveRequest, departure: Departure | None, now: float
    ) -> list[Candidate]:
        """Return the servers that may get a request now."""
        ctx = self._ctx
        return [
            Candidate(
                runner,
                ctx.loads.total(runner.id, now),
                self._is_local(runner),
                turn_wait_s=max(
                    self._turns.expected_wait_s(runner, now),
                    self._slots.expected_wait_s(active, runner),
                ),
                crossing_cost=self._crossing.plain_cost(
                    active, departure, runner.domain
                ),
            )
            for runner in ctx.directory.runners(active.service, now)
            if self._availability.may_serve(active, runner, now)
        ]

    def _is_local(self, runner: Runner) -> bool:
        return runner.domain == self._ctx.cfg.vm.domain
