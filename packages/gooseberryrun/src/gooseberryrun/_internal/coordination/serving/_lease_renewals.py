"""Renewals of the lease in one group of entry VMs."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
from result import Err, Ok, Result

from gooseberryrun._internal.state.serving import OwnershipState

from .._events import log_event
from .._metrics import LEASE_LEFT
from .._ports import InboundMessage
from .._serving_messages import RenewAnswer, RenewRequest
from .._tasks import spawn
from ._context import STORE_STATUS_TTL_S, Context
from ._store_calls import check_for_silence, count_outcome
from ._store_port import StoreFault

MAX_RELAYS = 2
"""Members that are requested to renew on behalf of one that cannot reach the store."""
RELAY_TIMEOUT_S = 0.4
MAX_LAST_RENEWAL_S = 0.3
"""Longest wait of a stopping VM for the answer to its last renewal."""
LAST_RENEWAL_CHECK_S = 0.005


class LeaseRenewals:
    """Renews the lease at the store, or through members that can reach it."""

    def __init__(self, ctx: Context, group: str, ownership: OwnershipState) -> None:
        self._ctx = ctx
        self._group = group
        self._ownership = ownership
        self._is_own_domain = ownership is ctx.ownership
        self.is_store_unreachable = False
        self._is_closed = False
        self._in_flight = 0
        self.on_regained: Callable[[], None] = lambda: None
        self.on_lost: Callable[[], None] = lambda: None

    def close(self) -> None:
        """Stop renewing; a renewal in flight has no effect."""
        self._is_closed = True

    def renew(self) -> bool:
        """Renew once; return whether the store was reached, directly or by a peer."""
        ctx = self._ctx
        if self._is_closed:
            return False
        requested_at = ctx.clock.boottime()
        renewed = self._renew_at_store()
        if isinstance(renewed, Err):
            check_for_silence(ctx.ports.store, "renew", renewed.err_value)
            self.record_store_unreachable(renewed.err_value.detail)
            requested_at = ctx.clock.boottime()
            renewed = self._renew_through_peers(renewed.err_value)
        elif self.is_store_unreachable:
            self.is_store_unreachable = False
            log_event("membership_regained", lease_left_s=self._lease_left_s())
            self.on_regained()
        is_renewed = isinstance(renewed, Ok)
        if self._is_own_domain:
            if is_renewed and not ctx.can_reach_store:
                self._ownership.record_store_regained(ctx.clock.boottime())
            ctx.can_reach_store = is_renewed
            ctx.has_called_store = True
            if not is_renewed:
                self.on_lost()
        outcome = (
            "lost"
            if not is_renewed
            else "relayed"
            if self.is_store_unreachable
            else "ok"
        )
        count_outcome("renew", outcome)
        LEASE_LEFT.set(self._lease_left_s())
        if isinstance(renewed, Err) or self._is_closed:
            return False
        self._ownership.renew(renewed.ok_value, requested_at, ctx.clock.boottime())
        return True

    def _renew_at_store(self) -> Result[int, StoreFault]:
        ctx = self._ctx
        self._in_flight += 1
        try:
            return ctx.ports.store.renew(
                self._group, ctx.own_member, self._ownership.generation
            )
        finally:
            self._in_flight -= 1

    def wait_for_last(self) -> None:
        """Wait for the answer to a renewal that is in flight, but not for long."""
        deadline = self._ctx.clock.monotonic() + MAX_LAST_RENEWAL_S
        while self._in_flight and self._ctx.clock.monotonic() < deadline:
            eventlet.sleep(LAST_RENEWAL_CHECK_S)

    def _renew_through_peers(self, fault: StoreFault) -> Result[int, StoreFault]:
        """Renew through members that can reach the store, local ones first."""
        ctx = self._ctx
        now = ctx.clock.monotonic()
        connected = {
            vm
            for vm, status in ctx.store_statuses.items()
            if status.can_reach_store and now - status.received_at <= STORE_STATUS_TTL_S
        }
        local = [vm for vm in ctx.local_peer_ids() if vm in connected]
        remote = sorted(connected - set(local))
        request = RenewRequest(self._group, ctx.own_member, self._ownership.generation)
        for vm in [*local, *remote][:MAX_RELAYS]:
            deadline = ctx.clock.monotonic() + RELAY_TIMEOUT_S
            renewal = ctx.peers.request_from(vm, request, deadline)
            reply = renewal.ok_value if isinstance(renewal, Ok) else None
            if isinstance(reply, RenewAnswer) and reply.generation >= 0:
                return Ok(reply.generation)
            log_event("relayed_renewal_failed", peer=vm)
        return Err(fault)

    def handle_request(self, inbound: InboundMessage, request: RenewRequest) -> None:
        """Renew on behalf of a member that cannot reach the store."""
        spawn("renewal_relay", lambda: self._relay_renewal(inbound, request))

    def _relay_renewal(self, inbound: InboundMessage, request: RenewRequest) -> None:
        renewed = self._ctx.ports.store.renew(
            request.group, request.member, request.generation
        )
        generation = -1 if isinstance(renewed, Err) else renewed.ok_value
        log_event(
            "renewal_relayed",
            level="debug",
            peer=inbound.sender,
            generation=generation,
        )
        inbound.reply(RenewAnswer(generation))

    def _lease_left_s(self) -> float:
        return self._ownership.lease_left_s(self._ctx.clock.boottime())

    def record_store_unreachable(self, why: str) -> None:
        """Record a failed call to the store; log the first of them."""
        if self.is_store_unreachable:
            return
        self.is_store_unreachable = True
        left_s = self._lease_left_s()
        log_event("membership_lost", level="warning", why=why, lease_left_s=left_s)
