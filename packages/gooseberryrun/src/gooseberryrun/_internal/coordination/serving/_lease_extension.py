"""Extension of the lease while no VM that could take over reaches the store."""

from __future__ import annotations

import eventlet
from eventlet.event import Event

from gooseberryrun._internal.state.serving import (
    REPORT_TTL_S,
    Departure,
    OutageReports,
    OwnershipState,
    Topic,
)

from .._events import log_event
from .._ports import InboundMessage
from .._serving_messages import LeavingNotice, StoreStatusAnswer, StoreStatusRequest
from ._context import Context, StoreStatus

CHECK_INTERVAL_S = 0.2
ASK_INTERVAL_S = 0.35
MAX_REMOTE_VOUCHERS = 8
"""Members of other domains that are asked; fixed, so that the cost does not grow."""


class LeaseExtension:
    """Asks peers whether they reach the store, and extends the lease if none does."""

    def __init__(self, ctx: Context, ownership: OwnershipState) -> None:
        cfg = ctx.cfg.membership
        self._ctx = ctx
        self._ownership = ownership
        self._reports = OutageReports(cfg.lease_s, cfg.margin_s)
        self._asked_at = float("-inf")
        self._questions: dict[str, float] = {}
        self._is_extending = False
        self._is_closed = False
        self._wake: Event = Event()

    def close(self) -> None:
        """Extend no more."""
        self._is_closed = True
        self.wake()

    def wake(self) -> None:
        """Begin to check: the store cannot be reached."""
        if not self._wake.ready():
            self._wake.send(None)

    def run(self) -> None:
        """Check whether the lease has to be extended while the store is away."""
        while not self._is_closed:
            self.check()
            if self._ctx.can_reach_store:
                self._wake.wait()
                self._wake = Event()
            else:
                eventlet.sleep(CHECK_INTERVAL_S)

    def check(self) -> None:
        """Ask the peers and extend the lease as far as they vouch for it."""
        now = self._ctx.clock.boottime()
        self._reports.expire(now)
        if self._ctx.can_reach_store:
            self._log_change(False, now)
            return
        if now >= self._asked_at + ASK_INTERVAL_S:
            self._ask(now)
        self._extend(now)

    def _ask(self, now: float) -> None:
        self._asked_at = now
        # A next process may run on a VM that left the view lately.
        former = self._ctx.former_peer_ids()
        recipients = dict.fromkeys([*self._vouchers(), *former])
        self._ctx.peers.send_to_all(recipients, StoreStatusRequest(now))

    def _vouchers(self) -> list[str]:
        """Return the VMs that have to vouch: all local peers, and some remote ones.

        Without any local peer the remote ones decide alone.
        """
        local = self._ctx.local_peer_ids()
        remote = self._ctx.remote_peer_ids()
        if local and len(remote) > MAX_REMOTE_VOUCHERS:
            return local
        return local + remote[:MAX_REMOTE_VOUCHERS]

    def _extend(self, now: float) -> None:
        ctx = self._ctx
        local = ctx.local_peer_ids()
        vouchers = local or self._vouchers()
        deadline = min(self._reports.deadline(vouchers), now + REPORT_TTL_S)
        is_reached = ctx.is_store_reached_by_any(vouchers, ctx.clock.monotonic())
        may_extend = now < deadline and not is_reached
        self._log_change(may_extend, now)
        if may_extend:
            is_unreachable_for_all = now < self._reports.deadline(ctx.peer_ids())
            self._ownership.extend(now, deadline, is_unreachable_for_all)

    def _log_change(self, is_extending: bool, now: float) -> None:
        if is_extending is self._is_extending:
            return
        self._is_extending = is_extending
        log_event(
            "lease_extension",
            is_extending=is_extending,
            vouchers=len(self._vouchers()),
            lease_left_s=self._ownership.lease_left_s(now),
        )

    def handle_request(
        self, inbound: InboundMessage, request: StoreStatusRequest
    ) -> None:
        """Answer a peer that extends its lease on the word of its peers."""
        ctx = self._ctx
        if not ctx.has_called_store:
            return
        self._questions[inbound.sender] = request.asked_at
        if not ctx.is_member(inbound.sender):
            # The store's list lacks a VM that may still order its runners.
            self._ownership.record_extending_peer(ctx.clock.boottime())
        registry_end = ctx.directory.ends[Topic.RUNNERS]
        inbound.reply(
            StoreStatusAnswer(request.asked_at, ctx.can_reach_store, registry_end)
        )

    def handle_answer(self, inbound: InboundMessage, answer: StoreStatusAnswer) -> None:
        """Record a peer's answer."""
        vm = inbound.sender
        self._reports.record(vm, answer.asked_at, answer.can_reach_store)
        self._ctx.store_statuses[vm] = StoreStatus(
            self._ctx.clock.monotonic(), answer.can_reach_store, answer.registry_end
        )

    def make_leaving_notice(self, vm: str) -> LeavingNotice:
        """Return the last report of this process to a peer."""
        ctx = self._ctx
        asked_at = self._questions.get(vm)
        if ctx.can_reach_store or asked_at is None:
            return LeavingNotice()
        renewal_age_s = ctx.clock.boottime() - self._ownership.renewed_at
        return LeavingNotice(asked_at, renewal_age_s)

    def record_departure(self, vm: str, notice: LeavingNotice) -> None:
        """Record that the process of a peer has left."""
        now = self._ctx.clock.boottime()
        self._reports.expire(now)
        if notice.asked_at is None:
            self._reports.forget(vm)
            return
        renewed_at = now - notice.renewal_age_s
        departure = Departure(notice.asked_at, renewed_at, now)
        self._reports.record_departure(vm, departure, self._ownership.renewed_at)
