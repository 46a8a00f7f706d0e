"""Scheduling of one runner, under random action sequences and in fixed cases."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import gooseberryrun._internal.coordination as coordination
import gooseberryrun._internal.state as state
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

MODELS = [f"m{number}@1" for number in range(6)]


def make_weighted() -> coordination.Policy:
    return coordination.WeightedPolicy(state.PolicySettings())


def make_scheduler(policy: coordination.Policy) -> coordination.RunnerScheduler:
    return coordination.RunnerScheduler("r", 2, 3, policy, 100, 60.0)


def make_waiting(
    number: int, model: str, now: float, suspect: bool = False
) -> coordination.Waiting:
    return coordination.Waiting(
        f"q{number}",
        model,
        "vm",
        "boot",
        state.WorkClass.INTERACTIVE if number % 2 else state.WorkClass.BACKGROUND,
        f"fp{number}",
        suspect,
        now,
        now + 1000.0,
    )


actions = st.lists(
    st.tuples(
        st.sampled_from(
            ["ask", "ask", "grant", "end", "order", "done", "fail", "sync"]
        ),
        st.integers(0, 5),
        st.booleans(),
    ),
    max_size=80,
)


@dataclass
class Script:
    """Scheduler and a model of its engine, driven step by step."""

    scheduler: coordination.RunnerScheduler
    max_running: int
    order: coordination.LoadOrder | None = None
    engine: set[str] = field(default_factory=set)

    def step(self, number: int, action: str, pick: int, flag: bool) -> None:
        now = float(number)
        if action == "ask":
            self.scheduler.enqueue(
                make_waiting(number, MODELS[pick], now, suspect=flag)
            )
        elif action == "grant":
            self.scheduler.next_grant(f"g{number}", now)
        elif action == "end" and self.scheduler.grants:
            self.scheduler.release(
                sorted(self.scheduler.grants)[pick % len(self.scheduler.grants)]
            )
        elif self.order is None:
            self._step_without_order(now, action, flag)
        elif action in ("done", "fail"):
            self._end_order(now, self.order, loaded=action == "done")

    def _step_without_order(self, now: float, action: str, flag: bool) -> None:
        if action == "sync":
            self.scheduler.sync_resident(sorted(self.engine), now)
        elif action == "order":
            self.order = self.scheduler.next_order(now, may_evict=flag)
            if self.order is not None:
                assert flag or self.order.victim is None
                self.scheduler.start_order(self.order)

    def _end_order(
        self, now: float, order: coordination.LoadOrder, loaded: bool
    ) -> None:
        if order.victim is not None:
            self.engine.discard(order.victim)
            self.scheduler.finish_evict(True, now)
        if loaded:
            self.engine.add(order.model)
        self.scheduler.finish_load(loaded, now, retry_s=3.0)
        self.order = None

    def check(self) -> None:
        grants = self.scheduler.grants.values()
        patient = sum(
            grant.work_class is state.WorkClass.BACKGROUND for grant in grants
        )
        assert patient <= self.scheduler.batch
        assert self.scheduler.running() <= self.max_running
        assert len(list(self.scheduler.resident())) <= self.scheduler.slots
        assert sum(grant.suspect for grant in grants) <= 1
        assert all(grant.model in self.engine for grant in grants)


@pytest.mark.parametrize("make", [make_weighted, coordination.FifoLruPolicy])
@settings(max_examples=150, derandomize=True, deadline=None)
@given(actions)
def test_pins_slots_batch_and_suspects_hold(
    make: Callable[[], coordination.Policy], steps: list[tuple[str, int, bool]]
) -> None:
    policy = make()
    script = Script(make_scheduler(policy), policy.max_running(3))
    for number, (action, pick, flag) in enumerate(steps):
        script.step(number, action, pick, flag)
        script.check()
    scheduler = script.scheduler
    assert scheduler.queued == sum(len(queue) for _, queue in scheduler.queues())


def test_lost_resident_adapter_is_loaded_again() -> None:
    scheduler = make_scheduler(make_weighted())
    scheduler.sync_resident(["m0@1"], 0.0)
    scheduler.sync_resident([], 1.0)
    scheduler.enqueue(make_waiting(1, "m0@1", 1.0))
    order = scheduler.next_order(2.0, may_evict=False)
    assert order is not None and order.model == "m0@1"


def test_patient_work_does_not_starve() -> None:
    """A background request is granted eventually under endless interactive work."""
    scheduler = make_scheduler(make_weighted())
    scheduler.sync_resident(["m0@1"], 0.0)
    scheduler.enqueue(make_waiting(0, "m0@1", 0.0))
    for number in range(1, 400, 2):
        now = float(number)
        scheduler.enqueue(make_waiting(number, "m0@1", now))
        grant = scheduler.next_grant(f"g{number}", now)
        assert grant is not None
        scheduler.release(grant.grant_id)
        if grant.request_id == "q0":
            return
    raise AssertionError("the patient request was never granted")


def test_retry_budget_bounds_repeats() -> None:
    cfg = state.LimitSettings(retry_budget_ratio=0.2, retry_budget_floor=10)
    clock = state.ManualClock()
    budget = coordination.RetryBudget(cfg, clock)
    spent = 0
    for _ in range(1000):
        clock.now += 0.01
        budget.deposit()
        while budget.try_withdraw():
            spent += 1
    assert 0.2 * 1000 < spent <= 10 + 0.2 * 1000 + 1


def test_processes_killed_in_series_do_not_get_the_retry_floor_anew() -> None:
    cfg = state.LimitSettings(retry_budget_ratio=0.2, retry_budget_floor=10)
    clock = state.ManualClock()
    spent = 0
    for _ in range(10):
        budget = coordination.RetryBudget(cfg, clock)
        for _ in range(10):
            clock.now += 0.05
            budget.deposit()
            while budget.try_withdraw():
                spent += 1
    assert 0 < spent <= 10 + 0.2 * 100


def test_store_budget_keeps_rate_and_flight() -> None:
    budget = coordination.StoreBudget(2.0, 8, 10.0)
    started = 0
    for tick in range(1000):
        now = tick / 100
        if budget.take(f"r{started}", now) == 0.0:
            started += 1
            if started % 2:
                budget.end(f"r{started - 1}")
    assert started <= 2.0 * 10 + 2


def test_only_quick_work_exceeds_the_batch() -> None:
    """Engines honour priorities, so interactive work may exceed the batch."""
    scheduler = make_scheduler(make_weighted())
    scheduler.sync_resident(["m0@1"], 0.0)
    for number in range(0, 12):
        scheduler.enqueue(make_waiting(number, "m0@1", float(number)))
    classes: list[state.WorkClass] = []
    while (grant := scheduler.next_grant(f"g{len(classes)}", 12.0)) is not None:
        classes.append(grant.work_class)
    assert classes == [state.WorkClass.INTERACTIVE] * 4


def test_shortest_queue_runs_first_and_frees_its_slot() -> None:
    scheduler = make_scheduler(make_weighted())
    scheduler.sync_resident(["m0@1", "m1@1"], 0.0)
    for number in range(0, 20, 2):
        scheduler.enqueue(make_waiting(number, "m0@1", 0.0))
    scheduler.enqueue(make_waiting(20, "m1@1", 1.0))
    grant = scheduler.next_grant("g", 2.0)
    assert grant is not None and grant.model == "m1@1"


@pytest.mark.parametrize(
    ("stall_weight", "fill_weight", "loads"),
    [(4.0, 1.0, ["m0@1", "m1@1", None]), (1.0, 8.0, ["m0@1", "m3@1", "m4@1", "m1@1"])],
    ids=["stalls", "fill"],
)
def test_weights_tell_what_is_loaded_beside_a_deep_queue(
    stall_weight: float, fill_weight: float, loads: list[str | None]
) -> None:
    """Stalls: long queues first, one slot reserved. Fill: short ones beside a long."""
    cfg = state.PolicySettings(
        load_stall_weight=stall_weight, batch_efficiency_weight=fill_weight
    )
    policy = coordination.WeightedPolicy(cfg)
    slots = len(loads)
    scheduler = coordination.RunnerScheduler("r", slots, 3, policy, 100, 60.0)
    for model, count in enumerate([9, 8, 2, 1, 1]):
        for number in range(count):
            waiting = make_waiting(100 * model + 2 * number, MODELS[model], 0.1 * model)
            scheduler.enqueue(waiting)
    for expected in loads:
        order = scheduler.next_order(1.0, may_evict=True)
        assert (order.model if order else None) == expected
        if order is not None:
            scheduler.start_order(order)
            scheduler.finish_load(True, 1.0, 1.0)


def test_store_budget_keeps_one_permit_for_quick_work() -> None:
    budget = coordination.StoreBudget(rate=2.0, in_flight=8, timeout_s=60.0)
    assert budget.take("r1", -1.0, urgent=False) > 0.0
    assert budget.take("r1", 0.0, urgent=False) == 0.0
    assert budget.take("r2", 0.0, urgent=False) > 0.0
    assert budget.take("r3", 0.0, urgent=True) == 0.0
    assert budget.take("r4", 0.0, urgent=True) > 0.0


def test_issuers_killed_in_series_do_not_grant_more_than_the_rate() -> None:
    """Each new issuer began with two permits beside those of its predecessor."""
    started = 0
    for tick in range(200):
        now = tick / 10
        if tick % 10 == 0:
            budget = coordination.StoreBudget(rate=2.0, in_flight=100, timeout_s=60.0)
        started += budget.take(f"r{tick}", now) == 0.0
    assert 0 < started <= 2.0 * 20


def test_expected_wait_grows_with_the_loads_ahead_of_a_request() -> None:
    scheduler = make_scheduler(make_weighted())
    assert scheduler.expected_wait_s("m0@1") == 0.0
    for number, model in enumerate(MODELS):
        scheduler.enqueue(make_waiting(2 * number + 1, model, 0.0))
    for number in range(1, 60):
        model = MODELS[number % 2]
        scheduler.enqueue(make_waiting(100 + 2 * number, model, 0.0))
        scheduler.start_order(coordination.LoadOrder(model, None))
        scheduler.finish_load(True, 2.0 * number, 1.0)
    waits = [scheduler.expected_wait_s(model) for model in ("m0@1", "m5@1", "new@1")]
    assert waits[:2] == [0.0, 0.0]
    assert 9.0 < waits[2] < 11.0
