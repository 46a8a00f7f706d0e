"""Retry budget of a service, shared by all entry VMs.

Made for loads in which all runners of a service fail while the processes of the VMs are
killed again and again. A process does not know what its predecessors on the VM have
spent in the window, so the allowance of a window is split: a process that has lived for
a whole window may spend the one part of its VM's share, all younger ones together the
other. Their part of the slack grows with their age, and a window has no more of it
than their ages add up to. Times are those of a clock that counts suspensions, since the
window passes for the backend servers while a VM stands still.
"""

from __future__ import annotations

from collections import deque

import msgspec

from .._serving_settings import RetrySettings

SETTLED_SHARE = 0.7
"""Share of the allowance for processes that are older than the window."""
NEW_SHARE = 0.25
"""Share of the allowance for younger processes.

The rest covers retries that arrive later than they were counted, and requests that come
unevenly.
"""


class RetryAllowance(msgspec.Struct, frozen=True):
    """What a VM may spend on retries of a service, and what the figure is based on.

    ``spent`` retries and ``requests`` are those of the window that ends now, ``vms``
    the VMs among which the slack is divided: 0 if unknown, and then there is none. The
    process lives for ``age_s``.
    """

    limit: float
    spent: int
    requests: int
    vms: int
    age_s: float

    @property
    def has_retry_left(self) -> bool:
        """Return whether one more retry stays within the limit."""
        return self.spent + 1 <= self.limit


class ServiceRetryBudget:
    """Retries of one service in a sliding window, limited by the requests in it.

    The allowance over all VMs is ``ratio`` times the requests plus ``slack``; each VM
    counts its own requests and gets an equal part of the slack.
    """

    def __init__(self, cfg: RetrySettings, started_at: float) -> None:
        self._cfg = cfg
        self._started_at = started_at
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._expire(now)

    def try_withdraw(self, now: float, vms: int) -> bool:
        """Count one retry; return False if the allowance is used up."""
        if not self.allowance(now, vms).has_retry_left:
            return False
        self._retries.append(now)
        return True

    def allowance(self, now: float, vms: int) -> RetryAllowance:
        """Return what may be spent now."""
        self._expire(now)
        age_s = now - self._started_at
        requests = len(self._requests)
        slack = self._cfg.slack / vms if vms else 0.0
        share = SETTLED_SHARE
        if age_s < self._cfg.window_s:
            share = NEW_SHARE
            slack *= age_s / self._cfg.window_s
        limit = share * (self._cfg.ratio * requests + slack)
        return RetryAllowance(limit, len(self._retries), requests, vms, age_s)

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now - self._cfg.window_s:
                times.popleft()
