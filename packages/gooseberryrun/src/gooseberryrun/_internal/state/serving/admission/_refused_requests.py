"""Requests that this VM refused, and the times at which they may come again.

Made for callers that repeat a request at once after a refusal, whatever ``Retry-After``
says: their repetitions wait behind the requests that come for the first time or when
they were told to.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_ENTRIES = 4_096
"""Refused requests that are remembered; the oldest are forgotten first."""
EARLY_TOLERANCE_S = 0.05
"""Time before that of a refusal at which a repetition is not yet early: callers count
from when they read it, and their clocks are coarse."""


class RefusedRequests:
    """When each refused request may come again, by account and request id."""

    def __init__(self) -> None:
        self._retry_at: OrderedDict[tuple[str, str], float] = OrderedDict()

    def record(self, account: str, request_id: str, retry_at: float) -> None:
        """Record a refusal that names the time of the next try."""
        key = (account, request_id)
        self._retry_at.pop(key, None)
        self._retry_at[key] = retry_at
        if len(self._retry_at) > MAX_ENTRIES:
            self._retry_at.popitem(last=False)

    def is_early(self, account: str, request_id: str, now: float) -> bool:
        """Return whether a request comes before the time that it was told."""
        retry_at = self._retry_at.get((account, request_id))
        return retry_at is not None and now < retry_at - EARLY_TOLERANCE_S
