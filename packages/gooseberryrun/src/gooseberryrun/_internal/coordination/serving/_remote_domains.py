"""Views of the other failure domains' groups, and coverage of domains without VMs."""

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
from .accounts import has_usage_caps

CHECK_INTERVAL_S = 5.0
"""Interval at which one VM of each domain reads the members of the other domains."""


class RemoteDomains:
    """Tracks the owners of remote runners and covers domains without VMs.

    A covering VM joins the group of that domain, so that ownership of its runners
    moves by the same rules and fencing tokens as within the domain. It leaves the
    group once the domain has VMs again.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._coverage: dict[str, Membership] = {}
        self._is_closed = False
        self.on_change: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Start the check loop in a green thread."""
        spawn_until_done("far_domains", self._check_all)

    def close(self) -> None:
        """Stop covering all domains."""
        self._is_closed = True
        for group in list(self._coverage):
            self._stop_covering(group)

    def handle_view_notice(self, vm: str, notice: ViewNotice) -> None:
        """Store the view of another domain's group; forward changes to local peers."""
        membership = self._coverage.get(notice.group)
        if membership is not None:
            membership.handle_view_notice(vm, notice)
        local = self._ctx.local_peer_ids()
        if self._ctx.update_remote_view(notice.group, notice.view) and vm not in local:
            self._ctx.peers.send_to_all(local, notice)

    def handle_handover_notice(self, vm: str, notice: HandoverNotice) -> None:
        """Accept ownership of runners of a domain that this VM covers."""
        membership = self._coverage.get(notice.group)
        if membership is None:
            log_event("handover_ignored", level="warning", peer=vm, group=notice.group)
            return
        membership.handle_handover_notice(vm, notice)

    def _check_all(self) -> None:
        is_first = True
        while not self._is_closed:
            if is_first or self._is_domain_reader():
                self._check()
            is_first = False
            eventlet.sleep(CHECK_INTERVAL_S * random.uniform(0.9, 1.1))

    def _is_domain_reader(self) -> bool:
        """Return whether this VM reads and covers other domains for its own domain."""
        ctx = self._ctx
        is_established = ctx.ownership.has_adopted_view() and not ctx.is_new
        return is_established and ctx.can_reach_store and ctx.reader_rank() == 0

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
        known = ctx.remote_views.get(group)
        view = View(known.generation if known else 0, tuple(members))
        if ctx.update_remote_view(group, view):
            log_event("far_view_read", group=group, members=len(members))
            if self._is_domain_reader():
                ctx.peers.send_to_all(ctx.local_peer_ids(), ViewNotice(group, view))
        self._update_coverage(group, members)

    def _update_coverage(self, group: str, members: list[Member]) -> None:
        """Cover a domain without VMs; stop once it has a regular member."""
        domain_members = [member for member in members if member.domain == group]
        if group in self._coverage:
            if any(not member.is_new for member in domain_members):
                self._stop_covering(group)
        elif (
            not domain_members
            and self._is_domain_reader()
            and self._is_covering_domain(group)
        ):
            self._start_covering(group)

    def _is_covering_domain(self, group: str) -> bool:
        """Return whether this VM's domain is to cover ``group``, if that has a need.

        It has if it has runners, or a part of the usage caps.
        """
        ctx = self._ctx
        has_runners = any(r.domain == group for r in ctx.directory.all_runners())
        if not has_runners and not (
            has_usage_caps(ctx) and group in ctx.cfg.membership.domains
        ):
            return False
        domains_with_vms = [
            domain
            for domain, view in ctx.remote_views.items()
            if any(member.domain == domain for member in view.members)
        ]
        own = ctx.cfg.vm.domain
        return rank_nodes(group, {own, *domains_with_vms} - {group})[0] == own

    def _start_covering(self, group: str) -> None:
        ctx = self._ctx
        vm = ctx.cfg.vm
        now = ctx.clock.boottime()
        ctx.covered_domains[group] = OwnershipState(
            vm.id, vm.domain, ctx.cfg.membership, now, group
        )
        membership = Membership(ctx, group)
        membership.on_change = self.on_change
        self._coverage[group] = membership
        log_event("guarding", group=group)
        membership.start()

    def _stop_covering(self, group: str) -> None:
        log_event("guarding_ended", group=group)
        self._coverage.pop(group).leave()
        del self._ctx.covered_domains[group]
        self.on_change()
