"""Which entry VM may give orders to a runner, and when."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash

SHARES = 96
"""Shares that the runners are divided into; as many as owners there can be."""


def share_of(runner_id: str) -> int:
    """Return the share of runners that a runner belongs to."""
    return xxhash.xxh3_64_intdigest(runner_id.encode()) % SHARES


@dataclass(frozen=True, slots=True)
class Assignment:
    """Answer of the store to a membership renewal."""

    generation: int
    shares: frozenset[int]


@dataclass(frozen=True, slots=True)
class Owner:
    """Member that holds a share, with its address for peers."""

    vm: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Holder:
    """Member that holds or held a share, at a generation."""

    vm: str
    generation: int

    def covers(self, held: Holder) -> bool:
        """Tell whether a release by this holder ends the holding ``held``."""
        return self.vm == held.vm and self.generation >= held.generation


class OwnershipState:
    """Lease on shares of the runners, renewed through the store.

    A new owner waits until every earlier lease on its share has surely run out and no
    order of the earlier owner is recent, or until the earlier owner says that it has
    stopped. Its fencing token is the generation at which it got the share. All times
    are seconds on a clock that also counts while the VM is suspended.
    """

    def __init__(self, ttl_s: float, margin_s: float, turn_s: float) -> None:
        """Start without shares; two owners may not take turns within ``turn_s``."""
        self._ttl_s = ttl_s
        self._margin_s = margin_s
        self._turn_s = turn_s
        self._lost_at: dict[int, float] = {}
        self._orders_from: dict[int, float] = {}
        self._tokens: dict[int, int] = {}
        self._awaited: dict[int, Holder] = {}
        self._releases: dict[int, Holder] = {}
        self._lease_deadline = float("-inf")
        self.generation = 0

    def resume(self, shares: set[int], now: float) -> None:
        """Take up shares that this VM held before its process was replaced.

        Orders have to wait for the first renewal, which tells the generation.
        """
        self._orders_from = dict.fromkeys(shares, now)
        self._lease_deadline = now + self._ttl_s - self._margin_s

    def renew(
        self,
        assignment: Assignment,
        earlier: Mapping[int, Holder],
        asked_at: float,
        now: float,
    ) -> frozenset[int] | None:
        """Take in an answer to a renewal; return the shares lost, None if as before.

        ``earlier`` has the last known holders of the shares.
        """
        before = set(self._orders_from)
        if now > self._lease_deadline and assignment.generation != self.generation:
            self._lost_at.update(dict.fromkeys(self._orders_from, now))
            # Another VM may have held the shares meanwhile.
            self._orders_from.clear()
            self._awaited.clear()
            self._tokens.clear()
        changed = assignment.generation != self.generation
        self.generation = max(self.generation, assignment.generation)
        for share in assignment.shares - self._orders_from.keys():
            self._gain(share, earlier.get(share), now)
        lost = frozenset(self._orders_from.keys() - assignment.shares)
        for share in lost:
            del self._orders_from[share]
            self._lost_at[share] = now
            self._awaited.pop(share, None)
            self._tokens.pop(share, None)
        for share in assignment.shares:
            self._tokens.setdefault(share, self.generation)
        self._lease_deadline = asked_at + self._ttl_s - self._margin_s
        return lost if changed or before != assignment.shares else None

    def extend(self, now: float, until: float) -> None:
        """Keep an unbroken lease in force while no member can reach the store."""
        if now < self._lease_deadline:
            self._lease_deadline = max(self._lease_deadline, until)

    def _gain(self, share: int, holder: Holder | None, now: float) -> None:
        self._orders_from[share] = now + self._ttl_s
        if holder is None:
            return
        release = self._releases.get(share)
        if release is not None and release.covers(holder):
            self._orders_from[share] = self._earliest(share, now)
        else:
            self._awaited[share] = holder

    def _earliest(self, share: int, now: float) -> float:
        """Return when orders may begin again if no other owner is left.

        A VM that takes a share back soon would take turns with the owner between.
        """
        lost_at = self._lost_at.get(share, float("-inf"))
        return max(now, lost_at + self._turn_s)

    def hear_release(self, release: Holder, shares: Iterable[int], now: float) -> None:
        """Take in the word of an earlier owner that it gives no more orders."""
        for share in shares:
            self._releases[share] = release
            awaited = self._awaited.get(share)
            if awaited is not None and release.covers(awaited):
                self._orders_from[share] = self._earliest(share, now)
                del self._awaited[share]

    def lose(self) -> frozenset[int]:
        """Give up every share at once; return them."""
        shares = frozenset(self._orders_from)
        self._orders_from.clear()
        self._awaited.clear()
        self._tokens.clear()
        self._lease_deadline = float("-inf")
        return shares

    def holds(self, runner_id: str, now: float) -> bool:
        """Tell whether the runner belongs to this VM, orders allowed or not."""
        return share_of(runner_id) in self._orders_from and now < self._lease_deadline

    def fencing_token(self, runner_id: str, now: float) -> int | None:
        """Return the token for an order sent now, None if none may be sent.

        It stays the same while the share is held, so that an order that is held up on
        the way does not arrive with a lower one than its successor.
        """
        share = share_of(runner_id)
        orders_from = self._orders_from.get(share)
        if orders_from is None or now < orders_from or now >= self._lease_deadline:
            return None
        return self._tokens.get(share)

    def orders_in_s(self, runner_id: str, now: float) -> float:
        """Return the seconds until orders to a runner are allowed, if renewed."""
        orders_from = self._orders_from.get(share_of(runner_id), now)
        return max(0.0, orders_from - now)

    def lease_left_s(self, now: float) -> float:
        """Return the seconds until the lease runs out."""
        return self._lease_deadline - now
