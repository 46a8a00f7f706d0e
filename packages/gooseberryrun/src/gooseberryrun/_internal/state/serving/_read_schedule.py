"""How long each wait for a configuration may last, by the deployment's bound for it.

Made for connections that go silent, readers that are gone and VMs that have just
started. Each of them is noticed by a wait that ends, and the waits that follow one
another have to end within the bound. ``docs/design/configuration.md`` adds them up.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

MAX_POLL_S = 3.0
"""Longest poll of a VM that reads for itself."""
MAX_READER_POLL_S = 2.5
"""Longest poll of a VM that reads for others, which have three of them."""
MAX_OVERDUE_S = 1.0
"""Longest time after a poll's wait until its connection is taken for silent."""
READER_TTL_S = 2.2
"""Longest time without a reader's message after which other VMs read themselves."""
TAKEOVER_STEP_S = 0.03
"""Longest additional wait per rank before a VM takes over reading."""
TAKEOVER_STEPS = 15
"""Ranks from which on the additional wait is the same."""
MAX_PEER_DELAY_S = 0.6
"""Longest time for the store to deliver what a peer has read already."""
CHECK_INTERVAL_S = 0.25
"""Longest time until a VM notices that a wait is over."""
READ_S = 0.1
"""Time of a read without a wait, and of putting a configuration in force."""

_POLL_SHARE = 0.5
_READER_POLL_SHARE = 1.0
_OVERDUE_SHARE = 0.2
_READER_TTL_SHARE = 0.7
_TAKEOVER_SHARE = 0.1
_PEER_DELAY_SHARE = 0.15


@dataclass(frozen=True, slots=True)
class ReadSchedule:
    """Waits in seconds of a VM that follows the store."""

    poll_s: float
    reader_poll_s: float
    overdue_s: float
    reader_ttl_s: float
    takeover_step_s: float
    peer_delay_s: float

    @classmethod
    def within(cls, bound_s: float) -> Self:
        """Return the waits after which a configuration is in force within a bound."""
        return cls(
            poll_s=min(MAX_POLL_S, _POLL_SHARE * bound_s),
            reader_poll_s=min(MAX_READER_POLL_S, _READER_POLL_SHARE * bound_s),
            overdue_s=min(MAX_OVERDUE_S, _OVERDUE_SHARE * bound_s),
            reader_ttl_s=min(READER_TTL_S, _READER_TTL_SHARE * bound_s),
            takeover_step_s=min(
                TAKEOVER_STEP_S, _TAKEOVER_SHARE * bound_s / TAKEOVER_STEPS
            ),
            peer_delay_s=min(MAX_PEER_DELAY_S, _PEER_DELAY_SHARE * bound_s),
        )

    def takeover_s(self, place: int) -> float:
        """Return the time without a notice after which a VM reads itself.

        ``place`` is its place among the VMs that do not read, from 0.
        """
        steps = min(place, TAKEOVER_STEPS)
        return self.reader_ttl_s + self.takeover_step_s * steps

    def longest_alone_s(self) -> float:
        """Return the longest way to a VM that reads alone, whatever goes silent."""
        return self.poll_s + self.overdue_s + CHECK_INTERVAL_S + READ_S

    def longest_without_readers_s(self) -> float:
        """Return the longest way to a VM whose readers are gone, or that starts."""
        return self.takeover_s(TAKEOVER_STEPS) + CHECK_INTERVAL_S + READ_S
