"""Where adapters are held, who uses them, and how one is asked for."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from result import Err, Ok, Result

from gooseberryrun._internal.state.serving import DEFAULT_TURN_S, Runner

from .._events import log_event
from .._serving_messages import (
    AcquireAnswer,
    AcquireRequest,
    ResidencyNotice,
    UseNotice,
)
from ._context import Context
from ._membership import Membership
from ._owner import Owners
from ._runner_owner import Refused, adapter_key

_OWNER_FAULTS = {
    "no_owner",
    "not_owner",
    "owner_unreachable",
    "no_lease",
    "owner_left",
    "runner_down",
}
ANSWER_S = 0.05
"""Time left for the owner's answer on its way back."""
MIN_PAUSE_S = 0.3
"""Shortest time for which an owner that could not order is not asked again."""
MAX_PAUSE_S = 1.5
TOLD_TTL_S = 0.6
"""Age up to which an owner's answer counts where its changes are not told."""


@dataclass(frozen=True, slots=True)
class AdapterWant:
    """Adapter that a request needs, by its key, at a version or a newer one.

    After ``target_deadline`` the first event is late.
    """

    adapter: str
    version: int
    target_deadline: float
    priority: int
    request_id: str
    is_missing: bool


@dataclass(frozen=True, slots=True)
class PlaceQueue:
    """Wait for places of a runner: idle ones, requests waiting, time for each."""

    idle: int
    waiting: int
    turn_s: float


class Adapters:
    """Beliefs on adapters at runners, and questions to the runners' owners."""

    def __init__(self, ctx: Context, owners: Owners, membership: Membership) -> None:
        self._ctx = ctx
        self._owners = owners
        self._membership = membership
        self._unorderable: dict[str, float] = {}
        self._uses: Counter[tuple[str, str]] = Counter()

    def held(self, runner: Runner) -> dict[str, int]:
        """Return the adapters that a runner is believed to hold, with versions."""
        notice = self._notice(runner)
        if notice is not None:
            return notice.held
        if not self._ctx.follows(runner):
            return {}
        return {
            adapter_key(model.name, name): version
            for model in runner.models
            for name, version in model.adapters.items()
        }

    def _notice(self, runner: Runner) -> ResidencyNotice | None:
        """Return what the runner's owner said last, unless it is out of date."""
        notice = self._ctx.residency.get(runner.id)
        if notice is None or notice.born_ms != runner.born_ms:
            return None
        if self._ctx.follows(runner):
            return notice
        heard_at = self._ctx.residency_at.get(runner.id, float("-inf"))
        is_fresh = self._ctx.clock.monotonic() - heard_at <= TOLD_TTL_S
        return notice if is_fresh else None

    def queue(self, runner: Runner) -> PlaceQueue:
        """Return what is known of the wait for places of a runner."""
        notice = self._notice(runner)
        if notice is None:
            return PlaceQueue(1, 0, DEFAULT_TURN_S)
        return PlaceQueue(notice.idle, notice.waiting, notice.turn_s)

    def hear_residency(self, sender: str, notice: ResidencyNotice) -> None:
        """Take in what an owner says, and tell a new one what is in use."""
        known = self._ctx.residency.get(notice.runner)
        self._ctx.hear_residency(notice)
        if known is not None and known.fencing_token == notice.fencing_token:
            return
        for (runner, adapter), count in self._uses.items():
            if runner == notice.runner:
                self._tell(sender, UseNotice(runner, adapter, count))

    def was_held(self, runner: Runner, adapter: str) -> bool:
        """Tell whether a runner held an adapter lately, so that it reloads fast."""
        memory = self._ctx.memories.get(runner.id)
        return memory is not None and memory.remembers(runner.born_ms, adapter)

    def can_order(self, runner: Runner) -> bool:
        """Tell whether the owner of a runner may be able to load an adapter."""
        now = self._ctx.clock.monotonic()
        return now >= self._unorderable.get(runner.id, 0.0)

    def note_held(self, runner: Runner, adapter: str, version: int) -> None:
        """Believe that a runner holds an adapter."""
        self._believe(runner, {**self.held(runner), adapter: version})

    def forget(self, runner: Runner, adapter: str) -> None:
        """Believe that a runner does not hold an adapter."""
        held = {key: v for key, v in self.held(runner).items() if key != adapter}
        self._believe(runner, held)

    def _believe(self, runner: Runner, held: dict[str, int]) -> None:
        known = self._ctx.residency.get(runner.id)
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
            queue.turn_s,
        )
        self._ctx.note_residency(notice)

    def begin_use(self, runner: Runner, adapter: str) -> None:
        """Tell the owner that one more request is on an adapter."""
        self._uses[(runner.id, adapter)] += 1
        self._tell_use(runner, adapter)

    def end_use(self, runner: Runner, adapter: str) -> None:
        """Tell the owner that a request on an adapter is over."""
        self._uses[(runner.id, adapter)] -= 1
        self._tell_use(runner, adapter)
        if not self._uses[(runner.id, adapter)]:
            del self._uses[(runner.id, adapter)]

    def _tell_use(self, runner: Runner, adapter: str) -> None:
        owner = self._ctx.owner_of(runner)
        notice = UseNotice(runner.id, adapter, self._uses[(runner.id, adapter)])
        if owner is not None:
            self._tell(owner.vm, notice)

    def _tell(self, owner: str, notice: UseNotice) -> None:
        if owner == self._ctx.vm:
            self._owners.hear_use(owner, notice)
        else:
            self._ctx.peers.send_to(owner, notice)

    def acquire(
        self, runner: Runner, want: AdapterWant, deadline: float
    ) -> Result[int, Refused]:
        """Have the owner of a runner make an adapter ready; return its version."""
        owner = self._ctx.owner_of(runner)
        if owner is None:
            self._membership.renew_soon()
            return Err(Refused("no_owner", 0.5))
        now = self._ctx.clock.monotonic()
        question = AcquireRequest(
            runner=runner.id,
            adapter=want.adapter,
            version=want.version,
            left_s=deadline - now - ANSWER_S,
            target_s=want.target_deadline - now,
            priority=want.priority,
            request_id=want.request_id,
            is_missing=want.is_missing,
        )
        if owner.vm == self._ctx.vm:
            acquired = self._owners.acquire(question, deadline)
        else:
            acquired = self._ask(owner.vm, question, deadline)
        self._note(runner, want.adapter, acquired)
        return acquired

    def _ask(
        self, vm: str, question: AcquireRequest, deadline: float
    ) -> Result[int, Refused]:
        answer = self._ctx.peers.ask(vm, question, deadline)
        if isinstance(answer, Err):
            log_event(
                "owner_unreachable",
                request=question.request_id,
                owner=vm,
                why=answer.err_value.detail,
            )
            return Err(Refused("owner_unreachable", 0.5))
        reply = answer.ok_value
        if not isinstance(reply, AcquireAnswer):
            return Err(Refused("unexpected_answer", 0.5))
        self._hear_state(vm, reply)
        if reply.reason:
            return Err(Refused(reply.reason, reply.retry_in_s))
        return Ok(reply.version)

    def _hear_state(self, vm: str, reply: AcquireAnswer) -> None:
        """Take in what an owner tells of its runner with an answer."""
        if reply.residency is not None:
            self.hear_residency(vm, reply.residency)
        if reply.residency is not None and reply.load is not None:
            now = self._ctx.clock.monotonic()
            self._ctx.loads.hear_owner(reply.residency.runner, reply.load, now)

    def _note(
        self, runner: Runner, adapter: str, acquired: Result[int, Refused]
    ) -> None:
        if isinstance(acquired, Ok):
            self.note_held(runner, adapter, acquired.ok_value)
            return
        refused = acquired.err_value
        if refused.reason not in _OWNER_FAULTS:
            return
        pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, refused.retry_in_s))
        self._unorderable[runner.id] = self._ctx.clock.monotonic() + pause_s
        self._membership.renew_soon()
