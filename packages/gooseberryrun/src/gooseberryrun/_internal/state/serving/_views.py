"""Members of the group of entry VMs, and who of them owns a runner."""

from __future__ import annotations

import msgspec

from .._hashing import top_node
from ._runners import Runner


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
