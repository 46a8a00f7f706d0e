"""Whether the configuration in force was known to be the newest one lately.

Made for VMs that are cut off from the store, or suspended, while an operator adds a
key: until they have caught up, they cannot tell a new key from a wrong one.
"""

from __future__ import annotations

CONFIRMATION_TTL_S = 2.9
"""Age from which on a confirmation does not count: a key has to be known 3 s after it
was written."""
MAX_TICK_GAP_S = 1.8
"""Longest time between two ticks, which come each second, of a VM that was running."""
RESUME_S = 0.5
"""Time after a suspension in which the words of peers do not count: they may have been
sent before it and have waited in a socket."""


class ConfigurationFreshness:
    """Time of the last confirmation; all times are ``boottime`` in seconds."""

    def __init__(self, now: float) -> None:
        self._confirmed_at = float("-inf")
        self._ticked_at = now
        self._resumed_at = float("-inf")

    def tick(self, now: float) -> None:
        """Record that the VM is running; called each second."""
        if now - self._ticked_at > MAX_TICK_GAP_S:
            self._resumed_at = now
            self._confirmed_at = float("-inf")
        self._ticked_at = now

    def record_read(self, started_at: float, now: float) -> None:
        """Record a successful read of the configuration's topic from the store."""
        if started_at >= self._resumed_at:
            self._confirmed_at = now

    def record_peer(self, now: float) -> None:
        """Record that a peer that reaches the store has read nothing newer."""
        if now - self._resumed_at >= RESUME_S:
            self._confirmed_at = now

    def is_confirmed(self, now: float) -> bool:
        """Return whether the configuration was the newest one lately."""
        was_running = now - self._ticked_at <= MAX_TICK_GAP_S
        return was_running and now - self._confirmed_at <= CONFIRMATION_TTL_S
