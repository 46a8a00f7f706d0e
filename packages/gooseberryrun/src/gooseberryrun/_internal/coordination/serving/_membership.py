"""Membership in a failure domain's group of entry VMs, and the view of the group."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import eventlet
from result import Err

from gooseberryrun._internal.state.serving import (
    READERS_PER_DOMAIN,
    RecordedView,
    View,
    make_view,
)

from .._events import log_event
from .._metrics import VIEW_MEMBERS
from .._serving_messages import HandoverNotice, LeavingNotice, ViewNotice
from .._tasks import run_protected, spawn_until_done
from ._context import Context
from ._lease_extension import LeaseExtension
from ._lease_renewals import LeaseRenewals
from ._ticks import MIN_SLEEP_S
from ._view_forwarding import ViewForwarding
from ._view_records import ViewRecordAccess

MAX_RENEWAL_DELAY_S = 0.02
"""Longest random delay of a renewal that was triggered by another member."""
MAX_VIEW_READS = 3
"""Consecutive attempts to read the members while the group is changing."""
PREDECESSOR_RETRY_S = 0.25
"""Pause after a new process failed to read the group's members from the store."""
MAX_UNLISTED_READS = 20
"""Consecutive member lists without this VM after which it adopts a view without it."""
MAX_RELIST_DELAY_S = 0.2
"""Longest random delay after a list of the members that did not include this VM: the
others give partitions up at their next renewal."""
MAX_MISSING_DELAY_S = 0.2
"""Longest random delay before a member that the recorded view lacks has the group begin
another generation: the first of them to do so helps all others."""
VIEW_WAIT_STEP_S = 0.1
"""Additional wait per reader rank for a local peer to forward a newer view."""
MAX_VIEW_WAIT_S = 0.8
"""Upper bound of the wait for a forwarded view."""


class Membership:
    """Renews the lease in one group and keeps the view of its members up to date.

    ``group`` is a failure domain without VMs that this VM covers; without it, the group
    is that of the VM's own domain.
    """

    def __init__(self, ctx: Context, group: str | None = None) -> None:
        self._ctx = ctx
        self._is_own_domain = group is None
        self._group = ctx.cfg.vm.domain if group is None else group
        self._ownership = ctx.ownership if group is None else ctx.covered_domains[group]
        self._views = ViewForwarding(ctx, self._group, self._ownership)
        self.renewals = LeaseRenewals(ctx, self._group, self._ownership)
        self.extension = LeaseExtension(ctx, self._ownership)
        self.renewals.on_lost = self.extension.wake
        self._has_left = False
        self._is_renewal_due = False
        self._recorded = ViewRecordAccess(ctx, self._group, self._ownership)
        self._unlisted_reads = 0
        self._missing_in = 0
        self._has_started = False
        self._settled_at = float("inf")
        self._outdated_since: float | None = None
        self._is_view_awaited = False
        self._is_read_scheduled = False
        self.on_change: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Start the renewal loop and, for the own domain, the lease extension loop."""
        spawn_until_done("membership", self._run_renewal)
        if self._is_own_domain:
            spawn_until_done("lease_extension", self.extension.run)

    def leave(self) -> None:
        """Release ownership of all runners and leave the group."""
        ctx = self._ctx
        self._has_left = True
        self._recorded.close()
        self.renewals.close()
        # One that is answered later than the leave would make this VM a member again.
        self.renewals.wait_for_last()
        self.extension.close()
        peers = self._views.recipients()
        generation = self._ownership.view.generation
        runners = ctx.transferable(self._group, self._ownership)
        handovers = self._ownership.leave(runners, ctx.clock.boottime())
        if self._is_own_domain:
            for vm in peers:
                ctx.peers.send_to(vm, self.extension.make_leaving_notice(vm))
        left = ctx.ports.store.leave(self._group, ctx.own_member)
        why = left.err_value.detail if isinstance(left, Err) else ""
        log_event("group_left", group=self._group, error=why)
        if isinstance(left, Err):
            # The next process on this VM may still be listed and resume ownership.
            return
        self._send_handovers(handovers, generation + 1)
        if self._is_own_domain:
            self._views.send(peers, LeavingNotice())

    def _send_handovers(self, handovers: dict[str, list[str]], generation: int) -> None:
        for vm, runners in handovers.items():
            log_event("handed_over", to=vm, runners=",".join(runners))
            self._ctx.peers.send_to(
                vm, HandoverNotice(self._group, runners, generation)
            )

    def schedule_renewal(self) -> None:
        """Schedule a renewal to pick up a change that other members have seen."""
        if self._is_renewal_due:
            return
        self._is_renewal_due = True
        eventlet.spawn_after(
            random.uniform(0, MAX_RENEWAL_DELAY_S),
            run_protected,
            "renewal",
            self._renew_now,
        )

    def _renew_now(self) -> None:
        try:
            self._renew()
        finally:
            self._is_renewal_due = False

    def handle_view_notice(self, vm: str, notice: ViewNotice) -> None:
        """Adopt a view that another member has read or recorded."""
        is_lost = not self._ctx.can_reach_store
        if not notice.view.is_recorded or not (
            is_lost or self._is_acceptable(notice.view)
        ):
            # A renewal gets this VM listed again, unless the view is older than one.
            if notice.view.generation >= self._ownership.generation:
                self.schedule_renewal()
            return
        self._adopt(notice.view, f"peer:{vm}")

    def handle_handover_notice(self, vm: str, notice: HandoverNotice) -> None:
        """Accept ownership of runners, or transfer it on to their current owners."""
        ctx = self._ctx
        now = ctx.clock.boottime()
        self._ownership.receive_handover(notice.runners, notice.generation, now)
        log_event(
            "handover_heard",
            peer=vm,
            runners=",".join(notice.runners),
            generation=notice.generation,
            own_generation=self._ownership.view.generation,
        )
        if notice.generation > self._ownership.view.generation:
            self.schedule_renewal()
        else:
            self._transfer_reassigned()
        self.on_change()

    def handle_leaving_notice(self, vm: str, notice: LeavingNotice) -> None:
        """Record that a member is leaving and renew to get the next view."""
        self.extension.record_departure(vm, notice)
        self.schedule_renewal()

    def _adopt(self, view: View, source: str, missed: Sequence[View] = ()) -> None:
        """Put a view into force and transfer the runners it assigns elsewhere."""
        ctx = self._ctx
        if not self._ownership.adopt(view, ctx.clock.boottime(), missed):
            return
        self._outdated_since = None
        if view.lists(ctx.vm):
            self._unlisted_reads = 0
        VIEW_MEMBERS.set(len(view.members))
        log_event(
            "view_adopted",
            group=self._group,
            generation=view.generation,
            previous=view.previous_generation,
            members=len(view.members),
            is_listed=view.lists(ctx.vm),
            source=source,
        )
        self._transfer_reassigned()
        self.on_change()

    def _transfer_reassigned(self) -> None:
        """Transfer ownership of runners that are now assigned to other members."""
        ownership = self._ownership
        runners = self._ctx.transferable(self._group, ownership)
        handovers = ownership.transfer_reassigned(runners, self._ctx.clock.boottime())
        self._send_handovers(handovers, ownership.view.generation)

    def _start_after_predecessor(self) -> None:
        """Find out whether the previous process on this VM was a member.

        The members are read before the first renewal, which adds this process. Those
        that only a restored store lists may have lost their runners to others since.
        """
        while isinstance(read := self._ctx.ports.store.members(self._group), Err):
            if not self.renewals.is_store_unreachable:
                log_event("members_unread", level="warning", why=read.err_value.detail)
            self.renewals.record_store_unreachable(read.err_value.detail)
            self._ctx.can_reach_store = False
            self._ctx.has_called_store = True
            self.extension.wake()
            eventlet.sleep(PREDECESSOR_RETRY_S)
        listed = [member for member in read.ok_value if not member.is_copied]
        is_listed = any(m.vm == self._ctx.vm and not m.is_new for m in listed)
        record = RecordedView.listed(listed)
        if is_listed:
            record = self._predecessor_record(record)
        log_event(
            "predecessor",
            members=len(record.view.members),
            generation=record.view.generation,
            earlier=len(record.earlier),
            copied=len(read.ok_value) - len(listed),
            is_listed=is_listed,
        )
        self._ctx.is_new = not is_listed
        self._ownership.resume_predecessor(record, self._ctx.clock.boottime())

    def _predecessor_record(self, listed: RecordedView) -> RecordedView:
        """Return the record by which the predecessor's runners are told from others'.

        Members that are only listed may lack one that owns runners, so nothing is
        resumed by them if the record can't be read. Without any record, the members of
        the group run an older version.
        """
        if self._recorded.fetch() is None:
            return RecordedView(listed.view.without(self._ctx.vm))
        newest = self._recorded.newest
        if not newest.view.generation:
            return listed
        self._recorded.schedule_settling(newest)
        return newest

    def _run_renewal(self) -> None:
        reacquire_delay_s = self._ctx.cfg.membership.turn_ms / 1000
        self._settled_at = self._ctx.clock.boottime() + reacquire_delay_s
        if self._is_own_domain and not self._has_started:
            self._start_after_predecessor()
            self._has_started = True
        while not self._has_left:
            begun_at = self._ctx.clock.boottime()
            self._renew()
            self._sleep_until_due(begun_at)

    def _sleep_until_due(self, begun_at: float) -> None:
        """Sleep for the interval since the last renewal, whatever triggered that one.

        This one was begun at ``begun_at`` and may have failed.
        """
        clock = self._ctx.clock
        interval_s = self._ctx.cfg.membership.renew_interval_s
        due_in_s = begun_at + interval_s - clock.boottime()
        while due_in_s > MIN_SLEEP_S:
            eventlet.sleep(due_in_s)
            if self._is_own_domain:
                self._check_standing()
            due_in_s = self._ownership.renewed_at + interval_s - clock.boottime()

    def _check_standing(self) -> None:
        """Become a regular member in time, or a new one if cut off from the runners."""
        ctx = self._ctx
        now = ctx.clock.boottime()
        if ctx.reach.is_cut_off:
            delay_s = ctx.cfg.membership.turn_ms / 1000 * random.uniform(1.0, 2.0)
            self._settled_at = now + delay_s
            if not ctx.is_new:
                self._replace_member(is_new=True)
        elif ctx.is_new and now >= self._settled_at:
            self._replace_member(is_new=False)

    def _replace_member(self, is_new: bool) -> None:
        """Change between a member that is assigned runners and one that is not."""
        before = self._ctx.own_member
        self._ctx.is_new = is_new
        if self.renewals.renew():
            left = self._ctx.ports.store.leave(self._group, before)
            why = left.err_value.detail if isinstance(left, Err) else ""
            event = "member_stepped_back" if is_new else "member_settled"
            log_event(event, error=why)

    def _renew(self) -> None:
        if not self.renewals.renew() or not self._needs_read():
            return
        if self._awaits_forwarded_view():
            return
        for _ in range(MAX_VIEW_READS):
            if self._read_view():
                return

    def _needs_read(self) -> bool:
        """Return whether the view in force is outdated or lacks this VM."""
        ownership = self._ownership
        return ownership.needs_view() or not ownership.view.lists(self._ctx.vm)

    def _awaits_forwarded_view(self) -> bool:
        """Return whether to wait for a forwarded view; schedule a renewal if so.

        If every VM of a large domain read each change at once and forwarded it to all
        others, the cost would grow with the square of the number of VMs.
        """
        ctx = self._ctx
        local_peer_count = len(ctx.local_peer_ids())
        now = ctx.clock.monotonic()
        if self._outdated_since is None:
            self._outdated_since = now
        if (
            not self._is_own_domain
            or local_peer_count < READERS_PER_DOMAIN
            or not (self._ownership.has_adopted_view() or ctx.is_new)
        ):
            return False
        wait_s = min(MAX_VIEW_WAIT_S, VIEW_WAIT_STEP_S * ctx.reader_rank())
        left_s = self._outdated_since + wait_s - now
        if left_s <= 0:
            return False
        if not self._is_view_awaited:
            self._is_view_awaited = True
            eventlet.spawn_after(left_s, self._end_wait_for_view)
        return True

    def _end_wait_for_view(self) -> None:
        """Renew to read the view unless another member has forwarded it."""
        self._is_view_awaited = False
        if self._needs_read():
            self.schedule_renewal()

    def _read_view(self) -> bool:
        """Read the recorded view, or record one; return whether to stop trying."""
        generation = self._ownership.generation
        is_known = self._recorded.newest.view.generation >= generation
        if not is_known and not self._read_recorded():
            return True
        newest = self._recorded.newest.view
        if newest.generation >= generation and newest.lists(self._ctx.vm):
            self._adopt(newest, "store")
            return True
        # By this renewal, partitions are given up for members that have none.
        if not self.renewals.renew() or self._ownership.generation != generation:
            return False
        read = self._ctx.ports.store.members(self._group)
        if isinstance(read, Err):
            log_event("members_unread", level="warning", why=read.err_value.detail)
            return True
        listed = make_view(generation, read.ok_value)
        if not listed.lists(self._ctx.vm) and self._awaits_listing():
            return True
        if newest.generation < generation:
            return self._record_view(listed)
        if newest.generation == generation:
            return self._join_view(newest, listed)
        # The group has changed meanwhile.
        return False

    def _awaits_listing(self) -> bool:
        """Return whether to wait until the store lists this VM, which takes a while."""
        self._unlisted_reads += 1
        if self._unlisted_reads > MAX_UNLISTED_READS:
            return False
        self._schedule_read(MAX_RELIST_DELAY_S)
        return True

    def _schedule_read(self, max_delay_s: float) -> None:
        """Schedule another read of the view after a random delay."""
        if self._is_read_scheduled:
            return
        self._is_read_scheduled = True
        eventlet.spawn_after(
            random.uniform(0, max_delay_s),
            run_protected,
            "view_read",
            self._read_again,
        )

    def _read_again(self) -> None:
        self._is_read_scheduled = False
        self.schedule_renewal()

    def _read_recorded(self) -> bool:
        """Read the recorded views and adopt the newest; return whether they were read.

        One that lacks this VM is adopted only in place of another that lacks it.
        """
        views = self._recorded.fetch()
        if views and self._is_acceptable(views[-1]):
            self._adopt(views[-1], "store", views[:-1])
        return views is not None

    def _is_acceptable(self, view: View) -> bool:
        """Return whether a view lists this VM, or the one in force doesn't either."""
        vm = self._ctx.vm
        return view.lists(vm) or not self._ownership.view.lists(vm)

    def _record_view(self, listed: View) -> bool:
        """Record the members of a newer generation; return whether to stop trying."""
        recorded = self._recorded.record_next(listed.generation, listed.members)
        if isinstance(recorded, View):
            self._adopt(recorded, "recorded")
            self._views.forward(recorded)
        return recorded is not False

    def _join_view(self, newest: View, listed: View) -> bool:
        """Get this VM into the view of the group; return whether to stop trying.

        If it is assigned runners, that takes another generation, since all members act
        by the recorded view of this one.
        """
        fuller = newest.with_members(listed.members)
        if not listed.lists(self._ctx.vm):
            self._adopt(newest, "store")
        elif fuller.has_owners_of(newest):
            self._adopt(fuller, "store")
            self._views.forward(fuller)
        elif self._missing_in != newest.generation:
            self._missing_in = newest.generation
            self._schedule_read(MAX_MISSING_DELAY_S)
        else:
            return self._begin_generation(newest)
        return True

    def _begin_generation(self, newest: View) -> bool:
        begun = self._ctx.ports.store.begin_generation(
            self._group, self._ctx.own_member
        )
        log_event(
            "generation_begun",
            group=self._group,
            lacking_in=newest.generation,
            error=begun.err_value.detail if isinstance(begun, Err) else "",
        )
        return isinstance(begun, Err) or not self.renewals.renew()
