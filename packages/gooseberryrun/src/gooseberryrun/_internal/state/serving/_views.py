"""Members of the group of entry VMs, and what is assigned to them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

import msgspec

from .._hashing import top_node
from ._epochs import store_epoch

_NO_DOMAIN = ""
"""Domain of no member: its runners are assigned to any of them."""

FORMER_MEMBER_TTL_S = 12.0
"""Time for which a member that left the view still gets messages."""


USAGE_ID_PREFIX = "usage/"
"""Start of the ids by which the allocators of client accounts are assigned."""


class Assignable(Protocol):
    """What the members of a failure domain own: a runner or an allocation of usage."""

    @property
    def id(self) -> str:
        """Return the id, by which the owner is found."""

    @property
    def domain(self) -> str:
        """Return the failure domain whose members may own it."""


class UsageAllocation(msgspec.Struct, frozen=True):
    """Allocation of a failure domain's part of an account's usage cap."""

    id: str
    domain: str

    @property
    def account(self) -> str:
        """Return the name of the account."""
        return self.id.removeprefix(USAGE_ID_PREFIX)


def usage_allocation(account: str, domain: str) -> UsageAllocation:
    """Return the allocation of an account's usage in a failure domain."""
    return UsageAllocation(USAGE_ID_PREFIX + account, domain)


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Entry VM in the group, with its failure domain and its address for peers.

    A member that ``is_new`` has just started. The previous process on its VM may have
    given orders a moment ago, so the ownership of runners assigned to it at once would
    alternate between VMs. One that ``is_copied`` is listed only by the older copy that
    the store came back from.
    """

    vm: str
    domain: str
    host: str
    port: int
    is_new: bool = False
    is_copied: bool = False


class View(msgspec.Struct, frozen=True, array_like=True):
    """Members of the group at one generation.

    The store may list different members at one generation, since it lists one only
    once another has given up a partition for it. So each generation has at most one
    recorded view, by which all members decide; ``previous_generation`` is that of the
    recorded view before, 0 for the first. It is None in a view that is not recorded.
    """

    generation: int
    members: tuple[Member, ...]
    previous_generation: int | None = None

    @property
    def is_recorded(self) -> bool:
        """Return whether this is the only view of its generation."""
        return self.previous_generation is not None

    def lists(self, vm: str) -> bool:
        """Return whether a VM is one of the members."""
        return any(member.vm == vm for member in self.members)

    def without(self, vm: str) -> View:
        """Return this view without a VM."""
        others = tuple(member for member in self.members if member.vm != vm)
        return View(self.generation, others, self.previous_generation)

    def supersedes(self, other: View) -> bool:
        """Return whether this view is newer, or lists more members and the same owners.

        A view of the same generation never moves a runner: the fencing token, which is
        the generation, would be shared by two owners.
        """
        if self.generation != other.generation:
            return self.generation > other.generation
        return set(self.members) > set(other.members) and self.has_owners_of(other)

    def continues(self, other: View) -> bool:
        """Return whether no recorded view is known between another view and this one.

        The store may have lost recorded views when it came back from an older copy.
        """
        if other.generation in (0, self.generation):
            return True
        if self.previous_generation is None:
            return self.generation <= other.generation + 1
        is_same_epoch = store_epoch(self.generation) == store_epoch(other.generation)
        return is_same_epoch and self.previous_generation <= other.generation

    def has_owners_of(self, other: View) -> bool:
        """Return whether both views assign each runner to the same VM."""
        domains = {m.domain for m in (*self.members, *other.members)}
        return all(
            self._owner_ids(domain) == other._owner_ids(domain)
            for domain in (*domains, _NO_DOMAIN)
        )

    def _owner_ids(self, domain: str) -> set[str]:
        return {member.vm for member in self.eligible_owners(domain)}

    def with_members(self, members: Iterable[Member]) -> View:
        """Return this view with more members of the same generation."""
        found = {*self.members, *members}
        return make_view(self.generation, found, self.previous_generation)

    def eligible_owners(self, domain: str) -> list[Member]:
        """Return the members that runners of a failure domain are assigned to.

        Members of other domains are eligible only if the domain has none, new members
        only if there are no others.
        """
        local = [member for member in self.members if member.domain == domain]
        found = local or list(self.members)
        return [member for member in found if not member.is_new] or found

    def owner_of(self, runner: Assignable) -> Member | None:
        """Return the member that a runner is assigned to, None without members."""
        candidates = {m.vm: m for m in self.eligible_owners(runner.domain)}
        vm = top_node(runner.id, candidates)
        return None if vm is None else candidates[vm]


def make_view(
    generation: int, members: Iterable[Member], previous_generation: int | None = None
) -> View:
    """Return a view of members in any order."""
    ordered = sorted(members, key=lambda member: (member.vm, member.is_new))
    return View(generation, tuple(ordered), previous_generation)


class FormerMembers:
    """Members that are no longer in the view, for some time after they left it."""

    def __init__(self) -> None:
        self._left: dict[str, tuple[Member, float]] = {}

    def replace(self, before: View, after: View, now: float) -> None:
        """Record a change of the view; ``now`` is in seconds."""
        for member in before.members:
            self._left[member.vm] = (member, now + FORMER_MEMBER_TTL_S)
        for member in after.members:
            self._left.pop(member.vm, None)

    def members(self, now: float) -> list[Member]:
        """Return the members that left at most FORMER_MEMBER_TTL_S ago."""
        self._left = {vm: kept for vm, kept in self._left.items() if now < kept[1]}
        return [member for member, _ in self._left.values()]
