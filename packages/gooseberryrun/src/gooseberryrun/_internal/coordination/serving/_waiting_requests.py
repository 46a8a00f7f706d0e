"""Requests that wait at the owner of a runner for an adapter or a long prompt."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from eventlet.event import Event
from eventlet.timeout import Timeout
from result import Err, Ok, Result

from gooseberryrun._internal.state.serving import Runner, RunnerQueue, SlotWait, Waiter

from .._events import log_event
from .._serving_messages import AcquireRequest
from ._context import Context

WITHDRAWN_TTL_S = 1.0
"""Time for which a withdrawn request is remembered that has not been served yet: its
green thread may start after the withdrawal has been handled."""
_OWNER_FAULTS = frozenset(
    {
        "no_owner",
        "not_owner",
        "owner_unreachable",
        "no_lease",
        "owner_left",
        "runner_down",
    }
)


class Refusal(msgspec.Struct, frozen=True):
    """Reason why an adapter is not made ready, and when to retry."""

    reason: str
    retry_in_s: float

    @property
    def is_owner_fault(self) -> bool:
        """Return whether there is no owner that could answer."""
        return self.reason in _OWNER_FAULTS


@dataclass(slots=True, eq=False)
class WaitingRequest(Waiter):
    """Waiting request; ``completed`` gets the version held or the refusal."""

    completed: Event = field(default_factory=Event)


class WaitingRequests:
    """Requests in an owner's queue, each waited for by the green thread that serves it.

    ``on_change`` is called when what the owner reports of the queue has changed,
    ``wake`` when there is another request to load an adapter for.
    """

    def __init__(
        self,
        ctx: Context,
        runner: Runner,
        max_adapters: int,
        on_change: Callable[[], None],
        wake: Callable[[], None],
    ) -> None:
        self._ctx = ctx
        self._runner = runner
        self._on_change = on_change
        self._wake = wake
        self._withdrawn_at: dict[str, float] = {}
        notice = ctx.residency.newest(runner.id)
        is_same = notice is not None and notice.born_ms == runner.born_ms
        known = notice.prefill if notice is not None and is_same else None
        self.queue: RunnerQueue[WaitingRequest] = RunnerQueue(
            max_adapters, ctx.policy, known
        )

    def end_prefill(self, request_id: str, took_s: float) -> None:
        """Take back the grant of a prompt, or withdraw its request for one."""
        now = self._ctx.clock.monotonic()
        if self.queue.prefills.end(request_id, took_s if took_s >= 0 else None, now):
            self.complete_ready()
            self._on_change()
            return
        waiter = self.queue.find(request_id)
        if waiter is not None:
            self.queue.remove(waiter)
            waiter.completed.send(Err(Refusal("withdrawn", 0.0)))
        elif took_s < 0:
            self._record_withdrawal(request_id)

    def _record_withdrawal(self, request_id: str) -> None:
        """Remember a withdrawal that came before its request was served."""
        now = self._ctx.clock.monotonic()
        self._withdrawn_at = {
            known: at
            for known, at in self._withdrawn_at.items()
            if now - at <= WITHDRAWN_TTL_S
        }
        self._withdrawn_at[request_id] = now

    def is_withdrawn(self, request_id: str, now: float) -> bool:
        """Return whether a request was withdrawn before it was served."""
        withdrawn_at = self._withdrawn_at.pop(request_id, float("-inf"))
        return now - withdrawn_at <= WITHDRAWN_TTL_S

    def wait(self, request: AcquireRequest, deadline: float) -> Result[int, Refusal]:
        """Wait until a request may go to the runner; return its adapter's version."""
        now = self._ctx.clock.monotonic()
        waiter = WaitingRequest(
            request.request_id,
            request.adapter,
            request.version,
            SlotWait(request.priority, now + request.target_s, deadline),
            request.prefill_tokens,
            now,
            account=request.account,
        )
        displaced = self.queue.make_room(waiter, now)
        if displaced is not None:
            self._refuse_displaced(displaced, waiter)
        if not self.queue.add(waiter, now):
            return Err(Refusal("many_waiting", 1.0))
        self.complete_ready()
        self._on_change()
        self._wake()
        return self._wait_for(waiter, deadline - now)

    def _refuse_displaced(self, displaced: WaitingRequest, by: WaitingRequest) -> None:
        """Refuse a request at once that makes way in the full queue."""
        log_event(
            "queue_displaced",
            request=displaced.request_id,
            runner=self._runner.id,
            account=displaced.account,
            by=by.request_id,
            by_account=by.account,
            waiting=len(self.queue.waiters),
            waited_s=by.asked_at - displaced.asked_at,
        )
        displaced.completed.send(Err(Refusal("displaced", 1.0)))

    def _wait_for(
        self, waiter: WaitingRequest, timeout_s: float
    ) -> Result[int, Refusal]:
        """Wait until a request is completed or refused."""
        try:
            with Timeout(max(0.001, timeout_s), False):
                result: Result[int, Refusal] = waiter.completed.wait()
                return result
        finally:
            self.queue.remove(waiter)
            self._on_change()
        return Err(Refusal("too_late", 0.5))

    def complete_ready(self) -> None:
        """Complete the requests that may go to the runner now."""
        table = self._ctx.directory.table
        service = self._runner.service
        self.queue.max_pause_s = table.max_pause_s(service) if table else 0.0
        now = self._ctx.clock.monotonic()
        for waiter in self.queue.take_ready(now):
            if waiter.prefill_tokens:
                self._log_admission(waiter, now)
            waiter.completed.send(Ok(self.queue.slots.held.get(waiter.adapter, 0)))

    def _log_admission(self, waiter: WaitingRequest, now: float) -> None:
        present_at = now if waiter.present_at is None else waiter.present_at
        log_event(
            "prompt_admitted",
            request=waiter.request_id,
            runner=self._runner.id,
            tokens=waiter.prefill_tokens,
            tokens_read=self.queue.prefills.granted_tokens,
            waiting=len(self.queue.waiters),
            token_s=self.queue.prefills.pace.token_s,
            waited_s=now - waiter.asked_at,
            ready_s=now - present_at,
        )

    def refuse_all(self, reason: str) -> None:
        """Refuse every request that waits."""
        for waiter in self.queue.clear():
            waiter.completed.send(Err(Refusal(reason, 0.5)))
