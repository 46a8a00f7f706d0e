"""Slots of plain servers for this VM's requests.

The VM to which a server is assigned grants its slots to the requests of all VMs; while
it does not answer, a deputy does. A VM that reaches neither goes by its own count.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator
from itertools import islice
from typing import Any

from eventlet.event import Event
from eventlet.timeout import Timeout

from gooseberryrun._internal.state.serving import Runner
from gooseberryrun._internal.state.serving.admission import (
    LATE_WAIT_SHARE,
    ExpectedSlotWaits,
    SlotHold,
    SlotOutcome,
    SlotSearch,
    due_in_s,
)

from ..._events import log_event
from ..._metrics import SLOT_DECISIONS, SLOT_WAITS
from ..._serving_messages import SlotAnswer, SlotNotice, SlotRelease, SlotRequest
from .._active_request import ActiveRequest, LocalResponse
from .._context import Context
from .._granters import Granters
from .._responses import refusal_until
from ._slot_granter import NO_GRANTER, SlotGranter
from ._told_waits import ToldWait, ToldWaits

GRANTERS = 2
"""VMs that are asked for a slot: that of the server, and a deputy."""
ANSWER_TIMEOUT_S = 0.1
OWN_COUNT = "own_count"
"""Outcome if no VM grants slots of a server."""


class PlainSlots:
    """Gets slots for this VM's requests, and grants those of servers assigned to it."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._granters = Granters(ctx, ANSWER_TIMEOUT_S)
        self._waits = ExpectedSlotWaits()
        self._told = ToldWaits()
        self._results: dict[int, Event] = {}
        self._tickets = itertools.count(random.getrandbits(48))
        self.granter = SlotGranter(ctx, self._notify)

    def is_enabled(self) -> bool:
        """Return whether slots are granted, by the settings or the configuration."""
        table = self._ctx.directory.table
        has_accounts = table is not None and table.accounts is not None
        switch = self._ctx.cfg.admission.plain_slots
        return has_accounts or self._ctx.is_switched_on(switch)

    def expected_wait_s(self, active: ActiveRequest, runner: Runner) -> float:
        """Return the expected wait for a slot, 0 if it is not known."""
        now = self._ctx.clock.monotonic()
        return self._waits.wait_s(runner.id, active.account_name, now)

    def describe(self, active: ActiveRequest, runner: Runner) -> dict[str, Any]:
        """Return what is known of the wait for a slot, without asking for one.

        The numbers of grants and waiting requests are known where this VM grants the
        slots.
        """
        told = self._told.find(runner.id, active.account_name)
        age_s = self._ctx.clock.monotonic() - told.told_at if told else None
        queue = self.granter.queue(runner.id)
        return {
            "slot_wait_s": round(self.expected_wait_s(active, runner), 4),
            "slot_told_s": round(told.wait_s, 4) if told else None,
            "slot_outcome": told.outcome if told else "",
            "slot_age_s": round(age_s, 3) if age_s is not None else None,
            "slot_granter": next(self._to_ask(runner), OWN_COUNT),
            "slots_granted": f"{queue.in_use}/{queue.limit}" if queue else "",
            "slots_waiting": queue.waiting if queue else None,
        }

    def is_spent(self, active: ActiveRequest) -> bool:
        """Return whether a request may not ask for any more slots."""
        return active.slots is not None and active.slots.is_spent

    def refusal(self, active: ActiveRequest) -> LocalResponse | None:
        """Return the response to a request that got no slot in time, if it did not."""
        if active.slots is None or active.slots.retry_at == float("inf"):
            return None
        retry_in_s = active.slots.retry_at - self._ctx.clock.monotonic()
        return refusal_until(active, "slots_taken", max(0.0, retry_in_s))

    def take(self, active: ActiveRequest, runner: Runner) -> bool:
        """Get a slot of a server; return False if the request has to go elsewhere.

        It may try the same server again unless that has no slot in time.
        """
        if not self.is_enabled():
            return True
        asked_at = self._ctx.clock.monotonic()
        search = active.slots = active.slots or SlotSearch()
        servers = len(self._ctx.directory.runners(active.service, asked_at))
        max_wait_s = search.begin(runner.id, servers, active.route.target_latency_s)
        answer = self._request(active, runner, search, max_wait_s)
        now = self._ctx.clock.monotonic()
        outcome = str(answer.outcome) if answer else OWN_COUNT
        if answer is not None:
            self._waits.record(runner.id, active.account_name, answer.wait_s, now)
            told = ToldWait(outcome, answer.wait_s, now)
            self._told.record(runner.id, active.account_name, told)
            if outcome not in (SlotOutcome.GRANTED, SlotOutcome.BUSY):
                search.record_refusal(now + answer.retry_in_s)
                active.ungranted.add(runner.id)
        SLOT_DECISIONS.labels(outcome=outcome).inc()
        SLOT_WAITS.observe(now - asked_at)
        log_event(
            "slot",
            request=active.metadata.request_id,
            server=runner.id,
            owner=search.hold.granter if search.hold else "",
            asks=search.asks,
            max_wait_s=max_wait_s,
            expected_s=answer.wait_s if answer else 0.0,
            retry_in_s=answer.retry_in_s if answer else 0.0,
            outcome=outcome,
            wait_s=now - asked_at,
        )
        return outcome in (OWN_COUNT, SlotOutcome.GRANTED)

    def _request(
        self,
        active: ActiveRequest,
        runner: Runner,
        search: SlotSearch,
        max_wait_s: float,
    ) -> SlotAnswer | None:
        """Ask the VMs that may grant a slot, one after another."""
        for vm in self._to_ask(runner):
            request = self._make_request(active, runner, max_wait_s)
            answer = self._ask(vm, request)
            if answer is None or answer.outcome == NO_GRANTER:
                continue
            if answer.outcome == SlotOutcome.GRANTED:
                search.hold = SlotHold(runner.id, vm, request.ticket)
            return answer
        return None

    def _to_ask(self, runner: Runner) -> Iterator[str]:
        """Yield the VMs that are asked for a slot of a server, in order."""
        for vm in islice(self._granters.ranked(runner), GRANTERS):
            if not self._granters.is_silent(vm):
                yield vm

    def _make_request(
        self, active: ActiveRequest, runner: Runner, max_wait_s: float
    ) -> SlotRequest:
        now = self._ctx.clock.monotonic()
        age_s = now - active.request.read_at
        left_s = active.deadline - now
        return SlotRequest(
            runner.id,
            next(self._tickets),
            active.metadata.request_id,
            active.account_name,
            active.priority,
            due_in_s(age_s, active.route.target_latency_s, left_s),
            left_s,
            max_wait_s,
            active.is_early,
        )

    def _ask(self, vm: str, request: SlotRequest) -> SlotAnswer | None:
        """Ask one VM, and wait while the request does; return None without an answer.

        Whatever ends the wait, no slot is kept for a request that has no answer.
        """
        result: Event = Event()
        self._results[request.ticket] = result
        answer = None
        try:
            answer = self._ask_once(vm, request)
            if answer is not None and answer.outcome == SlotOutcome.WAITING:
                answer = self._wait(vm, request, result)
            return answer
        finally:
            del self._results[request.ticket]
            if answer is None or answer.outcome == SlotOutcome.WAITING:
                self._release(vm, SlotRelease(request.server, request.ticket, False))

    def _ask_once(self, vm: str, request: SlotRequest) -> SlotAnswer | None:
        if vm == self._ctx.vm:
            return self.granter.ask(vm, request)
        return self._granters.ask(vm, request, SlotAnswer, request.request_id)

    def _wait(self, vm: str, request: SlotRequest, result: Event) -> SlotAnswer | None:
        """Wait for the result that is sent at the latest when the claim expires."""
        longest_s = max(request.due_s, LATE_WAIT_SHARE * request.left_s)
        with Timeout(longest_s + ANSWER_TIMEOUT_S, False):
            answer: SlotAnswer = result.wait()
            return answer
        self._granters.record_silence(vm, request.request_id, "no result")
        return None

    def give_back(self, active: ActiveRequest, is_answered: bool) -> None:
        """Return the slot of a request, if it has one."""
        if active.slots is None or active.slots.hold is None:
            return
        hold, active.slots.hold = active.slots.hold, None
        self._release(hold.granter, SlotRelease(hold.server, hold.ticket, is_answered))

    def _release(self, vm: str, notice: SlotRelease) -> None:
        if vm == self._ctx.vm:
            self.granter.handle_slot_release(vm, notice)
        else:
            self._ctx.peers.send_to(vm, notice)

    def _notify(self, vm: str, notice: SlotNotice) -> None:
        if vm == self._ctx.vm:
            self.handle_slot_notice(notice)
        else:
            self._ctx.peers.send_to(vm, notice)

    def handle_slot_notice(self, notice: SlotNotice) -> None:
        """Pass the result of a wait on to the request; it may have ended since."""
        result = self._results.get(notice.ticket)
        if result is not None and not result.ready():
            result.send(notice.answer)
