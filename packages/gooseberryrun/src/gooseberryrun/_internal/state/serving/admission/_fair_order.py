"""Order in which waiting requests of several client accounts are served.

Made for loads in which one account wants several times its usual share while the others
want theirs: accounts with waiting requests get equal shares of the capacity, whatever
the number of their requests. A less urgent request never precedes a more urgent one.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType

MAX_CLASSES = 16
"""Number of priorities above which all charges are forgotten; it is far above that of
any configuration, and bounds what wrong messages can make this VM keep."""
MIN_PRUNED = 32
"""Number of accounts from which on those without a recent charge are dropped."""

NO_WEIGHTS: Mapping[str, float] = MappingProxyType({})
"""Equal weights of all accounts."""
DEFAULT_WEIGHT = 1.0
"""Weight of an account without one of its own."""


def weight_of(weights: Mapping[str, float], account: str) -> float:
    """Return the weight of an account."""
    return weights.get(account, DEFAULT_WEIGHT)


Rank = tuple[int, int, float, float]
"""Sort key of a waiting request; the smallest is served first."""


@dataclass(frozen=True, slots=True)
class Claim:
    """Waiting request's account, priority, and cost in units of the shared capacity.

    ``is_late`` is set if the response will be late in any case, ``is_early`` if its
    caller repeats it before the time named by a refusal. ``order`` sorts the requests
    of one account that are equal otherwise.
    """

    account: str
    priority: int
    is_late: bool
    cost: float
    order: float
    is_early: bool = False

    @property
    def rank_in_class(self) -> int:
        """Return the rank within a priority that comes before that of accounts."""
        return 2 * self.is_early + self.is_late


@dataclass(slots=True)
class _ClassShares:
    """Virtual time of one priority, and the end of each account's last charge."""

    credit: float
    virtual: float = 0.0
    finishes: dict[str, float] = field(default_factory=dict)
    prune_above: int = MIN_PRUNED

    def start(self, account: str) -> float:
        """Return the virtual start of an account's next request."""
        earliest = self.virtual - self.credit
        return max(earliest, self.finishes.get(account, earliest))

    def charge(self, account: str, cost: float, waiting: Iterable[str]) -> None:
        """Charge an account for a request that is served now."""
        start = self.start(account)
        least = min((self.start(other) for other in waiting), default=start)
        self.virtual = max(self.virtual, min(start, least))
        self.finishes[account] = start + cost
        if len(self.finishes) > self.prune_above:
            # An account whose last charge has ended starts like one without any.
            self.finishes = {
                a: f for a, f in self.finishes.items() if f > self.virtual - self.credit
            }
            self.prune_above = max(MIN_PRUNED, 2 * len(self.finishes))


class FairShares:
    """Start-time fair queueing over accounts, separately for each priority.

    The virtual start of a request is the larger of the virtual time and the end of its
    account's last request. It is computed when the order is needed and only charged for
    requests that are served, so that one that leaves the queue costs its account
    nothing.
    """

    def __init__(
        self, credit: float, weights: Mapping[str, float] = NO_WEIGHTS
    ) -> None:
        """``credit`` is the cost by which an account may run ahead after a pause.

        A cost counts divided by the weight of its account.
        """
        self._credit = credit
        self._weights = weights
        self._classes: dict[int, _ClassShares] = {}

    def ranks(self, claims: Sequence[Claim]) -> list[Rank]:
        """Return the sort key of each claim, given all that wait."""
        ends: dict[tuple[int, str], float] = {}
        ranks: dict[int, Rank] = {}
        indices = sorted(range(len(claims)), key=lambda n: _own_order(claims[n]))
        for index in indices:
            claim = claims[index]
            key = (claim.priority, claim.account)
            start = ends[key] if key in ends else self._start(*key)
            ends[key] = start + claim.cost / weight_of(self._weights, claim.account)
            ranks[index] = (claim.priority, claim.rank_in_class, start, claim.order)
        return [ranks[index] for index in range(len(claims))]

    def _start(self, priority: int, account: str) -> float:
        shares = self._classes.get(priority)
        return shares.start(account) if shares else -self._credit

    def charge(
        self, priority: int, account: str, cost: float, waiting: Iterable[str] = ()
    ) -> None:
        """Charge an account for a request that is served now.

        ``waiting`` are the accounts of the same priority that still wait, where
        requests may be served out of order. The virtual time does not pass their
        starts, since they would lose what they are behind the account served.
        """
        if priority not in self._classes and len(self._classes) >= MAX_CLASSES:
            self._classes.clear()
        self._classes.setdefault(priority, _ClassShares(self._credit)).charge(
            account, cost / weight_of(self._weights, account), waiting
        )

    def correct(self, priority: int, account: str, by: float) -> None:
        """Correct an earlier charge by the difference to what was used."""
        shares = self._classes.get(priority)
        if shares and account in shares.finishes:
            shares.finishes[account] += by / weight_of(self._weights, account)


def _own_order(claim: Claim) -> tuple[int, int, float]:
    return claim.priority, claim.rank_in_class, claim.order


def choose_displaced(
    claims: Sequence[Claim],
    ranks: Sequence[Rank],
    new: Claim,
    weights: Mapping[str, float] = NO_WEIGHTS,
) -> int | None:
    """Return the index of the claim that makes way for a new one in a full queue.

    That is the last of the least urgent class if it is less urgent than the new claim,
    the last early repetition there if the new claim is none, or the last of the account
    with the most claims there by its weight. That account has at least two more than
    the new claim's account if both have the same weight, and still has no fewer by
    weight without the claim. Returns None if the new claim has to be refused.
    """
    least_urgent = max(claim.priority for claim in claims)
    if least_urgent < new.priority:
        return None
    indices = [n for n, claim in enumerate(claims) if claim.priority == least_urgent]
    if least_urgent > new.priority:
        return max(indices, key=lambda n: ranks[n])
    early = [n for n in indices if claims[n].is_early]
    if early and not new.is_early:
        return max(early, key=lambda n: ranks[n])
    if new.is_early:
        indices = early
        if not indices:
            return None
    counts = Counter(claims[n].account for n in indices)

    def load(name: str, more: int = 0) -> float:
        return (counts[name] + more) / weight_of(weights, name)

    account = max(counts, key=lambda name: (load(name), name))
    if account == new.account or load(account, -1) < load(new.account, 1):
        return None
    return max(
        (n for n in indices if claims[n].account == account), key=lambda n: ranks[n]
    )
