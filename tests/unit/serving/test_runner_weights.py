"""Speeds and weights of runners, and the home runners of adapters."""

from __future__ import annotations

import dataclasses
import math
import random
from collections import Counter

import pytest
from gooseberryrun._internal.state import rank_nodes
from gooseberryrun._internal.state.serving import (
    Candidate,
    Choice,
    PrefillAdmission,
    PrefillLoad,
    PrefillPace,
    Runner,
    RunnerView,
    ServingPolicy,
    choose_model_runner,
    model_runner_cost_s,
)
from gooseberryrun._internal.state.serving._placement import (
    _load_cost_s,
    _runner_cost_s,
    expected_load_s,
    expected_pauses,
)
from gooseberryrun._internal.state.serving.placement import (
    WINDOW,
    HolderIndex,
    HomeRing,
    RunnerWeight,
    SpeedEstimate,
    SpeedEstimator,
    WeightDecision,
    WeightTable,
    in_flight_limit,
    quantise,
    rank_weighted,
    reference_speed,
    relative_speed,
)
from hypothesis import given
from hypothesis import strategies as st

TOKEN_S = 1 / 20400
POLICY = ServingPolicy()
KEYS = [f"m/a{number}" for number in range(4000)]


def former_cost_s(
    candidate: Candidate, rank: int, is_held: bool, tokens: int, policy: ServingPolicy
) -> tuple[float, float]:
    """Return the cost and expected wait as before there were weights."""
    view, load = candidate.view, candidate.prefill
    unread = view.unread_tokens + max(0, tokens - candidate.cached_tokens)
    overflow = max(0, view.in_flight + 1 - candidate.runner.slots)
    wait_s = load.running_s + (load.waiting_s if candidate.needs_grant else 0.0)
    own_s = load.pace.prefill_s(max(0, tokens - candidate.cached_tokens))
    prefill_s = max(load.pace.prefill_s(unread), wait_s + own_s)
    slowness = view.slowness if policy.follows_slowness else 1.0
    expected_s = slowness * prefill_s + overflow * policy.overflow_cost_s
    expected_s += max(expected_load_s(candidate), candidate.turn_wait_s)
    cost_s = expected_s + _runner_cost_s(candidate, policy)
    cost_s += policy.pause_cost_s * expected_pauses(candidate)
    if not candidate.has_adapter:
        cost_s += _load_cost_s(candidate, rank, is_held, policy)
    return cost_s, expected_s


def former_choice(
    candidates: list[Candidate], adapter: str, tokens: int, policy: ServingPolicy
) -> Choice | None:
    """Choose as before there were weights."""
    ranking = rank_nodes(adapter, [c.runner.id for c in candidates])
    is_held = any(candidate.has_adapter for candidate in candidates)
    best: tuple[float, Choice] | None = None
    for candidate in candidates:
        if not candidate.has_adapter and not candidate.can_load:
            continue
        rank = ranking.index(candidate.runner.id)
        cost_s, expected_s = former_cost_s(candidate, rank, is_held, tokens, policy)
        if best is None or cost_s < best[0]:
            best = (cost_s, Choice(candidate, expected_s))
    return best[1] if best else None


def make_runner(number: int, slots: int = 64, born_ms: int = 1) -> Runner:
    return Runner(f"r{number}", "s", "h", 1, "d", slots, False, born_ms, 0, ())


_CANDIDATE = st.builds(
    lambda slots, view, flags, queue, load, others: Candidate(
        make_runner(0, slots),
        view,
        flags[0],
        flags[1],
        flags[2],
        queue[0],
        queue[1],
        queue[2],
        can_load=flags[3],
        prefill=load,
        needs_grant=flags[4],
        breaks_streams=flags[5],
        stream_s=others[0],
        turn_wait_s=others[1],
    ),
    st.integers(1, 96),
    st.builds(
        RunnerView,
        st.integers(0, 120),
        st.integers(0, 60000),
        st.integers(0, 20),
        st.integers(0, 20),
        st.sampled_from([0.5, 1.0, 1.0, 1.7, 4.0]),
    ),
    st.tuples(*[st.booleans()] * 6),
    st.tuples(st.integers(0, 5), st.integers(0, 12), st.floats(0.0, 1.5)),
    st.builds(
        PrefillLoad,
        st.builds(PrefillPace, st.sampled_from([TOKEN_S, TOKEN_S * 1.4])),
        st.floats(0.0, 2.0),
        st.floats(0.0, 2.0),
        st.floats(0.0, 3.0),
        st.integers(0, 64),
    ),
    st.tuples(st.floats(0.0, 4.0), st.sampled_from([0.0, 0.0, 0.3])),
)


@given(
    st.lists(_CANDIDATE, max_size=24),
    st.sampled_from(KEYS[:50]),
    st.integers(0, 20000),
    st.sampled_from([1, 3, 4, 9]),
)
def test_selections_are_as_before_where_all_runners_have_one_speed(
    drawn: list[Candidate], adapter: str, tokens: int, weight: int
) -> None:
    """Guards against other selections in a fleet of equal runners.

    The weight is that of the median runner for all of them; equal weights of another
    size keep the ranking as well.
    """
    candidates = []
    for number, candidate in enumerate(drawn):
        runner = make_runner(number, candidate.runner.slots)
        candidates.append(_replace(candidate, runner=runner))
    expected = former_choice(candidates, adapter, tokens, POLICY)
    assert choose_model_runner(candidates, adapter, tokens, POLICY) == expected
    is_held = any(candidate.has_adapter for candidate in candidates)
    for rank, candidate in enumerate(candidates):
        assert model_runner_cost_s(
            candidate, rank, is_held, tokens, POLICY
        ) == former_cost_s(candidate, rank, is_held, tokens, POLICY)
    ids = [candidate.runner.id for candidate in candidates]
    ranked = rank_weighted(adapter, dict.fromkeys(ids, weight))
    assert ranked == rank_nodes(adapter, ids)


def _replace(candidate: Candidate, runner: Runner) -> Candidate:
    return dataclasses.replace(candidate, runner=runner)


def test_adapters_per_runner_follow_the_weights() -> None:
    """Guards against slow runners that are homes of as many adapters as fast ones."""
    weights = {f"r{n}": (4, 4, 10)[n % 3] for n in range(24)}
    keys = [f"m/a{number}" for number in range(20000)]
    counts = Counter(rank_weighted(key, weights)[0] for key in keys)
    total = sum(weights.values())
    for runner, weight in weights.items():
        assert counts[runner] == pytest.approx(len(keys) * weight / total, rel=0.15)
    by_weight = Counter({4: 0, 10: 0})
    for runner, count in counts.items():
        by_weight[weights[runner]] += count
    assert by_weight[10] / by_weight[4] == pytest.approx(80 / 64, rel=0.05)


def test_one_changed_weight_moves_only_adapters_of_its_runner() -> None:
    """Guards against loads of many adapters after one changed estimate."""
    before = {f"r{n}": (4, 4, 10)[n % 3] for n in range(24)}
    after = before | {"r2": 9}
    moved = 0
    for key in KEYS:
        old, new = (rank_weighted(key, weights)[0] for weights in (before, after))
        if old != new:
            moved += 1
            assert old == "r2"
    assert 0 < moved / len(KEYS) < 1.5 / sum(before.values())


def test_slow_runner_takes_fewer_requests_at_once_and_a_fast_one_its_slots() -> None:
    """Guards against as many requests at a slow runner, where each lasts longer."""
    assert [in_flight_limit(64, steps) for steps in (1, 2, 4, 9)] == [16, 32, 64, 64]
    assert in_flight_limit(1, 1) == 1
    view = RunnerView(40, 0, 0, 0, 1.0)
    usual = Candidate(make_runner(0), view, True)
    slow = Candidate(make_runner(0), view, True, weight=2)
    cost = model_runner_cost_s(usual, 0, True, 0, POLICY)[0]
    assert model_runner_cost_s(slow, 0, True, 0, POLICY)[0] > cost + 0.5


def observe(
    speeds: list[float], seconds: float, estimator: SpeedEstimator, start: float = 0.0
) -> None:
    """Record four prompts a second whose speeds are repeated in turn."""
    for number in range(int(4 * seconds)):
        speed = speeds[number % len(speeds)]
        estimator.record_prompt(TOKEN_S / speed, start + number / 4)


def decided(
    estimator: SpeedEstimator, weight: RunnerWeight | None, now: float
) -> RunnerWeight | None:
    reference = SpeedEstimate(TOKEN_S, 24)
    decision = WeightDecision(1)
    return decision.decide(estimator.estimate, reference, weight, now) or weight


def test_few_samples_change_no_weight() -> None:
    """Guards against a weight from the first prompts of a runner."""
    estimator = SpeedEstimator()
    assert decided(estimator, None, 0.0) is None
    observe([1.7], 9.0, estimator)
    assert decided(estimator, None, 9.0) is None
    observe([1.7], 21.0, estimator, 9.0)
    found = decided(estimator, None, 30.0)
    assert found is not None
    assert found.steps == 7


@pytest.mark.parametrize(
    ("episode_s", "begins_at"), [(0.25, 0.0), (3.0, 0.0), (4.5, 0.0), (8.0, 20.0)]
)
def test_noise_is_no_speed(episode_s: float, begins_at: float) -> None:
    """Guards against a weight that follows a runner slow for 15 % of the time."""
    estimator = SpeedEstimator()
    weight: RunnerWeight | None = None
    period_s = episode_s / 0.15
    for number in range(4 * 120):
        now = number / 4
        is_slow = (now - begins_at) % period_s < episode_s
        token_s = TOKEN_S * (2.5 if is_slow else 1.0)
        estimator.record_prompt(token_s, now)
        weight = decided(estimator, weight, now)
        assert weight is None


def test_runner_that_slows_down_for_good_loses_weight_within_20_s() -> None:
    """Guards against adapters that stay at a runner which became slow."""
    estimator = SpeedEstimator()
    observe([1.0], 60.0, estimator)
    weight = decided(estimator, None, 60.0)
    assert weight is None
    for number in range(4 * 20):
        estimator.record_prompt(TOKEN_S * 2.5, 60.0 + number / 4)
    weight = decided(estimator, weight, 80.0)
    assert weight is not None
    assert weight.steps == 2


def test_restarted_runner_has_the_median_weight() -> None:
    """Guards against the speed of an incarnation that is gone."""
    table = WeightTable()
    table.merge("r1", RunnerWeight(1, 3, 10))
    assert table.steps("r1", 1) == 10
    assert table.steps("r1", 2) == 4
    estimator = SpeedEstimator()
    observe([0.5], 30.0, estimator)
    decision = WeightDecision(2)
    reference = SpeedEstimate(TOKEN_S, 24)
    weight = decision.decide(estimator.estimate, reference, table.get("r1"), 30.0)
    assert weight == RunnerWeight(2, 1, 2)
    assert weight is not None
    assert table.merge("r1", weight)
    assert not table.merge("r1", RunnerWeight(1, 9, 10))
    assert not table.merge("r1", RunnerWeight(3, 1, 0))
    assert table.steps("r1", 2) == 2


def test_new_owner_continues_with_the_speed_that_the_former_one_told() -> None:
    """Guards against weights that fall back whenever VMs join or leave."""
    estimator = SpeedEstimator()
    observe([1.7], 30.0, estimator)
    told = estimator.estimate
    assert told is not None
    successor = SpeedEstimator(told)
    assert successor.estimate == told
    known = RunnerWeight(1, 1, 7)
    assert decided(successor, known, 40.0) == known


def test_speed_is_that_of_steps_where_no_prompt_needs_a_grant() -> None:
    """Guards against services with short prompts whose runners stay unknown."""
    fast, slow = SpeedEstimator(), SpeedEstimator()
    for number in range(200):
        fast.record_stream(0.010 + 0.004 * (number % 3), number / 2)
        slow.record_stream(0.020 + 0.008 * (number % 3), number / 2)
    estimates = [e.estimate for e in (fast, slow, slow) if e.estimate is not None]
    reference = reference_speed(estimates, 3)
    expected = 2.0 ** (64 * 0.5 / 48)
    assert relative_speed(estimates[0], reference) == pytest.approx(expected, rel=0.05)
    assert relative_speed(estimates[1], reference) == pytest.approx(1.0, rel=0.05)


def test_fast_runners_are_not_the_reference_before_the_others_are_known() -> None:
    """The fast ones have samples first, and all others counted as slow."""
    fast = SpeedEstimate(TOKEN_S / 1.7, 64)
    assert reference_speed([fast] * 7, 23).token_s == 0.0
    assert relative_speed(SpeedEstimate(TOKEN_S, 64), reference_speed([fast], 23)) == 1


@given(st.floats(0.2, 5.0), st.floats(-0.1, 0.1))
def test_small_errors_of_an_estimate_do_not_change_a_weight(
    speed: float, error: float
) -> None:
    """Guards against adapters that move to and fro between two steps."""
    steps = quantise(speed, 4)
    settled = quantise(speed, steps)
    assert settled == steps
    assert quantise(speed * (1 + error / 2), settled) == settled
    assert 1 <= steps <= 16


def test_prompts_that_meet_at_a_runner_tell_its_speed() -> None:
    """Before, only prompts read alone were samples: at a busy runner there are none."""
    admission = PrefillAdmission(PrefillPace(TOKEN_S))
    now = free_at = 0.0
    pending: list[tuple[float, float, str]] = []
    for number in range(120):
        while pending and pending[0][0] <= now:
            done_at, sent_at, name = pending.pop(0)
            admission.end(name, done_at - sent_at, done_at)
        admission.begin(f"r{number}", 2400, 10.0, now)
        free_at = max(now, free_at) + 2400 * TOKEN_S * 2
        pending.append((free_at, now, f"r{number}"))
        now += 2400 * TOKEN_S * 1.9
    estimate = admission.speed.estimate
    assert estimate is not None
    assert estimate.token_s == pytest.approx(2 * TOKEN_S, rel=0.05)
    assert admission.pace.token_s == pytest.approx(2 * TOKEN_S, rel=0.05)


def test_withdrawn_prompt_is_no_sample_of_the_next_one() -> None:
    """How much of it was read is not known, so neither is when the next one began."""
    admission = PrefillAdmission(PrefillPace(TOKEN_S))
    admission.begin("a", 2400, 10.0, 0.0)
    admission.begin("b", 2400, 10.0, 0.0)
    admission.begin("c", 2400, 10.0, 0.0)
    admission.end("a", None, 0.05)
    admission.end("b", 5.0, 5.0)
    assert admission.speed.estimate is None
    admission.end("c", 5.2, 5.2)
    estimate = admission.speed.estimate
    assert estimate is not None
    assert estimate.token_s == pytest.approx(0.2 / 2400, rel=0.01)


@pytest.mark.parametrize("count", [9, 64, 65, 440, 12000])
def test_homes_are_found_among_a_bounded_number_of_runners(count: int) -> None:
    """Guards against look-ups whose cost grows with the fleet."""
    ring = HomeRing()
    names = [f"i-{number}" for number in range(count)]
    for name in names:
        ring.add(name)
        ring.add(name)
    assert len(ring) == count
    for key in KEYS[:40]:
        window = ring.window(key)
        assert len(window) == len(set(window)) == min(count, WINDOW)
    if count <= WINDOW:
        assert set(ring.window("m/a1")) == set(names)


def test_runner_that_comes_or_goes_moves_few_homes_in_a_large_domain() -> None:
    """Guards against a new ranking of all adapters as a domain grows past a window."""
    for count in (WINDOW, 300):
        ring = HomeRing()
        for number in range(count):
            ring.add(f"i-{number}")

        def homes(ring: HomeRing = ring) -> list[str]:
            return [rank_nodes(key, ring.window(key))[0] for key in KEYS]

        before = homes()
        counts = Counter(before)
        ring.add("i-new")
        moved = sum(old != new for old, new in zip(before, homes(), strict=True))
        assert moved / len(KEYS) < 4 / count
        ring.remove("i-new")
        assert homes() == before
        assert max(counts.values()) < 3.0 * len(KEYS) / count


@given(st.lists(st.tuples(st.integers(0, 6), st.sets(st.integers(0, 8), max_size=5))))
def test_index_of_holders_is_that_of_the_latest_notices(
    notices: list[tuple[int, set[int]]],
) -> None:
    """Guards against runners that are examined for adapters they do not hold."""
    index = HolderIndex()
    held: dict[str, set[str]] = {}
    for runner, adapters in notices:
        held[f"r{runner}"] = {f"a{adapter}" for adapter in adapters}
        index.replace(f"r{runner}", frozenset(held[f"r{runner}"]))
    for number in range(9):
        holders = {runner for runner, found in held.items() if f"a{number}" in found}
        assert set(index.some(f"a{number}", "key", 99)) == holders
        some = index.some(f"a{number}", "key", 3)
        assert len(some) == len(set(some)) == min(3, len(holders))
        assert set(some) <= holders


@given(
    st.lists(
        st.builds(
            RunnerWeight, st.integers(1, 3), st.integers(1, 4), st.integers(1, 16)
        ),
        min_size=1,
    ),
    st.randoms(use_true_random=False),
)
def test_order_of_news_does_not_matter(
    weights: list[RunnerWeight], rng: random.Random
) -> None:
    """Guards against VMs that keep different weights of one runner for ever."""
    tables = []
    for _ in range(2):
        rng.shuffle(weights)
        table = WeightTable()
        for weight in weights:
            table.merge("r1", weight)
        tables.append(table.get("r1"))
    assert tables[0] == tables[1]


def test_gossip_carries_a_bounded_number_of_weights() -> None:
    """Guards against messages that grow with the runners, and weights never told."""
    table = WeightTable()
    assert table.next_round() == {}
    for number in range(1000):
        table.merge(f"r{number}", RunnerWeight(1, 1, 8))
    told: set[str] = set()
    rounds = math.ceil(1000 * 6 / 8)
    for _ in range(rounds):
        carried = table.next_round()
        assert len(carried) <= 12
        told.update(carried)
    assert len(told) == 1000
    assert not table.has_news()
    table.drop_unregistered(["r1", "r5"])
    assert len(table) == 2
    assert set(table.next_round()) == {"r1", "r5"}
