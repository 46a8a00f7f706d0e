"""Retry budgets of all services, with the log lines and metrics that explain them."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import ServiceRetryBudget

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
        self._budget(service).count_request(self._ctx.clock.monotonic())

    def withdraw(self, active: ActiveRequest) -> bool:
        """Take an attempt of a request from the budget; the first one is free."""
        if active.sends == 0:
            return True
        if not self.has_retry_left(active):
            return False
        now = self._ctx.clock.monotonic()
        vms = known_vm_count(self._ctx)
        return self._budget(active.service).try_withdraw(now, vms)

    def has_retry_left(self, active: ActiveRequest) -> bool:
        """Return whether the budget allows another attempt; log it if not."""
        now = self._ctx.clock.monotonic()
        vms = known_vm_count(self._ctx)
        allowance = self._budget(active.service).allowance(now, vms)
        if allowance.has_retry_left:
            return True
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
        return False

    def _budget(self, service: str) -> ServiceRetryBudget:
        if service not in self._budgets:
            self._budgets[service] = ServiceRetryBudget(
                self._ctx.cfg.repeats, self._ctx.started_at
            )
            self._export(service, self._budgets[service])
        return self._budgets[service]

    def _export(self, service: str, budget: ServiceRetryBudget) -> None:
        """Let the gauges of a service show what its budget is when they are read."""
        ctx = self._ctx

        def limit() -> float:
            now = ctx.clock.monotonic()
            return budget.allowance(now, known_vm_count(ctx)).limit

        def spent() -> float:
            now = ctx.clock.monotonic()
            return budget.allowance(now, known_vm_count(ctx)).spent

        RETRY_ALLOWANCE.labels(service=service).set_function(limit)
        RETRIES_SPENT.labels(service=service).set_function(spent)
