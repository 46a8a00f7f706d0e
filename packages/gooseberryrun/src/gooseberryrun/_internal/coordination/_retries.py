"""Retry budget: repeated attempts stay a bounded share of the requests."""

from __future__ import annotations

from gooseberryrun._internal.state import LimitSettings


class RetryBudget:
    """Tokens earned by requests and spent by retries.

    Every request earns ``retry_budget_ratio`` tokens, up to a bound; a retry costs
    one. So retries cannot multiply the load while everything fails.
    """

    def __init__(self, cfg: LimitSettings) -> None:
        self._ratio = cfg.retry_budget_ratio
        self._limit = float(max(cfg.retry_budget_floor, 1)) * 10
        self._tokens = float(cfg.retry_budget_floor)

    def deposit(self) -> None:
        """Count a request."""
        self._tokens = min(self._limit, self._tokens + self._ratio)

    def try_withdraw(self) -> bool:
        """Take a token for a retry; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
