"""Single attempts at runners, and the load and failure figures they update."""

from __future__ import annotations

from result import Err, Ok, Result

from gooseberryrun._internal.state.serving import Runner, ServiceRetryBudget

from .._events import log_event
from .._serving_messages import CrashReport
from .._tasks import spawn
from ._active_request import ActiveRequest
from ._context import Context
from ._ports import (
    AttemptFailure,
    AttemptFault,
    ForwardingMetadata,
    OutboundRequest,
    RunnerResponse,
)
from ._responses import end_to_end

UNREACHABLE_PAUSE_S = 0.8
"""Time for which an unreachable runner gets no new requests."""
FULL_PAUSE_S = 0.15
"""Time for which a runner that declined a request gets no new ones."""


class Attempts:
    """Sends requests to runners, within the retry budget of each service."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._budgets: dict[str, ServiceRetryBudget] = {}

    def count_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._budget(service).count_request(self._ctx.clock.monotonic())

    def withdraw_attempt(self, active: ActiveRequest) -> bool:
        """Take another attempt from the retry budget; the first one is free."""
        if active.sends == 0:
            return True
        members = len(self._ctx.members())
        now = self._ctx.clock.monotonic()
        granted = self._budget(active.service).try_withdraw(now, members)
        if not granted:
            log_event(
                "repeat_denied", request=active.metadata.request_id, sends=active.sends
            )
        return granted

    def has_retry_budget(self, active: ActiveRequest) -> bool:
        """Return whether the retry budget allows another attempt."""
        members = len(self._ctx.members())
        now = self._ctx.clock.monotonic()
        return self._budget(active.service).allows_retry(now, members)

    def _budget(self, service: str) -> ServiceRetryBudget:
        if service not in self._budgets:
            cfg = self._ctx.cfg.repeats
            self._budgets[service] = ServiceRetryBudget(
                cfg.ratio, cfg.slack, cfg.window_s
            )
        return self._budgets[service]

    def send(
        self,
        active: ActiveRequest,
        runner: Runner,
        forwarding: ForwardingMetadata,
        deadline: float,
    ) -> Result[RunnerResponse, AttemptFault]:
        """Send the request once; a "not run" response is returned as well."""
        active.tried.add(runner.id)
        outbound = self._outbound(active, forwarding)
        requested_at = self._ctx.clock.monotonic()
        sent = self._ctx.ports.requests.send(runner, outbound, deadline)
        if isinstance(sent, Err):
            self.record_fault(active, runner, sent.err_value)
        else:
            self._record_response(active, runner, sent.ok_value)
        log_event(
            "attempt",
            request=active.metadata.request_id,
            runner=runner.id,
            took_s=self._ctx.clock.monotonic() - requested_at,
            sends=active.sends,
            outcome=_describe(sent),
        )
        return sent

    def _outbound(
        self, active: ActiveRequest, forwarding: ForwardingMetadata
    ) -> OutboundRequest:
        request = active.request
        end_to_end_headers = end_to_end(request.headers)
        headers = self._ctx.ports.codec.encode_request(end_to_end_headers, forwarding)
        if request.body or request.method != "GET":
            headers = [*headers, ("content-length", str(len(request.body)))]
        return OutboundRequest(
            request.method,
            request.target,
            headers,
            request.body,
            active.metadata.request_id,
            active.route.is_idempotent,
        )

    def _record_response(
        self, active: ActiveRequest, runner: Runner, response: RunnerResponse
    ) -> None:
        active.sends += 1
        now = self._ctx.clock.monotonic()
        if response.metadata.is_not_run:
            if not response.metadata.is_misdirected:
                self._ctx.loads.mark_down(runner.id, now + FULL_PAUSE_S)
            return
        active.may_have_run = True
        active.attempts += 1

    def record_fault(
        self, active: ActiveRequest, runner: Runner, fault: AttemptFault
    ) -> None:
        """Record an attempt that got no valid response."""
        now = self._ctx.clock.monotonic()
        self._ctx.loads.record_result(runner.id, ok=False, now=now)
        if fault.failure is AttemptFailure.NOT_SENT:
            self._ctx.loads.mark_down(runner.id, now + UNREACHABLE_PAUSE_S)
            return
        active.sends += 1
        active.attempts += 1
        active.may_have_run = True
        if fault.failure is AttemptFailure.SENT:
            spawn("crash_check", lambda: self._check_crash(active, runner))

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
            spawn("crash_check", lambda: self._check_crash(active, runner))

    def record_success(self, runner: Runner) -> None:
        """Record a complete response."""
        now = self._ctx.clock.monotonic()
        self._ctx.loads.record_result(runner.id, ok=True, now=now)

    def _check_crash(self, active: ActiveRequest, runner: Runner) -> None:
        """Count a crash against a request if its runner refuses connections."""
        content_hash = active.content_hash
        if not self._ctx.ports.requests.refuses_connections(runner):
            return
        now = self._ctx.clock.monotonic()
        self._ctx.loads.mark_down(runner.id, now + UNREACHABLE_PAUSE_S)
        report = CrashReport(content_hash, runner.id, runner.born_ms)
        self._ctx.record_crash(report)
        count = self._ctx.suspects.crash_count(content_hash, now)
        log_event(
            "crash_seen",
            request=active.metadata.request_id,
            runner=runner.id,
            born_ms=runner.born_ms,
            content=content_hash,
            adapter=active.metadata.adapter,
            parts=",".join(part.id for part in active.metadata.prompt),
            is_answered=active.timing.first_at is not None,
            crashes=count,
        )


def _describe(sent: Result[RunnerResponse, AttemptFault]) -> str:
    """Return a short description of an attempt's outcome for the log."""
    if isinstance(sent, Ok):
        response = sent.ok_value
        return f"{response.status}{' not_run' if response.metadata.is_not_run else ''}"
    return f"{sent.err_value.failure.value}: {sent.err_value.detail}"
