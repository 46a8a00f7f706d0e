"""Selection of the requests that leave their failure domain.

Made for many VMs that apply one share each: a hash of the request's id spreads the
choice evenly and is the same on each attempt.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from ..._hashing import hash_score

HALF_LIFE = 0.97
"""Factor by which earlier requests count less in the mix of classes."""
LEAVE_COST = -1.0
"""Cost of a server of the domain that a request was selected for: it goes there unless
the server is more than full or fails."""
STAY_COST = 1.5
"""Cost of other domains for a request that stays: it leaves only if the own servers
hold half as many again as their slots and those there are idle. In replays 1.0 sent a
fifth to a half more bytes, without more requests in time."""


class ClassMix:
    """Recent mix of priorities among the requests of a service."""

    def __init__(self) -> None:
        self._weights: dict[int, float] = {}

    def record(self, priority: int) -> None:
        """Count a request."""
        self._weights = {
            known: weight * HALF_LIFE
            for known, weight in self._weights.items()
            if weight > 0.01
        }
        self._weights[priority] = self._weights.get(priority, 0.0) + 1.0

    def leaving(self, priority: int, share: float) -> float:
        """Return the part of a class that leaves if ``share`` of all requests do.

        More urgent classes leave first; 0 is the most urgent priority.
        """
        total = sum(self._weights.values())
        own = self._weights.get(priority, 0.0)
        if total <= 0.0 or own <= 0.0:
            return share
        before = sum(w for known, w in self._weights.items() if known < priority)
        return min(1.0, max(0.0, (share * total - before) / own))


def pick_domain(
    request_id: str, priority: int, shares: Mapping[str, float], mix: ClassMix
) -> str | None:
    """Return the domain that a request goes to, None if it stays."""
    total = sum(shares.values())
    if total <= 0.0:
        return None
    leaving = mix.leaving(priority, total)
    point = hash_score(request_id, "crossing") / 2**64
    if point >= leaving:
        return None
    point *= total / leaving
    for domain in sorted(shares):
        point -= shares[domain]
        if point < 0:
            return domain
    return max(shares)


def plain_crossing_cost(
    domain: str, chosen: str | None, known: Collection[str]
) -> float | None:
    """Return the cost of a plain server of another domain, in fillings of its slots.

    ``known`` are the domains whose share rests on recent figures. None for any other
    domain: the constant of the choice applies.
    """
    if chosen is not None and domain == chosen:
        return LEAVE_COST
    return STAY_COST if domain in known else None
