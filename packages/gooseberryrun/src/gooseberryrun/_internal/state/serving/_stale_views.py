"""How long a VM may use a view after the group has changed."""

from __future__ import annotations

import math

MAX_STALE_VIEW_S = 2.0
"""Time for which a VM that knows of a newer view keeps using its own: less than the
lease, which a runner's owner by the newer view waits out."""


class StaleViewDeadlines:
    """Times up to which views from before a generation may be used.

    Times are seconds on a clock that also counts while the VM is suspended.
    """

    def __init__(self) -> None:
        self._deadlines: list[tuple[int, float]] = []

    @property
    def deadline(self) -> float:
        """Return until when the view in force may be used."""
        return self._deadlines[0][1] if self._deadlines else math.inf

    def learn(self, generation: int, now: float, lease_deadline: float) -> None:
        """Record that the group has a newer generation than any known before.

        It began after the renewal before this one was requested, so its owners act
        only after the lease that this renewal gave.
        """
        deadline = min(now + MAX_STALE_VIEW_S, lease_deadline)
        self._deadlines.append((generation, deadline))

    def adopt(self, generation: int) -> None:
        """Forget the deadlines that a view of a generation meets."""
        self._deadlines = [entry for entry in self._deadlines if entry[0] > generation]
