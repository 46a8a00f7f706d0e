"""Number of peers to which a VM gossips, by what it has to tell.

Made for the many VMs of a deployment that wait for traffic: their figures are empty and
their reports stay the same, so sending them to as many peers as under load only costs
wake-ups and connections.
"""

from __future__ import annotations

from collections.abc import Hashable, Sequence

ACTIVE_HOLD_S = 2.5
"""Time for which a VM gossips widely after its last news: as long as peers use its load
figures, so that none keeps figures of a load that has ended for longer than before."""
IDLE_CONTACTS = 4
"""Peers to which an idle VM gossips in turns."""
IDLE_FANOUT = 2
"""Peers of an idle VM per round. Each contact is told every second round, so that the
status that it has of this VM stays within the time for which it is used."""


class GossipActivity:
    """Whether a VM has had news for its peers within the last ``ACTIVE_HOLD_S``."""

    def __init__(self) -> None:
        self._reports: Hashable | None = None
        self._active_until = float("-inf")

    def record_reports(self, reports: Hashable, now: float) -> None:
        """Record what this VM reports; a change is news.

        The first reports are not: peers that start as well have the same ones, and the
        others have them already.
        """
        if self._reports is not None and reports != self._reports:
            self.record_news(now)
        self._reports = reports

    def record_news(self, now: float) -> None:
        """Record load, or an outage of this VM or of a peer that needs an answer."""
        self._active_until = now + ACTIVE_HOLD_S

    def is_active(self, now: float) -> bool:
        """Return whether to gossip as widely as under load."""
        return now <= self._active_until


def idle_contacts(vm: str, local: Sequence[str], remote: Sequence[str]) -> list[str]:
    """Return the peers to which an idle VM gossips, the same ones in each round.

    ``local`` are the other members of its failure domain. Its contacts follow it in the
    ring of their ids at a distance of one, and of a third and two thirds of the ring.
    So each VM hears of as many as it tells, also where neighbours fail together.
    """
    ring = sorted({*local, vm})
    own = ring.index(vm)
    count = len(ring)
    offsets = [1, count // 3 + 1, 2 * count // 3 + 1]
    found = dict.fromkeys(ring[(own + offset) % count] for offset in offsets)
    found.pop(vm, None)
    return [*found, *remote][:IDLE_CONTACTS]
