"""Messages to the task of a runner, and conversions to and from peer messages."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from result import Result

from gooseberryrun._internal.state import CacheEvent, WorkClass

from ._errors import EngineError
from ._messages import (
    GrantAnswer,
    GrantRequest,
    GrantUse,
    Handover,
    OwnerNotice,
    UseReport,
)
from ._ports import EngineReport
from ._queues import Waiting
from ._scheduler import Grant, LoadOrder

ReplyCallback = Callable[[GrantAnswer], None]


@dataclass(frozen=True, slots=True)
class GrantRequested:
    """Grant request of an entry VM and the callback for the reply."""

    request: GrantRequest
    reply: ReplyCallback


@dataclass(frozen=True, slots=True)
class GrantsEnded:
    """Grants that are no longer in use.

    ``not_resident`` reports that the engine lacked the adapter of one of them.
    """

    grant_ids: list[str]
    not_resident: bool = False


@dataclass(frozen=True, slots=True)
class UseLeaseExpired:
    """The use lease of one boot of a VM has expired; all its grants end."""

    vm: str
    boot: str


@dataclass(frozen=True, slots=True)
class OrderFinished:
    """Results of the steps of an order; None where a step was not executed."""

    order: LoadOrder
    evicted: bool | None
    loaded: bool | None


@dataclass(frozen=True, slots=True)
class PermitRequestFinished:
    """Result of a permit request: whether the store budget permits a load."""

    granted: bool


@dataclass(frozen=True, slots=True)
class ReportFetched:
    """Report of the engine, or the error of the request for it.

    ``orders_done`` is the number of orders that had ended when it was requested.
    """

    orders_done: int
    report: Result[EngineReport, EngineError]


@dataclass(frozen=True, slots=True)
class CacheEventsFetched:
    """Events read from the engine's prefix cache."""

    events: list[CacheEvent]


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic wake-up that expires requests and retries cancellations."""


@dataclass(frozen=True, slots=True)
class OwnershipLost:
    """Another VM owns the runner now; ``send`` transfers the grants to it."""

    notice: OwnerNotice
    send: Callable[[Handover], None]


TaskMessage = (
    GrantRequested
    | GrantsEnded
    | UseLeaseExpired
    | OrderFinished
    | PermitRequestFinished
    | ReportFetched
    | CacheEventsFetched
    | Tick
    | OwnershipLost
    | UseReport
    | Handover
)


def to_waiting(request: GrantRequest, now: float) -> Waiting:
    """Return the queue entry of a request that arrived ``now``."""
    return Waiting(
        request_id=request.request_id,
        model=request.model,
        vm=request.vm,
        boot=request.boot,
        work_class=WorkClass(request.work_class),
        fingerprint=request.fingerprint,
        suspect=request.suspect,
        enqueued_at=now,
        deadline=now + request.wait_s,
    )


def to_grant(use: GrantUse) -> Grant:
    """Return the grant for a use that another VM reported."""
    return Grant(
        grant_id=use.grant_id,
        request_id=use.request_id,
        model=use.model,
        vm=use.vm,
        boot=use.boot,
        work_class=WorkClass(use.work_class),
        fingerprint=use.fingerprint,
        suspect=use.suspect,
        granted_at=0.0,
    )


def to_use(runner: str, grant: Grant) -> GrantUse:
    """Return a grant in the form in which it is sent to the next owner."""
    return GrantUse(
        runner=runner,
        grant_id=grant.grant_id,
        request_id=grant.request_id,
        model=grant.model,
        vm=grant.vm,
        boot=grant.boot,
        work_class=str(grant.work_class),
        fingerprint=grant.fingerprint,
        suspect=grant.suspect,
    )
