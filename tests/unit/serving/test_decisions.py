"""Replays of whole loads against a model of a fleet, in virtual time."""

from __future__ import annotations

from dataclasses import replace
from functools import lru_cache

import pytest
from gooseberry_fakes.measure.decisions import (
    SCENARIOS,
    Outcome,
    compare,
    long_and_short_prompts,
    play,
)
from gooseberry_fakes.measure.fleet_model import FleetResult, FleetScenario
from gooseberryrun._internal.state.serving import ServingPolicy

SEEDS = (1, 2)
PRODUCT = ServingPolicy()
NOISE = 0.05
"""Worth by which runs of equal policies differ for other reasons."""
BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


@lru_cache
def played(scenario: FleetScenario, policy: ServingPolicy) -> tuple[FleetResult, ...]:
    return tuple(play(scenario, policy, seed) for seed in SEEDS)


def counted(results: tuple[FleetResult, ...], kind: str, cause: str) -> int:
    return sum(result.causes(kind).get(cause, 0) for result in results)


@pytest.mark.parametrize("name", ["high load", "lost runner"])
def test_admission_serves_more_of_both_kinds_in_time(name: str) -> None:
    """Long prompts that start together make streams pause and one another late."""
    scenario = BY_NAME[name]
    guarded = played(scenario, PRODUCT)
    unguarded = played(scenario, replace(PRODUCT, admits_prompts=False))
    for kind in ("long", "short"):
        in_time = counted(guarded, kind, "in time")
        assert in_time > counted(unguarded, kind, "in time")


@pytest.mark.parametrize("name", ["engines x 0.33", "engines x 3"])
def test_admission_learns_the_speed_of_the_engines(name: str) -> None:
    """Guards against rates that hold for the engines of one deployment only."""
    scenario = BY_NAME[name]
    usual = played(BY_NAME["usual load"], PRODUCT)
    guarded = played(scenario, PRODUCT)
    unguarded = played(scenario, replace(PRODUCT, admits_prompts=False))
    for found, without, same in zip(guarded, unguarded, usual, strict=True):
        assert found.worth() > without.worth()
        assert found.worth() > same.worth() - NOISE


def test_streams_part_from_the_prompts_that_break_them() -> None:
    scenario = BY_NAME["usual load"]
    parted = played(scenario, PRODUCT)
    mixed = played(scenario, replace(PRODUCT, pause_cost_s=0.0))
    assert counted(parted, "short", "paused") < counted(mixed, "short", "paused")


def test_limited_waits_keep_the_queues_short_under_overload() -> None:
    scenario = BY_NAME["overload"]
    limited = played(scenario, PRODUCT)
    patient = replace(PRODUCT, max_wait_share=1.0, max_wait_per_target=100.0)
    endless = played(scenario, patient)
    for kind in ("long", "short"):
        in_time = counted(limited, kind, "in time")
        assert in_time > counted(endless, kind, "in time")


def test_long_prompts_are_not_starved_by_a_steady_stream_of_urgent_requests() -> None:
    """Patient requests are the less urgent kind; each of them is answered."""
    result = play(BY_NAME["usual load"], PRODUCT, 1)
    patient = [r for r in result.requests if r.kind.name == "patient"]
    assert len(patient) > 30
    assert [r.outcome for r in patient] == ["served"] * len(patient)


def test_same_seed_gives_the_same_run() -> None:
    scenario = FleetScenario("short", long_and_short_prompts(0.5), length_s=10.0)
    first, second = (play(scenario, PRODUCT, 7) for _ in range(2))
    assert first.worth() == second.worth()
    assert first.store_loads == second.store_loads


def test_small_differences_are_not_called_better() -> None:
    product = [Outcome(0.5, 1), Outcome(0.6, 1), Outcome(0.7, 1)]
    noisy = [Outcome(0.6, 1), Outcome(0.5, 1), Outcome(0.71, 1)]
    better = [Outcome(0.55, 1), Outcome(0.65, 1), Outcome(0.76, 1)]
    assert compare(product, noisy).verdict == "no difference"
    assert compare(product, better).verdict == "better"
