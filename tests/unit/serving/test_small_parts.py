"""Retry budget, load figures of runners, event framing and store reachability."""

from __future__ import annotations

from typing import Any

from gooseberryrun._internal.coordination.serving import (
    Context,
    EventBuffer,
    StoreStatus,
    make_context,
)
from gooseberryrun._internal.state import ManualClock, RetrySettings, ServingSettings
from gooseberryrun._internal.state.serving import (
    Member,
    RunnerLoads,
    RunnerView,
    ServiceRetryBudget,
    View,
    failure_rate,
)


def test_all_vms_together_stay_within_the_budget_while_everything_fails() -> None:
    vms = 9
    cfg = RetrySettings(ratio=0.2, slack=58, window_s=10.0)
    budgets = [ServiceRetryBudget(cfg, -100.0) for _ in range(vms)]
    granted = 0
    for number in range(900):
        budget = budgets[number % vms]
        now = number * 0.01
        budget.count_request(now)
        granted += sum(budget.try_withdraw(now, vms) for _ in range(3))
    assert 0 < granted <= 0.2 * 900 + 58


def test_budget_comes_back_after_the_window() -> None:
    cfg = RetrySettings(ratio=0.0, slack=10, window_s=10.0)
    budget = ServiceRetryBudget(cfg, -100.0)
    while budget.try_withdraw(0.0, 1):
        pass
    assert not budget.allowance(9.0, 1).has_retry_left
    assert budget.allowance(10.5, 1).has_retry_left


def test_figures_of_silent_peers_stop_counting() -> None:
    loads = RunnerLoads()
    loads.receive("vm-b", {"r1": RunnerView(5, 900, 3, 1, 1.0)}, 0.0)
    assert loads.total("r1", 1.0).in_flight == 5
    assert loads.total("r1", 9.0).in_flight == 0


def test_failures_stop_counting_so_that_a_runner_is_tried_again() -> None:
    loads = RunnerLoads()
    for _ in range(10):
        loads.record_result("r1", ok=False, now=0.0)
    assert failure_rate(loads.total("r1", 1.0)) > 0.5
    assert failure_rate(loads.total("r1", 5.0)) == 0.0


def test_only_whole_events_are_passed_on() -> None:
    events = EventBuffer()
    assert events.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert events.last_id == "1"
    assert events.feed(b"ta: b\n\n") == b"id: 2\ndata: b\n\n"
    assert events.last_id == "2"
    assert events.remainder() == b""


def test_half_an_event_of_a_dead_runner_is_dropped() -> None:
    events = EventBuffer()
    events.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    events.discard_partial()
    assert events.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


def make_ctx(members: list[str]) -> Context:
    vm = {"id": members[0], "domain": "d", "address": "127.0.0.1"}
    settings = {
        "vm": vm,
        "peer": {"secret": "s"},
        "entry": {"callers": "a:1", "readiness": "a:2", "metrics_port": 3},
        "store": {"address": "a:4"},
    }
    cfg = ServingSettings.model_validate(settings)
    nothing: Any = None
    ctx = make_context(cfg, ManualClock(), nothing, nothing)
    known = tuple(Member(name, "d", "127.0.0.1", 1) for name in members)
    ctx.ownership.adopt(View(1, known), 0.0)
    return ctx


def test_store_counts_as_lost_only_if_every_member_says_so_now() -> None:
    ctx = make_ctx(["vm-a", "vm-b", "vm-c"])
    peers = ctx.peer_ids()
    ctx.store_statuses["vm-b"] = StoreStatus(10.0, can_reach_store=False)
    assert not ctx.is_store_unreachable_for_all(peers, 10.1)
    assert ctx.is_store_unreachable_for_all(["vm-b"], 10.1)
    ctx.store_statuses["vm-c"] = StoreStatus(10.0, can_reach_store=False)
    assert ctx.is_store_unreachable_for_all(peers, 10.1)
    assert not ctx.is_store_unreachable_for_all(peers, 12.0)
    ctx.store_statuses["vm-b"] = StoreStatus(12.0, can_reach_store=True)
    ctx.store_statuses["vm-c"] = StoreStatus(12.0, can_reach_store=False)
    assert not ctx.is_store_unreachable_for_all(peers, 12.1)
    ctx.store_statuses["vm-b"] = StoreStatus(12.0, can_reach_store=False)
    assert ctx.is_store_unreachable_for_all(peers, 12.1)


def test_store_is_not_lost_while_a_vm_that_is_not_listed_reaches_it() -> None:
    ctx = make_ctx(["vm-a", "vm-b"])
    ctx.store_statuses["vm-b"] = StoreStatus(10.0, can_reach_store=False)
    ctx.store_statuses["vm-new"] = StoreStatus(10.0, can_reach_store=True)
    assert not ctx.is_store_unreachable_for_all(["vm-b"], 10.1)
