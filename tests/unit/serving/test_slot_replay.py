"""Reference loads on plain servers in virtual time, with and without fair slots."""

from __future__ import annotations

from functools import cache

import pytest

from tests.lib.slot_replay import Load, Scenario, SlotReplay

USUAL_PER_S = 135 / 16
OTHERS = [f"a{number}" for number in range(1, 16)]
SEEDS = range(3)
START_S, END_S = 3.0, 8.0
CRASH = ((0, START_S, END_S),)


@cache
def replay(
    seed: int,
    is_fair: bool,
    flood: float,
    burst: float,
    lost: tuple[tuple[int, float, float], ...] = (),
    retries_at_once: bool = False,
) -> SlotReplay:
    """Play 16 accounts: the first at ``flood`` times its demand, others ``burst``."""
    first = Load("a0", flood * USUAL_PER_S, retries_at_once=retries_at_once)
    others = [Load(name, burst * USUAL_PER_S) for name in OTHERS]
    scenario = Scenario((first, *others), length_s=END_S, lost=lost)
    return SlotReplay(scenario, is_fair, seed).run()


def served(replays: list[SlotReplay], account: str) -> float:
    """Return the share of an account's requests that are answered in time."""
    in_time = sum(r.in_time(account, START_S) for r in replays)
    return in_time / sum(r.arrived(account, START_S) for r in replays)


def kept(
    is_fair: bool,
    burst: float,
    lost: tuple[tuple[int, float, float], ...],
    retries_at_once: bool = False,
) -> list[float]:
    """Return what each other account keeps of its service beside the flood."""
    alone = [replay(seed, is_fair, 0.01, burst, lost) for seed in SEEDS]
    beside = [
        replay(seed, is_fair, 7.0, burst, lost, retries_at_once) for seed in SEEDS
    ]
    return [served(beside, name) / served(alone, name) for name in OTHERS]


LOADS = [
    pytest.param(2.5, (), False, id="burst"),
    pytest.param(1.6, CRASH, False, id="crash"),
    pytest.param(1.6, CRASH, True, id="crash, flood retries at once"),
]
"""Loads in which the fair share of each other account suffices for its demand."""


@pytest.mark.parametrize(("burst", "lost", "retries_at_once"), LOADS)
def test_other_accounts_keep_their_service_beside_one_at_seven_times_its_demand(
    burst: float, lost: tuple[tuple[int, float, float], ...], retries_at_once: bool
) -> None:
    """Guards against an account that takes the slots, or the queue, of the others."""
    shares = kept(True, burst, lost, retries_at_once)
    print(f"mean {sum(shares) / len(shares):.3f}, least {min(shares):.3f}")
    assert min(shares) >= 0.95


@pytest.mark.parametrize(("burst", "lost", "retries_at_once"), LOADS)
def test_without_fair_slots_the_others_lose_service(
    burst: float, lost: tuple[tuple[int, float, float], ...], retries_at_once: bool
) -> None:
    """Guards against a load that shows nothing, as the servers bear it anyway."""
    shares = kept(False, burst, lost, retries_at_once)
    print(f"mean {sum(shares) / len(shares):.3f}, least {min(shares):.3f}")
    assert sum(shares) / len(shares) < 0.95


@pytest.mark.parametrize(("burst", "lost"), [(2.5, ()), (1.6, CRASH), (2.5, CRASH)])
def test_slots_are_used_while_requests_wait(
    burst: float, lost: tuple[tuple[int, float, float], ...]
) -> None:
    """Guards against slots that are idle for the time of the messages."""
    for seed in SEEDS:
        assert replay(seed, True, 7.0, burst, lost).slot_use() >= 0.98


def test_more_requests_are_answered_in_time_than_without_fair_slots() -> None:
    """Guards against fairness that is paid for by all: all want more than there is."""
    in_time = {
        is_fair: sum(
            replay(seed, is_fair, 7.0, 2.5, CRASH).in_time(name, START_S)
            for seed in SEEDS
            for name in ["a0", *OTHERS]
        )
        for is_fair in (True, False)
    }
    print(in_time)
    assert in_time[True] >= 2 * in_time[False]


def test_urgent_requests_are_served_first_and_never_overtaken() -> None:
    """Guards against fairness between accounts that comes before urgency."""
    urgent = [Load(f"u{n}", 2 * USUAL_PER_S, priority=0) for n in range(4)]
    floods = [Load(f"f{n}", 5 * USUAL_PER_S, priority=2) for n in range(12)]
    scenario = Scenario((*urgent, *floods), length_s=4.0)
    for seed in SEEDS[:2]:
        played = SlotReplay(scenario, True, seed).run()
        assert played.overtaken == 0
        for load in urgent:
            in_time = played.in_time(load.account, 1.0)
            assert in_time >= 0.97 * played.arrived(load.account, 1.0)


def test_messages_per_request_are_few() -> None:
    """Guards against requests that ask around among full servers without end."""
    played = replay(0, True, 7.0, 2.5, CRASH)
    tries = sum(request.tries for request in played.requests)
    print(f"{played.messages / tries:.2f} messages per try")
    assert played.messages <= 8 * tries
    calm = replay(0, True, 1.0, 1.0)
    assert calm.messages <= 3.5 * len(calm.requests)
