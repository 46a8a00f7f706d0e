"""Adapter slots under demand that shifts over many adapters."""

from __future__ import annotations

import random

from gooseberryrun._internal.state.serving import AdapterSlots, RecentAdapters, Step

LIMIT = 6


def hold(slots: AdapterSlots, *adapters: str) -> None:
    for adapter in adapters:
        slots.held[adapter] = 1


def test_free_place_is_used_before_anything_is_dropped() -> None:
    slots = AdapterSlots(LIMIT)
    hold(slots, "a", "b")
    assert slots.plan("c", 0, 0.0).step is Step.LOAD


def test_place_on_its_way_is_not_promised_twice() -> None:
    slots = AdapterSlots(2)
    hold(slots, "a")
    slots.loading["b"] = 0
    slots.record_use("vm", "a", 1, 0.0)
    assert slots.plan("c", 0, 0.1).step is Step.WAIT


def test_adapter_in_use_is_not_dropped() -> None:
    slots = AdapterSlots(2)
    hold(slots, "a", "b")
    slots.record_use("vm", "a", 1, 0.0)
    plan = slots.plan("c", 0, 0.1)
    assert (plan.step, plan.victim) == (Step.EVICT, "b")


def test_adapter_that_arrived_is_kept_for_the_request_that_asked_for_it() -> None:
    """Guards against requests that reach the runner after their adapter was evicted."""
    slots = AdapterSlots(1)
    hold(slots, "a")
    slots.reserve("a", 0.15)
    assert slots.plan("b", 0, 0.1).step is Step.WAIT
    assert slots.plan("b", 0, 0.2).step is Step.EVICT


def test_least_wanted_adapter_makes_way() -> None:
    slots = AdapterSlots(2)
    hold(slots, "popular", "rare")
    for at in range(5):
        slots.record_demand("popular", float(at))
    slots.record_demand("rare", 5.0)
    assert slots.plan("new", 0, 5.1).victim == "rare"


def test_new_version_replaces_the_old_one_in_its_place() -> None:
    slots = AdapterSlots(1)
    hold(slots, "a")
    slots.record_use("vm", "a", 1, 0.0)
    assert slots.plan("a", 2, 0.1).step is Step.LOAD


def test_at_most_four_adapters_are_on_their_way() -> None:
    slots = AdapterSlots(LIMIT)
    slots.loading.update({"a": 0, "b": 0, "c": 0, "d": 0})
    assert slots.plan("e", 0, 0.0).step is Step.WAIT


def test_popular_adapters_stay_under_a_stream_of_rare_ones() -> None:
    """Plays a Zipf load over 3,000 adapters on one runner with six slots."""
    rng = random.Random(1)
    slots = AdapterSlots(LIMIT)
    weights = [1 / rank**1.2 for rank in range(1, 3001)]
    requests = rng.choices(range(3000), weights, k=3000)
    hits = 0
    for number, rank in enumerate(requests):
        now = number * 0.25
        adapter = f"m/a{rank}"
        slots.record_demand(adapter, now)
        plan = slots.plan(adapter, 0, now)
        hits += plan.step is Step.PRESENT
        if plan.step is Step.EVICT:
            del slots.held[plan.victim]
        slots.held[adapter] = 1
        assert len(slots.held) <= LIMIT
    most_popular = sum(rank < LIMIT - 1 for rank in requests)
    assert hits > 0.8 * most_popular


def test_memory_of_a_runner_ends_with_its_restart() -> None:
    recent = RecentAdapters()
    recent.record(1, ["a", "b"])
    assert recent.contains(1, "a")
    recent.record(2, ["c"])
    assert not recent.contains(2, "a")
