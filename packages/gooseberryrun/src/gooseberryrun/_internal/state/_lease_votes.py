"""Promises that a VM gives to the owners of runners in its failure domain.

A lease is a majority of promises. A voter promises a runner to one owner at a time
and to nobody else until the promise has run out, so a successor cannot gather a
majority before the lease of its predecessor has lapsed.
"""

from __future__ import annotations

from dataclasses import dataclass

from ._names import FencingNumber


@dataclass(frozen=True, slots=True)
class LeaseVote:
    """Promise to one owner, with the monotonic time at which it runs out."""

    vm: str
    boot: str
    fencing: FencingNumber
    deadline: float


class LeaseVoteState:
    """Promises given by this VM; none are given before ``abstain_until``."""

    def __init__(self, hold_s: float, abstain_until: float) -> None:
        self._hold_s = hold_s
        self._abstain_until = abstain_until
        self._promises: dict[str, LeaseVote] = {}

    def request(
        self, runner: str, vm: str, boot: str, fencing: FencingNumber, now: float
    ) -> bool:
        """Promise ``runner`` to an owner, or refuse."""
        if now < self._abstain_until:
            return False
        held = self._promises.get(runner)
        if held is not None:
            if (held.vm, held.boot) != (vm, boot) and now < held.deadline:
                return False
            if fencing < held.fencing:
                return False
        self._promises[runner] = LeaseVote(vm, boot, fencing, now + self._hold_s)
        return True

    def release(self, runner: str, vm: str, boot: str) -> None:
        """End the promise that an owner gives back itself."""
        held = self._promises.get(runner)
        if held is not None and (held.vm, held.boot) == (vm, boot):
            self._promises[runner] = LeaseVote(vm, boot, held.fencing, 0.0)

    def holder(self, runner: str, now: float) -> LeaseVote | None:
        """Return the promise in force for a runner."""
        held = self._promises.get(runner)
        return held if held is not None and now < held.deadline else None
