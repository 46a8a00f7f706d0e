"""Waiting times at plain servers, as the VMs that grant their slots last told them.

Made for loads in which some servers of a service are full: a request goes to the one
where its account waits the least, without asking all of them.
"""

from __future__ import annotations


class ExpectedSlotWaits:
    """When a slot of each server is expected for a request of an account.

    Only answers whose time has not passed are kept, so that their number is bounded by
    the answers of the last seconds.
    """

    def __init__(self) -> None:
        self._free_at: dict[tuple[str, str], float] = {}

    def record(self, server: str, account: str, wait_s: float, now: float) -> None:
        """Record the wait that an account's next request would have."""
        if wait_s > 0.0:
            self._free_at = {k: at for k, at in self._free_at.items() if at > now}
            self._free_at[(server, account)] = now + wait_s
        else:
            self._free_at.pop((server, account), None)

    def wait_s(self, server: str, account: str, now: float) -> float:
        """Return the seconds until a slot is expected to be free."""
        return max(0.0, self._free_at.get((server, account), now) - now)
