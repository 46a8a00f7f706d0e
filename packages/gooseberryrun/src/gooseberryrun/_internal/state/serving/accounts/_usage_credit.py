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
from ._usage_limits import CREDIT_TTL_S, EPSILON, MAX_SEND_LAG_S

DEMAND_TIME_S = 1.0
"""Time constant of the measured demand."""


class GrantPart(msgspec.Struct, frozen=True):
    """Part of what a domain's allocator granted at a time on its clock."""

    domain: str
    granted_at: float
    amount: float


class _Credit(msgspec.Struct, frozen=True):
    """Amount that this VM asked for at a time; ``grant`` is None without one."""

    asked_at: float
    amount: float
    grant: tuple[str, float] | None


class UsagePermit(msgspec.Struct, frozen=True):
    """Permission to send one request of an account, which costs ``cost`` units.

    The VM asked for it at ``asked_at`` and was granted it after that, in ``parts``.
    """

    account: str
    unit: UsageUnit
    cost: float
    asked_at: float
    parts: tuple[GrantPart, ...] = ()

    def is_valid(self, now: float) -> bool:
        """Return whether a request may be sent by the permit."""
        return now <= self.asked_at + MAX_SEND_LAG_S


class AccountCredit:
    """Credit of one account that this VM holds; times are ``boottime`` seconds."""

    def __init__(self, account: str, unit: UsageUnit) -> None:
        self._account = account
        self._unit = unit
        self._entries: deque[_Credit] = deque()

    def add(
        self, amount: float, asked_at: float, grant: tuple[str, float] | None = None
    ) -> None:
        """Add an amount that was granted after ``asked_at``.

        ``grant`` is the domain of the allocator and the time on its clock.
        """
        self._entries.append(_Credit(asked_at, amount, grant))

    @property
    def account(self) -> str:
        """Return the account's name."""
        return self._account

    def available(self, now: float) -> float:
        """Return how much credit may be used now."""
        entries = self._entries
        return sum(e.amount for e in entries if now <= e.asked_at + CREDIT_TTL_S)

    def covers(self, cost: float, now: float) -> bool:
        """Return whether ``take`` would return a permit."""
        return self.available(now) >= cost - EPSILON

    def take(self, cost: float, now: float) -> UsagePermit | None:
        """Return a permit, made of the oldest credit; None if there is too little."""
        self._entries = deque(
            sorted(
                (e for e in self._entries if now <= e.asked_at + CREDIT_TTL_S),
                key=lambda entry: entry.asked_at,
            )
        )
        if not self.covers(cost, now):
            return None
        first_asked_at = self._entries[0].asked_at if self._entries else now
        missing = cost
        parts = []
        while missing > EPSILON and self._entries:
            entry = self._entries.popleft()
            used = min(entry.amount, missing)
            if entry.amount > missing + EPSILON:
                rest = msgspec.structs.replace(entry, amount=entry.amount - missing)
                self._entries.appendleft(rest)
            if entry.grant is not None:
                parts.append(GrantPart(*entry.grant, used))
            missing -= entry.amount
        return UsagePermit(
            self._account, self._unit, cost, first_asked_at, tuple(parts)
        )

    def give_back(self, permit: UsagePermit, now: float) -> None:
        """Take back a permit by which nothing was sent.

        It is credit again, until the deadline that it had as credit.
        """
        is_of_account = (permit.account, permit.unit) == (self._account, self._unit)
        if is_of_account and now <= permit.asked_at + CREDIT_TTL_S:
            for part in permit.parts:
                grant = (part.domain, part.granted_at)
                self.add(part.amount, permit.asked_at, grant)
            known = sum(part.amount for part in permit.parts)
            if permit.cost - known > EPSILON:
                self.add(permit.cost - known, permit.asked_at)


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
