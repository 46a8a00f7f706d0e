"""Votes of this VM for the owners of the runners in its failure domain.

A lease is a majority of votes. A voter votes for one owner of a runner at a time, and
for no other owner until that vote has expired, so a successor cannot collect a
majority before the lease of its predecessor has expired.
"""

from __future__ import annotations

from dataclasses import dataclass

from ._names import FencingNumber


@dataclass(frozen=True, slots=True)
class LeaseVote:
    """Vote for one owner; ``deadline`` is the monotonic time at which it expires."""

    vm: str
    boot: str
    fencing: FencingNumber
    deadline: float


class LeaseVoteState:
    """Votes of this VM by runner; it casts none before ``abstain_until``.

    A vote lasts ``duration_s``. A restarted VM abstains until the votes that it may
    have cast before the restart have expired.
    """

    def __init__(self, duration_s: float, abstain_until: float) -> None:
        self._duration_s = duration_s
        self._abstain_until = abstain_until
        self._votes: dict[str, LeaseVote] = {}

    def request(
        self, runner: str, vm: str, boot: str, fencing: FencingNumber, now: float
    ) -> bool:
        """Vote for an owner of ``runner``; return False if the vote is refused."""
        if now < self._abstain_until:
            return False
        vote = self._votes.get(runner)
        if vote is not None:
            if (vote.vm, vote.boot) != (vm, boot) and now < vote.deadline:
                return False
            if fencing < vote.fencing:
                return False
        self._votes[runner] = LeaseVote(vm, boot, fencing, now + self._duration_s)
        return True

    def release(self, runner: str, vm: str, boot: str) -> None:
        """End the vote for an owner that releases the runner; its number is kept."""
        vote = self._votes.get(runner)
        if vote is not None and (vote.vm, vote.boot) == (vm, boot):
            self._votes[runner] = LeaseVote(vm, boot, vote.fencing, 0.0)

    def holder(self, runner: str, now: float) -> LeaseVote | None:
        """Return the vote in force for a runner, if any."""
        vote = self._votes.get(runner)
        return vote if vote is not None and now < vote.deadline else None
