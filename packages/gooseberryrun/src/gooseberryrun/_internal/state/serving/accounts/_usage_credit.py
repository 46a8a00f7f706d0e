"""Credit of an account at one entry VM, and the permits of requests made of it.

Made for VMs that stop and go on, lose answers or serve slowly: credit and permits are
deadlines on a clock that counts suspensions, reckoned from before the VM asked. What is
not used by then is lost, never used later.
"""

from __future__ import annotations

import math
from collections import deque

import msgspec

from ._accounts import UsageUnit
from ._usage_limits import CREDIT_TTL_S, MAX_SEND_LAG_S

DEMAND_TIME_S = 1.0
"""Time constant of the measured demand."""
EPSILON = 1e-6
"""Units by which sums of amounts may differ by rounding."""


class UsagePermit(msgspec.Struct, frozen=True):
    """Permission to send one request of an account, which costs ``cost`` units.

    The VM asked for it at ``asked_at`` and was granted it after that.
    """

    account: str
    unit: UsageUnit
    cost: float
    asked_at: float

    def is_valid(self, now: float) -> bool:
        """Return whether a request may be sent by the permit."""
        return now <= self.asked_at + MAX_SEND_LAG_S


class AccountCredit:
    """Credit of one account that this VM holds; times are ``boottime`` seconds."""

    def __init__(self, account: str, unit: UsageUnit) -> None:
        self._account = account
        self._unit = unit
        self._entries: deque[tuple[float, float]] = deque()

    def add(self, amount: float, asked_at: float) -> None:
        """Add an amount that was granted after ``asked_at``."""
        self._entries.append((asked_at, amount))

    @property
    def account(self) -> str:
        """Return the account's name."""
        return self._account

    def available(self, now: float) -> float:
        """Return how much credit may be used now."""
        return sum(a for asked_at, a in self._entries if now <= asked_at + CREDIT_TTL_S)

    def covers(self, cost: float, now: float) -> bool:
        """Return whether ``take`` would return a permit."""
        return self.available(now) >= cost - EPSILON

    def take(self, cost: float, now: float) -> UsagePermit | None:
        """Return a permit, made of the oldest credit; None if there is too little."""
        self._entries = deque(
            sorted(e for e in self._entries if now <= e[0] + CREDIT_TTL_S)
        )
        if not self.covers(cost, now):
            return None
        first_asked_at = self._entries[0][0] if self._entries else now
        missing = cost
        while missing > EPSILON and self._entries:
            asked_at, amount = self._entries.popleft()
            if amount > missing + EPSILON:
                self._entries.appendleft((asked_at, amount - missing))
            missing -= amount
        return UsagePermit(self._account, self._unit, cost, first_asked_at)

    def give_back(self, permit: UsagePermit, now: float) -> None:
        """Take back a permit by which nothing was sent.

        It is credit again, until the deadline that it had as credit.
        """
        is_of_account = (permit.account, permit.unit) == (self._account, self._unit)
        if is_of_account and now <= permit.asked_at + CREDIT_TTL_S:
            self.add(permit.cost, permit.asked_at)


class DemandMeter:
    """Units a second that an account's callers ask this VM for."""

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._at = 0.0

    def record(self, cost: float, now: float) -> None:
        """Count a request."""
        self._rate_per_s = self.per_s(now) + cost / DEMAND_TIME_S
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the demand of the last seconds."""
        return self._rate_per_s * math.exp(-max(0.0, now - self._at) / DEMAND_TIME_S)


class SeparatedUsage:
    """Usage of one account that this VM has allowed itself without an allocator."""

    def __init__(self) -> None:
        self._taken: deque[tuple[float, float]] = deque()

    def try_take(
        self, cost: float, allowance: float, window_s: float, now: float
    ) -> bool:
        """Take an amount if the window that ends now keeps within the allowance."""
        while self._taken and self._taken[0][0] < now - window_s - MAX_SEND_LAG_S:
            self._taken.popleft()
        if not self.can_take(cost, allowance, window_s, now):
            return False
        self._taken.append((now, cost))
        return True

    def can_take(
        self, cost: float, allowance: float, window_s: float, now: float
    ) -> bool:
        """Return whether ``try_take`` would take an amount."""
        since = now - window_s - MAX_SEND_LAG_S
        taken = sum(amount for at, amount in self._taken if at >= since)
        return taken + cost <= allowance
