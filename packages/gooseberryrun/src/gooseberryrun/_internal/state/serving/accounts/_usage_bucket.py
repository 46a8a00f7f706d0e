"""Token bucket of an account in one failure domain, kept by the domain's allocator.

Made for accounts whose callers come to any entry VM and whose requests may cost more
than the domain's part of the burst: the bucket holds as much as the largest request, as
far as the bound on the usage allows it. Refused callers are told different times, so
that they don't come back together.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from itertools import islice

from ._usage_limits import CREDIT_TTL_S, EPSILON, DomainAllowance

QUIET_S = CREDIT_TTL_S
"""Time without grants of a new allocator: credit of its predecessor is in use."""
MAX_SPREAD_S = 3.0
"""Longest time over which the returns of refused requests are spread.

A caller honours a retry delay up to a third of its remaining time, and callers that
retry at once would else move the times of all others away without bound.
"""
HIGH_LEVEL_SHARE = 0.5
"""Filled share of a bucket above which a VM gets credit for its coming requests."""


@dataclass(slots=True)
class _Grant:
    """Amount granted at a time, and the level of the bucket before it."""

    at: float
    amount: float
    level_before: float


class UsageBucket:
    """Grants of one allocator; all times are seconds on its ``boottime`` clock.

    Nobody else has granted from ``since`` on. The bucket is empty then, so that
    successive allocators together grant no more than one. A request of at most
    ``max_burst`` takes what the bucket holds. A larger one needs a full bucket, and a
    window whose grants are all known and leave room for it; the debt that it leaves may
    be the predecessor's as well.
    """

    def __init__(self, allowance: DomainAllowance, since: float) -> None:
        self._allowance = allowance
        self._since = since
        self._at = since
        self._level = -allowance.max_debt
        self._granted: deque[_Grant] = deque()
        self._granted_sum = 0.0
        self._changed_at = since
        self._last_retry_at = -math.inf

    def change(self, allowance: DomainAllowance, now: float) -> None:
        """Put another allowance in force; what was gathered so far stays."""
        self._refill(now)
        self._allowance = allowance
        self._changed_at = now
        self._level = min(self._level, self._allowance.capacity)

    def take(self, cost: float, demand_per_s: float, now: float) -> float:
        """Return the amount granted: ``cost`` or more, 0 if the request is refused.

        While much is left, a VM gets credit for the whole requests that it will admit
        within the lifetime of credit.
        """
        self._refill(now)
        if self.wait_s(cost, now) > 0.0:
            return 0.0
        granted = cost + self._credit_ahead(cost, demand_per_s)
        self._granted.append(_Grant(now, granted, self._level))
        self._level -= granted
        self._granted_sum += granted
        return granted

    def give_back(self, granted_at: float, amount: float, now: float) -> None:
        """Take back a part of a grant by which nothing was or will be sent.

        The bucket is then at most where it would be without that part: what it could
        not have held, since it was nearly full after the grant, is not given back. So
        the later grants are those of a bucket that never made it. A grant before a
        change of the allowance is not taken back, since it is not known what the level
        would have been.
        """
        self._refill(now)
        known = enumerate(self._granted)
        index = next((n for n, grant in known if grant.at == granted_at), None)
        if index is None or granted_at <= self._changed_at:
            return
        amount = max(0.0, min(amount, self._granted[index].amount))
        capacity = self._allowance.capacity
        highest = self._level
        for later in islice(self._granted, index + 1, None):
            highest = max(highest, later.level_before)
            later.level_before = min(capacity, later.level_before + amount)
        self._granted[index].amount -= amount
        self._granted_sum -= amount
        self._level += min(amount, max(0.0, capacity - highest))

    def _credit_ahead(self, cost: float, demand_per_s: float) -> float:
        if cost <= 0.0:
            return 0.0
        requests = math.floor(demand_per_s * CREDIT_TTL_S / cost)
        spare = self._level - cost - HIGH_LEVEL_SHARE * self._allowance.capacity
        return min(requests, max(0, math.floor(spare / cost))) * cost

    def retry_in_s(self, cost: float, now: float) -> float:
        """Return when a refused request can be served, after those refused before."""
        self._refill(now)
        wait_s = self.wait_s(cost, now)
        if math.isinf(wait_s):
            return self._allowance.window_s
        interval_s = cost / max(self._allowance.total_rate_per_s, EPSILON)
        retry_at = max(now + wait_s, self._last_retry_at + interval_s)
        retry_at = min(retry_at, now + wait_s + MAX_SPREAD_S)
        self._last_retry_at = retry_at
        return retry_at - now

    def _refill(self, now: float) -> None:
        self._level = self._level_at(now)
        self._at = max(self._at, now)
        while self._granted and self._granted[0].at < now - self._allowance.window_s:
            self._granted_sum -= self._granted.popleft().amount
        if not self._granted:
            self._granted_sum = 0.0

    def _level_at(self, now: float) -> float:
        gained = self._allowance.rate_per_s * max(0.0, now - self._at)
        return min(self._allowance.capacity, self._level + gained)

    def wait_s(self, cost: float, now: float) -> float:
        """Return the time until a request of this cost may be granted, 0 if now.

        It is infinite if the request costs more than may ever be granted. Nothing
        changes by the call.
        """
        allowance = self._allowance
        if cost > allowance.max_burst + allowance.max_debt:
            return math.inf
        wait_s = max(0.0, self._since + QUIET_S - now)
        missing = min(cost, allowance.capacity) - self._level_at(now)
        if missing > EPSILON:
            if allowance.rate_per_s <= 0.0:
                return math.inf
            wait_s = max(wait_s, missing / allowance.rate_per_s)
        if cost > allowance.max_burst:
            wait_s = max(wait_s, self._window_wait_s(cost, now))
        return wait_s

    def _window_wait_s(self, cost: float, now: float) -> float:
        """Return the time until a window has room for a large request."""
        allowance = self._allowance
        if cost > allowance.window_limit:
            return math.inf
        known_in_s = self._since + allowance.window_s - now
        excess = self._granted_sum + cost - allowance.window_limit
        for grant in self._granted:
            if excess <= EPSILON:
                break
            excess -= grant.amount
            known_in_s = max(known_in_s, grant.at + allowance.window_s - now)
        return max(0.0, known_in_s)
