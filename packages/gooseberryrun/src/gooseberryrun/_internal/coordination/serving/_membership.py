"""Membership of the group of entry VMs and the view of its members."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import eventlet
from result import Err, Ok, Result

from gooseberryrun._internal.state.serving import READERS, Member, View

from .._events import log_event
from .._metrics import LEASE_LEFT, STORE_CALLS, VIEW_MEMBERS
from .._ports import Inbound
from .._serving_messages import (
    HandoverNotice,
    LeavingNotice,
    RenewAnswer,
    RenewRequest,
    ViewNotice,
)
from .._tasks import run_protected, spawn, spawn_until_done
from ._context import STORE_VIEW_S, Context, StoreView
from ._ports import StoreFault

EXTEND_S = 0.6
"""Time for which a lease is kept in force after a look at the other members."""
RENEW_SOON_S = 0.02
"""Longest pause before a renewal that a member's word asks for."""
VIEW_READS = 3
"""Readings of the members in a row while the group is changing."""
PREDECESSOR_RETRY_S = 0.25
"""Pause before a new process asks the store again who was in the group."""
RELAYS = 2
"""Members that are asked to renew for one that cannot reach the store."""
RELAY_TIMEOUT_S = 0.4
MAX_UNLISTED_READS = 20
"""Readings in a row that may lack this VM before one is believed."""
FAR_TOLD = 2
"""Members of other failure domains that a view read from the store is passed on to."""
VIEW_STEP_S = 0.1
"""Time by which each further VM of a domain waits longer for a neighbour to read the
members and pass them on."""
MAX_VIEW_WAIT_S = 0.8
"""Longest such wait."""


class Membership:
    """Renews the lease in one group and keeps the view of its members up to date.

    The group is that of a failure domain: of this VM's own, or of one without VMs that
    this VM guards.
    """

    def __init__(self, ctx: Context, group: str | None = None) -> None:
        self._ctx = ctx
        self._is_home = group is None
        self._group = ctx.cfg.vm.domain if group is None else group
        self._ownership = ctx.ownership if group is None else ctx.guarded[group]
        self._is_lost = False
        self._is_left = False
        self._is_renewal_due = False
        self._unlisted_reads = 0
        self._has_started = False
        self._behind_since: float | None = None
        self.on_change: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Renew in a green thread of its own."""
        spawn_until_done("membership", self._renew_all)
        if self._is_home:
            spawn_until_done("lease_extension", self._extend_all)

    def _extend_all(self) -> None:
        """Keep the lease in force in an outage of the store for the whole domain."""
        while not self._is_left:
            eventlet.sleep(EXTEND_S / 3)
            ctx = self._ctx
            now = ctx.clock.monotonic()
            if ctx.has_store or not ctx.is_store_lost_to(ctx.near_peer_ids(), now):
                continue
            is_lost_to_all = ctx.is_store_lost_to(ctx.peer_ids(), now)
            boottime = ctx.clock.boottime()
            self._ownership.extend(boottime, boottime + EXTEND_S, is_lost_to_all)

    def leave(self) -> None:
        """Give every runner up and leave the group."""
        ctx = self._ctx
        self._is_left = True
        peers = self._audience()
        generation = self._ownership.view.generation
        runners = ctx.directory.all_runners()
        given = self._ownership.leave(runners, ctx.clock.boottime())
        if self._is_home:
            self._tell(peers, LeavingNotice())
        left = ctx.ports.store.leave(self._group, ctx.own_member)
        why = left.err_value.detail if isinstance(left, Err) else ""
        log_event("group_left", group=self._group, error=why)
        if isinstance(left, Err):
            # The next process on this VM may still be listed, and take them up again.
            return
        self._hand_over(given, generation + 1)
        if self._is_home:
            self._tell(peers, LeavingNotice())

    def _hand_over(self, given: dict[str, list[str]], generation: int) -> None:
        for vm, runners in given.items():
            log_event("handed_over", to=vm, runners=",".join(runners))
            self._ctx.peers.send_to(
                vm, HandoverNotice(self._group, runners, generation)
            )

    def renew_soon(self) -> None:
        """Renew in a moment, to learn of a change that others know of."""
        if self._is_renewal_due:
            return
        self._is_renewal_due = True
        eventlet.spawn_after(
            random.uniform(0, RENEW_SOON_S), run_protected, "renewal", self._renew_now
        )

    def _renew_now(self) -> None:
        try:
            self._renew()
        finally:
            self._is_renewal_due = False

    def hear_view(self, vm: str, notice: ViewNotice) -> None:
        """Take in a view that a member has read."""
        if self._ctx.has_store and not self._is_listed(notice.view.members):
            # This VM is about to be listed again: it only has to renew.
            self.renew_soon()
            return
        self._adopt(notice.view, f"peer:{vm}")

    def hear_handover(self, vm: str, notice: HandoverNotice) -> None:
        """Take in rights to runners, or pass them on to whom they are dealt now."""
        ctx = self._ctx
        now = ctx.clock.boottime()
        self._ownership.hear_handover(notice.runners, notice.generation, now)
        log_event(
            "handover_heard",
            peer=vm,
            runners=",".join(notice.runners),
            generation=notice.generation,
            own_generation=self._ownership.view.generation,
        )
        if notice.generation > self._ownership.view.generation:
            self.renew_soon()
        else:
            self._hand_over_moved()
        self.on_change()

    def hear_leaving(self, vm: str) -> None:
        """Take in that a member is leaving, and look for the view without it."""
        heard_at = self._ctx.clock.monotonic()
        self._ctx.store_views[vm] = StoreView(heard_at, False, is_leaving=True)
        self.renew_soon()

    def _adopt(self, view: View, source: str) -> None:
        """Act by a view from now on, and hand over what it deals to others."""
        ctx = self._ctx
        if not self._ownership.adopt(view, ctx.clock.boottime()):
            return
        self._behind_since = None
        VIEW_MEMBERS.set(len(view.members))
        log_event(
            "view_adopted",
            group=self._group,
            generation=view.generation,
            members=len(view.members),
            source=source,
        )
        self._hand_over_moved()
        self.on_change()

    def _hand_over_moved(self) -> None:
        """Hand over the rights to runners that are dealt to others now."""
        ownership = self._ownership
        runners = self._ctx.directory.all_runners()
        given = ownership.hand_over(runners, self._ctx.clock.boottime())
        self._hand_over(given, ownership.view.generation)

    def _is_listed(self, members: Iterable[Member]) -> bool:
        return any(member.vm == self._ctx.vm for member in members)

    def _tell(self, vms: Iterable[str], message: ViewNotice | LeavingNotice) -> None:
        self._ctx.peers.send_to_all(vms, message)

    def _pass_on(self, view: View) -> None:
        """Spare neighbours and a few others the reading of the view."""
        self._tell(self._audience(), ViewNotice(self._group, view))

    def _audience(self) -> list[str]:
        """Return those who are told of changes: neighbours and a few of each domain."""
        told = self._ctx.near_peer_ids()
        for view in self._ctx.far_views.values():
            told += [m.vm for m in _sample(view.members, FAR_TOLD)]
        return told

    def _start_after_predecessor(self) -> None:
        """Find what the process before this one held on this VM.

        The members have to be read before the first renewal, which adds this one.
        """
        while isinstance(read := self._ctx.ports.store.members(self._group), Err):
            if not self._is_lost:
                log_event("members_unread", level="warning", why=read.err_value.detail)
            self._note_lost(read.err_value.detail)
            eventlet.sleep(PREDECESSOR_RETRY_S)
        is_listed = any(
            member.vm == self._ctx.vm and not member.is_new for member in read.ok_value
        )
        log_event("predecessor", members=len(read.ok_value), is_listed=is_listed)
        self._ctx.is_new = not is_listed
        now = self._ctx.clock.boottime()
        self._ownership.start_after(read.ok_value, now)

    def _renew_all(self) -> None:
        turn_s = self._ctx.cfg.membership.turn_ms / 1000
        settled_at = self._ctx.clock.boottime() + turn_s
        if self._is_home and not self._has_started:
            self._start_after_predecessor()
            self._has_started = True
        while not self._is_left:
            self._renew()
            eventlet.sleep(self._ctx.cfg.membership.renew_interval_s)
            if (
                self._is_home
                and self._ctx.is_new
                and self._ctx.clock.boottime() >= settled_at
            ):
                self._settle()

    def _settle(self) -> None:
        """Join as a member that runners are dealt to, in place of the new one."""
        as_new = self._ctx.own_member
        self._ctx.is_new = False
        if self._renew_lease():
            left = self._ctx.ports.store.leave(self._group, as_new)
            why = left.err_value.detail if isinstance(left, Err) else ""
            log_event("member_settled", error=why)

    def _renew(self) -> None:
        if not self._renew_lease() or not self._ownership.needs_view():
            return
        if self._waits_for_neighbours():
            return
        for _ in range(VIEW_READS):
            if self._read_view():
                return

    def _waits_for_neighbours(self) -> bool:
        """Tell whether a neighbour may be about to pass a newer view on.

        Answers restarts in large domains: were each change read by every VM at once,
        and passed on to all others, the cost would grow with the square of the VMs.
        """
        ctx = self._ctx
        neighbours = len(ctx.near_peer_ids())
        now = ctx.clock.monotonic()
        if self._behind_since is None:
            self._behind_since = now
        if (
            not self._is_home
            or neighbours < READERS
            or not self._ownership.has_own_view()
        ):
            return False
        wait_s = min(MAX_VIEW_WAIT_S, VIEW_STEP_S * ctx.reader_rank())
        left_s = self._behind_since + wait_s - now
        if left_s <= 0:
            return False
        eventlet.spawn_after(left_s, self.renew_soon)
        return True

    def _renew_lease(self) -> bool:
        """Renew once; return whether the store answered."""
        ctx = self._ctx
        if self._is_left:
            return False
        asked_at = ctx.clock.boottime()
        renewed = ctx.ports.store.renew(
            self._group, ctx.own_member, self._ownership.generation
        )
        if isinstance(renewed, Err):
            self._note_lost(renewed.err_value.detail)
            asked_at = ctx.clock.boottime()
            renewed = self._renew_through_peers(renewed.err_value)
        elif self._is_lost:
            self._is_lost = False
            log_event("membership_regained", lease_left_s=self._lease_left_s())
        is_renewed = isinstance(renewed, Ok)
        if self._is_home:
            ctx.has_store = is_renewed
        outcome = "lost" if not is_renewed else "relayed" if self._is_lost else "ok"
        STORE_CALLS.labels(call="renew", outcome=outcome).inc()
        LEASE_LEFT.set(self._lease_left_s())
        if isinstance(renewed, Err) or self._is_left:
            return False
        self._ownership.renew(renewed.ok_value, asked_at, ctx.clock.boottime())
        return True

    def _renew_through_peers(self, fault: StoreFault) -> Result[int, StoreFault]:
        """Ask members that reach the store, near ones first, to renew for this one."""
        ctx = self._ctx
        now = ctx.clock.monotonic()
        reaching = {
            vm
            for vm, view in ctx.store_views.items()
            if view.has_store and now - view.heard_at <= STORE_VIEW_S
        }
        near = [vm for vm in ctx.near_peer_ids() if vm in reaching]
        far = sorted(reaching - set(near))
        question = RenewRequest(self._group, ctx.own_member, self._ownership.generation)
        for vm in [*near, *far][:RELAYS]:
            deadline = ctx.clock.monotonic() + RELAY_TIMEOUT_S
            asked = ctx.peers.ask(vm, question, deadline)
            answer = asked.ok_value if isinstance(asked, Ok) else None
            if isinstance(answer, RenewAnswer) and answer.generation >= 0:
                return Ok(answer.generation)
            log_event("relayed_renewal_failed", peer=vm)
        return Err(fault)

    def answer_renewal(self, inbound: Inbound, question: RenewRequest) -> None:
        """Renew for a member that cannot reach the store."""
        spawn("renewal_relay", lambda: self._answer_renewal(inbound, question))

    def _answer_renewal(self, inbound: Inbound, question: RenewRequest) -> None:
        renewed = self._ctx.ports.store.renew(
            question.group, question.member, question.generation
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

    def _note_lost(self, why: str) -> None:
        if self._is_lost:
            return
        self._is_lost = True
        left_s = self._lease_left_s()
        log_event("membership_lost", level="warning", why=why, lease_left_s=left_s)

    def _read_view(self) -> bool:
        """Read the members between two renewals; return whether to stop trying.

        If both renewals tell the same generation, the members are those of it.
        """
        ownership = self._ownership
        generation = ownership.generation
        read = self._ctx.ports.store.members(self._group)
        if isinstance(read, Err):
            log_event("members_unread", level="warning", why=read.err_value.detail)
            return True
        if not self._renew_lease() or not ownership.needs_view():
            return True
        if ownership.generation != generation:
            return False
        members = sorted(read.ok_value, key=lambda member: (member.vm, member.is_new))
        if not self._is_listed(members) and self._unlisted_reads < MAX_UNLISTED_READS:
            # A member is listed once it has a seat, a moment after it has joined.
            self._unlisted_reads += 1
            self.renew_soon()
            return True
        self._unlisted_reads = 0
        view = View(generation, tuple(members))
        self._adopt(view, "store")
        self._pass_on(view)
        return True


def _sample(members: tuple[Member, ...], count: int) -> list[Member]:
    """Return some of the members at random."""
    return random.sample(members, min(count, len(members)))
