"""Detection of peers that no longer respond."""

from __future__ import annotations

from enum import Enum, auto

PING_AFTER_S = 0.25
"""Time without contact during an unanswered request after which a ping is sent."""


class LivenessAction(Enum):
    """What to do next about a peer."""

    WAIT = auto()
    PING = auto()
    MARK_SILENT = auto()


class Liveness:
    """Detects a silent peer by unanswered pings, not by the duration of other requests.

    A request to a healthy owner may wait a second for an adapter to load.
    """

    def __init__(self, timeout_s: float) -> None:
        """Treat the peer as silent once a ping is unanswered for ``timeout_s``."""
        self._timeout_s = timeout_s
        self._ping_deadline: float | None = None
        self._last_contact_at = float("-inf")
        self.is_silent = False

    def record_contact(self, now: float) -> None:
        """Record that a frame arrived from the peer."""
        self._last_contact_at = now
        self._ping_deadline = None
        self.is_silent = False

    def next_action(
        self, oldest_request_at: float | None, now: float
    ) -> LivenessAction:
        """Return what to do, given when the oldest unanswered request was sent."""
        if self._ping_deadline is not None:
            return self._check_ping(self._ping_deadline, now)
        if oldest_request_at is None:
            return LivenessAction.WAIT
        if now - max(oldest_request_at, self._last_contact_at) < PING_AFTER_S:
            return LivenessAction.WAIT
        self._ping_deadline = now + self._timeout_s
        return LivenessAction.PING

    def next_check_at(self, oldest_request_at: float | None) -> float | None:
        """Return when ``next_action`` has something to do next, None if nothing."""
        if self._ping_deadline is not None:
            return self._ping_deadline
        if oldest_request_at is None:
            return None
        return max(oldest_request_at, self._last_contact_at) + PING_AFTER_S

    def _check_ping(self, deadline: float, now: float) -> LivenessAction:
        if now < deadline:
            return LivenessAction.WAIT
        self._ping_deadline = now + PING_AFTER_S
        if self.is_silent:
            return LivenessAction.PING
        self.is_silent = True
        return LivenessAction.MARK_SILENT
