"""Acquisition of grants: which owner gets the request, and how replies are handled."""

from __future__ import annotations

import eventlet
from result import Err, Ok, Result

from gooseberryrun._internal.state import Clock, Settings, Vm, WorkClass

from ._attempts import MAX_RETRY_PAUSE_S, RETRY_PAUSE_S, CompletionRun
from ._crash_names import request_traits
from ._crashes import Crashes
from ._errors import Refusal
from ._grants import Grants
from ._membership import Membership
from ._messages import GrantAnswer, GrantRequest
from ._placement import Placement
from ._replica import Replica
from ._requests import CompletionRequest
from ._tracing import current_traceparent

_OVERLOAD_REASONS = {"queue_full", "queue_timeout", "overloaded"}
"""Refusal reasons that will not change within the time of one request."""


class Acquisition:
    """Requests grants from owners of runners, one at a time, until one is granted."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        membership: Membership,
        replica: Replica,
        grants: Grants,
        placement: Placement,
        crashes: Crashes,
        boot: str,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._replica = replica
        self._grants = grants
        self._placement = placement
        self._crashes = crashes
        self._boot = boot

    def acquire(self, run: CompletionRun) -> Result[GrantAnswer, Refusal]:
        """Request grants from owners until one is granted or the time is over."""
        limit = self._clock.monotonic() + self._cfg.limits.grant_wait_s
        deadline = min(run.request.deadline, limit)
        reasons: set[str] = set()
        pause_s = RETRY_PAUSE_S
        exclude = set(run.excluded_runners)
        while self._clock.monotonic() < deadline:
            engine = self._choose(run.request, exclude)
            if engine is None:
                if reasons and reasons <= _OVERLOAD_REASONS:
                    break
                exclude.clear()
                reasons.clear()
                eventlet.sleep(pause_s)
                pause_s = min(MAX_RETRY_PAUSE_S, pause_s * 2)
                continue
            answer = self._request_grant(run, engine, deadline)
            if answer is not None and answer.decision == "granted":
                run.engine = engine
                run.engine_request_id = f"{run.request.request_id}.{run.grant_requests}"
                run.grant_id = answer.grant_id
                prefix = run.request.prefix
                self._placement.record_prefix(prefix, engine.id, answer.cached)
                run.incarnation = answer.incarnation
                return Ok(answer)
            reasons.add(self._skip_runner(engine, answer, exclude))
        return Err(self._refuse_capacity(run, reasons))

    def _choose(self, request: CompletionRequest, exclude: set[str]) -> Vm | None:
        # The content comes first: a suspect adapter would bring a deadly content to
        # the runner of the sound requests that share it.
        trait = self._crashes.suspect_trait(request_traits(request))
        if trait is None:
            background = request.work_class is WorkClass.BACKGROUND
            return self._placement.choose(
                request.model, request.prefix, exclude, background
            )
        crashed = self._crashes.crashed_runners(trait)
        return self._placement.choose_isolated(trait.key, exclude | crashed)

    def _skip_runner(
        self, engine: Vm, answer: GrantAnswer | None, exclude: set[str]
    ) -> str:
        """Return why a runner gave no grant; exclude it if another should be tried."""
        if answer is None:
            self._placement.avoid(engine.id)
            exclude.add(engine.id)
            return "owner unreachable"
        if answer.decision == "not_owner":
            owner = answer.owner
            if owner is None or self._membership.has_boot_ended(owner.vm, owner.boot):
                exclude.add(engine.id)
            else:
                eventlet.sleep(RETRY_PAUSE_S)
            return "ownership is changing"
        exclude.add(engine.id)
        return answer.reason

    def _refuse_capacity(self, run: CompletionRun, reasons: set[str]) -> Refusal:
        causes = ", ".join(sorted(reasons)) or "no runner is reachable"
        detail = f"no runner could take the request: {causes}"
        return Refusal(503, "no_capacity", detail, run.outcome(), 1.0)

    def _request_grant(
        self, run: CompletionRun, engine: Vm, deadline: float
    ) -> GrantAnswer | None:
        owner = self._find_owner(engine, run.attempts)
        if owner is None:
            return None
        now = self._clock.monotonic()
        run.grant_requests += 1
        request = GrantRequest(
            request_id=f"{run.request.request_id}.{run.grant_requests}",
            runner=engine.id,
            model=run.request.model,
            vm=self._cfg.vm.id,
            boot=self._boot,
            work_class=str(run.request.work_class),
            fingerprint=run.request.fingerprint,
            suspect=self._crashes.is_suspect(request_traits(run.request)),
            wait_s=self._owner_wait_s(engine, deadline - now),
            traceparent=current_traceparent(),
            prefix=run.request.prefix,
        )
        background = run.request.work_class is WorkClass.BACKGROUND
        self._placement.begin_wait(engine.id, background)
        try:
            answered = self._grants.request_grant(request, owner, now + request.wait_s)
        finally:
            self._placement.end_wait(engine.id, background)
        if isinstance(answered, Err):
            return None
        answer = answered.ok_value
        self._placement.record_load(
            engine.id, answer.queued, answer.running, engine.batch
        )
        return answer

    def _owner_wait_s(self, engine: Vm, left_s: float) -> float:
        """Return how long to wait for one owner before another runner is tried."""
        if self._membership.has_boot_ended(*self._owner_key(engine)):
            return min(left_s, self._cfg.peer.connect_timeout_s)
        return left_s

    def _owner_key(self, engine: Vm) -> tuple[str, str]:
        owner = self._replica.owners.get(engine.id)
        return (owner.vm, owner.boot) if owner is not None else ("", "")

    def _find_owner(self, engine: Vm, attempt: int) -> str | None:
        owner = self._replica.owners.get(engine.id)
        if owner is not None and self._membership.get(owner.vm) is not None:
            return owner.vm
        voters = self._membership.voters(engine.domain)
        return voters[attempt % len(voters)] if voters else None
