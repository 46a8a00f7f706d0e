"""Retries of VMs whose processes are killed in series while a service fails."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.lib.retries import FailingFleet

STEP_S = 0.1


def play(fleet: FailingFleet, kills: set[tuple[int, int]], steps: int) -> None:
    """Let each VM get a request a step; ``kills`` are pairs of a step and a VM."""
    for step in range(steps):
        fleet.clock.now += STEP_S
        for number, member in enumerate(fleet.members):
            if (step, number) in kills:
                fleet.restart(member)
            fleet.fail_request(member)


def test_vms_killed_in_series_do_not_get_the_retry_slack_anew() -> None:
    fleet = FailingFleet(7)
    kills = {(step, number) for step in (30, 60, 90) for number in range(7)}
    play(fleet, kills, steps=140)
    assert fleet.excess() <= 0


@settings(max_examples=40, deadline=None, derandomize=True)
@given(
    vms=st.sampled_from([1, 2, 7, 9]),
    kills=st.sets(st.tuples(st.integers(0, 150), st.integers(0, 8)), max_size=60),
)
def test_retries_stay_within_the_budget_whenever_vms_are_killed(
    vms: int, kills: set[tuple[int, int]]
) -> None:
    fleet = FailingFleet(vms)
    play(fleet, kills, steps=150)
    assert fleet.excess() <= 0


def test_new_process_retries_for_its_own_callers_by_their_share() -> None:
    fleet = FailingFleet(7)
    for member in fleet.members:
        fleet.restart(member)
    retries_by_s = [0]
    for _ in range(20):
        play(fleet, set(), steps=10)
        retries_by_s.append(len(fleet.retries))
    assert retries_by_s[2] > 0
    assert all(retries_by_s[s + 2] > retries_by_s[s] for s in range(18))
    assert retries_by_s[20] - retries_by_s[10] > 2 * retries_by_s[10]


def test_process_older_than_the_window_has_its_whole_share_at_once() -> None:
    fleet = FailingFleet(7)
    granted = sum(fleet.fail_request(fleet.members[0]) for _ in range(10))
    assert granted >= 0.7 * fleet.cfg.slack / 7 - 1


def test_vms_that_stood_still_do_not_retry_by_requests_of_before() -> None:
    """Their window took no account of the time for which they were suspended."""
    fleet = FailingFleet(7)
    for _ in range(100):
        fleet.clock.now += STEP_S
        for member in fleet.members:
            fleet.count_request(member)
    fleet.clock.suspend(2.5 * fleet.cfg.window_s)
    play(fleet, set(), steps=10)
    assert fleet.excess() <= 0
