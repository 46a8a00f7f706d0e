"""Requests that a stopping process interrupts while they wait."""

from __future__ import annotations

from typing import Any

import pytest
from gooseberryrun._internal.coordination.serving import (
    ActiveRequest,
    InboundRequest,
    LocalResponse,
    RequestMetadata,
    StoppingError,
)
from gooseberryrun._internal.coordination.serving._model_requests import ModelRequests
from gooseberryrun._internal.state import ManualClock

from tests.lib.fleet import GroupStore, make_members, make_vm
from tests.lib.origins import ROUTE


class Responses:
    """Keeps the responses that the VM generates."""

    def __init__(self) -> None:
        self.sent: list[LocalResponse] = []

    def send_local(self, _active: ActiveRequest, response: LocalResponse) -> None:
        self.sent.append(response)


class WaitingOrigins:
    """Origins whose lookup waits for a peer when the process stops."""

    def constrain(self, _active: ActiveRequest) -> LocalResponse | None:
        raise StoppingError


@pytest.mark.parametrize(("is_in_flight", "status"), [(False, 503), (True, 502)])
def test_request_that_waits_for_the_origin_of_its_stream_is_answered(
    is_in_flight: bool, status: int
) -> None:
    """The exception ended its green thread, and its connection without an answer."""
    members = make_members(1, 1)
    ctx, _ = make_vm(members["d0"][0], GroupStore(members), [], ManualClock(10.0))
    none: Any = None
    origins: Any = WaitingOrigins()
    responses: Any = Responses()
    requests = ModelRequests(
        ctx, none, none, none, none, none, responses, origins, none, none
    )
    metadata = RequestMetadata("r2", 15.0, "m", last_event_id="4", resumes="r1")
    inbound = InboundRequest("POST", "/", "h", [], b"", 10.0)
    active = ActiveRequest(inbound, metadata, none, ROUTE, "s", 25.0)
    active.is_in_flight = is_in_flight
    requests.serve(active)
    assert [(sent.status, sent.reason) for sent in responses.sent] == [
        (status, "stopping")
    ]
