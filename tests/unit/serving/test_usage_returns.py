"""Usage of requests that wait for long: grants that are given back and made anew."""

from __future__ import annotations

import random

import msgspec
import pytest
from gooseberryrun._internal.state.serving.accounts import (
    AccountCredit,
    DomainAllowance,
    UsageBucket,
    UsageUnit,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.lib.usage_fleet import (
    TOKENS,
    WINDOW_S,
    Load,
    UsageFleet,
    bound,
    make_account,
)

RATE = 60_000.0
ALLOWANCE = DomainAllowance(100.0, 60.0, 80.0, 8.8, 300.0)
START_S = 10.0


def make_bucket(level_at: float = 0.0) -> UsageBucket:
    """Return a bucket that has filled up since ``level_at``."""
    return UsageBucket(ALLOWANCE, level_at)


@settings(max_examples=300)
@given(st.integers(0, 100_000))
def test_grants_that_are_not_given_back_keep_the_rate(seed: int) -> None:
    """Guards against usage that is granted again beyond what the bucket could hold."""
    rng = random.Random(seed)
    bucket = make_bucket()
    now = START_S
    kept: list[tuple[float, float]] = []
    for _ in range(rng.randint(1, 120)):
        now += rng.choice([0.0, 0.01, 0.1, rng.expovariate(2.0)])
        if kept and rng.random() < 0.4:
            at, amount = kept.pop(rng.randrange(len(kept)))
            part = amount * rng.choice([1.0, 0.5])
            bucket.give_back(at, part, now)
            if part < amount:
                kept.append((at, amount - part))
            continue
        granted = bucket.take(rng.choice([1.0, 5.0, 40.0, 70.0]), 50.0, now)
        if granted:
            kept.append((now, granted))
    kept.sort()
    for first, (start, _) in enumerate(kept):
        total = 0.0
        for at, amount in kept[first:]:
            total += amount
            allowed = ALLOWANCE.rate_per_s * (at - start) + ALLOWANCE.max_burst
            assert total <= allowed + 1e-6


def test_grant_that_is_given_back_is_available_again() -> None:
    """Guards against a request that is charged twice for a wait."""
    bucket = make_bucket()
    assert bucket.take(60.0, 0.0, START_S) == 60.0
    assert bucket.take(50.0, 0.0, START_S + 0.1) == 0.0
    bucket.give_back(START_S, 40.0, START_S + 0.1)
    assert bucket.take(50.0, 0.0, START_S + 0.1) == 50.0


def test_nothing_is_given_back_that_the_bucket_could_not_have_held() -> None:
    bucket = make_bucket()
    bucket.take(20.0, 0.0, START_S)
    bucket.take(60.0, 0.0, START_S + 5.0)
    bucket.give_back(START_S, 20.0, START_S + 5.0)
    assert bucket.take(1.0, 0.0, START_S + 5.0) == 0.0


@pytest.mark.parametrize("granted_at", [START_S - 0.5, START_S, START_S + 0.1])
def test_grant_that_is_unknown_or_of_an_older_cap_is_not_taken_back(
    granted_at: float,
) -> None:
    """Guards against another allocator's grants, and grants that come back twice."""
    bucket = make_bucket()
    bucket.take(60.0, 0.0, START_S)
    if granted_at == START_S:
        bucket.change(
            msgspec.structs.replace(ALLOWANCE, rate_per_s=50.0), START_S + 0.1
        )
    bucket.give_back(granted_at, 60.0, START_S + 0.1)
    assert bucket.take(40.0, 0.0, START_S + 0.1) == 0.0


def test_grant_is_taken_back_once() -> None:
    bucket = make_bucket()
    bucket.take(30.0, 0.0, START_S)
    bucket.take(30.0, 0.0, START_S)
    for _ in range(2):
        bucket.give_back(START_S, 30.0, START_S)
    assert bucket.take(40.0, 0.0, START_S) == 0.0


def test_permit_names_the_grants_that_it_is_made_of() -> None:
    credit = AccountCredit("a", UsageUnit.TOKENS)
    credit.add(100.0, 10.0, ("d0", 3.0))
    credit.add(100.0, 10.1, ("d1", 4.0))
    permit = credit.take(150.0, 10.2)
    assert permit is not None
    named = [(part.domain, part.granted_at, part.amount) for part in permit.parts]
    assert named == [("d0", 3.0, 100.0), ("d1", 4.0, 50.0)]
    credit.give_back(permit, 10.2)
    again = credit.take(200.0, 10.2)
    assert again is not None
    assert sum(part.amount for part in again.parts) == pytest.approx(200.0)


@pytest.mark.usefixtures("nothing_scheduled")
@pytest.mark.parametrize("seed", range(1, 4))
def test_requests_that_wait_are_charged_once(seed: int) -> None:
    """Guards against refusals within a cap since some requests were charged twice."""
    fleet = UsageFleet([make_account(RATE)], 3, 67, seed)
    fleet.max_wait_s = 1.0
    for step in range(24):
        weights = dict.fromkeys(fleet.domain_vms(f"d{step % 3}"), 1.0)
        fleet.run(1.0, Load(0.9 * RATE, weights, cost=TOKENS))
    cap = make_account(RATE).cap
    assert cap is not None
    assert not fleet.refused and not fleet.renewals_refused
    assert fleet.largest_window() <= bound(cap)


@pytest.mark.usefixtures("nothing_scheduled")
@pytest.mark.parametrize("seed", range(1, 4))
def test_bound_holds_where_waiting_requests_are_sent_together(seed: int) -> None:
    """Guards against grants that are renewed into a window beyond its bound.

    Requests are held for some seconds and sent at once, with answers lost on the way.
    """
    fleet = UsageFleet([make_account(RATE)], 3, 67, seed)
    fleet.lost_answers = 0.1
    weights = dict.fromkeys(fleet.vms, 1.0)
    fleet.run(WINDOW_S, Load(2 * RATE, weights))
    for hold_s in (1.0, 3.0, 6.0):
        fleet.held_until = fleet.clock.now + hold_s
        fleet.run(hold_s, Load(2 * RATE, weights))
        fleet.run(2.0, Load(3 * RATE, weights))
    cap = make_account(RATE).cap
    assert cap is not None
    assert fleet.largest_window() <= bound(cap)
