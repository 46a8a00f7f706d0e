"""Retry budget: limits retries to a share of the requests."""

from __future__ import annotations

from gooseberryrun._internal.state import Clock, LimitSettings

FLOOR_S = 5.0
"""Time in which a new process earns the floor: one that is killed again and again does
not get it anew each time."""


class RetryBudget:
    """Token bucket that is filled by requests and drained by retries.

    Every request adds ``retry_budget_ratio`` tokens, up to a limit, and every retry
    takes one, so retries cannot multiply the load while all attempts fail. A new
    process gets ``retry_budget_floor`` tokens besides, in equal parts over time.
    """

    def __init__(self, cfg: LimitSettings, clock: Clock) -> None:
        self._clock = clock
        self._started_at = clock.monotonic()
        self._ratio = cfg.retry_budget_ratio
        self._floor = float(cfg.retry_budget_floor)
        self._limit = float(max(cfg.retry_budget_floor, 1)) * 10
        self._tokens = 0.0
        self._earned = 0.0

    def deposit(self) -> None:
        """Add the tokens of one request."""
        self._add(self._ratio)

    def try_withdraw(self) -> bool:
        """Take a token for a retry; return False if there is none."""
        age_s = self._clock.monotonic() - self._started_at
        earned = self._floor * min(1.0, age_s / FLOOR_S)
        self._add(earned - self._earned)
        self._earned = earned
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _add(self, tokens: float) -> None:
        self._tokens = min(self._limit, self._tokens + tokens)
