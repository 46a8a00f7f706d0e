"""Retry budget: limits retries to a share of the requests."""

from __future__ import annotations

from gooseberryrun._internal.state import LimitSettings


class RetryBudget:
    """Token bucket that is filled by requests and drained by retries.

    Every request adds ``retry_budget_ratio`` tokens, up to a limit, and every retry
    takes one, so retries cannot multiply the load while all attempts fail.
    """

    def __init__(self, cfg: LimitSettings) -> None:
        self._ratio = cfg.retry_budget_ratio
        self._limit = float(max(cfg.retry_budget_floor, 1)) * 10
        self._tokens = float(cfg.retry_budget_floor)

    def deposit(self) -> None:
        """Add the tokens of one request."""
        self._tokens = min(self._limit, self._tokens + self._ratio)

    def try_withdraw(self) -> bool:
        """Take a token for a retry; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
