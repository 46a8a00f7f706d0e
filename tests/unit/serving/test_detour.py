"""What a VM promises of a request that it sent on to another VM."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest
from gooseberryrun._internal.coordination.serving import (
    ActiveRequest,
    AttemptFailure,
    AttemptFault,
    InboundRequest,
    LocalResponse,
    OutboundRequest,
    RequestMetadata,
    StoppingError,
)
from gooseberryrun._internal.coordination.serving._detour import Detours
from gooseberryrun._internal.coordination.serving.where._query import NoCaller
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import Runner
from gooseberryrun_platform._headers import PlatformHeaders
from result import Err, Ok, Result

from tests.lib.fleet import GroupStore, make_members, make_stream_route, make_vm

ROUTE = make_stream_route(priority=1, max_attempts=2, is_resumable=False)


class StoppedResponse:
    """Response of another VM, during which this process has to exit."""

    status = 502
    headers: list[tuple[str, str]] = []
    ends_with_connection = False

    def read_all(self, _deadline: float) -> Result[bytes, AttemptFault]:
        raise StoppingError

    def body_chunks(self, _deadline: float) -> Iterator[Result[bytes, AttemptFault]]:
        raise StoppingError

    def close(self) -> None:
        pass


class Requests:
    """Connections to other VMs; each send has the next outcome."""

    def __init__(self, outcomes: list[Any]) -> None:
        self.outcomes = outcomes
        self.sent_to: list[str] = []

    def send(self, vm: Runner, _request: OutboundRequest, _deadline: float) -> Any:
        self.sent_to.append(vm.id)
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


class Responses:
    """Keeps the responses that the VM generates."""

    def __init__(self) -> None:
        self.sent: list[LocalResponse] = []

    def send_local(self, _active: ActiveRequest, response: LocalResponse) -> None:
        self.sent.append(response)


def serve(outcomes: list[Any], helpers: int = 2) -> tuple[list[LocalResponse], int]:
    """Serve a request at a cut-off VM; return its responses and the sends."""
    members = make_members(1, 1 + helpers)
    clock = ManualClock(10.0)
    ctx, _ = make_vm(members["d0"][0], GroupStore(members), [], clock)
    requests = Requests(outcomes)
    ports: Any = type("Ports", (), {"requests": requests, "codec": PlatformHeaders()})
    ctx.ports = ports
    ctx.reach.is_cut_off = True
    for member in members["d0"][1:]:
        ctx.reach.hear(member.vm, True, False, clock.now)
        ctx.caller_addresses[member.vm] = "127.0.0.1:80"
    responses: Any = Responses()
    inbound = InboundRequest("POST", "/", "h", [], b"", 10.0)
    metadata = RequestMetadata("r1", 15.0)
    active = ActiveRequest(inbound, metadata, NoCaller(), ROUTE, "s", 25.0)
    Detours(ctx, responses).serve(active)
    return responses.sent, len(requests.sent_to)


def fault(failure: AttemptFailure) -> Any:
    return Err(AttemptFault(failure, ""))


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        (fault(AttemptFailure.SENT), 502),
        (fault(AttemptFailure.INVALID_RESPONSE), 502),
        (fault(AttemptFailure.LATE), 504),
        (StoppingError(), 502),
        (Ok(StoppedResponse()), 502),
    ],
    ids=["broken", "invalid", "late", "stopping", "stopping_in_response"],
)
def test_request_that_may_have_run_is_not_said_not_to_have(
    outcome: Any, status: int
) -> None:
    """Guards against 503, which callers repeat, and against another VM that runs it."""
    sent, sends = serve([outcome])
    assert [response.status for response in sent] == [status]
    assert sends == 1


def test_request_that_was_not_sent_goes_to_one_more_vm() -> None:
    """Guards against callers that are refused for one VM that has just ended."""
    not_sent = fault(AttemptFailure.NOT_SENT)
    sent, sends = serve([not_sent, not_sent])
    assert [(response.status, sends) for response in sent] == [(503, 2)]


def test_request_that_no_vm_can_take_is_refused_at_once() -> None:
    """Guards against waits for VMs that are not there."""
    sent, sends = serve([], helpers=0)
    assert [(response.status, sends) for response in sent] == [(503, 0)]
