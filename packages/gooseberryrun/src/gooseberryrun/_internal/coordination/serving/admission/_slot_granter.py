"""Slots of the plain servers that are assigned to this VM, granted to all VMs."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import eventlet

from gooseberryrun._internal.state.serving.admission import (
    SlotClaim,
    SlotOutcome,
    SlotQueue,
)

from ..._events import log_event
from ..._ports import InboundMessage
from ..._serving_messages import SlotAnswer, SlotNotice, SlotRelease, SlotRequest
from ..._tasks import run_protected
from .._context import Context

IDLE_TTL_S = 30.0
"""Time after which the queue of a server without requests is dropped."""
NO_GRANTER = "no_granter"
"""Answer of a VM that does not grant slots of a server: it is stopping or does not know
the server."""
LATE = "late"
"""Result of a request that got no slot in time."""
DISPLACED = "displaced"
"""Result of a request that made way for another one."""


class SlotGranter:
    """Queues of servers, by id; ``notify`` sends a result to the VM that waits for it.

    Grants hold by a clock that counts suspensions. A timer runs only while requests
    wait, for the next deadline of each server.
    """

    def __init__(self, ctx: Context, notify: Callable[[str, SlotNotice], None]) -> None:
        self._ctx = ctx
        self._notify = notify
        self._queues: dict[str, SlotQueue] = {}
        self._timers: dict[str, float] = {}
        self._is_closed = False

    def handle_slot_request(
        self, inbound: InboundMessage, request: SlotRequest
    ) -> None:
        """Answer a peer's request for a slot."""
        inbound.reply(self.ask(inbound.sender, request))

    def handle_slot_release(self, vm: str, notice: SlotRelease) -> None:
        """Take back a slot of a VM, or its request for one."""
        queue = self._queues.get(notice.server)
        if queue is not None:
            now = self._ctx.clock.boottime()
            queue.release(vm, notice.ticket, notice.is_answered, now)
            self._advance(notice.server, queue)

    def ask(self, vm: str, request: SlotRequest) -> SlotAnswer:
        """Grant a slot to a VM's request, let it wait, or refuse it."""
        queue = self._queue(request.server)
        if queue is None:
            return SlotAnswer(NO_GRANTER, 0.0)
        self._advance(request.server, queue)
        now = self._ctx.clock.boottime()
        claim = SlotClaim(
            vm,
            request.ticket,
            request.request_id,
            request.account,
            request.priority,
            now + request.due_s,
            now + request.left_s,
            request.max_wait_s,
            request.is_early,
        )
        decision = queue.ask(claim, now)
        self._end(request.server, queue, decision.displaced, DISPLACED)
        if decision.outcome is SlotOutcome.WAITING:
            self._plan(request.server, queue)
        return SlotAnswer(decision.outcome, decision.wait_s, decision.retry_in_s)

    def queue(self, server: str) -> SlotQueue | None:
        """Return the queue of a server, None if this VM has not granted its slots."""
        return self._queues.get(server)

    def _queue(self, server: str) -> SlotQueue | None:
        """Return the queue of a server, None if this VM must not grant its slots."""
        runner = self._ctx.directory.runner(server)
        if self._is_closed or runner is None:
            return None
        queue = self._queues.get(server)
        if queue is None:
            self._drop_idle()
            queue = self._queues[server] = SlotQueue(
                runner.slots, self._ctx.cfg.admission.weights
            )
        queue.resize(runner.slots)
        return queue

    def _drop_idle(self) -> None:
        now = self._ctx.clock.boottime()
        self._queues = {
            server: queue
            for server, queue in self._queues.items()
            if queue.waiting or now - queue.used_at <= IDLE_TTL_S
        }

    def _advance(self, server: str, queue: SlotQueue) -> None:
        """Grant what is free now, and tell the VMs that wait for it."""
        changes = queue.advance(self._ctx.clock.boottime())
        for claim in changes.granted:
            answer = SlotAnswer(SlotOutcome.GRANTED, 0.0)
            self._notify(claim.vm, SlotNotice(server, claim.ticket, answer))
        self._end(server, queue, changes.expired, LATE)

    def _end(
        self,
        server: str,
        queue: SlotQueue,
        claims: Iterable[SlotClaim],
        outcome: str,
    ) -> None:
        """Tell the VMs of claims that they get no slot."""
        for claim in claims:
            now = self._ctx.clock.boottime()
            wait_s = queue.waiting * queue.interval_s
            retry_in_s = queue.next_retry_s(claim, wait_s, now)
            log_event(
                "queue_displaced",
                request=claim.request_id,
                server=server,
                account=claim.account,
                waiting=queue.waiting,
                interval_s=queue.interval_s,
                outcome=outcome,
            )
            answer = SlotAnswer(outcome, wait_s, retry_in_s)
            self._notify(claim.vm, SlotNotice(server, claim.ticket, answer))

    def _plan(self, server: str, queue: SlotQueue) -> None:
        """Start a timer for the next deadline, unless one ends before it."""
        change_at = queue.next_change_at()
        if change_at is None or self._timers.get(server, change_at + 1) <= change_at:
            return
        self._timers[server] = change_at
        delay_s = max(0.001, change_at - self._ctx.clock.boottime())
        eventlet.spawn_after(delay_s, self._wake, server, change_at)

    def _wake(self, server: str, planned_at: float) -> None:
        if self._timers.get(server) != planned_at:
            return
        del self._timers[server]
        queue = self._queues.get(server)
        if queue is not None:
            run_protected("slot_granter", lambda: self._advance(server, queue))
            self._plan(server, queue)

    def close(self) -> None:
        """Grant no more slots; those who wait have to go on without this VM."""
        self._is_closed = True
        for server, queue in self._queues.items():
            for claim in queue.clear():
                answer = SlotAnswer(NO_GRANTER, 0.0)
                self._notify(claim.vm, SlotNotice(server, claim.ticket, answer))
        self._queues.clear()
