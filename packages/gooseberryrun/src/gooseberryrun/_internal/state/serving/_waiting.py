"""Order in which requests that wait for an adapter get slots."""

from __future__ import annotations

import msgspec

EXPECTED_LOAD_S = 0.255
"""Time to load an adapter from the weight store into a free slot."""

EXPECTED_RELOAD_S = 0.03
"""Time to load an adapter that the runner held recently and still caches."""


class SlotWait(msgspec.Struct, frozen=True):
    """Wait of one request; a first event after ``target_deadline`` is late."""

    priority: int
    target_deadline: float
    deadline: float

    def rank(self, now: float, late_last: bool = True) -> tuple[int, bool, float]:
        """Return the sort key of the queue; the smallest is served first.

        With more demand than slots, ordering by deadline alone would serve each request
        only once it is late. Requests that will be late in any case wait, up to their
        deadline, behind those of the same priority that can still be in time.
        """
        is_late = late_last and now + EXPECTED_LOAD_S > self.target_deadline
        return self.priority, is_late, self.deadline
