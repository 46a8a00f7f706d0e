"""Known locations of adapters, their uses, and requests to the runners' owners."""

from __future__ import annotations

from collections import Counter

import msgspec
from result import Err, Ok, Result

from gooseberryrun._internal.state.serving import (
    DEFAULT_SLOT_WAIT_S,
    PrefillLoad,
    Runner,
    adapter_key,
    is_base_model,
)

from .._events import log_event
from .._serving_messages import (
    AcquireAnswer,
    AcquireRequest,
    PrefillNotice,
    ResidencyNotice,
    UseNotice,
)
from ._context import Context
from ._membership import Membership
from ._owner import OwnedRunners
from ._request_ports import RequestInterruptedError
from ._statements import record_restart
from ._waiting_requests import Refusal

RESPONSE_MARGIN_S = 0.05
"""Part of the deadline reserved for the transfer of the owner's reply."""
MIN_PAUSE_S = 0.3
"""Shortest time for which no load is requested after the owner could not order one."""
MAX_PAUSE_S = 1.5
WITHDRAWN_S = -1.0
"""Time to the first event in the notice of a prompt that got none."""
OWNER_STATE_TTL_S = 0.6
"""Age up to which the residency in an owner's reply is used for a runner that this VM
does not follow."""


class AdapterRequirement(msgspec.Struct, frozen=True):
    """Adapter, by its key, and the lowest version of it that a request needs.

    The first event is late after ``target_deadline``. ``prefill_tokens`` is the length
    of a prompt that needs a grant to start, otherwise 0.
    """

    adapter: str
    version: int
    target_deadline: float
    priority: int
    request_id: str
    is_missing: bool
    prefill_tokens: int = 0
    account: str = ""


class SlotQueue(msgspec.Struct, frozen=True):
    """Idle slots of a runner, requests waiting for one, and the mean wait per slot."""

    idle: int
    waiting: int
    mean_slot_wait_s: float


class Adapters:
    """Last known adapters of each runner, and requests for adapters to its owner."""

    def __init__(
        self, ctx: Context, owned_runners: OwnedRunners, membership: Membership
    ) -> None:
        self._ctx = ctx
        self._owned_runners = owned_runners
        self._membership = membership
        self._blocked_until: dict[str, float] = {}
        self._uses: Counter[tuple[str, str]] = Counter()
        self._step_s: dict[tuple[str, str], float] = {}

    def held(self, runner: Runner) -> dict[str, int]:
        """Return the adapters that a runner is assumed to hold, with versions."""
        notice = self._current_notice(runner)
        if notice is not None:
            return notice.held
        if not self._ctx.follows(runner):
            return {}
        return {
            adapter_key(model.name, name): version
            for model in runner.models
            for name, version in model.adapters.items()
        }

    def _current_notice(self, runner: Runner) -> ResidencyNotice | None:
        """Return the latest notice from the runner's owner unless it is out of date."""
        notice = self._ctx.residency.newest(runner.id)
        if notice is None or notice.born_ms != runner.born_ms:
            return None
        if self._ctx.follows(runner):
            return notice
        is_recent = self._ctx.residency.age_s(runner.id) <= OWNER_STATE_TTL_S
        return notice if is_recent else None

    def queue(self, runner: Runner) -> SlotQueue:
        """Return what is known of the queue for a runner's adapter slots."""
        notice = self._current_notice(runner)
        if notice is None:
            return SlotQueue(1, 0, DEFAULT_SLOT_WAIT_S)
        return SlotQueue(notice.idle, notice.waiting, notice.mean_slot_wait_s)

    def prefill_load(self, runner: Runner) -> PrefillLoad:
        """Return the load of prompts that is expected at a runner now."""
        notice = self._current_notice(runner)
        if notice is None:
            return PrefillLoad()
        return notice.prefill.after(self._ctx.residency.age_s(runner.id))

    def kv_total(self, runner: Runner) -> int:
        """Return the tokens that fit a runner's memory, 0 if that is not known."""
        notice = self._current_notice(runner)
        return 0 if notice is None else notice.kv_total

    def end_prefill(self, runner: Runner, request_id: str, took_s: float) -> None:
        """Return a prompt's grant to the runner's owner.

        ``took_s`` is the time to the first event, negative without one.
        """
        owner = self._ctx.owner_of(runner)
        if owner is not None:
            notice = PrefillNotice(runner.id, request_id, took_s)
            self._send_to_owner(owner.vm, notice)

    def handle_residency_notice(self, sender: str, notice: ResidencyNotice) -> None:
        """Store a residency notice; report this VM's uses if the owner is a new one."""
        if notice.is_undeclared:
            record_restart(self._ctx, notice.runner, notice.born_ms, sender)
        known = self._ctx.residency.newest(notice.runner)
        self._ctx.residency.update(notice)
        if notice.weight is not None:
            self._ctx.weights.merge(notice.runner, notice.weight)
        if known is not None and known.fencing_token == notice.fencing_token:
            return
        for (runner, adapter), count in self._uses.items():
            if runner == notice.runner:
                self._send_to_owner(sender, UseNotice(runner, adapter, count))

    def recently_held(self, runner: Runner, adapter: str) -> bool:
        """Return whether a runner held an adapter recently and reloads it fast."""
        return self._ctx.residency.held_recently(runner, adapter)

    def can_acquire(self, runner: Runner) -> bool:
        """Return whether an adapter may be requested from the runner's owner now."""
        now = self._ctx.clock.monotonic()
        return now >= self._blocked_until.get(runner.id, 0.0)

    def record_held(self, runner: Runner, adapter: str, version: int) -> None:
        """Record that a runner holds an adapter."""
        self._set_held(runner, {**self.held(runner), adapter: version})

    def record_missing(self, runner: Runner, adapter: str) -> None:
        """Record that a runner does not hold an adapter."""
        held = {key: v for key, v in self.held(runner).items() if key != adapter}
        self._set_held(runner, held)

    def _set_held(self, runner: Runner, held: dict[str, int]) -> None:
        known = self._ctx.residency.newest(runner.id)
        is_same = known is not None and known.born_ms == runner.born_ms
        token = known.fencing_token if known is not None and is_same else 0
        queue = self.queue(runner)
        notice = ResidencyNotice(
            runner.id,
            runner.born_ms,
            token,
            held,
            queue.idle,
            queue.waiting,
            queue.mean_slot_wait_s,
            self.prefill_load(runner),
            kv_total=self.kv_total(runner),
        )
        self._ctx.residency.record(notice)

    def begin_use(self, runner: Runner, adapter: str) -> None:
        """Report to the owner that one more request uses an adapter."""
        self._uses[(runner.id, adapter)] += 1
        self._send_use_notice(runner, adapter)

    def end_use(self, runner: Runner, adapter: str) -> None:
        """Report to the owner that a request no longer uses an adapter."""
        self._uses[(runner.id, adapter)] -= 1
        self._send_use_notice(runner, adapter)
        if not self._uses[(runner.id, adapter)]:
            del self._uses[(runner.id, adapter)]

    def record_steps(self, runner: Runner, adapter: str, step_s: float) -> None:
        """Record the step time of a stream for the notice of its end."""
        self._step_s[(runner.id, adapter)] = step_s

    def _send_use_notice(self, runner: Runner, adapter: str) -> None:
        owner = self._ctx.owner_of(runner)
        step_s = self._step_s.pop((runner.id, adapter), 0.0)
        uses = self._uses[(runner.id, adapter)]
        notice = UseNotice(runner.id, adapter, uses, step_s)
        if owner is not None:
            self._send_to_owner(owner.vm, notice)

    def _send_to_owner(self, owner: str, notice: UseNotice | PrefillNotice) -> None:
        if owner != self._ctx.vm:
            self._ctx.peers.send_to(owner, notice)
        elif isinstance(notice, UseNotice):
            self._owned_runners.handle_use_notice(owner, notice)
        else:
            self._owned_runners.handle_prefill_notice(notice)

    def acquire(
        self, runner: Runner, requirement: AdapterRequirement, deadline: float
    ) -> Result[int, Refusal]:
        """Request an adapter from the runner's owner; return the ready version."""
        owner = self._ctx.owner_of(runner)
        if owner is None:
            self._membership.schedule_renewal()
            return Err(Refusal("no_owner", 0.5))
        now = self._ctx.clock.monotonic()
        request = AcquireRequest(
            runner=runner.id,
            adapter=requirement.adapter,
            version=requirement.version,
            left_s=deadline - now - RESPONSE_MARGIN_S,
            target_s=requirement.target_deadline - now,
            priority=requirement.priority,
            request_id=requirement.request_id,
            is_missing=requirement.is_missing,
            prefill_tokens=requirement.prefill_tokens,
            account=requirement.account,
        )
        try:
            if owner.vm == self._ctx.vm:
                acquired = self._owned_runners.acquire(request, deadline)
            else:
                acquired = self._request_from_owner(owner.vm, request, deadline)
        except RequestInterruptedError:
            self.end_prefill(runner, requirement.request_id, WITHDRAWN_S)
            raise
        self._record_outcome(runner, requirement.adapter, acquired)
        return acquired

    def _request_from_owner(
        self, vm: str, request: AcquireRequest, deadline: float
    ) -> Result[int, Refusal]:
        result = self._ctx.peers.request_from(vm, request, deadline)
        if isinstance(result, Err):
            log_event(
                "owner_unreachable",
                request=request.request_id,
                owner=vm,
                why=result.err_value.detail,
            )
            return Err(Refusal("owner_unreachable", 0.5))
        reply = result.ok_value
        if not isinstance(reply, AcquireAnswer):
            return Err(Refusal("unexpected_answer", 0.5))
        self._record_owner_state(vm, reply)
        if reply.reason:
            return Err(Refusal(reply.reason, reply.retry_in_s))
        return Ok(reply.version)

    def _record_owner_state(self, vm: str, reply: AcquireAnswer) -> None:
        """Store the residency and load that an owner's reply carries."""
        if reply.residency is not None:
            self.handle_residency_notice(vm, reply.residency)
        if reply.residency is not None and reply.load is not None:
            now = self._ctx.clock.monotonic()
            self._ctx.loads.receive_from_owner(reply.residency.runner, reply.load, now)

    def _record_outcome(
        self, runner: Runner, adapter: str, acquired: Result[int, Refusal]
    ) -> None:
        if isinstance(acquired, Ok):
            if is_base_model(adapter):
                return
            self.record_held(runner, adapter, acquired.ok_value)
            return
        refusal = acquired.err_value
        if not refusal.is_owner_fault:
            return
        pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, refusal.retry_in_s))
        self._blocked_until[runner.id] = self._ctx.clock.monotonic() + pause_s
        self._membership.schedule_renewal()
