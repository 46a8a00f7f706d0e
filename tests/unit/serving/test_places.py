"""Adapter places under demand that moves over many adapters."""

from __future__ import annotations

import random

from gooseberryrun._internal.state.serving import AdapterSlots, RecentAdapters, Step

LIMIT = 6


def hold(places: AdapterSlots, *adapters: str) -> None:
    for adapter in adapters:
        places.held[adapter] = 1


def test_free_place_is_used_before_anything_is_dropped() -> None:
    places = AdapterSlots(LIMIT)
    hold(places, "a", "b")
    assert places.plan("c", 0, 0.0).step is Step.LOAD


def test_place_on_its_way_is_not_promised_twice() -> None:
    places = AdapterSlots(2)
    hold(places, "a")
    places.coming["b"] = 0
    places.record_use("vm", "a", 1, 0.0)
    assert places.plan("c", 0, 0.1).step is Step.WAIT


def test_adapter_in_use_is_not_dropped() -> None:
    places = AdapterSlots(2)
    hold(places, "a", "b")
    places.record_use("vm", "a", 1, 0.0)
    plan = places.plan("c", 0, 0.1)
    assert (plan.step, plan.victim) == (Step.EVICT, "b")


def test_adapter_that_arrived_is_kept_for_the_request_that_asked_for_it() -> None:
    """Replays trouble-2 of the guild: 582 requests met an adapter already dropped."""
    places = AdapterSlots(1)
    hold(places, "a")
    places.reserve("a", 0.15)
    assert places.plan("b", 0, 0.1).step is Step.WAIT
    assert places.plan("b", 0, 0.2).step is Step.EVICT


def test_least_wanted_adapter_makes_way() -> None:
    places = AdapterSlots(2)
    hold(places, "popular", "rare")
    for at in range(5):
        places.record_demand("popular", float(at))
    places.record_demand("rare", 5.0)
    assert places.plan("new", 0, 5.1).victim == "rare"


def test_new_version_replaces_the_old_one_in_its_place() -> None:
    places = AdapterSlots(1)
    hold(places, "a")
    places.record_use("vm", "a", 1, 0.0)
    assert places.plan("a", 2, 0.1).step is Step.LOAD


def test_at_most_four_adapters_are_on_their_way() -> None:
    places = AdapterSlots(LIMIT)
    places.coming.update({"a": 0, "b": 0, "c": 0, "d": 0})
    assert places.plan("e", 0, 0.0).step is Step.WAIT


def test_popular_adapters_stay_under_a_stream_of_rare_ones() -> None:
    """Replays a Zipf load over 3,000 adapters on one runner with six places."""
    rng = random.Random(1)
    places = AdapterSlots(LIMIT)
    weights = [1 / rank**1.2 for rank in range(1, 3001)]
    requests = rng.choices(range(3000), weights, k=3000)
    hits = 0
    for number, rank in enumerate(requests):
        now = number * 0.25
        adapter = f"m/a{rank}"
        places.record_demand(adapter, now)
        plan = places.plan(adapter, 0, now)
        hits += plan.step is Step.PRESENT
        if plan.step is Step.EVICT:
            del places.held[plan.victim]
        places.held[adapter] = 1
        assert len(places.held) <= LIMIT
    most_popular = sum(rank < LIMIT - 1 for rank in requests)
    assert hits > 0.8 * most_popular


def test_memory_of_a_runner_ends_with_its_restart() -> None:
    memory = RecentAdapters()
    memory.record(1, ["a", "b"])
    assert memory.contains(1, "a")
    memory.record(2, ["c"])
    assert not memory.contains(2, "a")
