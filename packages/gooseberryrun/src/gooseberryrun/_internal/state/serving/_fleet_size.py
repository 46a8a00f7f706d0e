"""Number of entry VMs among which an allowance of all is divided.

Made for loads in which VMs are cut off, killed together, or start in a cut: each knows
then fewer VMs than share the allowance, and what these have spent still counts. So the
number falls only some time after VMs were last known, and a new process takes it from
its peers.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Mapping

HOLD_S = 60.0
"""Time for which a VM that is no longer known still has its part of an allowance."""
LARGE_FLEET_VMS = 30
"""Entry VMs above which each of them sees too few requests to know by its own how busy
the servers are."""


class RecentMaximum:
    """Largest of the values that were recorded within a sliding window."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._falling: deque[tuple[float, int]] = deque()

    def record(self, value: int, now: float) -> None:
        """Record a value; earlier ones that are not larger no longer matter."""
        while self._falling and self._falling[-1][1] <= value:
            self._falling.pop()
        self._falling.append((now, value))

    def value(self, now: float) -> int:
        """Return the largest value, 0 if there is none."""
        while self._falling and self._falling[0][0] < now - self._window_s:
            self._falling.popleft()
        return self._falling[0][1] if self._falling else 0


class FleetSize:
    """Largest recent number of VMs, as counted here and as told by peers.

    Peers are told only what was counted here, so that a number does not outlast
    ``HOLD_S`` by passing from VM to VM.
    """

    def __init__(self) -> None:
        self._counted = RecentMaximum(HOLD_S)
        self._told = RecentMaximum(HOLD_S)

    def count(self, vms: int, now: float) -> None:
        """Record the number of VMs that this VM knows now."""
        self._counted.record(vms, now)

    def hear(self, vms: int, now: float) -> None:
        """Record the number of VMs that a peer has counted."""
        self._told.record(vms, now)

    def counted(self, now: float) -> int:
        """Return the largest number that was counted here, 0 if there is none."""
        return self._counted.value(now)

    def value(self, now: float) -> int:
        """Return the number of VMs that may share an allowance, 0 if unknown."""
        return max(self._counted.value(now), self._told.value(now))


def estimate_vms(
    members: Mapping[str, Collection[str]], domains: Collection[str], heard: set[str]
) -> int:
    """Return the number of VMs, given the ids of those known by failure domain.

    A domain whose members are not known yet counts as large as the largest known one.
    ``heard`` are the VMs that messages came from.
    """
    known = {vm for vms in members.values() for vm in vms}
    largest = max((len(vms) for vms in members.values()), default=0)
    unknown = sum(domain not in members for domain in domains)
    return max(len(known) + unknown * largest, len(known | heard))
