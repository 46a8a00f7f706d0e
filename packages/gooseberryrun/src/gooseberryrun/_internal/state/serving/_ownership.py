"""Which entry VM may give orders to a runner, and when."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from .._hashing import top_node
from .._serving_settings import MembershipSettings
from ._runners import Runner

HISTORY = 16
"""Adopted views that are remembered."""
FORMER_S = 12.0
"""Time for which a member that left the view is still told what happens."""
LEAVING_S = 2.0
"""Time in which a member that said it is leaving has left the view."""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Entry VM in the group, with its failure domain and its address for peers.

    One that ``is_new`` has just started: the process before it may have given orders a
    moment ago, so that owners would take turns if it got runners at once.
    """

    vm: str
    domain: str
    host: str
    port: int
    is_new: bool = False


class View(msgspec.Struct, frozen=True, array_like=True):
    """Members of the group at one generation."""

    generation: int
    members: tuple[Member, ...]

    def in_charge_of(self, domain: str) -> list[Member]:
        """Return the members that runners of a failure domain are dealt to.

        Those of other domains step in only where the domain has none left, new ones
        where there are no others.
        """
        near = [member for member in self.members if member.domain == domain]
        found = near or list(self.members)
        return [member for member in found if not member.is_new] or found

    def owner_of(self, runner: Runner) -> Member | None:
        """Return the member that a runner is dealt to."""
        candidates = {m.vm: m for m in self.in_charge_of(runner.domain)}
        vm = top_node(runner.id, candidates)
        return None if vm is None else candidates[vm]


@dataclass(frozen=True, slots=True)
class _Adopted:
    """View with the time of its adoption; that of a former process has no orders."""

    view: View
    at: float
    is_predecessor: bool = False


@dataclass(frozen=True, slots=True)
class _Word:
    """Generation of the view that a member last said it acts by."""

    generation: int
    heard_at: float
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class _Tenure:
    """Unbroken ownership of a runner by this VM.

    ``awaited`` are the VMs whose word ends the wait, None if they are not known.
    """

    since: float
    fencing_token: int
    is_resumed: bool
    awaited: frozenset[str] | None
    lost_at: float


class OwnershipState:
    """Lease on the runners that the members' view deals to this VM.

    Every member works the owner of a runner out from the same view. A new owner waits
    until every earlier lease has surely run out, or until those who could hold one say
    that they act by its view. Its fencing token is the generation of the view that
    dealt it the runner. All times are seconds on a clock that also counts while the VM
    is suspended.
    """

    def __init__(
        self, vm: str, domain: str, cfg: MembershipSettings, started_at: float
    ) -> None:
        """Start without a view and without a lease."""
        self._started_at = started_at
        self._vm = vm
        self._domain = domain
        self._cfg = cfg
        self._turn_s = cfg.turn_ms / 1000
        self._adopted: list[_Adopted] = []
        self._words: dict[str, _Word] = {}
        self._former: dict[str, tuple[Member, float]] = {}
        self._tenures: dict[str, _Tenure | None] = {}
        self._owners: dict[str, Member | None] = {}
        self._renewed_at = float("-inf")
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
        is_own = bool(self._adopted) and not self._adopted[-1].is_predecessor
        return not is_own or self.view.generation < self.generation

    def start_after(self, members: Iterable[Member], now: float) -> None:
        """Take up what an earlier process of this VM held.

        Orders have to wait for the first renewal, which tells the generation.
        """
        listed = _Adopted(View(0, tuple(members)), now, is_predecessor=True)
        # A peer may have told a view already.
        self._adopted.insert(0, listed)
        self._forget_derived()

    def adopt(self, view: View, now: float) -> bool:
        """Act by a view from now on; return False if it is not newer."""
        if view.generation <= self.view.generation:
            return False
        for member in self.view.members:
            self._former[member.vm] = (member, now + FORMER_S)
        self._adopted.append(_Adopted(view, now))
        del self._adopted[:-HISTORY]
        self._forget_derived()
        self._forget_words(now)
        return True

    def _forget_derived(self) -> None:
        """Forget what was worked out from the views."""
        self._tenures.clear()
        self._owners.clear()

    def _forget_words(self, now: float) -> None:
        """Forget words of leaving by members that are back."""
        for member in self.view.members:
            self._former.pop(member.vm, None)
            word = self._words.get(member.vm)
            if word and word.is_leaving and now - word.heard_at > LEAVING_S:
                del self._words[member.vm]

    def former_members(self, now: float) -> list[Member]:
        """Return the members that left the view a short time ago."""
        self._former = {vm: kept for vm, kept in self._former.items() if now < kept[1]}
        return [member for member, _ in self._former.values()]

    def owner_of(self, runner: Runner) -> Member | None:
        """Return the member that a runner is dealt to."""
        if runner.id not in self._owners:
            self._owners[runner.id] = self.view.owner_of(runner)
        return self._owners[runner.id]

    def heirs_of(self, runners: Iterable[Runner]) -> set[str]:
        """Return the VMs that the last change of the view gave this VM's runners to."""
        if len(self._adopted) < 2:
            return set()
        before = self._adopted[-2].view
        heirs = set()
        for runner in runners:
            owner = self.owner_of(runner)
            if owner is not None and self._is_own(before, runner):
                heirs.add(owner.vm)
        return heirs - {self._vm}

    # The lease.

    def renew(self, generation: int, asked_at: float, now: float) -> None:
        """Take in the answer to a renewal."""
        had_lease = math.isfinite(self._renewed_at)
        if had_lease and now > self._deadline() and generation != self.generation:
            # Another VM may have held the runners meanwhile.
            self._adopted.clear()
            self._forget_derived()
        self.generation = max(self.generation, generation)
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

    def lose(self) -> None:
        """Give up everything at once."""
        self._adopted.clear()
        self._forget_derived()
        self._lease_deadline = float("-inf")
        self._extended_deadline = float("-inf")

    def hear_word(
        self, vm: str, generation: int, now: float, is_leaving: bool = False
    ) -> None:
        """Take in the word of a member that it acts by a view, or by none any more."""
        self._words[vm] = _Word(generation, now, is_leaving)

    def _deadline(self) -> float:
        return max(self._lease_deadline, self._extended_deadline)

    def _deadline_for(self, runner: Runner) -> float:
        is_near = runner.domain == self._domain
        return self._deadline() if is_near else self._lease_deadline

    def lease_left_s(self, now: float) -> float:
        """Return the seconds until the lease runs out."""
        return self._lease_deadline - now

    # Orders.

    def holds(self, runner: Runner, now: float) -> bool:
        """Tell whether the runner is dealt to this VM, orders allowed or not."""
        is_leased = now < self._deadline_for(runner)
        return is_leased and self._tenure(runner) is not None

    def fencing_token(self, runner: Runner, now: float) -> int | None:
        """Return the token for an order sent now, None if none may be sent.

        It stays the same while the runner is held, so that an order that is held up on
        the way does not arrive with a lower one than its successor.
        """
        if now >= self._deadline_for(runner):
            return None
        tenure = self._tenure(runner)
        if tenure is None or not self._may_order(runner, tenure, now):
            return None
        return tenure.fencing_token

    def orders_in_s(self, runner: Runner, now: float) -> float:
        """Return the longest time until orders to a runner are allowed."""
        tenure = self._tenure(runner)
        if tenure is None:
            return 0.0
        return max(0.0, tenure.since + self._wait_s(runner) - now)

    def _may_order(self, runner: Runner, tenure: _Tenure, now: float) -> bool:
        # A VM that takes a runner back soon would take turns with the owner between.
        if now < tenure.lost_at + self._turn_s:
            return False
        if tenure.is_resumed or self._is_released(tenure):
            return True
        # A renewal after the wait shows that this VM's view is still the newest.
        return self._renewed_at >= tenure.since + self._wait_s(runner)

    def _wait_s(self, runner: Runner) -> float:
        is_near = runner.domain == self._domain
        return self._cfg.lease_s if is_near else self._cfg.outside_s

    def _is_released(self, tenure: _Tenure) -> bool:
        """Tell whether all that could hold a lease act by a view without it.

        A word on a view newer than this VM's own may mean that the runner was dealt
        anew: it does not count.
        """
        if tenure.awaited is None:
            return False
        words = [self._words.get(vm) for vm in tenure.awaited]
        return all(word is not None and self._covers(word, tenure) for word in words)

    def _covers(self, word: _Word, tenure: _Tenure) -> bool:
        if word.is_leaving:
            return True
        return tenure.fencing_token <= word.generation <= self.view.generation

    def _tenure(self, runner: Runner) -> _Tenure | None:
        if runner.id not in self._tenures:
            self._tenures[runner.id] = self._work_out_tenure(runner)
        return self._tenures[runner.id]

    def _work_out_tenure(self, runner: Runner) -> _Tenure | None:
        """Find in the adopted views since when this VM owns a runner."""
        owned = [self._is_own(adopted.view, runner) for adopted in self._adopted]
        if not owned or not owned[-1] or self._adopted[-1].is_predecessor:
            return None
        first = len(owned) - 1
        while first > 0 and owned[first - 1]:
            first -= 1
        begun = self._adopted[first]
        if begun.is_predecessor:
            token = self._adopted[first + 1].view.generation
            return _Tenure(begun.at, token, True, None, float("-inf"))
        earlier = range(first - 1, -1, -1)
        losses = (self._adopted[n + 1].at for n in earlier if owned[n])
        return _Tenure(
            begun.at,
            begun.view.generation,
            False,
            self._awaited(runner, first),
            next(losses, self._started_at),
        )

    def _awaited(self, runner: Runner, first: int) -> frozenset[str] | None:
        """Return who may hold a lease on a runner from before a view."""
        if not first:
            return None
        before = self._adopted[first - 1].view.owner_of(runner)
        vms = {m.vm for m in self._adopted[first].view.in_charge_of(runner.domain)}
        if before is not None:
            vms.add(before.vm)
        return frozenset(vms - {self._vm})

    def _is_own(self, view: View, runner: Runner) -> bool:
        owner = view.owner_of(runner)
        return owner is not None and owner.vm == self._vm
