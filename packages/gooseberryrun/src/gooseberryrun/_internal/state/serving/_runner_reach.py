"""Whether this VM has lost its paths to the runners while other VMs have theirs.

Made for VMs that are partitioned from all runners, whose connections hang or are reset,
or live on while new ones are refused: only new connections tell. From one VM that looks
like a failure of the runners, so the word of peers decides.
"""

from __future__ import annotations

MIN_MISSED = 2
"""Runners that requests could not connect to, in a row, before others are tried."""
MIN_UNREACHED = 3
"""Runners without a connection, in a row, before the word of peers is taken."""
CONTACT_TTL_S = 2.5
"""Time for which the answer of a runner shows that it is reached."""
PEER_TTL_S = 1.3
"""Time for which the word of a peer counts: two rounds of gossip."""


class RunnerReach:
    """Attempts to connect to runners, and what peers say of theirs.

    All times are monotonic seconds. ``is_asked`` is set while a peer that misses
    runners needs to know whether this VM, which is idle, reaches any.
    """

    def __init__(self) -> None:
        self._contact_at = float("-inf")
        self._unreached: set[str] = set()
        self._peers: dict[str, float] = {}
        self.is_cut_off = False
        self.is_asked = False

    @property
    def unreached(self) -> int:
        """Return the number of runners that were not reached, with none between."""
        return len(self._unreached)

    def has_missed(self, runner: str) -> bool:
        """Return whether a runner is one of those that were not reached."""
        return runner in self._unreached

    def record_opened(self, now: float) -> None:
        """Record that a connection to any runner was opened."""
        self._contact_at = now
        self._unreached.clear()

    def record_unreached(self, runner: str) -> None:
        """Record that no connection to a runner could be opened."""
        self._unreached.add(runner)

    def record_contact(self, now: float) -> None:
        """Record an answer of a runner, perhaps on a connection from before a cut."""
        self._contact_at = now

    def hear(self, vm: str, reaches: bool, misses: bool, now: float) -> None:
        """Record whether a peer reaches runners, and whether it has missed some."""
        if reaches:
            self._peers[vm] = now
        else:
            self._peers.pop(vm, None)
        if misses and now - self._contact_at > CONTACT_TTL_S:
            self.is_asked = True

    def reaches_runners(self, now: float) -> bool:
        """Return whether a runner has answered lately and none was missed since."""
        return not self._unreached and now - self._contact_at <= CONTACT_TTL_S

    def peers_in_reach(self, now: float) -> list[str]:
        """Return the peers that have said lately that they reach runners."""
        return [vm for vm, at in self._peers.items() if now - at <= PEER_TTL_S]

    def needs_probe(self) -> bool:
        """Return whether to try some runners, beside those that requests try."""
        return self.is_cut_off or self.is_asked or self.unreached >= MIN_MISSED

    def seems_cut_off(self, now: float) -> bool:
        """Return whether only this VM seems to have lost the runners."""
        return self.unreached >= MIN_UNREACHED and bool(self.peers_in_reach(now))
