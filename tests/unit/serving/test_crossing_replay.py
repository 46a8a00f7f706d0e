"""Replay of loads that one failure domain cannot serve alone, without network."""

from __future__ import annotations

import dataclasses
from functools import cache

import pytest

from tests.lib.crossing_replay import Load, Outcome, Replay, Rule, wave

WAVES = [wave(62.0, domain / 3) for domain in range(3)]
SURGE = {0: 100.0, 1: 25.0, 2: 25.0}
"""Rates while a third of the callers of domains 1 and 2 use domain 0."""
LOADS = {
    "waves": Load(lambda domain, now: WAVES[domain](now)),
    "waves_without_queues": Load(lambda domain, now: WAVES[domain](now), queue=0),
    "unequal_servers": Load(lambda domain, now: 100.0, servers=(2, 2, 1)),
    "crash": Load(
        lambda domain, now: 45.0,
        is_down=lambda server, now: server.startswith("d1") and 20 <= now < 25,
    ),
    "shift": Load(
        lambda domain, now: SURGE[domain] if 10 <= now < 30 else 50.0,
    ),
    "late_figures": Load(lambda domain, now: WAVES[domain](now), figures_late_s=2.0),
}
LEAST_IN_TIME = {"waves_without_queues": 0.94}
"""All slots are taken for 0.05 of the requests there, wherever these go (Erlang's
formula for 18 slots and 13.4 requests at work)."""
MOST_BYTES = {"waves_without_queues": 0.8}
"""Bytes relative to the constant: most of them follow 503 answers there."""
DURATION_S = 40.0
NOISE = 0.004
"""Difference of the requests in time that another seed makes."""


@cache
def run(name: str, rule: Rule) -> Outcome:
    load = dataclasses.replace(LOADS[name], duration_s=DURATION_S)
    return Replay(load, rule).run()


@pytest.mark.parametrize("name", LOADS)
def test_shares_serve_more_in_time_than_a_domain_alone(name: str) -> None:
    """A domain that keeps its requests serves 2 to 12 % of them too late."""
    alone, shares = run(name, Rule.NEVER), run(name, Rule.SHARES)
    assert shares.in_time_share > LEAST_IN_TIME.get(name, 0.99)
    assert shares.in_time_share > alone.in_time_share + 0.02


@pytest.mark.parametrize("name", LOADS)
def test_shares_serve_as_many_in_time_as_the_constant(name: str) -> None:
    """With figures 2 s old no share applies, and the constant does."""
    constant, shares = run(name, Rule.CONSTANT), run(name, Rule.SHARES)
    assert shares.in_time_share >= constant.in_time_share - NOISE
    assert shares.oscillation <= constant.oscillation + 0.03


@pytest.mark.parametrize("name", [name for name in LOADS if name != "late_figures"])
def test_shares_send_fewer_bytes_than_the_constant(name: str) -> None:
    """The constant sends requests that their own domain would serve in time."""
    constant, shares = run(name, Rule.CONSTANT), run(name, Rule.SHARES)
    assert shares.bytes_across <= MOST_BYTES.get(name, 0.7) * constant.bytes_across


def test_no_request_is_selected_on_figures_that_are_too_old() -> None:
    assert run("waves", Rule.SHARES).selected > 0
    assert run("late_figures", Rule.SHARES).selected == 0
