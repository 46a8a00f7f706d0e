"""What each client account has recently used of one model runner.

Made for loads in which one account wants several times its usual share of the runners:
the order of an owner's queue decides only about the few requests that wait there, while
most of such an account's requests find an adapter loaded or a place free. So the VMs
learn which accounts are beyond their shares, and admit fewer of their requests.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping

import msgspec

from ._fair_order import weight_of

USAGE_TIME_S = 8.0
"""Time constant of the usage: a runner serves some ten requests a second, so a shorter
one would take the noise of an account's arrivals for use beyond its share."""
MAX_LISTED = 8
"""Accounts whose shares an owner reports one by one; bounds the notice's size."""
MAX_KEYS = 4_096
"""Number of accounts and priorities above which all usage is forgotten, so that wrong
messages cannot fill the memory."""
MIN_USAGE_TOKENS = 1.0
"""Usage below which an account is dropped."""
EQUAL_SHARE = 1.0
SHARE_TOLERANCE = 1.1
"""Share up to which an account may wait as long as any other."""
SHARE_POWER = 8
"""Steepness of the limit beyond it: the wait of an account at 1.5 times its share is
limited to a twelfth. A smaller power let the account keep twice its share."""


class UsageShares(msgspec.Struct, frozen=True, array_like=True):
    """Usage of accounts over their fair shares, which are 1.

    ``listed`` maps a priority and an account to its share; ``others`` is the mean of
    the accounts of a priority that are not listed.
    """

    listed: dict[str, float] = {}
    others: dict[int, float] = {}

    def share(self, priority: int, account: str) -> float:
        """Return the share of an account; 1 if nothing is known of its priority."""
        known = self.listed.get(_key(priority, account))
        return self.others.get(priority, EQUAL_SHARE) if known is None else known


class AccountUsage:
    """Decayed usage of one runner, in tokens, by priority and account."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = weights
        self._used: dict[tuple[int, str], float] = {}
        self._at = 0.0

    def record(self, priority: int, account: str, tokens: float, now: float) -> None:
        """Count what a request of an account uses."""
        self._decay(now)
        if len(self._used) >= MAX_KEYS:
            self._used.clear()
        key = (priority, account)
        self._used[key] = self._used.get(key, 0.0) + tokens

    def shares(self, now: float) -> UsageShares:
        """Return the largest shares, and the mean of the others.

        The fair share of an account is its part by weight of what all accounts of its
        priority use, so that a more urgent class is not held back for a less urgent.
        """
        if not self._used:
            return UsageShares()
        self._decay(now)
        totals: dict[int, float] = defaultdict(float)
        weights: dict[int, float] = defaultdict(float)
        for (priority, account), used in self._used.items():
            totals[priority] += used
            weights[priority] += weight_of(self._weights, account)
        shares = {
            (priority, account): used
            / weight_of(self._weights, account)
            / (totals[priority] / weights[priority])
            for (priority, account), used in self._used.items()
        }
        ranked = sorted(shares.items(), key=lambda item: (-item[1], item[0]))
        rest: dict[int, list[float]] = defaultdict(list)
        for (priority, _), share in ranked[MAX_LISTED:]:
            rest[priority].append(share)
        return UsageShares(
            {_key(*key): round(share, 2) for key, share in ranked[:MAX_LISTED]},
            {p: round(sum(found) / len(found), 2) for p, found in rest.items()},
        )

    def _decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self._at) / USAGE_TIME_S)
        self._at = max(self._at, now)
        self._used = {
            key: used * factor
            for key, used in self._used.items()
            if used * factor > MIN_USAGE_TOKENS
        }


def _key(priority: int, account: str) -> str:
    return f"{priority}/{account}"


def longest_queue_wait_s(share: float, longest_wait_s: float) -> float:
    """Return how long a request may wait behind others, by its account's share.

    An account far beyond its share gets only capacity for which nothing else waits.
    """
    if share <= SHARE_TOLERANCE:
        return longest_wait_s
    return longest_wait_s * (SHARE_TOLERANCE / share) ** SHARE_POWER
