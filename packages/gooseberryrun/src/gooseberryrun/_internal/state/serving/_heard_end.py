"""The newest end of the configuration's topic that this VM has heard of."""

from __future__ import annotations

from ._epochs import Position

BEHIND_TTL_S = 3.0
"""Time for which a newer end that was heard of counts: a VM that cannot read it serves
by what it has."""


class HeardEnd:
    """Newest end that a peer named, and when it was first heard of, in seconds."""

    def __init__(self) -> None:
        self._end = Position()
        self._heard_at = float("-inf")

    def record(self, end: Position, now: float) -> bool:
        """Record an end that a peer has read up to; return whether it is newer."""
        if end <= self._end:
            return False
        self._end = end
        self._heard_at = now
        return True

    def is_beyond(self, own_end: Position, now: float) -> bool:
        """Return whether there is something newer than what this VM has read."""
        return own_end < self._end and now - self._heard_at <= BEHIND_TTL_S
