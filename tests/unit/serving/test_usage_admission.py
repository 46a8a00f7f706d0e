"""Capped requests on their way: refused on arrival, and a permit for each send."""

from __future__ import annotations

from typing import Any

import pytest
from gooseberryrun._internal.coordination.serving import (
    ActiveRequest,
    AttemptFailure,
    AttemptFault,
    ForwardingMetadata,
    InboundRequest,
    LocalResponse,
    OutboundRequest,
    RequestMetadata,
    ResponseMetadata,
    StoppingError,
)
from gooseberryrun._internal.coordination.serving._attempts import Attempts
from gooseberryrun._internal.coordination.serving._gateway import Gateway
from gooseberryrun._internal.coordination.serving._responses import refusal_over_cap
from gooseberryrun._internal.coordination.serving.where._query import NoCaller
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import Handling, Verdict
from gooseberryrun._internal.state.serving.accounts import UsagePermit, UsageUnit
from result import Err, Ok, Result

from tests.lib.fleet import GroupStore, make_members, make_runners, make_vm
from tests.lib.usage_fleet import ROUTE, TOKENS, UsageFleet, make_account

RUNNER = make_runners(1, 1)[0]
PERMIT = UsagePermit("a", UsageUnit.TOKENS, 2_400.0, 10.0)


class _Response:
    def __init__(self, is_not_run: bool) -> None:
        self.status = 503 if is_not_run else 200
        self.metadata = ResponseMetadata("r1", True, is_not_run, False, False)


class _Ports:
    """Codec and runner connections; each send has the given outcome."""

    def __init__(self, outcome: Result[Any, AttemptFault]) -> None:
        self._outcome = outcome
        self.sent: list[OutboundRequest] = []
        self.requests = self
        self.codec = self

    def encode_request(self, headers: Any, _forwarding: ForwardingMetadata) -> Any:
        return headers

    def send(
        self, _runner: Any, request: OutboundRequest, _deadline: float
    ) -> Result[Any, AttemptFault]:
        self.sent.append(request)
        return self._outcome

    def refuses_connections(self, _runner: Any) -> bool:
        return False


class _Responses:
    def __init__(self) -> None:
        self.sent: list[LocalResponse] = []

    def send_local(self, _active: ActiveRequest, response: LocalResponse) -> None:
        self.sent.append(response)


class _Guard:
    def judge(self, _active: ActiveRequest, _now: float) -> Verdict:
        return Verdict(Handling.FREE)


class _Services:
    """Stands in for both kinds of services, and for the retry budgets."""

    def __init__(self) -> None:
        self.served = 0
        self.counted = 0

    def serve(self, _active: ActiveRequest) -> None:
        self.served += 1

    def count_request(self, _service: str) -> None:
        self.counted += 1


def make_active(now: float) -> ActiveRequest:
    metadata = RequestMetadata(
        "r1", 15.0, "m", prompt_tokens=TOKENS, has_token_count=True
    )
    inbound = InboundRequest("POST", "/", "h", [], b"", now)
    account = make_account(60_000.0)
    return ActiveRequest(
        inbound, metadata, NoCaller(), ROUTE, "s", now + 15.0, account=account
    )


@pytest.mark.parametrize(
    ("outcome", "is_kept"),
    [
        (Ok(_Response(is_not_run=True)), True),
        (Err(AttemptFault(AttemptFailure.NOT_SENT, "refused")), True),
        (Err(AttemptFault(AttemptFailure.WITHDRAWN, "waited")), True),
        (Ok(_Response(is_not_run=False)), False),
        (Err(AttemptFault(AttemptFailure.SENT, "reset")), False),
        (Err(AttemptFault(AttemptFailure.LATE, "late")), False),
    ],
)
def test_permit_stays_only_with_a_request_that_has_certainly_not_run(
    outcome: Result[Any, AttemptFault], is_kept: bool
) -> None:
    """A second send by the permit of one that ran would not be counted."""
    members = make_members(1, 1)
    store = GroupStore(members)
    ctx, _ = make_vm(members["d0"][0], store, [RUNNER], ManualClock(10.0))
    ports: Any = _Ports(outcome)
    ctx.ports = ports
    guard: Any = None
    active = make_active(10.0)
    active.usage_permit = PERMIT
    Attempts(ctx, guard).send(active, RUNNER, ForwardingMetadata("i-0", 5.0), 15.0)
    assert active.usage_permit == (PERMIT if is_kept else None)


@pytest.mark.parametrize(("may_have_run", "status"), [(False, 429), (True, 502)])
def test_only_a_request_that_has_not_run_gets_429(
    may_have_run: bool, status: int
) -> None:
    active = make_active(10.0)
    active.may_have_run = may_have_run
    assert refusal_over_cap(active, 1.5).status == status


class GatewayVm:
    """Gateway of a VM of a fleet, with its usage caps."""

    def __init__(self) -> None:
        self.fleet = UsageFleet([make_account(60_000.0)], 1, 1)
        vm = self.fleet.vms["vm-000"]
        self.services = _Services()
        self.responses = _Responses()
        guard: Any = _Guard()
        services: Any = self.services
        responses: Any = self.responses
        self.caps: Any = vm.caps
        self.gateway = Gateway(
            vm.ctx, guard, services, responses, services, services, self.caps
        )

    def serve(self) -> ActiveRequest:
        active = make_active(self.fleet.clock.now)
        self.gateway._serve(active)
        return active


@pytest.mark.usefixtures("nothing_scheduled")
def test_request_beyond_the_cap_is_refused_and_counted_for_no_retry() -> None:
    """Refused requests would else enlarge the retry budget without being sent."""
    vm = GatewayVm()
    while vm.fleet.request("vm-000"):
        pass
    vm.serve()
    assert [response.status for response in vm.responses.sent] == [429]
    assert vm.services.served == vm.services.counted == 0
    vm.fleet.run(1.0)
    vm.serve()
    assert vm.services.served == vm.services.counted == 1


@pytest.mark.usefixtures("nothing_scheduled")
def test_request_that_ends_without_a_send_leaves_its_usage_to_the_next() -> None:
    """Requests that no runner takes would else use the cap up."""
    vm = GatewayVm()
    while vm.fleet.request("vm-000"):
        pass
    vm.fleet.run(0.05)
    for _ in range(5):
        assert vm.serve().usage_permit is None
    assert len(vm.responses.sent) == 0


@pytest.mark.usefixtures("nothing_scheduled")
def test_request_is_answered_if_the_process_stops_while_it_is_admitted() -> None:
    """The exception would end its green thread and leave it without an answer."""
    vm = GatewayVm()

    def stop(_active: ActiveRequest) -> None:
        raise StoppingError

    vm.caps.admit = stop
    vm.serve()
    assert [response.reason for response in vm.responses.sent] == ["stopping"]
