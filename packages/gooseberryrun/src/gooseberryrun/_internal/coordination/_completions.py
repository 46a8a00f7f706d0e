"""Completions: grant, direct stream from the engine, resume and repeat."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import eventlet
from eventlet.timeout import Timeout
from opentelemetry import trace
from result import Err, Ok, Result

from gooseberryrun._internal.state import (
    Clock,
    RunOutcome,
    Settings,
    Vm,
    WorkClass,
    check,
)

from ._crashes import CRASH_PROBES, Crashes
from ._errors import EngineError, EngineFault, Refusal
from ._events import log_event
from ._grants import Grants
from ._membership import Membership
from ._messages import GrantAnswer, GrantRequest
from ._metrics import RETRIES
from ._placement import Placement
from ._ports import EngineCall, Engines, EngineStream, StreamBlock
from ._replica import Replica
from ._requests import Answer, CompletionRequest, StreamCutError
from ._retries import RetryBudget
from ._tracing import current_traceparent, start_span

RETRY_PAUSE_S = 0.05
"""First pause before a repeated attempt; doubles with each one."""
MAX_PAUSE_S = 1.0
_NEVER_RAN = (
    EngineFault.NOT_SENT,
    EngineFault.UNREACHABLE,
    EngineFault.NOT_RESIDENT,
)
_NO_WORK = (EngineFault.NOT_SENT, EngineFault.NOT_RESIDENT)
_AVOIDED = (EngineFault.NOT_SENT, EngineFault.UNREACHABLE, EngineFault.BROKEN)
_CRASH_PROBES = {
    EngineFault.BROKEN: CRASH_PROBES,
    EngineFault.TIMEOUT: 1,
    EngineFault.LEASE_LAPSED: 1,
}
"""How often a runner is asked whether it crashed, by the fault of an attempt."""
_OVERLOAD = {"queue_full", "queue_timeout", "overloaded"}
_UNAVAILABLE_STATUS = 503
PRIORITIES = {WorkClass.QUICK: 0, WorkClass.ONCE: 0, WorkClass.PATIENT: 10}


@dataclass(slots=True)
class _Run:
    """Progress of one request over its attempts."""

    request: CompletionRequest
    attempts: int = 0
    asks: int = 0
    engine_request_id: str = ""
    events_sent: int = 0
    dispatched: bool = False
    complete: bool = False
    exclude: set[str] = field(default_factory=set)
    engine: Vm | None = None
    grant_id: str = ""
    incarnation: str = ""
    stream: EngineStream | None = None


def _never_ran(error: EngineError) -> bool:
    """Tell whether an engine surely executed nothing of a failed attempt."""
    if error.fault is EngineFault.REJECTED:
        return error.status < 500 or error.status == _UNAVAILABLE_STATUS
    return error.fault in _NEVER_RAN


class Completions:
    """Runs completions on engines."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        membership: Membership,
        replica: Replica,
        grants: Grants,
        placement: Placement,
        engines: Engines,
        crashes: Crashes,
        boot: str,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._replica = replica
        self._grants = grants
        self._placement = placement
        self._engines = engines
        self._crashes = crashes
        self._boot = boot
        self._budget = RetryBudget(cfg.limits)

    def run(self, request: CompletionRequest) -> Result[Answer, Refusal]:
        """Run a completion; the answer is whole or its stream is cut visibly."""
        refusal = self._refuse_early(request)
        if refusal is not None:
            return Err(refusal)
        self._budget.earn()
        run = _Run(request)
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

    def _start(self, run: _Run) -> Result[EngineStream, Refusal]:
        """Get a grant and open a stream, repeating within the request's limits."""
        while True:
            run.attempts += 1
            granted = self._acquire(run)
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
            if not _never_ran(opened.err_value):
                run.dispatched = True
            if opened.err_value.fault is EngineFault.NOT_RESIDENT:
                self._grants.note_not_resident(run.grant_id)
            self._drop_stream(run)
            refusal = self._after_failure(run, opened.err_value)
            if refusal is not None:
                return Err(refusal)

    def _refuse_granted(self, run: _Run) -> Refusal | None:
        """Refuse if copies of the request crashed runners while this one waited."""
        poisonous = self._refuse_poisonous(run.request)
        if poisonous is None:
            return None
        self._grants.end(run.grant_id)
        return replace(poisonous, outcome=self._outcome(run))

    def _open(self, run: _Run, grant: GrantAnswer) -> Result[EngineStream, EngineError]:
        engine = run.engine
        check(engine is not None, "granted-engine-known")
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

    def _read_deadline(self, run: _Run) -> float:
        """Return when the next read must end: the grant must still be in force."""
        now = self._clock.monotonic()
        left_s = min(self._cfg.limits.engine_stall_s, self._grants.left_s(run.grant_id))
        return min(run.request.deadline, now + left_s)

    def _after_failure(self, run: _Run, error: EngineError) -> Refusal | None:
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
            return replace(poisonous, outcome=self._outcome(run))
        return self._pause_or_refuse(run, error)

    def _note_fault(self, run: _Run, engine: Vm, error: EngineError) -> None:
        if error.fault in _AVOIDED:
            self._placement.avoid(engine.id)
            run.exclude = {engine.id}
        probes = _CRASH_PROBES.get(error.fault)
        if probes is not None:
            fingerprint = run.request.fingerprint
            self._crashes.suspect(engine, run.incarnation, fingerprint, probes)

    def _pause_or_refuse(self, run: _Run, error: EngineError) -> Refusal | None:
        if run.attempts >= self._cfg.limits.max_attempts or not self._may_repeat(
            run, error
        ):
            detail = f"the engine failed: {error.fault} {error.detail}".strip()
            return Refusal(502, "engine_failed", detail, self._outcome(run))
        pause_s = min(MAX_PAUSE_S, RETRY_PAUSE_S * 2 ** (run.attempts - 1))
        if self._clock.monotonic() + pause_s >= run.request.deadline:
            return Refusal(
                504, "deadline", "the request's time is over", self._outcome(run)
            )
        eventlet.sleep(pause_s)
        return None

    def _may_repeat(self, run: _Run, error: EngineError) -> bool:
        """Tell whether a repeat fits the retry budget.

        The budget keeps repeats from multiplying the engines' work. An attempt that no
        engine took has cost none, and patient work must be finished.
        """
        if run.request.work_class is WorkClass.PATIENT or error.fault in _NO_WORK:
            return True
        return self._budget.spend()

    def _outcome(self, run: _Run) -> RunOutcome:
        """Say "not run" only if no attempt reached an engine that accepted it."""
        return RunOutcome.UNKNOWN if run.dispatched else RunOutcome.NOT_RUN

    # Grants.

    def _acquire(self, run: _Run) -> Result[GrantAnswer, Refusal]:
        """Ask owners until one grants a place on a runner."""
        limit = self._clock.monotonic() + self._cfg.limits.grant_wait_s
        deadline = min(run.request.deadline, limit)
        reasons: set[str] = set()
        pause_s = RETRY_PAUSE_S
        exclude = set(run.exclude)
        while self._clock.monotonic() < deadline:
            engine = self._choose(run.request, exclude)
            if engine is None:
                if reasons and reasons <= _OVERLOAD:
                    break
                exclude.clear()
                reasons.clear()
                eventlet.sleep(pause_s)
                pause_s = min(MAX_PAUSE_S, pause_s * 2)
                continue
            answer = self._ask_owner(run, engine, deadline)
            if answer is not None and answer.verdict == "granted":
                run.engine = engine
                run.engine_request_id = f"{run.request.request_id}.{run.asks}"
                run.grant_id = answer.grant_id
                prefix = run.request.prefix
                self._placement.learn_prefix(prefix, engine.id, answer.cached)
                run.incarnation = answer.incarnation
                return Ok(answer)
            reasons.add(self._pass_over(engine, answer, exclude))
        return Err(self._refuse_capacity(run, reasons))

    def _choose(self, request: CompletionRequest, exclude: set[str]) -> Vm | None:
        if not self._crashes.is_suspect(request.fingerprint):
            patient = request.work_class is WorkClass.PATIENT
            return self._placement.choose(
                request.model, request.prefix, exclude, patient
            )
        crashed = self._crashes.crashed_runners(request.fingerprint)
        return self._placement.choose_apart(request.fingerprint, exclude | crashed)

    def _pass_over(
        self, engine: Vm, answer: GrantAnswer | None, exclude: set[str]
    ) -> str:
        """Note why a runner gave no place and whether to ask another one."""
        if answer is None:
            self._placement.avoid(engine.id)
            exclude.add(engine.id)
            return "owner unreachable"
        if answer.verdict == "not_owner":
            owner = answer.owner
            if owner is None or self._membership.is_boot_gone(owner.vm, owner.boot):
                exclude.add(engine.id)
            else:
                eventlet.sleep(RETRY_PAUSE_S)
            return "ownership is changing"
        exclude.add(engine.id)
        return answer.reason

    def _refuse_capacity(self, run: _Run, reasons: set[str]) -> Refusal:
        why = ", ".join(sorted(reasons)) or "no runner is reachable"
        detail = f"no runner could take the request: {why}"
        return Refusal(503, "no_capacity", detail, self._outcome(run), 1.0)

    def _ask_owner(self, run: _Run, engine: Vm, deadline: float) -> GrantAnswer | None:
        owner = self._owner_to_ask(engine, run.attempts)
        if owner is None:
            return None
        now = self._clock.monotonic()
        run.asks += 1
        request = GrantRequest(
            request_id=f"{run.request.request_id}.{run.asks}",
            runner=engine.id,
            model=run.request.model,
            vm=self._cfg.vm.id,
            boot=self._boot,
            work_class=str(run.request.work_class),
            fingerprint=run.request.fingerprint,
            suspect=self._crashes.is_suspect(run.request.fingerprint),
            wait_s=self._owner_wait_s(engine, deadline - now),
            traceparent=current_traceparent(),
            prefix=run.request.prefix,
        )
        patient = run.request.work_class is WorkClass.PATIENT
        self._placement.begin_ask(engine.id, patient)
        try:
            answered = self._grants.ask(request, owner, now + request.wait_s)
        finally:
            self._placement.end_ask(engine.id, patient)
        if isinstance(answered, Err):
            return None
        answer = answered.ok_value
        self._placement.learn(engine.id, answer.queued, answer.running, engine.batch)
        return answer

    def _owner_wait_s(self, engine: Vm, left_s: float) -> float:
        """Return how long to wait at one owner before another way is tried."""
        if self._membership.is_boot_gone(*self._owner_key(engine)):
            return min(left_s, self._cfg.peer.connect_timeout_s)
        return left_s

    def _owner_key(self, engine: Vm) -> tuple[str, str]:
        owner = self._replica.owners.get(engine.id)
        return (owner.vm, owner.boot) if owner is not None else ("", "")

    def _owner_to_ask(self, engine: Vm, attempt: int) -> str | None:
        owner = self._replica.owners.get(engine.id)
        if owner is not None and self._membership.get(owner.vm) is not None:
            return owner.vm
        voters = self._membership.voters(engine.domain)
        return voters[attempt % len(voters)] if voters else None

    # Answers.

    def _stream_answer(self, run: _Run, stream: EngineStream) -> Answer:
        return Answer(
            status=200,
            content_type=stream.content_type,
            chunks=self._relay(run, current_traceparent()),
            close=lambda: self._finish(run),
        )

    def _relay(self, run: _Run, traceparent: str) -> Iterator[bytes]:
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

    def _read(self, run: _Run) -> Result[StreamBlock, EngineError]:
        assert run.stream is not None
        left_s = self._read_deadline(run) - self._clock.monotonic()
        if left_s <= 0:
            return Err(EngineError(EngineFault.LEASE_LAPSED, "grant or time is over"))
        with Timeout(left_s, False):
            return run.stream.read()
        return Err(EngineError(EngineFault.TIMEOUT, "the stream stalled"))

    def _resume(self, run: _Run, error: EngineError) -> None:
        """Continue a broken stream elsewhere, or cut it visibly."""
        self._drop_stream(run)
        refusal = self._after_failure(run, error)
        if refusal is None:
            restarted = self._start(run)
            refusal = restarted.err_value if isinstance(restarted, Err) else None
        if refusal is not None:
            raise StreamCutError(refusal.detail)

    def _drop_stream(self, run: _Run) -> None:
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

    def _finish(self, run: _Run) -> None:
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

    def _whole_answer(self, run: _Run) -> Result[Answer, Refusal]:
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

    def _restart(self, run: _Run, error: EngineError) -> Refusal | None:
        self._drop_stream(run)
        refusal = self._after_failure(run, error)
        if refusal is not None:
            return refusal
        restarted = self._start(run)
        return restarted.err_value if isinstance(restarted, Err) else None
