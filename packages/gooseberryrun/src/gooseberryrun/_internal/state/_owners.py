"""Owners of runners, as far as this VM knows them."""

from __future__ import annotations

from dataclasses import dataclass

from ._names import FencingNumber
from ._records import OwnerClaim


@dataclass(frozen=True, slots=True)
class Ownership:
    """Owner of one runner under a fencing number."""

    vm: str
    boot: str
    fencing: FencingNumber


class OwnerState:
    """Ownership with the highest known fencing number of each runner."""

    def __init__(self) -> None:
        self._owners: dict[str, Ownership] = {}

    def get(self, runner: str) -> Ownership | None:
        """Return the known owner of a runner, if any."""
        return self._owners.get(runner)

    def items(self) -> list[tuple[str, Ownership]]:
        """Return all runners with their owners."""
        return list(self._owners.items())

    def apply_claim(self, claim: OwnerClaim, offset: int) -> list[str]:
        """Apply a claim from the log; return the runners whose owner changed."""
        changed = []
        for runner in claim.runners:
            ownership = Ownership(claim.vm, claim.boot, FencingNumber(offset))
            if self.update_owner(runner, ownership):
                changed.append(runner)
        return changed

    def update_owner(self, runner: str, ownership: Ownership) -> bool:
        """Record the owner of a runner, from any source; return whether it changed.

        An ownership is ignored unless its fencing number is higher than the known one.
        """
        known = self._owners.get(runner)
        if known is not None and known.fencing >= ownership.fencing:
            return False
        self._owners[runner] = ownership
        return True
