"""Ownership of runners and usage allocations: which entry VM may act, and when."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from .._serving_settings import MembershipSettings
from ._adopted_views import AdoptedViews, Assignment
from ._handovers import HANDOVER_TTL_S, Handovers
from ._member_lease import MemberLease
from ._outage_reports import TAKEOVER_DELAY_S
from ._owned_tokens import OwnedTokens
from ._recorded_views import RecordedView
from ._stale_views import StaleViewDeadlines
from ._views import USAGE_ID_PREFIX, Assignable, FormerMembers, Member, View


class OwnershipState:
    """Ownership, under a lease, of the runners that the view assigns to this VM.

    Every member computes the assignment of a runner from the same view, but only the
    member that owns the runner may order it. The owner transfers the ownership when a
    view assigns the runner to another member. A newly assigned member that gets no
    handover acquires the ownership once every earlier lease has expired. All times are
    seconds on a clock that also counts while the VM is suspended.

    The fencing token is the generation of the view in force when the ownership was
    acquired, of the first one of this process if it was resumed. It rises at each
    change of hands and is never shared by two VMs:

    - Of each generation one view is recorded, so one VM is assigned the runner by it.
    - A handover is used only under a view that is newer than the giver's token: the
      giver releases a runner by a view later than that by which it acquired it.
    - Who waits has been assigned the runner by all recorded views since the wait began,
      so no other VM acquired it by one of these; one that may have been missed begins
      the wait anew. Meanwhile an earlier owner stops: its lease ends, or it knows of
      the newer generation and stops before the lease ends that it had when that began.
    - A new process resumes only what all views assign to it by which anybody may own
      something, as the newest record names them.
    """

    def __init__(
        self,
        vm: str,
        domain: str,
        cfg: MembershipSettings,
        started_at: float,
        group: str | None = None,
    ) -> None:
        """Start without a view; assign only runners of domain ``group``, if given."""
        self._group = group
        self._started_at = started_at
        self._vm = vm
        self._domain = domain
        self._cfg = cfg
        self._reacquire_delay_s = cfg.turn_ms / 1000
        self._adopted = AdoptedViews(vm)
        self._former = FormerMembers()
        self._tokens = OwnedTokens()
        self._handovers = Handovers(self._reacquire_delay_s)
        self._ordered: set[str] = set()
        self._released_at: dict[str, float] = {}
        self._lease = MemberLease(cfg)
        self._stale = StaleViewDeadlines()
        self._peers_extend_until = float("-inf")
        self.generation = 0

    @property
    def view(self) -> View:
        """Return the view in force on this VM."""
        return self._adopted.view

    def needs_view(self) -> bool:
        """Return whether the group has changed since the view in force."""
        return not self.has_adopted_view() or self.view.generation < self.generation

    def has_adopted_view(self) -> bool:
        """Return whether a view was adopted since the start of this process."""
        return self._adopted.has_adopted()

    def resume_predecessor(self, record: RecordedView, now: float) -> None:
        """Resume what all views of the newest record assign to this VM.

        The view has the generation 0 if its members are only listed. Orders wait for
        the first renewal, which returns the generation.
        """
        self._adopted.resume_predecessor(record, now)

    def adopt(self, view: View, now: float, missed: Sequence[View] = ()) -> bool:
        """Put a view in force; return False if it is neither newer nor fuller.

        ``missed`` are the views since the one in force, as read later, oldest first.
        """
        own = self.view.generation
        is_first = not self.has_adopted_view() and view.generation >= own
        if not is_first and not view.supersedes(self.view):
            return False
        between = [v for v in missed if own < v.generation < view.generation]
        is_after_gap = not (between or [view])[0].continues(self.view)
        is_next = view.generation <= 1 if own == 0 else not between and not is_after_gap
        self._former.replace(self.view, view, now)
        if not is_next and now >= self._stale.deadline:
            # Others may have waited out the lease by a view that this VM missed.
            self._forget_runners(min(self._stale.deadline, self._lease.local_deadline))
            self._handovers.forget_until(own)
        for following in (*between, view):
            self._adopted.adopt(following, now, is_after_gap)
            is_after_gap = False
        self._stale.adopt(view.generation)
        return True

    def _forget_runners(self, ordered_until: float) -> None:
        """Give up the ownership that ended at a time, and all views."""
        ended = self._ordered.intersection(self._tokens.ids())
        self._released_at.update(dict.fromkeys(ended, ordered_until))
        self._ordered.clear()
        self._adopted.clear()
        self._tokens.clear()

    def former_members(self, now: float) -> list[Member]:
        """Return the members that left the view at most FORMER_MEMBER_TTL_S ago."""
        return self._former.members(now)

    def owner_of(self, runner: Assignable) -> Member | None:
        """Return the member that a runner is assigned to."""
        if self._group is not None and runner.domain != self._group:
            return None
        return self._adopted.owner_of(runner)

    def transfer_reassigned(
        self, runners: Iterable[Assignable], now: float
    ) -> dict[str, list[str]]:
        """Release the runners that are assigned to other members.

        Returns their ids by the VM that gets the ownership. This includes runners that
        were handed over to this VM under an older view.
        """
        self._expire(now)
        released: dict[str, list[str]] = defaultdict(list)
        for runner in runners:
            owner = self.owner_of(runner)
            if owner is None or owner.vm == self._vm:
                continue
            if self._release(runner, now):
                released[owner.vm].append(runner.id)
        return dict(released)

    def _expire(self, now: float) -> None:
        """Remove releases and handovers that are too old to have an effect."""
        released_since = now - self._reacquire_delay_s
        self._released_at = {
            r: at for r, at in self._released_at.items() if at > released_since
        }
        self._handovers.expire(now)

    def _release(self, runner: Assignable, now: float) -> bool:
        """Give up a runner; return whether there is an ownership to transfer."""
        is_owned = runner.id in self._tokens and now < self._deadline_for(runner)
        if is_owned and runner.id in self._ordered:
            self._released_at[runner.id] = now
        self._ordered.discard(runner.id)
        self._tokens.drop(runner.id)
        generation = self.view.generation
        return self._handovers.withdraw(runner.id, generation, now) or is_owned

    def leave(self, runners: Iterable[Assignable], now: float) -> dict[str, list[str]]:
        """Release all runners; return their ids by the VM that they go to."""
        remaining = self.view.without(self._vm)
        released: dict[str, list[str]] = defaultdict(list)
        for runner in runners:
            successor = remaining.owner_of(runner)
            if self._release(runner, now) and successor is not None:
                released[successor.vm].append(runner.id)
        self._adopted.clear()
        self._tokens.clear()
        self._lease.end()
        return dict(released)

    def receive_handover(
        self, runners: Iterable[str], generation: int, now: float
    ) -> None:
        """Record runners that their owner released at a view's generation."""
        if generation < self._adopted.generation_at(now - HANDOVER_TTL_S):
            # The message was delayed; another member may have waited out the lease.
            return
        self._handovers.receive(runners, generation, now)

    def renew(self, generation: int, requested_at: float, now: float) -> None:
        """Renew the lease with the group's generation, as returned at ``now``."""
        if self._lease.has_expired(now) and generation != self.generation:
            # Another VM may have owned the runners since the lease expired.
            self._forget_runners(self._lease.local_deadline)
            self._handovers.clear()
        if generation > self.generation:
            self.generation = generation
            if self.view.generation < generation:
                self._stale.learn(generation, now, self._confirmed_until(now))
        self._lease.renew(requested_at)

    def _confirmed_until(self, now: float) -> float:
        """Return when an owner by a newer generation may act at the earliest.

        That is after the lease by the renewal that was the last to return an older one.
        Without it, a view that was heard of may have been replaced long ago. An
        extended lease ends within TAKEOVER_DELAY_S after a peer reaches the store, so
        that MAX_STALE_VIEW_S more are within the wait of the next owner.
        """
        if self._lease.renewed_at == float("-inf"):
            return now if self.view.generation else now + self._cfg.lease_s
        return self._lease.deadline if now < self._lease.deadline else float("inf")

    def extend(self, now: float, until: float, is_unreachable_for_all: bool) -> None:
        """Extend an unexpired lease on runners of this VM's own domain.

        Allowed only while no member of the domain can reach the store.
        """
        if now < self._lease.local_deadline:
            self._lease.extend(until, is_unreachable_for_all)

    @property
    def renewed_at(self) -> float:
        """Return when the newest renewal was requested."""
        return self._lease.renewed_at

    def record_store_regained(self, now: float) -> None:
        """Record that this VM reaches the store again, as peers have not heard yet."""
        self._peers_extend_until = now + TAKEOVER_DELAY_S

    def record_extending_peer(self, now: float) -> None:
        """Record that a VM outside the view extends its lease on its peers' word."""
        self._peers_extend_until = max(self._peers_extend_until, now + TAKEOVER_DELAY_S)

    def _deadline_for(self, runner: Assignable) -> float:
        is_local = runner.domain == self._domain
        return self._lease.local_deadline if is_local else self._lease.deadline

    def lease_left_s(self, now: float) -> float:
        """Return the seconds until the lease expires, extensions not counted."""
        return self._lease.deadline - now

    def is_assigned(self, runner: Assignable, now: float) -> bool:
        """Return whether the runner is assigned to this VM under a valid lease.

        Orders to it may not be allowed yet.
        """
        is_leased = now < self._deadline_for(runner)
        return is_leased and self._assignment(runner) is not None

    def fencing_token(self, runner: Assignable, now: float) -> int | None:
        """Return the token for an order sent now, None if none may be sent.

        The token stays the same while the runner is owned, so that a delayed order does
        not arrive with a lower token than a later order.
        """
        if now >= self._deadline_for(runner) or now >= self._stale.deadline:
            return None
        owner = self.owner_of(runner)
        if owner is None or owner.vm != self._vm:
            return None
        if runner.id not in self._tokens and (found := self._assignment(runner)):
            self._acquire(runner, found, now)
        return self._tokens.token(runner.id)

    def owned_since(self, runner: Assignable) -> float | None:
        """Return since when no other VM has been the owner, None if not owned."""
        return self._tokens.since(runner.id)

    def known_allocations(self) -> list[str]:
        """Return the ids of the allocations that this VM owns or was handed over."""
        ids = {*self._tokens.ids(), *self._handovers.ids()}
        return sorted(key for key in ids if key.startswith(USAGE_ID_PREFIX))

    def record_order(self, runner: Assignable) -> None:
        """Record that an order to an owned runner is sent.

        One that gets no order may be reacquired at once after its release, since its
        owners don't take turns.
        """
        self._ordered.add(runner.id)

    def orders_allowed_in_s(self, runner: Assignable, now: float) -> float:
        """Return the longest time until orders to an assigned runner are allowed."""
        assignment = self._assignment(runner)
        if assignment is None:
            return 0.0
        return max(0.0, self._takeover_at(runner, assignment) - now)

    def _acquire(self, runner: Assignable, assignment: Assignment, now: float) -> None:
        """Take the ownership of an assigned runner if it is safe to do so."""
        if self._adopted.is_resumed(runner):
            if now < self._peers_extend_until:
                return
            since = max(self._started_at, self._peers_extend_until)
            self._tokens.take(runner.id, assignment.generation, since)
            return
        # Reacquiring a runner too soon would make its ownership flap between VMs.
        released_at = self._released_at.get(runner.id, self._started_at)
        if now < released_at + self._reacquire_delay_s:
            return
        if self._handovers.has(runner.id, self.view.generation, now):
            since = self._handovers.use(runner.id)
            self._tokens.take(runner.id, self.view.generation, since)
        # A renewal after the wait proves that this VM's view is still the newest.
        elif (
            self._lease.renewed_at >= self._takeover_at(runner, assignment)
            and not self.needs_view()
        ):
            since = self._takeover_at(runner, assignment)
            self._tokens.take(runner.id, self.view.generation, since)

    def _takeover_at(self, runner: Assignable, assignment: Assignment) -> float:
        """Return when every earlier lease on an assigned runner has ended."""
        is_local = runner.domain == self._domain
        wait_s = self._cfg.lease_s if is_local else self._cfg.outside_s
        return max(assignment.since + wait_s, self._peers_extend_until)

    def _assignment(self, runner: Assignable) -> Assignment | None:
        """Return the assignment of a runner to this VM, None if it has none."""
        if self._group is not None and runner.domain != self._group:
            return None
        return self._adopted.assignment(runner)
