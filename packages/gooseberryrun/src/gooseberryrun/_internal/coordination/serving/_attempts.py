"""One attempt at a runner, with what is learnt from it."""

from __future__ import annotations

from result import Err, Ok, Result

from gooseberryrun._internal.state.serving import Runner, ServiceRetryBudget

from .._events import log_event
from .._serving_messages import CrashReport
from .._tasks import spawn
from ._answers import end_to_end
from ._context import Context
from ._job import Job
from ._ports import (
    AttemptFailure,
    AttemptFault,
    Forwarding,
    OutboundRequest,
    RunnerAnswer,
)

DOWN_S = 0.8
"""Time for which a runner that cannot be reached gets no new work."""
FULL_S = 0.15
"""Time for which a runner that was full gets no new work."""


class Attempts:
    """Sends requests to runners within the budget of repeats."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._budgets: dict[str, ServiceRetryBudget] = {}

    def count_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._budget(service).count_request(self._ctx.clock.monotonic())

    def may_send(self, job: Job) -> bool:
        """Take what another attempt costs; the first is free."""
        if job.sends == 0:
            return True
        members = len(self._ctx.members())
        now = self._ctx.clock.monotonic()
        granted = self._budget(job.service).try_withdraw(now, members)
        if not granted:
            log_event("repeat_denied", request=job.facts.request_id, sends=job.sends)
        return granted

    def has_repeat(self, job: Job) -> bool:
        """Tell whether the budget has room for a repeat."""
        members = len(self._ctx.members())
        now = self._ctx.clock.monotonic()
        return self._budget(job.service).allows_retry(now, members)

    def _budget(self, service: str) -> ServiceRetryBudget:
        if service not in self._budgets:
            cfg = self._ctx.cfg.repeats
            self._budgets[service] = ServiceRetryBudget(
                cfg.ratio, cfg.slack, cfg.window_s
            )
        return self._budgets[service]

    def send(
        self, job: Job, runner: Runner, forwarding: Forwarding, deadline: float
    ) -> Result[RunnerAnswer, AttemptFault]:
        """Send the request once; an answer that proves "not run" is returned too."""
        job.tried.add(runner.id)
        outbound = self._outbound(job, forwarding)
        asked_at = self._ctx.clock.monotonic()
        sent = self._ctx.ports.requests.send(runner, outbound, deadline)
        if isinstance(sent, Err):
            self.note_fault(job, runner, sent.err_value)
        else:
            self._note_answer(job, runner, sent.ok_value)
        log_event(
            "attempt",
            request=job.facts.request_id,
            runner=runner.id,
            took_s=self._ctx.clock.monotonic() - asked_at,
            sends=job.sends,
            outcome=_describe(sent),
        )
        return sent

    def _outbound(self, job: Job, forwarding: Forwarding) -> OutboundRequest:
        request = job.request
        own = end_to_end(request.headers)
        headers = self._ctx.ports.codec.encode_request(own, forwarding)
        if request.body or request.method != "GET":
            headers = [*headers, ("content-length", str(len(request.body)))]
        return OutboundRequest(
            request.method,
            request.target,
            headers,
            request.body,
            job.facts.request_id,
            job.route.is_repeatable,
        )

    def _note_answer(self, job: Job, runner: Runner, answer: RunnerAnswer) -> None:
        job.sends += 1
        now = self._ctx.clock.monotonic()
        if answer.facts.is_not_run:
            if not answer.facts.is_misdirected:
                self._ctx.loads.mark_down(runner.id, now + FULL_S)
            return
        job.may_have_run = True
        job.attempts += 1

    def note_fault(self, job: Job, runner: Runner, fault: AttemptFault) -> None:
        """Learn from an attempt without a whole answer."""
        now = self._ctx.clock.monotonic()
        self._ctx.loads.record_result(runner.id, ok=False, now=now)
        if fault.failure is AttemptFailure.NOT_SENT:
            self._ctx.loads.mark_down(runner.id, now + DOWN_S)
            return
        job.sends += 1
        job.attempts += 1
        job.may_have_run = True
        if fault.failure is AttemptFailure.SENT:
            spawn("crash_check", lambda: self._check_crash(job.content, runner))

    def note_cut(self, job: Job, runner: Runner, fault: AttemptFault) -> None:
        """Learn from an answer that was broken off."""
        now = self._ctx.clock.monotonic()
        self._ctx.loads.record_result(runner.id, ok=False, now=now)
        log_event(
            "answer_cut",
            request=job.facts.request_id,
            runner=runner.id,
            failure=fault.failure.value,
            why=fault.detail,
        )
        if fault.failure is AttemptFailure.SENT:
            spawn("crash_check", lambda: self._check_crash(job.content, runner))

    def note_success(self, runner: Runner) -> None:
        """Learn from a whole answer."""
        now = self._ctx.clock.monotonic()
        self._ctx.loads.record_result(runner.id, ok=True, now=now)

    def _check_crash(self, content: str, runner: Runner) -> None:
        """Hold a crash against a request whose runner no longer listens."""
        if not self._ctx.ports.requests.is_refusing(runner):
            return
        now = self._ctx.clock.monotonic()
        self._ctx.loads.mark_down(runner.id, now + DOWN_S)
        report = CrashReport(content, runner.id, runner.born_ms)
        self._ctx.record_crash(report)
        count = self._ctx.suspects.crash_count(content, now)
        log_event("crash_seen", runner=runner.id, content=content, crashes=count)


def _describe(sent: Result[RunnerAnswer, AttemptFault]) -> str:
    """Return the outcome of an attempt in a few words."""
    if isinstance(sent, Ok):
        answer = sent.ok_value
        return f"{answer.status}{' not_run' if answer.facts.is_not_run else ''}"
    return f"{sent.err_value.failure.value}: {sent.err_value.detail}"
