"""Retry budgets of all services, with the log lines and metrics that explain them."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import RetryAllowance, ServiceRetryBudget

from .._events import log_event
from .._metrics import RETRIES_DENIED, RETRIES_SPENT, RETRY_ALLOWANCE
from ._active_request import ActiveRequest
from ._context import Context
from ._fleet_knowledge import known_vm_count


class RetryBudgets:
    """Counts requests and retries by service, and denies retries beyond the budget."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._budgets: dict[str, ServiceRetryBudget] = {}

    def count_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._budget(service).count_request(self._ctx.clock.boottime())

    def withdraw(self, active: ActiveRequest) -> bool:
        """Take an attempt of a request from the budget; the first one is free."""
        if active.sends == 0:
            return True
        now = self._ctx.clock.boottime()
        vms = known_vm_count(self._ctx)
        budget = self._budget(active.service)
        if budget.try_withdraw(now, vms):
            return True
        _record_denial(active, budget.allowance(now, vms))
        return False

    def has_retry_left(self, active: ActiveRequest) -> bool:
        """Return whether the budget allows another attempt; log it if not."""
        allowance = self._allowance(active.service)
        if not allowance.has_retry_left:
            _record_denial(active, allowance)
        return allowance.has_retry_left

    def _allowance(self, service: str) -> RetryAllowance:
        now = self._ctx.clock.boottime()
        return self._budget(service).allowance(now, known_vm_count(self._ctx))

    def _budget(self, service: str) -> ServiceRetryBudget:
        if service not in self._budgets:
            self._budgets[service] = ServiceRetryBudget(
                self._ctx.cfg.repeats, self._ctx.started_at
            )
            self._export(service)
        return self._budgets[service]

    def _export(self, service: str) -> None:
        """Let the gauges of a service show what its budget is when they are read."""
        limit = RETRY_ALLOWANCE.labels(service=service)
        limit.set_function(lambda: self._allowance(service).limit)
        spent = RETRIES_SPENT.labels(service=service)
        spent.set_function(lambda: self._allowance(service).spent)


def _record_denial(active: ActiveRequest, allowance: RetryAllowance) -> None:
    """Log and count a retry that the budget does not allow."""
    RETRIES_DENIED.labels(service=active.service).inc()
    log_event(
        "repeat_denied",
        request=active.metadata.request_id,
        service=active.service,
        sends=active.sends,
        limit=allowance.limit,
        spent=allowance.spent,
        requests=allowance.requests,
        vms=allowance.vms,
        age_s=allowance.age_s,
    )
