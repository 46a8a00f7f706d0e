"""Which entry VM may give orders to a runner, and when."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from .._serving_settings import MembershipSettings
from ._runners import Runner
from ._views import Member, View

HISTORY = 32
"""Adopted views that are remembered; neighbours with the same members are one."""
FORMER_S = 12.0
"""Time for which a member that left the view is still told what happens."""
MAX_BEHIND_S = 2.0
"""Time for which a VM that knows of a newer view goes on by the one that it has: less
than the lease that whoever the newer one deals a runner to waits."""
HANDOVER_S = 3.0
"""Age up to which a handover counts: less than the wait of an owner without one."""


@dataclass(frozen=True, slots=True)
class _Adopted:
    """View with the time of its adoption; that of a former process has no orders.

    ``first_generation`` is that of the first view with these members in a row.
    """

    view: View
    first_generation: int
    at: float
    is_predecessor: bool = False


@dataclass(frozen=True, slots=True)
class _Handover:
    """Right to give orders to a runner, handed over by its holder."""

    generation: int
    heard_at: float


@dataclass(frozen=True, slots=True)
class _Tenure:
    """Time since which, and generation from which on, a runner is dealt to this VM."""

    since: float
    generation: int


class OwnershipState:
    """Lease on the runners that the members' view deals to this VM.

    Every member works the owner of a runner out from the same view, but only the one
    that holds the right to it gives orders. The holder hands the right over when the
    view deals the runner to another member. A new owner that gets no handover takes the
    right once every earlier lease has surely run out. The fencing token is the
    generation of the view by which the right came. All times are seconds on a clock
    that also counts while the VM is suspended.
    """

    def __init__(
        self,
        vm: str,
        domain: str,
        cfg: MembershipSettings,
        started_at: float,
        group: str | None = None,
    ) -> None:
        """Start without a view and without a lease.

        Only the runners of the failure domain ``group`` are dealt; all without one.
        """
        self._group = group
        self._started_at = started_at
        self._vm = vm
        self._domain = domain
        self._cfg = cfg
        self._turn_s = cfg.turn_ms / 1000
        self._adopted: list[_Adopted] = []
        self._former: dict[str, tuple[Member, float]] = {}
        self._owners: dict[str, Member | None] = {}
        self._rights: dict[str, int] = {}
        self._handovers: dict[str, _Handover] = {}
        self._lost_at: dict[str, float] = {}
        self._renewed_at = float("-inf")
        self._behind_deadline = float("inf")
        self._lease_deadline = float("-inf")
        self._extended_deadline = float("-inf")
        self.generation = 0

    # The view.

    @property
    def view(self) -> View:
        """Return the view that this VM acts by."""
        return self._adopted[-1].view if self._adopted else View(0, ())

    def needs_view(self) -> bool:
        """Tell whether the group has changed since the view in force."""
        return not self.has_adopted_view() or self.view.generation < self.generation

    def has_adopted_view(self) -> bool:
        """Tell whether a view was adopted since the start of this process."""
        return bool(self._adopted) and not self._adopted[-1].is_predecessor

    def resume_predecessor(self, members: Iterable[Member], now: float) -> None:
        """Take up what an earlier process of this VM held.

        Orders have to wait for the first renewal, which tells the generation.
        """
        listed = _Adopted(View(0, tuple(members)), 0, now, is_predecessor=True)
        # A peer may have told a view already.
        self._adopted.insert(0, listed)
        self._owners.clear()

    def adopt(self, view: View, now: float) -> bool:
        """Act by a view from now on; return False if it is not newer."""
        if view.generation <= self.view.generation:
            return False
        for member in self.view.members:
            self._former[member.vm] = (member, now + FORMER_S)
        for member in view.members:
            self._former.pop(member.vm, None)
        last = self._adopted[-1] if self._adopted else None
        if last and last.view.members == view.members and not last.is_predecessor:
            first_generation = last.first_generation
            self._adopted[-1] = _Adopted(view, first_generation, last.at)
        else:
            self._adopted.append(_Adopted(view, view.generation, now))
            del self._adopted[:-HISTORY]
        self._owners.clear()
        self._behind_deadline = float("inf")
        self._note_behind(now)
        return True

    def _note_behind(self, now: float) -> None:
        """Remember since when a newer view than the one in force is known of."""
        is_behind = self.view.generation < self.generation
        if is_behind and math.isinf(self._behind_deadline):
            self._behind_deadline = now + MAX_BEHIND_S

    def former_members(self, now: float) -> list[Member]:
        """Return the members that left the view a short time ago."""
        self._former = {vm: kept for vm, kept in self._former.items() if now < kept[1]}
        return [member for member, _ in self._former.values()]

    def owner_of(self, runner: Runner) -> Member | None:
        """Return the member that a runner is dealt to."""
        if self._group is not None and runner.domain != self._group:
            return None
        if runner.id not in self._owners:
            self._owners[runner.id] = self.view.owner_of(runner)
        return self._owners[runner.id]

    # Handing over.

    def transfer_reassigned(
        self, runners: Iterable[Runner], now: float
    ) -> dict[str, list[str]]:
        """Give up the rights to runners that are dealt to others; return them by VM.

        Rights that were handed to this VM by mistake are among them.
        """
        self._forget_old(now)
        given: dict[str, list[str]] = defaultdict(list)
        for runner in runners:
            owner = self.owner_of(runner)
            if owner is None or owner.vm == self._vm:
                continue
            if self._give_up(runner, now):
                given[owner.vm].append(runner.id)
        return dict(given)

    def _forget_old(self, now: float) -> None:
        """Forget what can have no effect any more."""
        lost_since = now - self._turn_s
        heard_since = lost_since - HANDOVER_S
        self._lost_at = {r: at for r, at in self._lost_at.items() if at > lost_since}
        self._handovers = {
            runner: handover
            for runner, handover in self._handovers.items()
            if handover.heard_at > heard_since
        }

    def _give_up(self, runner: Runner, now: float) -> bool:
        """Drop the right to a runner; return whether there was one to hand over."""
        is_held = runner.id in self._rights and now < self._deadline_for(runner)
        if is_held:
            self._lost_at[runner.id] = now
        self._rights.pop(runner.id, None)
        handover = self._handovers.get(runner.id)
        is_due = handover and handover.generation <= self.view.generation
        if handover is None or not is_due:
            return is_held
        del self._handovers[runner.id]
        return is_held or now - handover.heard_at < HANDOVER_S

    def leave(self, runners: Iterable[Runner], now: float) -> dict[str, list[str]]:
        """Give up everything; return the runners by the VMs they are dealt to then."""
        rest = View(
            self.view.generation + 1,
            tuple(member for member in self.view.members if member.vm != self._vm),
        )
        given: dict[str, list[str]] = defaultdict(list)
        for runner in runners:
            heir = rest.owner_of(runner)
            if self._give_up(runner, now) and heir is not None:
                given[heir.vm].append(runner.id)
        self._adopted.clear()
        self._owners.clear()
        self._rights.clear()
        self._lease_deadline = float("-inf")
        self._extended_deadline = float("-inf")
        return dict(given)

    def receive_handover(
        self, runners: Iterable[str], generation: int, now: float
    ) -> None:
        """Take in rights that their holder gave up by a view of this generation."""
        if generation < self._generation_at(now - HANDOVER_S):
            # Held up on the way; another member may have waited for its turn since.
            return
        for runner in runners:
            self._handovers[runner] = _Handover(generation, now)

    def _generation_at(self, at: float) -> int:
        """Return the generation up to which the view at a time may have been older."""
        earlier = [a.first_generation for a in self._adopted if a.at <= at]
        return earlier[-1] if earlier else 0

    # The lease.

    def renew(self, generation: int, asked_at: float, now: float) -> None:
        """Take in the answer to a renewal."""
        had_lease = math.isfinite(self._renewed_at)
        if had_lease and now > self._deadline() and generation != self.generation:
            # Another VM may have held the runners meanwhile.
            self._adopted.clear()
            self._owners.clear()
            self._rights.clear()
            self._handovers.clear()
        self.generation = max(self.generation, generation)
        self._note_behind(now)
        self._renewed_at = max(self._renewed_at, asked_at)
        lease_s = self._cfg.lease_s - self._cfg.margin_s
        self._lease_deadline = self._renewed_at + lease_s

    def extend(self, now: float, until: float, is_store_lost_to_all: bool) -> None:
        """Keep an unbroken lease on runners of this VM's own domain in force.

        Only while no member of the domain can reach the store. Members of other
        domains may step in after ``outside_s``, unless they lost the store too.
        """
        if now >= self._deadline():
            return
        if not is_store_lost_to_all:
            latest = self._renewed_at + self._cfg.outside_s - self._cfg.margin_s
            until = min(until, latest)
        self._extended_deadline = max(self._extended_deadline, until)

    def _deadline(self) -> float:
        return max(self._lease_deadline, self._extended_deadline)

    def _deadline_for(self, runner: Runner) -> float:
        is_near = runner.domain == self._domain
        return self._deadline() if is_near else self._lease_deadline

    def lease_left_s(self, now: float) -> float:
        """Return the seconds until the lease runs out."""
        return self._lease_deadline - now

    # Orders.

    def is_assigned(self, runner: Runner, now: float) -> bool:
        """Tell whether the runner is dealt to this VM, orders allowed or not."""
        is_leased = now < self._deadline_for(runner)
        return is_leased and self._tenure(runner) is not None

    def fencing_token(self, runner: Runner, now: float) -> int | None:
        """Return the token for an order sent now, None if none may be sent.

        It stays the same while the right is held, so that an order that is held up on
        the way does not arrive with a lower one than its successor.
        """
        if now >= self._deadline_for(runner) or now >= self._behind_deadline:
            return None
        tenure = self._tenure(runner)
        if tenure is None:
            return None
        if runner.id not in self._rights:
            self._take_right(runner, tenure, now)
        return self._rights.get(runner.id)

    def orders_allowed_in_s(self, runner: Runner, now: float) -> float:
        """Return the longest time until orders to a runner are allowed."""
        tenure = self._tenure(runner)
        if tenure is None:
            return 0.0
        return max(0.0, tenure.since + self._wait_s(runner) - now)

    def _take_right(self, runner: Runner, tenure: _Tenure, now: float) -> None:
        if self._is_resumed(runner):
            self._rights[runner.id] = tenure.generation
            return
        # A VM that takes a runner back soon would take turns with the owner between.
        lost_at = self._lost_at.get(runner.id, self._started_at)
        if now < lost_at + self._turn_s:
            return
        if self._has_handover(runner, now):
            del self._handovers[runner.id]
            self._rights[runner.id] = self.view.generation
        # A renewal after the wait shows whether this VM's view is still the newest.
        elif (
            self._renewed_at >= tenure.since + self._wait_s(runner)
            and not self.needs_view()
        ):
            self._rights[runner.id] = tenure.generation

    def _has_handover(self, runner: Runner, now: float) -> bool:
        """Tell whether a handover by this view or an earlier one has just come.

        One by a newer view may be meant for another member: it has to wait.
        """
        handover = self._handovers.get(runner.id)
        if handover is None or handover.generation > self.view.generation:
            return False
        # The turn with the owner between may have to pass first.
        return now - handover.heard_at < HANDOVER_S + self._turn_s

    def _wait_s(self, runner: Runner) -> float:
        is_near = runner.domain == self._domain
        return self._cfg.lease_s if is_near else self._cfg.outside_s

    def _is_resumed(self, runner: Runner) -> bool:
        """Tell whether the process before this one held a runner to its end."""
        owned = [self._is_own(adopted.view, runner) for adopted in self._adopted]
        return all(owned) and self._adopted[0].is_predecessor

    def _tenure(self, runner: Runner) -> _Tenure | None:
        """Find in the adopted views since when a runner is dealt to this VM."""
        owner = self.owner_of(runner)
        if owner is None or owner.vm != self._vm:
            return None
        if self._adopted[-1].is_predecessor:
            return None
        first = len(self._adopted) - 1
        while first > 0 and self._is_own(self._adopted[first - 1].view, runner):
            first -= 1
            if self._adopted[first].is_predecessor:
                first += 1
                break
        begun = self._adopted[first]
        return _Tenure(begun.at, begun.first_generation)

    def _is_own(self, view: View, runner: Runner) -> bool:
        owner = view.owner_of(runner)
        return owner is not None and owner.vm == self._vm
