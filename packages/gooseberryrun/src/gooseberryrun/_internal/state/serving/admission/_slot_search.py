"""One request's search for a slot of a plain server.

Made for loads in which the servers of a service are unequally full and each VM's
figures of them are old: a request first looks for a server where it need not wait, then
waits at the one with the shortest wait. The number of its messages is bounded.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

MAX_ASKS = 5
"""Largest number of requests for a slot on behalf of one request of a caller."""
LAST_ASKS = 2
"""Number of the asks that are kept for waiting."""
TARGET_SHARE = 0.85
"""Share of the target latency that may pass until the response is read here; the rest
is for the response to reach the caller, and for work that takes longer than usual."""
PROBE_SHARE = 0.1
"""Longest wait at a server while others have not been asked, as a share of the target:
a shorter wait is not worth another message."""


@dataclass(frozen=True, slots=True)
class SlotHold:
    """Slot that a request has at a server, granted by a VM under a ticket."""

    server: str
    granter: str
    ticket: int


@dataclass(slots=True)
class SlotSearch:
    """Asks of one request so far, and the earliest time at which it may come again."""

    asks: int = 0
    probed: set[str] = field(default_factory=set)
    retry_at: float = math.inf
    hold: SlotHold | None = None

    @property
    def is_spent(self) -> bool:
        """Return whether no server may be asked any more."""
        return self.asks >= MAX_ASKS

    def begin(self, server: str, servers: int, target_s: float) -> float:
        """Begin to ask for a slot; return the longest wait to allow there."""
        is_first = server not in self.probed
        may_probe = servers > 1 and self.asks < MAX_ASKS - LAST_ASKS
        self.asks += 1
        self.probed.add(server)
        return PROBE_SHARE * target_s if is_first and may_probe else math.inf

    def record_refusal(self, retry_at: float) -> None:
        """Record that a server has no slot in time, but expects one then."""
        self.retry_at = min(self.retry_at, retry_at)


def due_in_s(age_s: float, target_s: float, left_s: float) -> float:
    """Return the time until a request's response is late, from its age and target."""
    if target_s <= 0.0:
        return left_s
    return min(left_s, TARGET_SHARE * target_s - age_s)
