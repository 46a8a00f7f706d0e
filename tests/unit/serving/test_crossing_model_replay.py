"""Replay of streams at model runners of which one failure domain has too few."""

from __future__ import annotations

import dataclasses
from functools import cache

import pytest

from tests.lib.crossing_model_replay import ModelLoad, ModelReplay
from tests.lib.crossing_replay import Outcome, Rule, wave

WAVES = [wave(50.0, domain / 3) for domain in range(3)]
SURGE = {0: 90.0, 1: 30.0, 2: 30.0}
LOADS = {
    "waves": ModelLoad(lambda domain, now: WAVES[domain](now)),
    "unequal_runners": ModelLoad(lambda domain, now: 48.0, runners=(10, 10, 6)),
    "shift": ModelLoad(
        lambda domain, now: SURGE[domain] if 10 <= now < 30 else 50.0,
    ),
}


SEEDS = (1, 2, 3)
DURATION_S = 34.0


@cache
def run(name: str, rule: Rule) -> Outcome:
    """Return the sums over all seeds."""
    total = Outcome()
    for seed in SEEDS:
        load = dataclasses.replace(LOADS[name], seed=seed, duration_s=DURATION_S)
        outcome = ModelReplay(load, rule).run()
        for field in dataclasses.fields(Outcome):
            both = getattr(total, field.name) + getattr(outcome, field.name)
            setattr(total, field.name, both)
    return total


@pytest.mark.parametrize("name", LOADS)
def test_full_domain_of_runners_sends_elsewhere_in_time(name: str) -> None:
    """VMs that followed only their own runners used others only for rare adapters."""
    alone, constant, shares = (run(name, rule) for rule in Rule)
    assert shares.in_time_share > alone.in_time_share + 0.1
    assert shares.in_time_share > constant.in_time_share + 0.004
    assert shares.in_time_share > 0.97


@pytest.mark.parametrize("name", LOADS)
def test_full_domain_of_runners_sends_no_more_than_it_gains(name: str) -> None:
    constant, shares = run(name, Rule.CONSTANT), run(name, Rule.SHARES)
    assert shares.bytes_across <= 1.1 * constant.bytes_across
    assert shares.oscillation <= constant.oscillation + 0.03
