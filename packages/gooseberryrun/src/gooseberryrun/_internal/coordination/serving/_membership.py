"""Membership of the group of entry VMs and the shares that come with it."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
from result import Err

from gooseberryrun._internal.state.serving import Holder

from .._events import log_event
from .._serving_messages import ReleaseNotice
from ._context import Context, StoreView

SETTLE_S = (0.0, 0.4, 1.5)
"""Times after a change at which the owners are read: shares move in steps."""
EXTEND_S = 0.6
"""Time for which a lease is kept in force after a look at the other members."""
OWNERS_REREAD_S = 1.0
"""Shortest time between readings asked for by tasks."""


class Membership:
    """Renews the lease and learns who owns which runners."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._is_lost = False
        self._is_left = False
        self._owners_read_at = float("-inf")
        self.on_change: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Renew in a green thread of its own."""
        eventlet.spawn(self._renew_all)
        eventlet.spawn(self._extend_all)

    def _extend_all(self) -> None:
        """Keep the lease in force in an outage of the store for every member."""
        while not self._is_left:
            eventlet.sleep(EXTEND_S / 3)
            ctx = self._ctx
            if ctx.has_store or not ctx.is_store_lost_to_all(ctx.clock.monotonic()):
                continue
            now = ctx.clock.boottime()
            ctx.ownership.extend(now, now + EXTEND_S)

    def leave(self) -> None:
        """Give up every share and leave the group."""
        self._is_left = True
        self._tell_release(self._ctx.ownership.lose())
        left = self._ctx.ports.store.leave()
        why = left.err_value.detail if isinstance(left, Err) else ""
        log_event("group_left", error=why)

    def reread_owners(self) -> None:
        """Read the owners again, unless that was done just now."""
        now = self._ctx.clock.monotonic()
        if now - self._owners_read_at >= OWNERS_REREAD_S:
            self._owners_read_at = now
            eventlet.spawn(self._read_owners)

    def _tell_release(self, shares: frozenset[int]) -> None:
        """Tell the others that this VM gives no more orders for these shares."""
        if not shares and not self._is_left:
            return
        generation = self._ctx.ownership.generation
        notice = ReleaseNotice(sorted(shares), generation, self._is_left)
        for peer in self._ctx.peer_ids():
            self._ctx.peers.tell(peer, notice)

    def hear_release(self, vm: str, notice: ReleaseNotice) -> None:
        """Take in the word of another owner."""
        if notice.is_leaving:
            heard_at = self._ctx.clock.monotonic()
            self._ctx.store_views[vm] = StoreView(heard_at, False, is_leaving=True)
        release = Holder(vm, notice.generation)
        now = self._ctx.clock.boottime()
        self._ctx.ownership.hear_release(release, notice.shares, now)

    def _resume(self) -> None:
        """Find the shares that the process before this one held on this VM."""
        self._read_owners()
        held = {
            share
            for share, owner in self._ctx.owners.items()
            if owner.vm == self._ctx.vm
        }
        if held:
            log_event("shares_resumed", shares=len(held))
            self._ctx.ownership.resume(held, self._ctx.clock.boottime())

    def _renew_all(self) -> None:
        self._resume()
        while not self._is_left:
            self._renew()
            eventlet.sleep(self._ctx.cfg.membership.renew_interval_s)

    def _renew(self) -> None:
        ctx = self._ctx
        asked_at = ctx.clock.boottime()
        renewed = ctx.ports.store.renew(ctx.ownership.generation)
        now = ctx.clock.boottime()
        if self._is_left:
            return
        if isinstance(renewed, Err):
            ctx.has_store = False
            self._note_lost(renewed.err_value.detail)
            return
        ctx.has_store = True
        if self._is_lost:
            self._is_lost = False
            log_event(
                "membership_regained", lease_left_s=ctx.ownership.lease_left_s(now)
            )
        assignment = renewed.ok_value
        lost = ctx.ownership.renew(assignment, ctx.holders(), asked_at, now)
        if lost is not None:
            self._tell_release(lost)
            log_event(
                "shares_changed",
                generation=assignment.generation,
                shares=len(assignment.shares),
            )
            for after_s in SETTLE_S:
                eventlet.spawn_after(after_s, self._read_owners)
            self.on_change()

    def _note_lost(self, why: str) -> None:
        if self._is_lost:
            return
        self._is_lost = True
        left_s = self._ctx.ownership.lease_left_s(self._ctx.clock.boottime())
        log_event("membership_lost", level="warning", why=why, lease_left_s=left_s)

    def _read_owners(self) -> None:
        self._owners_read_at = self._ctx.clock.monotonic()
        generation = self._ctx.ownership.generation
        read = self._ctx.ports.store.owners()
        if isinstance(read, Err):
            log_event("owners_unread", level="warning", why=read.err_value.detail)
            return
        if read.ok_value != self._ctx.owners:
            members = {owner.vm for owner in read.ok_value.values()}
            log_event("owners_changed", members=len(members))
        self._ctx.owners = read.ok_value
        self._ctx.owners_generation = generation
