"""Whether a peer that owes an answer is still there."""

from __future__ import annotations

from enum import Enum, auto

QUIET_S = 0.25
"""Time without an answer after which a sign of life is asked for."""


class Verdict(Enum):
    """What to do about a peer."""

    LEAVE = auto()
    PING = auto()
    SILENT = auto()


class Liveness:
    """Judges a peer by its answers to pings, not by how long its other answers take.

    Answers the load of a busy owner: a question may wait for an adapter for a second
    while the owner is well.
    """

    def __init__(self, timeout_s: float) -> None:
        """Take a peer as silent once a ping is unanswered for ``timeout_s``."""
        self._timeout_s = timeout_s
        self._ping_deadline: float | None = None
        self._heard_at = float("-inf")
        self.is_silent = False

    def hear(self, now: float) -> None:
        """Note that something came from the peer."""
        self._heard_at = now
        self._ping_deadline = None
        self.is_silent = False

    def judge(self, oldest_asked_at: float | None, now: float) -> Verdict:
        """Return what to do, given when the oldest open question was asked."""
        if self._ping_deadline is not None:
            return self._judge_ping(self._ping_deadline, now)
        if oldest_asked_at is None:
            return Verdict.LEAVE
        if now - max(oldest_asked_at, self._heard_at) < QUIET_S:
            return Verdict.LEAVE
        self._ping_deadline = now + self._timeout_s
        return Verdict.PING

    def _judge_ping(self, deadline: float, now: float) -> Verdict:
        if now < deadline:
            return Verdict.LEAVE
        self._ping_deadline = now + QUIET_S
        if self.is_silent:
            return Verdict.PING
        self.is_silent = True
        return Verdict.SILENT
