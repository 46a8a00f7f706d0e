"""When the records of a topic are read again, and whether all of them.

Made for a store that is away, or that comes back without the records that are asked
for: it is never read in a loop without a pause, nor by all VMs at one moment.
"""

from __future__ import annotations

import random

RETRY_S = 0.25
"""Pause after a failed read; doubles up to ``MAX_RETRY_S``."""
MAX_RETRY_S = 1.0
MAX_SNAPSHOT_DELAY_S = 0.1
"""Longest random pause before all records are read anew for the first time."""


class ReadPacing:
    """Pauses between the reads of one topic, which begin with a read of all records."""

    def __init__(self) -> None:
        self.needs_snapshot = True
        self._was_rejected = False
        self._pause_s = RETRY_S

    def record_success(self) -> None:
        """Record a successful read; only one of changes ends a series of failures."""
        if not self.needs_snapshot:
            self._was_rejected = False
            self._pause_s = RETRY_S
        self.needs_snapshot = False

    def record_rejection(self) -> float:
        """Record that the store lacks the records that were asked for.

        Returns the pause in seconds before all are read anew.
        """
        self.needs_snapshot = True
        if self._was_rejected:
            return self.record_failure()
        self._was_rejected = True
        return random.uniform(0.0, MAX_SNAPSHOT_DELAY_S)

    def record_failure(self) -> float:
        """Record a failed read; return the pause in seconds before the next one."""
        pause_s = self._pause_s
        self._pause_s = min(MAX_RETRY_S, pause_s * 2)
        return pause_s
