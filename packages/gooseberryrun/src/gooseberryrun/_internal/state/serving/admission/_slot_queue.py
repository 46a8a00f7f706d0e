"""Slots of one plain server, granted to the requests of all VMs in a fair order.

Made for loads in which many VMs want more of a server than its slots: a request that
waits at the server itself is served in the order of arrival, whatever its account and
urgency, and costs its target. So the requests wait here, at most until they would be
late, and those that would wait for longer are refused at once.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ._fair_order import (
    NO_WEIGHTS,
    Claim,
    FairShares,
    Rank,
    choose_displaced,
    weight_of,
)
from ._slot_claims import SlotChanges, SlotClaim, SlotDecision, SlotOutcome

EXTRA_SLOT_SHARE = 1 / 3
"""Requests in the server's own queue, as a share of its slots: a slot would be idle
for the time of three messages (release, grant, request) after each request."""
MAX_WAITING = 64
"""Largest number of requests that wait for one server."""
DEFAULT_WORK_S = 0.05
"""Time of a request at a server before any was measured."""
MAX_WORK_S = 5.0
"""Longest time that one request counts for in the mean, as after a suspension."""
MIN_WORK_S = 0.001
"""Shortest mean time, so that the order of waiting requests has a scale."""
MAX_EXCESS = 10.0
"""Largest correction of a charge, in requests of the mean time."""
WORK_WEIGHT = 0.1
"""Weight of the newest time in the mean."""
LATE_WAIT_SHARE = 0.5
"""Share of the time left that a request may wait that will be late in any case."""
CREDIT = 4.0
"""Requests by which an account below its share may run ahead: arrivals come in bunches,
and without it the second of two would wait for one request of each other account."""
OVERTAKEN_SLACK = 2.0
"""Mean intervals by which a claim has to be late before it is refused for those that
overtook it, since the expected times are inexact."""
MAX_RETRY_S = 2.0
"""Longest time until a refused request may come again; clients do not wait longer."""


@dataclass(frozen=True, slots=True)
class _Waiting:
    """Claim that waits until ``latest_at`` for its grant."""

    claim: SlotClaim
    number: int
    latest_at: float
    is_late: bool


@dataclass(slots=True)
class _Grant:
    """Slot in use; the server works on it from ``started_at`` on, by its slots."""

    claim: SlotClaim
    started_at: float | None


class SlotQueue:
    """Grants and waiting claims of one server; all times are seconds on one clock."""

    def __init__(self, slots: int, weights: Mapping[str, float] = NO_WEIGHTS) -> None:
        self._slots = max(1, slots)
        self._weights = weights
        self._grants: dict[tuple[str, int], _Grant] = {}
        self._waiting: dict[tuple[str, int], _Waiting] = {}
        self._shares = FairShares(CREDIT, weights)
        self._retry_at: dict[tuple[int, str], float] = {}
        self._number = 0
        self._work_s = DEFAULT_WORK_S
        self.used_at = -math.inf

    def resize(self, slots: int) -> None:
        """Set the number of the server's slots."""
        self._slots = max(1, slots)

    @property
    def limit(self) -> int:
        """Return the largest number of grants at a time."""
        return self._slots + max(1, math.ceil(self._slots * EXTRA_SLOT_SHARE))

    @property
    def in_use(self) -> int:
        """Return the number of grants."""
        return len(self._grants)

    @property
    def waiting(self) -> int:
        """Return the number of claims that wait."""
        return len(self._waiting)

    @property
    def interval_s(self) -> float:
        """Return the mean time between two ends of requests while all slots work."""
        return self._work_s / self._slots

    def ask(self, claim: SlotClaim, now: float) -> SlotDecision:
        """Grant a claim, let it wait, or refuse it; call ``advance`` before."""
        self.used_at = now
        if self.in_use < self.limit and not self._waiting:
            self._grant(claim, now)
            is_full = self.in_use >= self.limit
            return SlotDecision(
                SlotOutcome.GRANTED, self.interval_s if is_full else 0.0
            )
        new = self._make_waiting(claim, now)
        queue = [*self._waiting.values(), new]
        claims = [self._claim(waiting) for waiting in queue]
        ranks = self._shares.ranks(claims)
        ahead = sum(rank < ranks[-1] for rank in ranks)
        wait_s = (ahead + 1) * self.interval_s
        if now + wait_s > new.latest_at:
            return self._refuse(claim, wait_s, now)
        if wait_s > claim.max_wait_s:
            return SlotDecision(SlotOutcome.BUSY, wait_s)
        displaced = []
        if len(self._waiting) >= MAX_WAITING:
            index = choose_displaced(claims[:-1], ranks[:-1], claims[-1], self._weights)
            if index is None:
                return self._refuse(claim, wait_s, now)
            displaced.append(queue[index].claim)
        self._waiting[claim.key] = new
        displaced += self._overtaken(ranks, queue, now)
        for other in displaced:
            self._waiting.pop(other.key, None)
        return SlotDecision(
            SlotOutcome.WAITING, wait_s + self.interval_s, displaced=tuple(displaced)
        )

    def _overtaken(
        self, ranks: list[Rank], queue: list[_Waiting], now: float
    ) -> list[SlotClaim]:
        """Return the claims that would be late behind the newest, the last one."""
        found = []
        position = 0
        for rank, waiting in sorted(zip(ranks, queue, strict=True), key=lambda p: p[0]):
            position += 1
            wait_s = position * self.interval_s
            is_behind = rank > ranks[-1]
            latest_at = waiting.latest_at + OVERTAKEN_SLACK * self.interval_s
            if is_behind and now + wait_s > latest_at:
                found.append(waiting.claim)
                position -= 1
        return found

    def _make_waiting(self, claim: SlotClaim, now: float) -> _Waiting:
        """Return a claim with the latest time of its grant."""
        self._number += 1
        finish_s = self.interval_s * self.limit
        latest_at = claim.due_at - finish_s
        if latest_at > now:
            return _Waiting(claim, self._number, latest_at, is_late=False)
        latest_at = now + LATE_WAIT_SHARE * (claim.ends_at - now)
        return _Waiting(claim, self._number, latest_at, is_late=True)

    def _claim(self, waiting: _Waiting) -> Claim:
        claim = waiting.claim
        return Claim(
            claim.account,
            claim.priority,
            waiting.is_late,
            1.0,
            waiting.number,
            claim.is_early,
        )

    def _refuse(self, claim: SlotClaim, wait_s: float, now: float) -> SlotDecision:
        retry_in_s = self.next_retry_s(claim, wait_s, now)
        return SlotDecision(SlotOutcome.REFUSED, wait_s, retry_in_s)

    def next_retry_s(self, claim: SlotClaim, wait_s: float, now: float) -> float:
        """Return when a refused claim may come again.

        The times of one account follow one another at the rate of its share, so that
        its refused requests do not all return at once.
        """
        self._retry_at = {k: at for k, at in self._retry_at.items() if at > now}
        key = (claim.priority, claim.account)
        accounts = {waiting.claim.account for waiting in self._waiting.values()}
        accounts.update(grant.claim.account for grant in self._grants.values())
        accounts.add(claim.account)
        total = sum(weight_of(self._weights, name) for name in accounts)
        share_s = self.interval_s * total / weight_of(self._weights, claim.account)
        follows_at = self._retry_at.get(key, -math.inf) + share_s
        retry_at = max(now + wait_s, follows_at)
        self._retry_at[key] = min(retry_at, now + MAX_RETRY_S)
        return self._retry_at[key] - now

    def _grant(self, claim: SlotClaim, now: float) -> None:
        self._shares.charge(claim.priority, claim.account, 1.0)
        started_at = now if self.in_use < self._slots else None
        self._grants[claim.key] = _Grant(claim, started_at)

    def release(self, vm: str, ticket: int, is_answered: bool, now: float) -> None:
        """End a grant or withdraw a claim; only answered requests are measured."""
        self.used_at = now
        self._waiting.pop((vm, ticket), None)
        grant = self._end_grant((vm, ticket), now)
        if grant is None or grant.started_at is None or not is_answered:
            return
        used_s = min(MAX_WORK_S, now - grant.started_at)
        excess = min(MAX_EXCESS, used_s / self._work_s - 1.0)
        self._shares.correct(grant.claim.priority, grant.claim.account, excess)
        work_s = self._work_s + WORK_WEIGHT * (used_s - self._work_s)
        self._work_s = max(MIN_WORK_S, work_s)

    def _end_grant(self, key: tuple[str, int], now: float) -> _Grant | None:
        """Remove a grant; the server begins with the next one in its own queue."""
        grant = self._grants.pop(key, None)
        if grant is None or grant.started_at is None:
            return grant
        for queued in self._grants.values():
            if queued.started_at is None:
                queued.started_at = now
                break
        return grant

    def advance(self, now: float) -> SlotChanges:
        """End what has expired, and grant the free slots in the fair order."""
        for key, grant in list(self._grants.items()):
            if grant.claim.ends_at <= now:
                self._end_grant(key, now)
        expired = [w.claim for w in self._waiting.values() if w.latest_at <= now]
        for claim in expired:
            del self._waiting[claim.key]
        granted = []
        while self._waiting and self.in_use < self.limit:
            claim = self._first().claim
            del self._waiting[claim.key]
            self._grant(claim, now)
            granted.append(claim)
        return SlotChanges(granted, expired)

    def _first(self) -> _Waiting:
        """Return the claim that is served next."""
        waiting = list(self._waiting.values())
        ranks: list[Rank] = self._shares.ranks([self._claim(w) for w in waiting])
        return min(zip(ranks, waiting, strict=True), key=lambda pair: pair[0])[1]

    def next_change_at(self) -> float | None:
        """Return when ``advance`` has to be called next, None while nothing waits."""
        if not self._waiting:
            return None
        latest = (waiting.latest_at for waiting in self._waiting.values())
        ends = (grant.claim.ends_at for grant in self._grants.values())
        return min((*latest, *ends))

    def clear(self) -> Iterable[SlotClaim]:
        """Remove and return the claims that wait."""
        waiting, self._waiting = self._waiting, {}
        return [w.claim for w in waiting.values()]
