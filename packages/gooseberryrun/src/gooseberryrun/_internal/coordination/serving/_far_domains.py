"""Groups of the other failure domains, and runners of a domain without VMs."""

from __future__ import annotations

import random
from collections.abc import Callable

import eventlet
from result import Err

from gooseberryrun._internal.state import rank_nodes
from gooseberryrun._internal.state.serving import Member, OwnershipState, View

from .._events import log_event
from .._serving_messages import HandoverNotice, ViewNotice
from .._tasks import spawn_until_done
from ._context import Context
from ._membership import Membership

CHECK_S = 5.0
"""Pause between readings of the other domains' members by one VM of each domain."""


class FarDomains:
    """Knows who owns runners elsewhere, and guards a domain that has lost its VMs.

    A guard joins the group of that domain, so that the rights to its runners pass by
    the same rules and fencing tokens as within the domain. It leaves the group once
    VMs of the domain are back.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._guards: dict[str, Membership] = {}
        self._is_closed = False
        self.on_change: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Check in a green thread of its own."""
        spawn_until_done("far_domains", self._check_all)

    def close(self) -> None:
        """Guard no domain any more."""
        self._is_closed = True
        for group in list(self._guards):
            self._stop_guarding(group)

    def hear_view(self, vm: str, notice: ViewNotice) -> None:
        """Take in the view of another domain's group; pass news on to neighbours."""
        guard = self._guards.get(notice.group)
        if guard is not None:
            guard.hear_view(vm, notice)
        near = self._ctx.near_peer_ids()
        if self._ctx.hear_far_view(notice.group, notice.view) and vm not in near:
            self._ctx.peers.send_to_all(near, notice)

    def hear_handover(self, vm: str, notice: HandoverNotice) -> None:
        """Take in rights to runners of a domain that is guarded."""
        guard = self._guards.get(notice.group)
        if guard is None:
            log_event("handover_ignored", level="warning", peer=vm, group=notice.group)
            return
        guard.hear_handover(vm, notice)

    def _check_all(self) -> None:
        is_first = True
        while not self._is_closed:
            if is_first or self._is_checker():
                self._check()
            is_first = False
            eventlet.sleep(CHECK_S * random.uniform(0.9, 1.1))

    def _is_checker(self) -> bool:
        """Tell whether this VM reads for its domain, and guards others."""
        ctx = self._ctx
        is_settled = ctx.ownership.has_own_view() and not ctx.is_new
        return is_settled and ctx.has_store and ctx.reader_rank() == 0

    def _check(self) -> None:
        for group in self._ctx.domains():
            if group != self._ctx.cfg.vm.domain:
                self._check_group(group)

    def _check_group(self, group: str) -> None:
        ctx = self._ctx
        read = ctx.ports.store.members(group)
        if isinstance(read, Err):
            why = read.err_value.detail
            log_event("members_unread", level="warning", group=group, why=why)
            return
        members = sorted(read.ok_value, key=lambda member: (member.vm, member.is_new))
        known = ctx.far_views.get(group)
        view = View(known.generation if known else 0, tuple(members))
        if ctx.hear_far_view(group, view):
            log_event("far_view_read", group=group, members=len(members))
            if self._is_checker():
                ctx.peers.send_to_all(ctx.near_peer_ids(), ViewNotice(group, view))
        self._judge(group, members)

    # Guarding.

    def _judge(self, group: str, members: list[Member]) -> None:
        """Guard a domain without VMs; stop once some are back."""
        natives = [member for member in members if member.domain == group]
        if group in self._guards:
            if any(not member.is_new for member in natives):
                self._stop_guarding(group)
        elif not natives and self._is_checker() and self._is_next(group):
            self._start_guarding(group)

    def _is_next(self, group: str) -> bool:
        """Tell whether this VM's domain is the one to guard a domain with runners."""
        ctx = self._ctx
        if all(runner.domain != group for runner in ctx.directory.all_runners()):
            return False
        present = [
            domain
            for domain, view in ctx.far_views.items()
            if any(member.domain == domain for member in view.members)
        ]
        own = ctx.cfg.vm.domain
        return rank_nodes(group, {own, *present} - {group})[0] == own

    def _start_guarding(self, group: str) -> None:
        ctx = self._ctx
        vm = ctx.cfg.vm
        now = ctx.clock.boottime()
        ctx.guarded[group] = OwnershipState(
            vm.id, vm.domain, ctx.cfg.membership, now, group
        )
        guard = Membership(ctx, group)
        guard.on_change = self.on_change
        self._guards[group] = guard
        log_event("guarding", group=group)
        guard.start()

    def _stop_guarding(self, group: str) -> None:
        log_event("guarding_ended", group=group)
        self._guards.pop(group).leave()
        del self._ctx.guarded[group]
        self.on_change()
