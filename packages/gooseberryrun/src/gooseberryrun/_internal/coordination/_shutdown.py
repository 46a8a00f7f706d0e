"""Decides when a process that is stopping may exit.

Made for stops under load: requests go on arriving until the load balancer has noticed
that the VM is not ready, and one that has just been accepted is not open yet.
"""

from __future__ import annotations

IDLE_BEFORE_EXIT_S = 0.4
"""Time without open work after which a stopping process exits."""


class Shutdown:
    """Progress of a stop.

    The load balancer has removed the VM at ``removed_at``; at ``latest`` the process
    exits whatever is open. Both are monotonic times in seconds.
    """

    def __init__(self, removed_at: float, latest: float) -> None:
        self._removed_at = removed_at
        self._latest = latest
        self._idle_since = removed_at

    def is_removed(self, now: float) -> bool:
        """Return whether the load balancer sends no more requests."""
        return now >= self._removed_at

    def may_exit(self, now: float, is_idle: bool) -> bool:
        """Record whether work is open now; return whether the process may exit."""
        if not is_idle:
            self._idle_since = now
        if now >= self._latest:
            return True
        idle_s = now - self._idle_since
        return self.is_removed(now) and idle_s >= IDLE_BEFORE_EXIT_S
