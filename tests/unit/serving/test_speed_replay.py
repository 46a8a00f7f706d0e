"""Replays of runners of unequal speed, in virtual time."""

from __future__ import annotations

from collections import Counter
from functools import lru_cache

import pytest
from gooseberryrun._internal.state.serving.placement import rank_weighted

from tests.lib.speed_replay import (
    SPEEDS,
    Knowledge,
    SpeedLoad,
    SpeedReplay,
    in_time_share,
)

DOMAINS = (24, 23, 23)
SEEDS_DIFFER = 0.005
"""Share by which learnt speeds and none differ in either direction, by seed: the pace
of a runner, which decides on most requests, is learnt in both."""
MARGIN = 0.05
"""Share of the requests by which learnt speeds may be worse than known ones."""


def mixed(count: int) -> tuple[float, ...]:
    return tuple(SPEEDS[number % len(SPEEDS)] for number in range(count))


pytestmark = pytest.mark.timeout(400)
"""The first test plays nine domains, 5 s each on a free core."""


@lru_cache
def played(load: SpeedLoad, knowledge: Knowledge) -> SpeedReplay:
    replay = SpeedReplay(load, knowledge)
    replay.result = replay.run()
    return replay


@lru_cache
def fleet(knowledge: Knowledge) -> tuple[SpeedReplay, ...]:
    """Return three domains whose demand oscillates at different phases."""
    return tuple(
        played(SpeedLoad(mixed(count), phase=number / 3, length_s=34.0), knowledge)
        for number, count in enumerate(DOMAINS)
    )


def share(knowledge: Knowledge) -> float:
    return in_time_share([replay.result for replay in fleet(knowledge)])


def sent_to_fast(knowledge: Knowledge) -> float:
    """Return the share of the requests that went to the fast third of the runners."""
    counts = Counter[float]()
    for replay in fleet(knowledge):
        for number, speed in enumerate(replay.load.speeds):
            counts[speed] += replay.sent[f"i-{number}"]
    return counts[1.7] / counts.total()


def check_counts() -> None:
    """Check that fast runners get more requests and adapters, by few changed weights.

    This is part of the test below, so that one process plays the domains.
    """
    before, after = sent_to_fast(Knowledge.NONE), sent_to_fast(Knowledge.LEARNT)
    assert before < after < sent_to_fast(Knowledge.TRUE)
    adapters = [f"m/a{number}" for number in range(2000)]
    for replay in fleet(Knowledge.LEARNT):
        weights = {}
        for number, speed in enumerate(replay.load.speeds):
            runner = f"i-{number}"
            weights[runner] = replay.weights.steps(runner, 1)
            expected = (4,) if speed == 0.7 else (7, 8, 9, 10, 11)
            assert weights[runner] in expected
            changes = [change for change in replay.changes if change[1] == runner]
            assert len(changes) <= (0 if speed == 0.7 else 5)
        homes = [rank_weighted(adapter, weights)[0] for adapter in adapters]
        fast = sum(weights[home] > 4 for home in homes)
        assert 0.45 < fast / len(adapters) < 0.6


def test_learnt_speeds_serve_about_as_many_in_time_as_known_ones() -> None:
    """70 runners at 0.7, 0.7 and 1.7, demand that oscillates by 55 %.

    Guards against a service that is worse than that of a scheduler which knows the
    speeds and sees the present state, and against weights that do harm.
    """
    learnt = share(Knowledge.LEARNT)
    assert learnt >= share(Knowledge.TRUE) - MARGIN
    assert learnt >= share(Knowledge.NONE) - SEEDS_DIFFER
    check_counts()


def test_equal_runners_are_served_as_without_weights() -> None:
    """Guards against weights that differ where the runners do not."""
    load = SpeedLoad((1.0,) * 12, length_s=34.0)
    learnt = played(load, Knowledge.LEARNT)
    assert not learnt.changes
    before = played(load, Knowledge.NONE)
    found, known = (in_time_share([r.result]) for r in (learnt, before))
    assert found == pytest.approx(known, abs=0.01)


def test_noise_changes_hardly_any_weight() -> None:
    """Guards against homes that move as runners are slow for 15 % of the time."""
    load = SpeedLoad(mixed(12), length_s=60.0, is_noisy=True)
    replay = played(load, Knowledge.LEARNT)
    for number, speed in enumerate(load.speeds):
        steps = replay.weights.steps(f"i-{number}", 1)
        assert steps == 4 if speed == 0.7 else steps >= 6
    since = [change for change in replay.changes if change[0] > 30.0]
    assert len(since) <= len(load.speeds) / 2


def test_runner_that_slows_down_for_good_gets_less() -> None:
    """Guards against requests that wait at a runner which used to be fast."""
    at = 20.0
    load = SpeedLoad(mixed(12), length_s=60.0, changes=((2, at, 0.5),))
    replay = played(load, Knowledge.LEARNT)
    assert replay.weights.steps("i-2", 1) <= 4
    told = [time for time, runner, _ in replay.changes if runner == "i-2"]
    assert any(at < time < at + 20.0 for time in told)
    known = played(load, Knowledge.TRUE)
    found, expected = (in_time_share([r.result], at) for r in (replay, known))
    assert found >= expected - MARGIN


def test_restarted_runner_is_unknown_and_learnt_anew() -> None:
    """It comes back slow: the speed of its former incarnation is not used."""
    load = SpeedLoad(
        mixed(12), length_s=60.0, changes=((2, 24.0, 0.7),), restarts=((2, 20.0, 24.0),)
    )
    replay = played(load, Knowledge.LEARNT)
    assert replay.weights.steps("i-2", 2) == 4
    before = [c for c in replay.changes if c[1] == "i-2" and c[0] < 20.0]
    assert before
    assert before[-1][2] > 4
    known = played(load, Knowledge.TRUE)
    found, expected = (in_time_share([r.result], 24.0) for r in (replay, known))
    assert found >= expected - MARGIN
