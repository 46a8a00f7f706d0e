"""Requests to plain services, whose responses are relayed once complete."""

from __future__ import annotations

from result import Err

from gooseberryrun._internal.state.serving import (
    Candidate,
    RouteKind,
    Runner,
    choose_plain_server,
)

from ._attempts import Attempts
from ._context import Context
from ._job import Job, LocalResponse, Round, run_rounds
from ._ports import AttemptFailure, ForwardingMetadata, RunnerResponse
from ._responses import ResponseWriter, failure_response, is_valid_response

MAX_SENDS = 5
"""Largest number of sends for one request."""
RETRY_SHARE = 0.35
"""Share of the time left after which a request is retried at another server."""
FULL_RETRY_S = 0.4
"""Retry delay sent after every server was full."""


class PlainRequests:
    """Serves requests whose responses are buffered before they are relayed."""

    def __init__(
        self, ctx: Context, attempts: Attempts, responses: ResponseWriter
    ) -> None:
        self._ctx = ctx
        self._attempts = attempts
        self._responses = responses

    def serve(self, job: Job) -> None:
        """Serve a request and respond to its caller."""
        if job.route.kind is RouteKind.UNSAFE:
            job.caller.continue_after_disconnect()
        outcome = run_rounds(MAX_SENDS, lambda: self._try_once(job))
        if outcome is Round.AGAIN:
            outcome = failure_response(job, "attempts", FULL_RETRY_S)
        if isinstance(outcome, LocalResponse):
            self._responses.send_local(job, outcome)

    def _try_once(self, job: Job) -> LocalResponse | Round:
        """Choose a server and make one attempt."""
        now = self._ctx.clock.monotonic()
        if now >= job.deadline:
            return failure_response(job, "deadline")
        runner = self._choose(job, now)
        if runner is None:
            return failure_response(job, "no_server", FULL_RETRY_S)
        if not self._attempts.withdraw_attempt(job):
            return failure_response(job, "repeat_budget", FULL_RETRY_S)
        self._ctx.loads.begin(runner.id, 0)
        try:
            return self._send(job, runner, self._attempt_deadline(job, now))
        finally:
            self._ctx.loads.end(runner.id)

    def _send(self, job: Job, runner: Runner, deadline: float) -> LocalResponse | Round:
        left_s = job.deadline - self._ctx.clock.monotonic()
        forwarding = ForwardingMetadata(runner.id, left_s)
        sent = self._attempts.send(job, runner, forwarding, deadline)
        if isinstance(sent, Err):
            return self._after_fault(job, sent.err_value.failure)
        response = sent.ok_value
        try:
            if response.metadata.is_not_run:
                return Round.AGAIN
            return self._handle_response(job, runner, response)
        finally:
            response.close()

    def _handle_response(
        self, job: Job, runner: Runner, response: RunnerResponse
    ) -> LocalResponse | Round:
        body = response.read_all(job.deadline)
        if isinstance(body, Err):
            self._attempts.record_invalid_response(job, runner, body.err_value)
            return self._after_fault(job, body.err_value.failure)
        if not is_valid_response(response):
            return self._after_fault(job, AttemptFailure.INVALID_RESPONSE)
        now = self._ctx.clock.monotonic()
        is_failure = response.status >= 500
        self._ctx.loads.record_result(runner.id, ok=not is_failure, now=now)
        if is_failure and self._can_retry(job, now):
            return Round.AGAIN
        self._responses.relay(job, response, body.ok_value)
        return Round.DONE

    def _can_retry(self, job: Job, now: float) -> bool:
        """Return whether a failure may be followed by another attempt."""
        if not job.may_retry or now >= job.deadline:
            return False
        if not self._attempts.has_retry_budget(job):
            return False
        return self._choose(job, now) is not None

    def _after_fault(self, job: Job, failure: AttemptFailure) -> LocalResponse | Round:
        if failure is AttemptFailure.NOT_SENT or job.may_retry:
            return Round.AGAIN
        is_late = failure is AttemptFailure.LATE
        return failure_response(job, "deadline" if is_late else "server_failed")

    def _attempt_deadline(self, job: Job, now: float) -> float:
        """Return the attempt's deadline, which leaves time for a retry if allowed."""
        is_last = job.attempts + 1 >= job.route.max_attempts
        if job.route.kind is not RouteKind.SAFE or is_last:
            return job.deadline
        return now + RETRY_SHARE * (job.deadline - now)

    def _choose(self, job: Job, now: float) -> Runner | None:
        ctx = self._ctx
        candidates = [
            Candidate(runner, ctx.loads.total(runner.id, now), self._is_local(runner))
            for runner in ctx.directory.runners(job.service, now)
            if runner.id not in job.tried and not ctx.loads.is_down(runner.id, now)
        ]
        choice = choose_plain_server(candidates, job.metadata.request_id)
        return choice.candidate.runner if choice else None

    def _is_local(self, runner: Runner) -> bool:
        return runner.domain == self._ctx.cfg.vm.domain
