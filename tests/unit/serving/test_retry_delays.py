"""When callers are told to come back."""

from __future__ import annotations

from typing import Any

from gooseberryrun._internal.coordination.serving import ActiveRequest, LocalResponse
from gooseberryrun._internal.coordination.serving._responses import (
    RETRY_JITTER,
    ResponseWriter,
    refusal_until,
)


class _Ctx:
    """Context whose codec keeps the delays that are sent."""

    def __init__(self) -> None:
        self.ports = self.codec = self
        self.delays: list[float] = []

    def encode_refusal(self, request_id: str, retry_in_s: float) -> list[Any]:
        self.delays.append(retry_in_s)
        return []


class NotRun:
    """Request of which nothing has reached a runner."""

    may_have_run = False
    is_in_flight = False
    account = None


def send(response: LocalResponse, times: int) -> list[float]:
    """Send a response several times; return the delays that callers were told."""
    ctx: Any = _Ctx()
    active: Any = NotRun()
    active.metadata = type("Metadata", (), {"request_id": "r"})()
    active.caller = type("Caller", (), {"respond": lambda *_args: None})()
    writer = ResponseWriter(ctx)
    writer.log = lambda *_args: None  # type: ignore[method-assign]
    for _ in range(times):
        writer.send_local(active, response)
    delays: list[float] = ctx.delays
    return delays


def test_callers_do_not_come_back_before_a_known_time() -> None:
    """They were told half of a pause that a runner had asked for, and refused again."""
    active: Any = NotRun()
    known: ActiveRequest = active
    delays = send(refusal_until(known, "runners_limited", 40.0), times=100)
    assert min(delays) >= 40.0
    assert max(delays) <= 40.0 * (1 + RETRY_JITTER)
    assert len(set(delays)) > 50


def test_callers_come_back_around_an_estimate() -> None:
    delays = send(LocalResponse(503, "overload", 1.0), times=100)
    assert min(delays) < 1.0 < max(delays)
