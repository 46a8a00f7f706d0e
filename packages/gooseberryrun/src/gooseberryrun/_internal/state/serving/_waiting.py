"""Order in which requests that wait for an adapter get places."""

from __future__ import annotations

from dataclasses import dataclass

EXPECTED_LOAD_S = 0.255
"""Time from a place to its adapter, loaded from the weight store."""

EXPECTED_RELOAD_S = 0.03
"""The same for an adapter that the runner held lately."""


@dataclass(frozen=True, slots=True)
class SlotWait:
    """Wait of one request; after ``target_deadline`` its first event is late."""

    priority: int
    target_deadline: float
    deadline: float

    def rank(self, now: float) -> tuple[int, bool, float]:
        """Return the place in the order of service, the smallest comes first.

        Answers more demand than places: by deadline alone, each request is served
        when it has become late. Those that will be late anyhow wait, up to their
        deadline, behind those of their priority that can still be in time.
        """
        is_late = now + EXPECTED_LOAD_S > self.target_deadline
        return self.priority, is_late, self.deadline
