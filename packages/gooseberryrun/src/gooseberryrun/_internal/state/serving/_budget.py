"""Shared budget of repeated attempts."""

from __future__ import annotations

from collections import deque

SAFETY = 0.7
"""Share of the allowance that is used; VMs count without asking each other."""


class ServiceRetryBudget:
    """Repeats of one service in a sliding window, against the requests in it.

    The allowance over all VMs is ``ratio`` times the requests plus ``slack``; each VM
    takes its own requests and an equal part of the slack.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Count a client's request."""
        self._requests.append(now)
        self._expire(now)

    def try_withdraw(self, now: float, vms: int) -> bool:
        """Take one repeat; return False if the allowance is used up."""
        if not self.allows_retry(now, vms):
            return False
        self._repeats.append(now)
        return True

    def allows_retry(self, now: float, vms: int) -> bool:
        """Tell whether a repeat is left."""
        self._expire(now)
        allowance = self._ratio * len(self._requests) + self._slack / max(1, vms)
        return len(self._repeats) + 1 <= SAFETY * allowance

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] < now - self._window_s:
                times.popleft()
