"""Decisions about one runner under random scripts."""

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
        state.WorkClass.QUICK if number % 2 else state.WorkClass.PATIENT,
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
    """A scheduler beside a model of its engine, driven step by step."""

    book: coordination.RunnerScheduler
    order: coordination.LoadOrder | None = None
    engine: set[str] = field(default_factory=set)

    def step(self, number: int, action: str, pick: int, flag: bool) -> None:
        now = float(number)
        if action == "ask":
            self.book.enqueue(make_waiting(number, MODELS[pick], now, suspect=flag))
        elif action == "grant":
            self.book.next_grant(f"g{number}", now)
        elif action == "end" and self.book.grants:
            self.book.release(sorted(self.book.grants)[pick % len(self.book.grants)])
        elif self.order is None:
            self._step_without_order(now, action, flag)
        elif action in ("done", "fail"):
            self._end_order(now, self.order, loaded=action == "done")

    def _step_without_order(self, now: float, action: str, flag: bool) -> None:
        if action == "sync":
            self.book.sync_resident(sorted(self.engine), now)
        elif action == "order":
            self.order = self.book.next_order(now, may_evict=flag)
            if self.order is not None:
                assert flag or self.order.victim is None
                self.book.start_order(self.order)

    def _end_order(
        self, now: float, order: coordination.LoadOrder, loaded: bool
    ) -> None:
        if order.victim is not None:
            self.engine.discard(order.victim)
            self.book.finish_evict(True, now)
        if loaded:
            self.engine.add(order.model)
        self.book.finish_load(loaded, now, retry_s=3.0)
        self.order = None

    def check(self) -> None:
        grants = self.book.grants.values()
        assert self.book.running() <= self.book.batch
        assert len(list(self.book.resident())) <= self.book.slots
        assert sum(grant.suspect for grant in grants) <= 1
        assert all(grant.model in self.engine for grant in grants)


@pytest.mark.parametrize("make", [make_weighted, coordination.FifoLruPolicy])
@settings(max_examples=150, derandomize=True, deadline=None)
@given(actions)
def test_pins_slots_batch_and_suspects_hold(
    make: Callable[[], coordination.Policy], steps: list[tuple[str, int, bool]]
) -> None:
    script = Script(make_scheduler(make()))
    for number, (action, pick, flag) in enumerate(steps):
        script.step(number, action, pick, flag)
        script.check()
    book = script.book
    assert book.queued == sum(len(queue) for _, queue in book.queues())


def test_lost_resident_adapter_is_loaded_again() -> None:
    book = make_scheduler(make_weighted())
    book.sync_resident(["m0@1"], 0.0)
    book.sync_resident([], 1.0)
    book.enqueue(make_waiting(1, "m0@1", 1.0))
    order = book.next_order(2.0, may_evict=False)
    assert order is not None and order.model == "m0@1"


def test_patient_work_does_not_starve() -> None:
    """With endless quick work, an aged patient request still gets its turn."""
    book = make_scheduler(make_weighted())
    book.sync_resident(["m0@1"], 0.0)
    book.enqueue(make_waiting(0, "m0@1", 0.0))
    for number in range(1, 400, 2):
        now = float(number)
        book.enqueue(make_waiting(number, "m0@1", now))
        grant = book.next_grant(f"g{number}", now)
        assert grant is not None
        book.release(grant.grant_id)
        if grant.request_id == "q0":
            return
    raise AssertionError("the patient request was never granted")


def test_retry_budget_bounds_repeats() -> None:
    cfg = state.LimitSettings(retry_budget_ratio=0.2, retry_budget_floor=10)
    budget = coordination.RetryBudget(cfg)
    spent = 0
    for _ in range(1000):
        budget.earn()
        while budget.spend():
            spent += 1
    assert spent <= 10 + 0.2 * 1000 + 1


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
