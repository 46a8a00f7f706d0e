"""Completions: grant, direct stream from the engine, resume and repeat."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

import eventlet
from eventlet.timeout import Timeout
from opentelemetry import trace
from result import Err, Ok, Result

from gooseberryrun._internal.state import (
    Clock,
    Settings,
    Vm,
    WorkClass,
    check_invariant,
)

from ._acquisition import Acquisition
from ._attempts import (
    AVOIDED,
    MAX_PAUSE_S,
    NO_WORK,
    PROBES_BY_FAULT,
    RETRY_PAUSE_S,
    Run,
    never_ran,
)
from ._crashes import Crashes
from ._errors import EngineError, EngineFault, Refusal
from ._events import log_event
from ._grants import Grants
from ._messages import GrantAnswer
from ._metrics import RETRIES
from ._placement import Placement
from ._ports import EngineCall, Engines, EngineStream, StreamBlock
from ._replica import Replica
from ._requests import Answer, CompletionRequest, StreamCutError
from ._retries import RetryBudget
from ._tracing import current_traceparent, start_span

PRIORITIES = {
    WorkClass.INTERACTIVE: 0,
    WorkClass.AT_MOST_ONCE: 0,
    WorkClass.BACKGROUND: 10,
}


class Completions:
    """Runs completions on engines."""

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
        self._budget = RetryBudget(cfg.limits)

    def run(self, request: CompletionRequest) -> Result[Answer, Refusal]:
        """Run a completion; the answer is whole or its stream is cut visibly."""
        refusal = self._refuse_early(request)
        if refusal is not None:
            return Err(refusal)
        self._budget.earn()
        run = Run(request)
        started = self._start(run)
        if isinstance(started, Err):
            return started
        stream = started.ok_value
        if request.stream:
            return Ok(self._stream_answer(run, stream))
        return self._whole_answer(run)

    def _refuse_early(self, request: CompletionRequest) -> Refusal | None:
        if not self._replica.config.has_model(request.model):
            detail = f"adapter version {request.model} is not configured"
            return Refusal(404, "unknown_model", detail)
        return self._refuse_poisonous(request)

    def _refuse_poisonous(self, request: CompletionRequest) -> Refusal | None:
        if not self._crashes.is_refused(request.fingerprint):
            return None
        detail = "runners crashed repeatedly while they executed this request"
        return Refusal(422, "crashes_runners", detail)

    # Attempts.

    def _start(self, run: Run) -> Result[EngineStream, Refusal]:
        """Get a grant and open a stream, repeating within the request's limits."""
        while True:
            run.attempts += 1
            granted = self._acquisition.acquire(run)
            if isinstance(granted, Err):
                return granted
            poisonous = self._refuse_granted(run)
            if poisonous is not None:
                return Err(poisonous)
            opened = self._open(run, granted.ok_value)
            if not isinstance(opened, Err):
                run.stream = opened.ok_value
                run.dispatched = True
                return opened
            if not never_ran(opened.err_value):
                run.dispatched = True
            if opened.err_value.fault is EngineFault.NOT_RESIDENT:
                self._grants.note_not_resident(run.grant_id)
            self._drop_stream(run)
            refusal = self._after_failure(run, opened.err_value)
            if refusal is not None:
                return Err(refusal)

    def _refuse_granted(self, run: Run) -> Refusal | None:
        """Refuse if copies of the request crashed runners while this one waited."""
        poisonous = self._refuse_poisonous(run.request)
        if poisonous is None:
            return None
        self._grants.end(run.grant_id)
        return replace(poisonous, outcome=run.outcome())

    def _open(self, run: Run, grant: GrantAnswer) -> Result[EngineStream, EngineError]:
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

    def _read_deadline(self, run: Run) -> float:
        """Return when the next read must end: the grant must still be in force."""
        now = self._clock.monotonic()
        left_s = min(self._cfg.limits.engine_stall_s, self._grants.left_s(run.grant_id))
        return min(run.request.deadline, now + left_s)

    def _after_failure(self, run: Run, error: EngineError) -> Refusal | None:
        """Decide whether to repeat after a failed attempt; pauses if so."""
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
        self._note_fault(run, engine, error)
        poisonous = self._refuse_poisonous(run.request)
        if poisonous is not None:
            return replace(poisonous, outcome=run.outcome())
        return self._pause_or_refuse(run, error)

    def _note_fault(self, run: Run, engine: Vm, error: EngineError) -> None:
        if error.fault in AVOIDED:
            self._placement.avoid(engine.id)
            run.exclude = {engine.id}
        probes = PROBES_BY_FAULT.get(error.fault)
        if probes is not None:
            fingerprint = run.request.fingerprint
            self._crashes.suspect(engine, run.incarnation, fingerprint, probes)

    def _pause_or_refuse(self, run: Run, error: EngineError) -> Refusal | None:
        if run.attempts >= self._cfg.limits.max_attempts or not self._may_repeat(
            run, error
        ):
            detail = f"the engine failed: {error.fault} {error.detail}".strip()
            return Refusal(502, "engine_failed", detail, run.outcome())
        pause_s = min(MAX_PAUSE_S, RETRY_PAUSE_S * 2 ** (run.attempts - 1))
        if self._clock.monotonic() + pause_s >= run.request.deadline:
            return Refusal(504, "deadline", "the request's time is over", run.outcome())
        eventlet.sleep(pause_s)
        return None

    def _may_repeat(self, run: Run, error: EngineError) -> bool:
        """Tell whether a repeat fits the retry budget.

        The budget keeps repeats from multiplying the engines' work. An attempt that no
        engine took has cost none, and patient work must be finished.
        """
        if run.request.work_class is WorkClass.BACKGROUND or error.fault in NO_WORK:
            return True
        return self._budget.spend()

    # Answers.

    def _stream_answer(self, run: Run, stream: EngineStream) -> Answer:
        return Answer(
            status=200,
            content_type=stream.content_type,
            chunks=self._relay(run, current_traceparent()),
            close=lambda: self._finish(run),
        )

    def _relay(self, run: Run, traceparent: str) -> Iterator[bytes]:
        """Yield blocks of the stream; resumes on another attempt if it breaks."""
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

    def _read(self, run: Run) -> Result[StreamBlock, EngineError]:
        assert run.stream is not None
        left_s = self._read_deadline(run) - self._clock.monotonic()
        if left_s <= 0:
            return Err(EngineError(EngineFault.LEASE_LAPSED, "grant or time is over"))
        with Timeout(left_s, False):
            return run.stream.read()
        return Err(EngineError(EngineFault.TIMEOUT, "the stream stalled"))

    def _resume(self, run: Run, error: EngineError) -> None:
        """Continue a broken stream elsewhere, or cut it visibly."""
        self._drop_stream(run)
        refusal = self._after_failure(run, error)
        if refusal is None:
            restarted = self._start(run)
            refusal = restarted.err_value if isinstance(restarted, Err) else None
        if refusal is not None:
            raise StreamCutError(refusal.detail)

    def _drop_stream(self, run: Run) -> None:
        """Stop using a runner: the grant ends only after the request has."""
        if run.stream is not None:
            run.stream.close()
        if run.engine is None:
            return
        if self._engines.cancel(run.engine, run.engine_request_id):
            self._grants.end(run.grant_id)
        else:
            # The engine may still be using the adapter, so the pin outlives the call.
            pause_s = self._cfg.lease.grant_s
            eventlet.spawn_after(pause_s, self._grants.end, run.grant_id)

    def _finish(self, run: Run) -> None:
        """End the request; called once more when the caller has left early."""
        if run.stream is None:
            return
        if not run.complete:
            self._drop_stream(run)
            run.stream = None
            return
        run.stream.close()
        run.stream = None
        self._grants.end(run.grant_id)
        if run.engine is not None:
            self._placement.learn_prefix(run.request.prefix, run.engine.id, True)

    def _whole_answer(self, run: Run) -> Result[Answer, Refusal]:
        """Read a whole answer before the first byte goes to the caller."""
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
        return Ok(Answer(200, content_type, iter([b"".join(parts)])))

    def _restart(self, run: Run, error: EngineError) -> Refusal | None:
        self._drop_stream(run)
        refusal = self._after_failure(run, error)
        if refusal is not None:
            return refusal
        restarted = self._start(run)
        return restarted.err_value if isinstance(restarted, Err) else None
