"""Single attempts at runners, and the load and failure figures they update."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Ok, Result

from gooseberryrun._internal.state.serving import RouteKind, Runner
from gooseberryrun._internal.state.serving.accounts import UsagePermit

from .._events import log_event
from ._active_request import ActiveRequest
from ._context import Context
from ._crash_guard import CrashGuard
from ._request_ports import (
    AttemptFailure,
    AttemptFault,
    CallerDisconnectedError,
    ForwardingMetadata,
    OutboundRequest,
    RunnerResponse,
)
from ._responses import end_to_end, with_length
from ._retry_budgets import RetryBudgets
from ._statements import record_full, record_statement

UNREACHABLE_PAUSE_S = 0.8
"""Time for which an unreachable runner gets no new requests."""
FULL_PAUSE_S = 0.15
"""Time for which a runner that declined a request gets no new ones."""
SETTLED_S = 0.15
"""Time from the first event after which a crash is not blamed on its request."""


class Attempts:
    """Sends requests to runners, within the retry budget of each service."""

    def __init__(self, ctx: Context, guard: CrashGuard) -> None:
        self._ctx = ctx
        self._guard = guard
        self._budgets = RetryBudgets(ctx)

    def count_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._budgets.count_request(service)

    def withdraw_attempt(self, active: ActiveRequest) -> bool:
        """Take another attempt from the retry budget; the first one is free."""
        return self._budgets.withdraw(active)

    def has_retry_budget(self, active: ActiveRequest) -> bool:
        """Return whether the retry budget allows another attempt."""
        return self._budgets.has_retry_left(active)

    def send(
        self,
        active: ActiveRequest,
        runner: Runner,
        forwarding: ForwardingMetadata,
        deadline: float,
    ) -> Result[RunnerResponse, AttemptFault]:
        """Send the request once; a "not run" response is returned as well.

        Raises CallerDisconnectedError if the caller has left before that.
        """
        check_connected(active)
        active.tried.add(runner.id)
        active.begin_attempt()
        outbound = self._outbound(active, forwarding)
        if forwarding.last_event_id:
            log_event(
                "stream_resumed",
                request=active.metadata.request_id,
                resumes=active.metadata.resumes,
                last_event=forwarding.last_event_id,
                runner=runner.id,
                software=runner.software_version,
            )
        requested_at = self._ctx.clock.monotonic()
        self._ctx.pauses.begin_send(runner, requested_at)
        permit, active.usage_permit = active.usage_permit, None
        active.is_in_flight = True
        sent = self._ctx.ports.requests.send(runner, outbound, deadline)
        active.is_in_flight = False
        if isinstance(sent, Err):
            self.record_fault(active, runner, sent.err_value)
        else:
            self._record_response(active, runner, sent.ok_value, requested_at)
        if _is_not_run(sent):
            active.usage_permit = permit
            active.caller.end_after_disconnect()
        log_event(
            "attempt",
            request=active.metadata.request_id,
            runner=runner.id,
            took_s=self._ctx.clock.monotonic() - requested_at,
            sends=active.sends,
            software=runner.software_version,
            outcome=_describe(sent),
        )
        return sent

    def _outbound(
        self, active: ActiveRequest, forwarding: ForwardingMetadata
    ) -> OutboundRequest:
        request = active.request
        end_to_end_headers = end_to_end(request.headers)
        headers = self._ctx.ports.codec.encode_request(end_to_end_headers, forwarding)
        return OutboundRequest(
            request.method,
            request.target,
            with_length(headers, request),
            request.body,
            active.metadata.request_id,
            active.route.is_idempotent,
            self._send_check(active, active.usage_permit),
        )

    def _send_check(
        self, active: ActiveRequest, permit: UsagePermit | None
    ) -> Callable[[], bool]:
        """Return what decides just before the first byte whether to send.

        From then on a request that may run only once goes on without its caller.
        """

        def may_send() -> bool:
            is_permitted = permit is None or permit.is_valid(self._ctx.clock.boottime())
            if not is_permitted or active.caller.has_left():
                return False
            if active.route.kind is RouteKind.UNSAFE:
                active.caller.continue_after_disconnect()
            return True

        return may_send

    def _record_response(
        self,
        active: ActiveRequest,
        runner: Runner,
        response: RunnerResponse,
        requested_at: float,
    ) -> None:
        active.sends += 1
        now = self._ctx.clock.monotonic()
        self._ctx.reach.record_contact(now)
        record_statement(self._ctx, runner, response.metadata.statement, requested_at)
        if response.metadata.is_not_run:
            if not response.metadata.is_misdirected:
                self._ctx.pauses.mark_down(runner.id, FULL_PAUSE_S, now)
                record_full(self._ctx, runner)
            return
        active.may_have_run = True
        active.attempts += 1
        active.is_begun = True

    def record_fault(
        self, active: ActiveRequest, runner: Runner, fault: AttemptFault
    ) -> None:
        """Record an attempt that got no valid response."""
        if fault.failure is AttemptFailure.WITHDRAWN:
            active.tried.discard(runner.id)
            return
        now = self._ctx.clock.monotonic()
        self._ctx.loads.record_result(runner.id, ok=False, now=now)
        if fault.failure is AttemptFailure.NOT_SENT:
            self._ctx.pauses.mark_down(runner.id, UNREACHABLE_PAUSE_S, now)
            return
        active.sends += 1
        active.attempts += 1
        active.may_have_run = True
        if fault.failure is AttemptFailure.SENT:
            self._check_crash(active, runner)

    def record_invalid_response(
        self, active: ActiveRequest, runner: Runner, fault: AttemptFault
    ) -> None:
        """Record a response that was truncated or invalid."""
        now = self._ctx.clock.monotonic()
        self._ctx.loads.record_result(runner.id, ok=False, now=now)
        log_event(
            "answer_cut",
            request=active.metadata.request_id,
            runner=runner.id,
            failure=fault.failure.value,
            why=fault.detail,
        )
        if fault.failure is AttemptFailure.SENT:
            self._check_crash(active, runner)

    def record_success(self, active: ActiveRequest, runner: Runner) -> None:
        """Record a complete response."""
        now = self._ctx.clock.monotonic()
        self._ctx.loads.record_result(runner.id, ok=True, now=now)
        self.record_answer(active)

    def record_answer(self, active: ActiveRequest) -> None:
        """Record that a runner has answered and lives on."""
        if not active.is_answer_recorded:
            answered_at = active.answered_at or self._ctx.clock.monotonic()
            self._guard.record_answer(active, answered_at)

    def record_events(self, active: ActiveRequest) -> None:
        """Record that events of a stream have arrived."""
        now = self._ctx.clock.monotonic()
        if active.answered_at is None:
            active.answered_at = now
        elif now - active.answered_at >= SETTLED_S:
            self.record_answer(active)

    def _check_crash(self, active: ActiveRequest, runner: Runner) -> None:
        """Blame a crash on a request that the runner had not begun to answer."""
        if not self._ctx.ports.requests.refuses_connections(runner):
            return
        now = self._ctx.clock.monotonic()
        self._ctx.pauses.mark_down(runner.id, UNREACHABLE_PAUSE_S, now)
        answered_at = active.answered_at
        is_answered = answered_at is not None and now - answered_at >= SETTLED_S
        if not is_answered and self._is_expected_to_run(runner):
            self._guard.record_crash(active, runner, now)

    def _is_expected_to_run(self, runner: Runner) -> bool:
        """Return whether a runner had no reason to end but a crash."""
        known = self._ctx.directory.runner(runner.id)
        if known is None or known.born_ms != runner.born_ms:
            return False
        return not known.draining


def check_connected(active: ActiveRequest) -> None:
    """Raise CallerDisconnectedError if nobody waits for the request any more.

    A VM that is behind has not come to the caller's close yet. An order that may have
    run goes on.
    """
    if active.may_have_run and active.route.kind is RouteKind.UNSAFE:
        return
    if active.caller.has_left():
        raise CallerDisconnectedError


def _is_not_run(sent: Result[RunnerResponse, AttemptFault]) -> bool:
    """Return whether a runner certainly does not run the request that was sent."""
    if isinstance(sent, Err):
        return sent.err_value.failure.is_not_run
    return sent.ok_value.metadata.is_not_run


def _describe(sent: Result[RunnerResponse, AttemptFault]) -> str:
    """Return a short description of an attempt's outcome for the log."""
    if isinstance(sent, Ok):
        response = sent.ok_value
        return f"{response.status}{' not_run' if response.metadata.is_not_run else ''}"
    return f"{sent.err_value.failure.value}: {sent.err_value.detail}"
