"""Which entry VM may give orders to a runner, and when."""

from __future__ import annotations

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


class OwnershipState:
    """Lease on shares of the runners, renewed through the store.

    A new owner waits until every earlier lease on its share has surely run out and no
    order of the earlier owner is recent; its fencing token is the generation.
    All times are seconds on a clock that also counts while the VM is suspended.
    """

    def __init__(self, ttl_s: float, margin_s: float, turn_s: float) -> None:
        self._ttl_s = ttl_s
        self._margin_s = margin_s
        self._wait_s = ttl_s + turn_s
        self._orders_from: dict[int, float] = {}
        self._lease_deadline = float("-inf")
        self.generation = 0

    def renew(self, assignment: Assignment, asked_at: float, now: float) -> bool:
        """Take in an answer to a renewal; return whether the shares changed."""
        before = set(self._orders_from)
        if now > self._lease_deadline:
            # Another VM may have held the shares meanwhile.
            self._orders_from.clear()
        changed = assignment.generation != self.generation
        self.generation = max(self.generation, assignment.generation)
        self._orders_from = {
            share: self._orders_from.get(share, now + self._wait_s)
            for share in assignment.shares
        }
        self._lease_deadline = asked_at + self._ttl_s - self._margin_s
        return changed or before != set(assignment.shares)

    def lose(self) -> None:
        """Give up every share at once."""
        self._orders_from.clear()
        self._lease_deadline = float("-inf")

    def holds(self, runner_id: str, now: float) -> bool:
        """Tell whether the runner belongs to this VM, orders allowed or not."""
        return share_of(runner_id) in self._orders_from and now < self._lease_deadline

    def fencing_token(self, runner_id: str, now: float) -> int | None:
        """Return the token for an order sent now, None if none may be sent."""
        orders_from = self._orders_from.get(share_of(runner_id))
        if orders_from is None or now < orders_from or now >= self._lease_deadline:
            return None
        return self.generation

    def orders_in_s(self, runner_id: str, now: float) -> float:
        """Return the seconds until orders to a runner are allowed, if renewed."""
        orders_from = self._orders_from.get(share_of(runner_id), now)
        return max(0.0, orders_from - now)

    def lease_left_s(self, now: float) -> float:
        """Return the seconds until the lease runs out."""
        return self._lease_deadline - now
