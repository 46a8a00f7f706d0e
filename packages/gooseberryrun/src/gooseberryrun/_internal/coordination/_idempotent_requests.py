"""Idempotent requests to services, which may be retried on other servers."""

from __future__ import annotations

from result import Err, Ok, Result

from gooseberryrun._internal.state import Clock, RunOutcome, Settings

from ._errors import Refusal
from ._membership import Membership
from ._metrics import RETRIES
from ._ports import ServiceCall, Services
from ._requests import Response, ServiceRequest
from ._retries import RetryBudget
from ._tracing import start_span


class IdempotentRequests:
    """Runs idempotent requests, with retries on other servers."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        membership: Membership,
        services: Services,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._services = services
        self._budget = RetryBudget(cfg.limits, clock)

    def run(self, request: ServiceRequest) -> Result[Response, Refusal]:
        """Try the servers of the service in order, within the retry budget."""
        self._budget.deposit()
        dispatched = False
        detail = "no server is reachable"
        for attempt, server in enumerate(self._membership.services(request.service)):
            if attempt and not self._budget.try_withdraw():
                break
            with start_span("service.call") as span:
                span.set_attribute("server", server.id)
                called = self._services.call(server, self._to_call(request), _always)
            if not isinstance(called, Err):
                response = called.ok_value
                return Ok(
                    Response(
                        response.status, response.content_type, iter([response.body])
                    )
                )
            RETRIES.labels(cause="service").inc()
            dispatched = dispatched or called.err_value.sent
            detail = called.err_value.detail
        outcome = RunOutcome.UNKNOWN if dispatched else RunOutcome.NOT_RUN
        return Err(Refusal(503, "service_unreachable", detail, outcome, 1.0))

    def _to_call(self, request: ServiceRequest) -> ServiceCall:
        limit = self._clock.monotonic() + self._cfg.limits.service_timeout_s
        return ServiceCall(
            service=request.service,
            method=request.method,
            path=request.path,
            body=request.body,
            content_type=request.content_type,
            deadline=min(limit, request.deadline),
        )


def _always() -> bool:
    return True
