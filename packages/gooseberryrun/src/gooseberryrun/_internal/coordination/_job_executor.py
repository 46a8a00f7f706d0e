"""Background jobs: durable before they are acknowledged, taken over if a VM dies."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from gooseberryrun._internal.state import (
    Clock,
    Job,
    JobAccepted,
    JobDone,
    RunOutcome,
    Settings,
    WorkClass,
    fingerprint,
    top_node,
)

from ._appender import Appender
from ._completions import Completions
from ._errors import Refusal
from ._events import bind_request, log_event
from ._membership import Membership
from ._metrics import JOBS
from ._replica import Replica
from ._requests import CompletionRequest, Response, StreamTruncatedError
from ._tasks import spawn

JOB_ATTEMPT_TIMEOUT_S = 600.0
FINAL_STATUSES = range(400, 500)
"""Statuses of refusals that a retry would not change."""


class JobExecutor:
    """Accepts background jobs and executes those that are assigned to this VM."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        membership: Membership,
        replica: Replica,
        appender: Appender,
        completions: Completions,
        boot: str,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._replica = replica
        self._appender = appender
        self._completions = completions
        self._boot = boot
        self._running: set[str] = set()
        self._retry_at: dict[str, float] = {}
        self.is_stopping: Callable[[], bool] = lambda: False

    def running(self) -> int:
        """Return the number of jobs that this VM is executing."""
        return len(self._running)

    def submit(
        self, path: str, body: dict[str, Any], deadline_s: float, key: str
    ) -> Result[Job, Refusal]:
        """Record a job in the log and return it; the same key returns the same job."""
        job_id = fingerprint("job", key)[:24] if key else uuid.uuid4().hex[:24]
        existing = self._replica.jobs.get(job_id)
        if existing is not None:
            return Ok(existing)
        accepted = JobAccepted(
            job_id=job_id,
            path=path,
            request=body,
            executor=self._cfg.vm.id,
            boot=self._boot,
            domain=self._cfg.vm.domain,
            at=self._clock.unix(),
            deadline_at=self._clock.unix() + deadline_s,
        )
        deadline = self._clock.monotonic() + self._cfg.platform.timeout_s
        appended = self._appender.append(accepted, deadline)
        if isinstance(appended, Err):
            return Err(_refuse_submit(appended.err_value.sent, bool(key)))
        job = self._replica.waiters.wait(
            f"job:{job_id}", lambda: self._replica.jobs.get(job_id), deadline
        )
        JOBS.labels(event="accepted").inc()
        return Ok(job or Job(accepted, deadline, deadline))

    def get(self, job_id: str) -> Job | None:
        """Return a job by id."""
        return self._replica.jobs.get(job_id)

    # Execution of open jobs.

    def sweep(self) -> None:
        """Start the open jobs that this VM may execute, earliest deadline first."""
        if self.is_stopping():
            return
        eligible = [
            job for job in self._replica.jobs.open_jobs() if self._is_eligible(job)
        ]
        eligible.sort(key=lambda job: job.accepted.deadline_at)
        for job in eligible:
            if len(self._running) >= self._cfg.limits.concurrent_jobs:
                break
            self._start(job)

    def _is_eligible(self, job: Job) -> bool:
        accepted = job.accepted
        if accepted.job_id in self._running:
            return False
        if self._retry_at.get(accepted.job_id, 0.0) > self._clock.monotonic():
            return False
        if accepted.boot == self._boot:
            return True
        if accepted.domain == self._cfg.vm.domain:
            return self._is_successor(job, self._membership.live_domain_vms())
        vm = self._membership.get(accepted.executor)
        listed_vms = self._membership.entry_vms()
        if vm is not None or not listed_vms:
            return False
        # The whole failure domain may be down, so any listed entry VM may take over.
        candidates = self._membership.entry_vms(accepted.domain) or listed_vms
        return self._is_successor(job, candidates)

    def _is_successor(self, job: Job, candidates: list[str]) -> bool:
        accepted = job.accepted
        ended = self._membership.has_boot_ended(accepted.executor, accepted.boot)
        vm = self._membership.get(accepted.executor)
        leaving = vm is None or self._membership.is_leaving(vm)
        if not ended and not leaving:
            return False
        return top_node(accepted.job_id, candidates) == self._cfg.vm.id

    def _start(self, job: Job) -> None:
        job_id = job.accepted.job_id
        self._running.add(job_id)
        if job.accepted.boot != self._boot:
            log_event("job_taken_over", job=job_id, source=job.accepted.executor)
            JOBS.labels(event="taken_over").inc()
        spawn("job", lambda: self._execute(job))

    def _execute(self, job: Job) -> None:
        job_id = job.accepted.job_id
        request = self._to_request(job)
        bind_request(request.request_id)
        try:
            result = self._completions.run(request)
            done = self._to_done(job, result)
            if done is None:
                self._retry_at[job_id] = self._clock.monotonic() + 1.0
                JOBS.labels(event="repeated").inc()
                return
            deadline = self._clock.monotonic() + JOB_ATTEMPT_TIMEOUT_S
            self._appender.append(done, deadline)
            wait = self._clock.monotonic() + self._cfg.platform.timeout_s
            self._replica.waiters.wait(
                f"job:{job_id}", lambda: self._is_done(job_id), wait
            )
            self._retry_at.pop(job_id, None)
            JOBS.labels(event="done").inc()
        finally:
            self._running.discard(job_id)

    def _is_done(self, job_id: str) -> bool | None:
        job = self._replica.jobs.get(job_id)
        return True if job is None or job.done is not None else None

    def _to_request(self, job: Job) -> CompletionRequest:
        body = dict(job.accepted.request)
        return CompletionRequest(
            request_id=f"{job.accepted.job_id}-{uuid.uuid4().hex[:8]}",
            path=job.accepted.path,
            model=str(body.get("model")),
            body=body,
            stream=False,
            work_class=WorkClass.BACKGROUND,
            fingerprint=fingerprint(job.accepted.path, body),
            deadline=self._clock.monotonic() + JOB_ATTEMPT_TIMEOUT_S,
        )

    def _to_done(self, job: Job, result: Result[Response, Refusal]) -> JobDone | None:
        """Return the record that ends the job, or None if the job is to be retried."""
        if isinstance(result, Err):
            if result.err_value.status not in FINAL_STATUSES:
                return None
            status, body = result.err_value.status, result.err_value.detail
        else:
            try:
                data = b"".join(result.ok_value.chunks)
            except StreamTruncatedError:
                return None
            status, body = 200, data.decode("utf-8", "replace")
        job_id = job.accepted.job_id
        return JobDone(job_id, status, body, self._cfg.vm.id, self._clock.unix())


def _refuse_submit(sent: bool, keyed: bool) -> Refusal:
    outcome = RunOutcome.UNKNOWN if sent else RunOutcome.NOT_RUN
    hint = "" if keyed or not sent else "; send an Idempotency-Key to avoid a repeat"
    detail = f"the platform's log did not record the job in time{hint}"
    return Refusal(503, "log_unavailable", detail, outcome, 1.0)
