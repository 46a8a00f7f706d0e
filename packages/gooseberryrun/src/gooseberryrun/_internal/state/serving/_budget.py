"""Retry budget of a service, shared by all entry VMs."""

from __future__ import annotations

from collections import deque

USABLE_SHARE = 0.7
"""Share of the allowance that is used, since VMs count without coordination."""


class ServiceRetryBudget:
    """Retries of one service in a sliding window, limited by the requests in it.

    The allowance over all VMs is ``ratio`` times the requests plus ``slack``; each VM
    counts its own requests and gets an equal part of the slack.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._expire(now)

    def try_withdraw(self, now: float, vms: int) -> bool:
        """Count one retry; return False if the allowance is used up."""
        if not self.allows_retry(now, vms):
            return False
        self._retries.append(now)
        return True

    def allows_retry(self, now: float, vms: int) -> bool:
        """Return whether the allowance has a retry left."""
        self._expire(now)
        allowance = self._ratio * len(self._requests) + self._slack / max(1, vms)
        return len(self._retries) + 1 <= USABLE_SHARE * allowance

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now - self._window_s:
                times.popleft()
