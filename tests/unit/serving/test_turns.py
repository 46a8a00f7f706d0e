"""Turns at runners that limit their requests, in virtual time."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from gooseberryrun._internal.state.serving import (
    MAX_TURN_WAIT_S,
    Candidate,
    ExpectedTurns,
    Permit,
    Runner,
    RunnerView,
    ServingPolicy,
    Turn,
    TurnSchedules,
    choose_model_runner,
    choose_plain_server,
)
from gooseberryrun._internal.state.serving._turns import PERMIT_TTL_S

SPAN_S = 4.0
STEP_S = 0.02
RATES = [0.1, 0.7, 1.5, 8.0, 40.0]


def allowed(rate_per_s: float) -> float:
    """Return the requests that the users' platform allows in ``SPAN_S`` seconds."""
    return 1.5 * rate_per_s * SPAN_S + 5


def most_in_a_span(times: list[float]) -> int:
    """Return the most requests in any ``SPAN_S`` seconds."""
    return max(
        (sum(at <= other <= at + SPAN_S for other in times) for at in times), default=0
    )


@pytest.mark.parametrize("rate_per_s", RATES)
def test_turns_keep_to_the_limit_and_use_it(rate_per_s: float) -> None:
    """Far more requests ask than the runner takes, from any number of VMs."""
    schedules = TurnSchedules()
    times = []
    for step in range(3000):
        now = step * STEP_S
        turn = schedules.take("i-1", rate_per_s, 0.5, now)
        if turn.is_granted:
            times.append(now + turn.wait_s)
    assert most_in_a_span(times) <= rate_per_s * SPAN_S + 2
    assert len(times) >= 0.9 * rate_per_s * 3000 * STEP_S - 2


@pytest.mark.parametrize("rate_per_s", RATES)
def test_limit_holds_while_the_vm_that_grants_turns_changes(rate_per_s: float) -> None:
    """Turns that the last VM granted are still to come, some used as late as may be."""
    times: list[float] = []
    for granter in range(6):
        schedules = TurnSchedules()
        for step in range(100):
            now = granter * 2.0 + step * STEP_S
            turn = schedules.take("i-1", rate_per_s, MAX_TURN_WAIT_S, now)
            if turn.is_granted:
                times.append(now + turn.wait_s)
    assert most_in_a_span(times) <= allowed(rate_per_s)


def test_no_turn_is_kept_back_for_long_by_requests_that_never_came() -> None:
    """A VM that was frozen asks for many turns at once, and uses none."""
    schedules = TurnSchedules()
    for _ in range(1000):
        schedules.take("i-1", 2.0, 100.0, 10.0)
    assert schedules.take("i-1", 2.0, 1.0, 10.0 + MAX_TURN_WAIT_S).is_granted


def test_refused_turn_says_when_the_next_one_comes() -> None:
    schedules = TurnSchedules()
    schedules.take("i-1", 0.5, 5.0, 0.0)
    turn = schedules.take("i-1", 0.5, 0.3, 0.5)
    assert turn == Turn(False, 1.5)
    assert schedules.take("i-1", 0.5, 0.0, 2.0) == Turn(True, 0.0)


def test_raised_limit_counts_at_once() -> None:
    schedules = TurnSchedules()
    schedules.take("i-1", 0.0, 5.0, 0.0)
    assert not schedules.take("i-1", 0.0, 0.5, 1.0).is_granted
    assert schedules.take("i-1", 5.0, 0.5, 1.0).is_granted


def test_permit_expires_and_is_for_one_runner() -> None:
    """A VM that stood still must not send at turns that have long passed."""
    permit = Permit("i-1", 5.0)
    assert permit.is_valid("i-1", 5.0 + PERMIT_TTL_S)
    assert not permit.is_valid("i-1", 5.1 + PERMIT_TTL_S)
    assert not permit.is_valid("i-2", 5.0)


def test_expected_wait_follows_the_last_answer() -> None:
    expected = ExpectedTurns()
    assert expected.wait_s("i-1", 0.0) == 0.0
    expected.record("i-1", Turn(False, 2.0), 0.5, 0.0)
    assert expected.wait_s("i-1", 0.5) == 1.5
    expected.record("i-1", Turn(True, 0.5), 0.5, 2.0)
    assert expected.wait_s("i-1", 2.0) == 2.5
    assert expected.wait_s("i-1", 9.0) == 0.0


def make_candidate(name: str, in_flight: int, turn_wait_s: float) -> Candidate:
    runner = Runner(name, "s", "h", 1, "d0", 8, False, 1, 0, ())
    view = RunnerView(in_flight, 0, 0, 0, 1.0)
    return Candidate(runner, view, is_local=True, turn_wait_s=turn_wait_s)


def test_limited_server_gets_its_share_and_no_more() -> None:
    """Two servers, one of which takes 2 of the 20 requests a second that come."""
    schedules, expected = TurnSchedules(), ExpectedTurns()
    rng = random.Random(5)
    ends: list[tuple[float, str]] = []
    sent: Counter[str] = Counter()
    now = 0.0
    for number in range(1000):
        now += rng.expovariate(20.0)
        ends = [(at, name) for at, name in ends if at > now]
        busy = Counter(name for _, name in ends)
        candidates = [
            make_candidate("free", busy["free"], 0.0),
            make_candidate("limited", busy["limited"], expected.wait_s("limited", now)),
        ]
        choice = choose_plain_server(candidates, f"r{number}")
        assert choice is not None
        name = choice.candidate.runner.id
        if name == "limited":
            turn = schedules.take(name, 2.0, 0.2, now)
            expected.record(name, turn, 2.0, now)
            name = name if turn.is_granted else "free"
        sent[name] += 1
        ends.append((now + 0.3, name))
    assert 0.7 * 2.0 * now <= sent["limited"] <= 2.0 * now + 2


def test_wait_for_a_turn_passes_while_the_adapter_loads() -> None:
    waiting = make_candidate("waiting", 0, 0.2)
    free = make_candidate("free", 0, 0.0)
    policy = ServingPolicy()
    choice = choose_model_runner([waiting, free], "m0/a1", 100, policy)
    assert choice is not None and choice.candidate is free
    later = make_candidate("later", 0, 1.5)
    choice = choose_model_runner([waiting, later], "m0/a1", 100, policy)
    assert choice is not None and choice.candidate is waiting
