"""Execution of completions on engines, with retries and resumed streams."""

from __future__ import annotations

from collections.abc import Iterator

import eventlet
from eventlet.timeout import Timeout
from msgspec.structs import replace
from opentelemetry import trace
from result import Err, Ok, Result

from gooseberryrun._internal.state import (
    Clock,
    RunOutcome,
    Settings,
    Vm,
    WorkClass,
    check_invariant,
)
from gooseberryrun._internal.state.serving import Handling, TraitKind

from ._acquisition import Acquisition
from ._attempts import (
    AVOID_RUNNER_FAULTS,
    FAULTS_WITHOUT_WORK,
    MAX_RETRY_PAUSE_S,
    PROBES_BY_FAULT,
    RETRY_PAUSE_S,
    CompletionRun,
    never_ran,
)
from ._crash_names import request_traits
from ._crashes import Crashes
from ._errors import EngineError, EngineFault, Refusal
from ._events import log_event
from ._grants import Grants
from ._messages import GrantAnswer
from ._metrics import RETRIES
from ._placement import Placement
from ._ports import EngineCall, Engines, EngineStream, StreamBlock
from ._replica import Replica
from ._requests import CompletionRequest, Response, StreamTruncatedError
from ._retries import RetryBudget
from ._tracing import current_traceparent, start_span

PRIORITIES = {
    WorkClass.INTERACTIVE: 0,
    WorkClass.AT_MOST_ONCE: 0,
    WorkClass.BACKGROUND: 10,
}
"""Priorities sent to engines; a lower number is served first."""


class Completions:
    """Runs completions on engines and relays their responses."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        replica: Replica,
        grants: Grants,
        placement: Placement,
        engines: Engines,
        crashes: Crashes,
        acquisition: Acquisition,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._replica = replica
        self._grants = grants
        self._placement = placement
        self._engines = engines
        self._crashes = crashes
        self._acquisition = acquisition
        self._budget = RetryBudget(cfg.limits, clock)

    def run(self, request: CompletionRequest) -> Result[Response, Refusal]:
        """Run a completion; a stream that cannot be completed raises an error."""
        refusal = self._refuse_early(request)
        if refusal is not None:
            return Err(refusal)
        self._budget.deposit()
        run = CompletionRun(request)
        started = self._start(run)
        if isinstance(started, Err):
            return started
        stream = started.ok_value
        if request.stream:
            return Ok(self._streamed_response(run, stream))
        return self._buffered_response(run)

    def _refuse_early(self, request: CompletionRequest) -> Refusal | None:
        """Refuse a request before its first attempt."""
        if not self._replica.config.has_model(request.model):
            detail = f"adapter version {request.model} is not configured"
            return Refusal(404, "unknown_model", detail)
        return self._refuse_crashing(request)

    def _refuse_crashing(self, request: CompletionRequest) -> Refusal | None:
        verdict = self._crashes.verdict(request_traits(request))
        if verdict.handling is not Handling.REFUSED or verdict.trait is None:
            return None
        if verdict.trait.kind is TraitKind.CONTENT:
            detail = "runners crashed repeatedly while they executed this request"
            return Refusal(422, "crashes_runners", detail)
        detail = f"runners crashed repeatedly while they executed {request.model}"
        retry_in_s = max(1.0, verdict.retry_at - self._clock.monotonic())
        return Refusal(
            503, "adapter_crashes_runners", detail, RunOutcome.NOT_RUN, retry_in_s
        )

    # Attempts on engines.

    def _start(self, run: CompletionRun) -> Result[EngineStream, Refusal]:
        """Get a grant and open a stream, with retries within the request's limits."""
        while True:
            run.attempts += 1
            granted = self._acquisition.acquire(run)
            if isinstance(granted, Err):
                return granted
            crash_refusal = self._refuse_after_grant(run)
            if crash_refusal is not None:
                return Err(crash_refusal)
            opened = self._open(run, granted.ok_value)
            if not isinstance(opened, Err):
                run.stream = opened.ok_value
                run.dispatched = True
                return opened
            if not never_ran(opened.err_value):
                run.dispatched = True
            if opened.err_value.fault is EngineFault.NOT_RESIDENT:
                self._grants.record_not_resident(run.grant_id)
            self._abandon_stream(run)
            refusal = self._handle_failure(run, opened.err_value)
            if refusal is not None:
                return Err(refusal)

    def _refuse_after_grant(self, run: CompletionRun) -> Refusal | None:
        """Refuse if copies of the request crashed runners while this one was queued."""
        crash_refusal = self._refuse_crashing(run.request)
        if crash_refusal is None:
            return None
        self._grants.end(run.grant_id)
        return replace(crash_refusal, outcome=run.outcome())

    def _open(
        self, run: CompletionRun, grant: GrantAnswer
    ) -> Result[EngineStream, EngineError]:
        engine = run.engine
        check_invariant(engine is not None, "granted-engine-known")
        assert engine is not None
        request = run.request
        with start_span("engine.open") as span:
            span.set_attribute("runner", engine.id)
            span.set_attribute("model", request.model)
            call = EngineCall(
                request_id=run.engine_request_id,
                path=request.path,
                model=request.model,
                body=request.body,
                stream=request.stream,
                priority=PRIORITIES[request.work_class],
                deadline=self._read_deadline(run),
                resume_at=run.events_sent,
                prefix=request.prefix,
                headers={"traceparent": current_traceparent()},
            )
            return self._engines.complete(engine, call)

    def _read_deadline(self, run: CompletionRun) -> float:
        """Return when the next read must end: before the grant ends (monotonic)."""
        now = self._clock.monotonic()
        left_s = min(self._cfg.limits.engine_stall_s, self._grants.left_s(run.grant_id))
        return min(run.request.deadline, now + left_s)

    def _handle_failure(self, run: CompletionRun, error: EngineError) -> Refusal | None:
        """Pause before the next attempt, or return the refusal if there is none."""
        engine = run.engine
        assert engine is not None
        RETRIES.labels(cause=str(error.fault)).inc()
        log_event(
            "attempt_failed",
            request=run.request.request_id,
            runner=engine.id,
            fault=error.fault,
            detail=error.detail,
            attempt=run.attempts,
        )
        if error.fault is EngineFault.REJECTED and 400 <= error.status < 500:
            return Refusal(error.status, "engine_rejected", error.detail)
        self._record_fault(run, engine, error)
        crash_refusal = self._refuse_crashing(run.request)
        if crash_refusal is not None:
            return replace(crash_refusal, outcome=run.outcome())
        return self._pause_or_refuse(run, error)

    def _record_fault(self, run: CompletionRun, engine: Vm, error: EngineError) -> None:
        if error.fault in AVOID_RUNNER_FAULTS:
            self._placement.avoid(engine.id)
            run.excluded_runners = {engine.id}
        probes = PROBES_BY_FAULT.get(error.fault)
        if probes is not None:
            traits = request_traits(run.request)
            self._crashes.report_failed_attempt(engine, run.incarnation, traits, probes)

    def _pause_or_refuse(
        self, run: CompletionRun, error: EngineError
    ) -> Refusal | None:
        if run.attempts >= self._cfg.limits.max_attempts or not self._may_retry(
            run, error
        ):
            detail = f"the engine failed: {error.fault} {error.detail}".strip()
            return Refusal(502, "engine_failed", detail, run.outcome())
        pause_s = min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 2 ** (run.attempts - 1))
        if self._clock.monotonic() + pause_s >= run.request.deadline:
            return Refusal(
                504,
                "deadline",
                "the deadline leaves no time for a retry",
                run.outcome(),
            )
        eventlet.sleep(pause_s)
        return None

    def _may_retry(self, run: CompletionRun, error: EngineError) -> bool:
        """Return whether the retry budget allows another attempt.

        The budget keeps retries from multiplying the engines' work. It is not charged
        for an attempt that no engine accepted, nor for background jobs, which must be
        finished.
        """
        if (
            run.request.work_class is WorkClass.BACKGROUND
            or error.fault in FAULTS_WITHOUT_WORK
        ):
            return True
        return self._budget.try_withdraw()

    # Responses to callers.

    def _streamed_response(self, run: CompletionRun, stream: EngineStream) -> Response:
        return Response(
            status=200,
            content_type=stream.content_type,
            chunks=self._relay(run, current_traceparent()),
            close=lambda: self._finish(run),
        )

    def _relay(self, run: CompletionRun, traceparent: str) -> Iterator[bytes]:
        """Yield blocks of the stream; resume it with another attempt if it breaks."""
        with start_span("engine.stream", traceparent):
            while True:
                block = self._read(run)
                if not isinstance(block, Err):
                    run.events_sent += block.ok_value.events
                    yield block.ok_value.data
                    if block.ok_value.done:
                        run.complete = True
                        self._finish(run)
                        return
                    continue
                self._resume(run, block.err_value)

    def _read(self, run: CompletionRun) -> Result[StreamBlock, EngineError]:
        assert run.stream is not None
        left_s = self._read_deadline(run) - self._clock.monotonic()
        if left_s <= 0:
            return Err(
                EngineError(
                    EngineFault.LEASE_EXPIRED, "the grant or the request has expired"
                )
            )
        with Timeout(left_s, False):
            return run.stream.read()
        return Err(EngineError(EngineFault.TIMEOUT, "the engine sent no data in time"))

    def _resume(self, run: CompletionRun, error: EngineError) -> None:
        """Resume a broken stream with another attempt, or raise an error."""
        self._abandon_stream(run)
        refusal = self._handle_failure(run, error)
        if refusal is None:
            restarted = self._start(run)
            refusal = restarted.err_value if isinstance(restarted, Err) else None
        if refusal is not None:
            raise StreamTruncatedError(refusal.detail)

    def _abandon_stream(self, run: CompletionRun) -> None:
        """Cancel the attempt; the grant ends only after the engine's request has."""
        if run.stream is not None:
            run.stream.close()
        if run.engine is None:
            return
        if self._engines.cancel(run.engine, run.engine_request_id):
            self._grants.end(run.grant_id)
        else:
            # The engine may still use the adapter, so the grant, which pins it, ends
            # only after a full term.
            pause_s = self._cfg.lease.grant_s
            eventlet.spawn_after(pause_s, self._grants.end, run.grant_id)

    def _finish(self, run: CompletionRun) -> None:
        """Release the stream and the grant; further calls have no effect."""
        if run.stream is None:
            return
        if not run.complete:
            self._abandon_stream(run)
            run.stream = None
            return
        run.stream.close()
        run.stream = None
        self._grants.end(run.grant_id)
        self._crashes.record_answer(request_traits(run.request))
        if run.engine is not None:
            self._placement.record_prefix(run.request.prefix, run.engine.id, True)

    def _buffered_response(self, run: CompletionRun) -> Result[Response, Refusal]:
        """Read the complete response before any byte is sent to the caller."""
        parts: list[bytes] = []
        with start_span("engine.read"):
            while True:
                block = self._read(run)
                if isinstance(block, Err):
                    parts.clear()
                    refusal = self._restart(run, block.err_value)
                    if refusal is not None:
                        return Err(refusal)
                    continue
                parts.append(block.ok_value.data)
                if block.ok_value.done:
                    break
        assert run.stream is not None
        content_type = run.stream.content_type
        run.complete = True
        self._finish(run)
        trace.get_current_span().set_attribute("attempts", run.attempts)
        return Ok(Response(200, content_type, iter([b"".join(parts)])))

    def _restart(self, run: CompletionRun, error: EngineError) -> Refusal | None:
        self._abandon_stream(run)
        refusal = self._handle_failure(run, error)
        if refusal is not None:
            return refusal
        restarted = self._start(run)
        return restarted.err_value if isinstance(restarted, Err) else None
