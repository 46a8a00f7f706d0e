"""Claims on slots of a plain server, and the decisions about them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class SlotClaim:
    """Request for a slot, identified by its VM and the VM's ticket.

    Its response is late after ``due_at``, and its attempt ends at ``ends_at`` at the
    latest. It is refused if its wait is expected to be over ``max_wait_s``.
    ``is_early`` is set if its caller repeats it before the time named by a refusal.
    """

    vm: str
    ticket: int
    request_id: str
    account: str
    priority: int
    due_at: float
    ends_at: float
    max_wait_s: float = math.inf
    is_early: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Return the key that identifies the claim at its server."""
        return self.vm, self.ticket


class SlotOutcome(StrEnum):
    """Decision about a claim."""

    GRANTED = "granted"
    WAITING = "waiting"
    REFUSED = "refused"
    """It cannot be granted in time."""
    BUSY = "busy"
    """It could be granted in time, though not within the wait that it allows."""


@dataclass(frozen=True, slots=True)
class SlotDecision:
    """Decision about a claim, and the claims that are refused because of it.

    ``wait_s`` is the expected wait of the account's next request, ``retry_in_s`` the
    time after which a refused one may come again.
    """

    outcome: SlotOutcome
    wait_s: float
    retry_in_s: float = 0.0
    displaced: tuple[SlotClaim, ...] = ()


@dataclass(frozen=True, slots=True)
class SlotChanges:
    """Claims that got a slot, and claims that would be late by now."""

    granted: list[SlotClaim]
    expired: list[SlotClaim]
