"""Responses to callers, and checks of runners' responses."""

from __future__ import annotations

import functools
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from prometheus_client import Histogram

from .._events import log_event
from .._metrics import (
    FIRST_EVENT_SECONDS,
    LONGEST_PAUSE_SECONDS,
    REFUSALS,
    SERVED_SECONDS,
)
from ._active_request import ActiveRequest, LocalResponse, Round
from ._context import Context
from ._request_ports import (
    Headers,
    InboundRequest,
    RunnerResponse,
    StoppingError,
)

STOPPING_RETRY_S = 0.1
"""Retry delay sent by a VM that is stopping; other VMs serve at once."""
RETRY_JITTER = 0.5
"""Relative jitter of retry delays, so that callers do not retry simultaneously."""

_CONNECTION_HEADERS = {
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
}


def end_to_end(headers: Headers) -> Headers:
    """Return the headers without hop-by-hop headers."""
    connection_headers = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    excluded = _CONNECTION_HEADERS | connection_headers
    return [(name, value) for name, value in headers if name.lower() not in excluded]


def with_length(headers: Headers, request: InboundRequest) -> Headers:
    """Return the headers of a request that is sent on, with the length of its body."""
    if request.body or request.method != "GET":
        return [*headers, ("content-length", str(len(request.body)))]
    return headers


def is_valid_response(response: RunnerResponse) -> bool:
    """Return whether a response is unencoded and, if successful, signed."""
    if response.metadata.is_encoded:
        return False
    return response.metadata.is_signed or not 200 <= response.status < 300


def failure_response(
    active: ActiveRequest, reason: str, retry_in_s: float | None = None
) -> LocalResponse:
    """Return the response to a failed request: 503 only if it has not run."""
    if active.may_have_run or active.is_in_flight:
        return LocalResponse(504 if reason == "deadline" else 502, reason)
    return LocalResponse(503, reason, retry_in_s)


def stopping_response(active: ActiveRequest) -> LocalResponse:
    """Return the response to a request that cannot be done before the process exits."""
    return failure_response(active, "stopping", STOPPING_RETRY_S)


def run_rounds(
    active: ActiveRequest,
    rounds: int,
    retry_in_s: float,
    try_once: Callable[[], LocalResponse | Round],
) -> LocalResponse | Round:
    """Call ``try_once`` until it returns a final result, at most ``rounds`` times.

    Returns a failure if there is none by then, which may be tried again after
    ``retry_in_s``, or if the process has to exit before that.
    """
    try:
        for _ in range(rounds):
            outcome = try_once()
            if outcome is not Round.AGAIN:
                return outcome
    except StoppingError:
        return stopping_response(active)
    return failure_response(active, "attempts", retry_in_s)


def refusal_until(
    active: ActiveRequest, reason: str, earliest_in_s: float
) -> LocalResponse:
    """Return the response to a request that cannot be served before a known time."""
    response = failure_response(active, reason, earliest_in_s)
    return replace(response, is_earliest=True)


def refusal_over_cap(active: ActiveRequest, earliest_in_s: float) -> LocalResponse:
    """Return the response to a request beyond its account's cap: 429 if it has not run.

    A retry that the cap does not allow leaves the outcome of the request open.
    """
    response = refusal_until(active, "usage_cap", earliest_in_s)
    return replace(response, status=429) if response.status == 503 else response


class ResponseWriter:
    """Sends final responses and logs each with its reason."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx

    def send_local(self, active: ActiveRequest, response: LocalResponse) -> None:
        """Send a response that this VM generated."""
        retry_in_s = response.retry_in_s
        if retry_in_s is not None:
            least = 1.0 if response.is_earliest else 1 - RETRY_JITTER
            retry_in_s *= random.uniform(least, 1 + RETRY_JITTER)
            self._record_refusal(active, retry_in_s)
        codec = self._ctx.ports.codec
        headers = codec.encode_refusal(active.metadata.request_id, retry_in_s)
        REFUSALS.labels(code=response.reason).inc()
        self.log(active, response.status, response.reason)
        active.caller.respond(response.status, headers, b"")

    def relay(
        self, active: ActiveRequest, response: RunnerResponse, body: bytes
    ) -> None:
        """Relay a runner's complete response."""
        self.log(active, response.status, "relayed")
        active.caller.respond(response.status, end_to_end(response.headers), body)

    def _record_refusal(self, active: ActiveRequest, retry_in_s: float) -> None:
        """Remember when a request may come again, where accounts share capacity."""
        if active.account is not None:
            retry_at = self._ctx.clock.monotonic() + retry_in_s
            request_id = active.metadata.request_id
            self._ctx.refused.record(active.account.name, request_id, retry_at)

    def log(self, active: ActiveRequest, status: int, reason: str) -> None:
        """Log and count the end of a request."""
        active.is_logged = True
        now = self._ctx.clock.monotonic()
        took_s = now - active.request.read_at
        status_class = f"{status // 100}xx" if status else "cut"
        _served_seconds(active.route.kind, status_class).observe(took_s)
        log_event(
            "request",
            request=active.metadata.request_id,
            route=active.route.name,
            service=active.service,
            adapter=active.metadata.adapter,
            status=status,
            reason=reason,
            took_s=took_s,
            left_s=active.deadline - now,
            sends=active.sends,
            attempts=active.attempts,
            **_stream_fields(active),
            **({"account": active.account.name} if active.account else {}),
        )


@functools.cache
def _served_seconds(kind: str, status: str) -> Histogram:
    """Return the metric of one kind and status class; few of each exist."""
    return SERVED_SECONDS.labels(kind=kind, status=status)


def _stream_fields(active: ActiveRequest) -> dict[str, Any]:
    """Return the timing of a stream for its log line, and count it in the metrics."""
    if not active.metadata.model:
        return {}
    fields: dict[str, Any] = {"prompt_tokens": active.metadata.prompt_tokens}
    timing = active.timing
    if timing.first_at is None:
        return fields
    first_event_s = timing.first_at - active.request.read_at
    FIRST_EVENT_SECONDS.observe(first_event_s)
    LONGEST_PAUSE_SECONDS.observe(timing.longest_pause_s)
    return fields | {
        "target_s": active.route.target_latency_s,
        "first_event_s": first_event_s,
        "longest_pause_s": timing.longest_pause_s,
        "max_pause_s": active.route.max_pause_s,
    }
