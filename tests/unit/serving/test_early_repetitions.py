"""Requests that their callers repeat before the time named by a refusal."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
from gooseberryrun._internal.coordination.serving import LocalResponse
from gooseberryrun._internal.coordination.serving._active_request import (
    make_active_request,
)
from gooseberryrun._internal.coordination.serving._responses import ResponseWriter
from gooseberryrun._internal.state.serving import (
    RunnerQueue,
    ServingPolicy,
    SlotWait,
    Waiter,
)
from gooseberryrun._internal.state.serving._runner_queue import MAX_WAITERS
from gooseberryrun._internal.state.serving.admission import (
    Claim,
    FairShares,
    RefusedRequests,
    SlotClaim,
    SlotOutcome,
    SlotQueue,
    choose_displaced,
)
from gooseberryrun._internal.state.serving.admission._refused_requests import (
    MAX_ENTRIES,
)

from tests.lib.slot_replay import Load, Scenario, SlotReplay
from tests.lib.usage_fleet import UsageFleet, make_account
from tests.unit.serving.test_usage_admission import GatewayVm, make_active


def make_claim(number: int, is_early: bool, priority: int = 1) -> SlotClaim:
    return SlotClaim(
        "vm", number, f"r{number}", "a", priority, 9.0, 9.0, is_early=is_early
    )


def test_repetition_is_early_until_the_time_that_it_was_told() -> None:
    refused = RefusedRequests()
    refused.record("a", "r1", 5.0)
    assert refused.is_early("a", "r1", 4.0)
    assert not refused.is_early("a", "r1", 4.96)
    assert not refused.is_early("b", "r1", 4.0)
    assert not refused.is_early("a", "r2", 4.0)
    refused.record("a", "r1", 3.0)
    assert not refused.is_early("a", "r1", 4.0)


def test_refused_requests_are_remembered_up_to_a_number() -> None:
    """Guards against callers that fill the memory by repeating refused requests."""
    refused = RefusedRequests()
    for number in range(MAX_ENTRIES + 5):
        refused.record("a", f"r{number}", 9.0)
    assert len(refused._retry_at) == MAX_ENTRIES
    assert not refused.is_early("a", "r4", 0.0)
    assert refused.is_early("a", "r5", 0.0)


def test_early_repetitions_wait_behind_others_of_their_priority() -> None:
    claims = [
        Claim("a", 1, False, 1.0, 0.0, is_early=True),
        Claim("b", 1, True, 1.0, 1.0),
        Claim("b", 1, False, 1.0, 2.0),
        Claim("b", 2, False, 1.0, 3.0),
    ]
    ranks = FairShares(4.0).ranks(claims)
    assert sorted(range(4), key=lambda n: ranks[n]) == [2, 1, 0, 3]


def test_early_repetition_makes_way_in_a_full_queue_and_displaces_no_other() -> None:
    """Guards against callers that hold a queue by repeating faster than others."""
    claims = [Claim("a", 1, False, 1.0, n) for n in range(4)]
    claims.append(Claim("b", 1, False, 1.0, 0.0, is_early=True))
    ranks = FairShares(0.0).ranks(claims)
    new = Claim("a", 1, False, 1.0, 9.0)
    early = Claim("c", 1, False, 1.0, 9.0, is_early=True)
    assert choose_displaced(claims, ranks, new) == 4
    assert choose_displaced(claims, ranks, early) is None
    assert choose_displaced(claims[:4], ranks[:4], early) is None


def test_slot_goes_to_a_first_request_before_an_early_repetition() -> None:
    queue = SlotQueue(1)
    for number in range(2):
        assert queue.ask(make_claim(number, False), 0.0).outcome == SlotOutcome.GRANTED
    queue.ask(make_claim(2, True), 0.0)
    queue.ask(make_claim(3, False), 0.1)
    queue.release("vm", 0, True, 0.2)
    assert [claim.ticket for claim in queue.advance(0.2).granted] == [3]


def test_runner_queue_serves_early_repetitions_last() -> None:
    queue: RunnerQueue[Waiter] = RunnerQueue(4, ServingPolicy())
    for number in range(MAX_WAITERS):
        wait = SlotWait(1, 5.0, 9.0)
        waiter = Waiter(f"r{number}", f"m/{number}", 0, wait, 0, 0.0, account="a")
        waiter.is_early = number == 0
        queue.add(waiter, 0.0)
    assert queue.by_rank(0.0)[-1].request_id == "r0"


@pytest.mark.parametrize("has_account", [False, True])
def test_refusals_are_remembered_only_where_there_are_accounts(
    has_account: bool,
) -> None:
    """Guards against work in deployments without accounts."""
    ctx = UsageFleet([make_account(60_000.0)], 1, 1).vms["vm-000"].ctx
    codec = SimpleNamespace(encode_refusal=lambda *_: [])
    ports: Any = SimpleNamespace(codec=codec)
    ctx.ports = ports
    active = make_active(ctx.clock.boottime())
    caller: Any = SimpleNamespace(respond=lambda *_: None)
    active.caller = caller
    account = active.account
    assert account is not None
    if not has_account:
        active.account = None
    ResponseWriter(ctx).send_local(active, LocalResponse(503, "overload", 1.0))
    request_id = active.metadata.request_id
    now = ctx.clock.monotonic()
    assert ctx.refused.is_early(account.name, request_id, now) is has_account


@pytest.mark.usefixtures("nothing_scheduled")
def test_gateway_recognises_an_early_repetition() -> None:
    """Guards against repetitions that no decision knows of."""
    vm = GatewayVm()
    now = vm.fleet.clock.boottime()
    first = make_active(now)
    assert first.account is not None
    ctx = vm.fleet.vms["vm-000"].ctx
    refused = ctx.refused
    for told_in_s, is_early in ((0.0, False), (1.0, True)):
        refused.record(first.account.name, first.metadata.request_id, now + told_in_s)
        again = make_active_request(
            ctx, first.request, first.metadata, first.caller, first.route, first.account
        )
        assert again.is_early is is_early


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("burst", "lost"), [(2.5, ()), (1.6, ((0, 1.0, 6.0),))], ids=["burst", "crash"]
)
def test_others_lose_nothing_to_an_account_that_repeats_at_once(
    burst: float, lost: tuple[tuple[int, float, float], ...], seed: int
) -> None:
    """Guards against an account whose impatience gets it the slots of the others."""
    others = [Load(f"a{n}", burst * 135 / 16) for n in range(1, 16)]
    first = Load("a0", 7 * 135 / 16, retries_at_once=True)
    scenario = Scenario((first, *others), length_s=6.0, lost=lost)
    in_time = {}
    for ranks_early in (False, True):
        replay = SlotReplay(scenario, True, seed, ranks_early).run()
        in_time[ranks_early] = sum(replay.in_time(o.account, 1.0) for o in others)
    print(in_time)
    assert in_time[True] > in_time[False]
