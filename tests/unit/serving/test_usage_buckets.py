"""Buckets, credit and margins of usage caps: nobody grants more than the bound."""

from __future__ import annotations

import random
from collections import deque

import pytest
from gooseberryrun._internal.state import UsageSettings
from gooseberryrun._internal.state.serving.accounts import (
    CREDIT_TTL_S,
    MAX_SEND_LAG_S,
    AccountCredit,
    DemandMeter,
    DomainAllowance,
    SeparatedUsage,
    UsageBucket,
    UsageCap,
    UsageUnit,
    allowances,
    separated_allowance,
)
from gooseberryrun._internal.state.serving.accounts._usage_bucket import (
    MAX_SPREAD_S,
    QUIET_S,
)
from hypothesis import given, settings
from hypothesis import strategies as st

CFG = UsageSettings()
RATES = [4_200.0, 24_000.0, 371_083.0]


def make_cap(rate_per_s: float, unit: UsageUnit = UsageUnit.TOKENS) -> UsageCap:
    return UsageCap(unit, rate_per_s, rate_per_s, 2_400)


def allowance_of(cap: UsageCap, domains: int, is_home: bool) -> DomainAllowance:
    """Return the part of the account's home domain, or of the last other one."""
    found = allowances("a", cap, CFG, [f"d{number}" for number in range(domains)])
    return list(found.values())[0 if is_home else -1]


def bound(cap: UsageCap) -> float:
    """Return the bound on the usage of a window as the operators state it."""
    slack = CFG.slack if cap.unit is UsageUnit.TOKENS else 0.0
    return (cap.rate_per_s * 8.0 + cap.burst) * 1.1 + slack


def make_bucket(rate_per_s: float = 3_000.0, burst: float = 3_000.0) -> UsageBucket:
    """Return a bucket of an allocator that has been the only one for long."""
    return UsageBucket(DomainAllowance(rate_per_s, burst, burst, 8.8, rate_per_s), 0.0)


def largest_sum(granted: list[tuple[float, float]], window_s: float) -> float:
    """Return the largest sum of amounts within a sliding window."""
    kept: deque[tuple[float, float]] = deque()
    total = largest = 0.0
    for at, amount in granted:
        kept.append((at, amount))
        total += amount
        while kept[0][0] < at - window_s:
            total -= kept.popleft()[1]
        largest = max(largest, total)
    return largest


@pytest.mark.parametrize("domains", [1, 3, 6])
@pytest.mark.parametrize("vms", [9, 67, 440])
@pytest.mark.parametrize("unit", list(UsageUnit))
@pytest.mark.parametrize("rate_per_s", [0.5, *RATES])
def test_parts_together_stay_below_the_bound(
    rate_per_s: float, unit: UsageUnit, vms: int, domains: int
) -> None:
    """All domains grant the most, and all VMs use their part of the margin as well."""
    cap = make_cap(rate_per_s, unit)
    found = allowances("a", cap, CFG, [f"d{number}" for number in range(domains)])
    assert {part.window_s for part in found.values()} == {8.0 + MAX_SEND_LAG_S}
    granted = sum(part.window_limit for part in found.values())
    assert granted + vms * separated_allowance(cap, CFG, vms) <= bound(cap)
    total_rate_per_s = sum(part.rate_per_s for part in found.values())
    assert total_rate_per_s == pytest.approx(rate_per_s)


@pytest.mark.parametrize(
    ("rate_per_s", "parts"), [(4_200.0, 3), (24_000.0, 6), (371_083.0, 6)]
)
def test_cap_is_divided_among_domains_whose_parts_hold_a_request(
    rate_per_s: float, parts: int
) -> None:
    """A sixth of the smallest cap would never grant a usual request."""
    domains = [f"d{number}" for number in range(6)]
    assert len(allowances("a", make_cap(rate_per_s), CFG, domains)) == parts


def test_rate_is_lowered_where_the_bound_leaves_no_room_for_late_sends() -> None:
    cap = make_cap(1_000.0)
    cfg = UsageSettings(window_s=2.0, overage=0.0, slack=0.0)
    found = allowances("a", cap, cfg, ["d0", "d1", "d2"])
    granted = sum(part.window_limit for part in found.values())
    assert granted <= 1_000.0 * 2.0 + 1_000.0 + 1e-6


def test_vm_that_does_not_know_the_number_of_vms_has_no_margin() -> None:
    assert separated_allowance(make_cap(4_200.0), CFG, 0) == 0.0


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    rate_per_s=st.sampled_from([100.0, 1_400.0, 8_000.0]),
    costs=st.lists(st.sampled_from([10.0, 900.0, 2_400.0, 9_600.0]), min_size=1),
    pauses=st.lists(st.floats(0.0, 3.0), min_size=1),
    demand_per_s=st.sampled_from([0.0, 5_000.0, 100_000.0]),
    changes=st.lists(st.floats(0.3, 1.0), max_size=2),
    is_home=st.booleans(),
)
def test_bucket_never_grants_more_than_its_window_allows(
    rate_per_s: float,
    costs: list[float],
    pauses: list[float],
    demand_per_s: float,
    changes: list[float],
    is_home: bool,
) -> None:
    """Requests larger than the burst, credit ahead and lowered caps included."""
    allowance = allowance_of(make_cap(3 * rate_per_s), 3, is_home)
    limit = allowance.window_limit
    bucket = UsageBucket(allowance, 0.0)
    granted: list[tuple[float, float]] = []
    now = 0.0
    for step in range(120):
        now += pauses[step % len(pauses)]
        if step % 40 == 39 and changes:
            lowered = 3 * rate_per_s * changes[step % len(changes)]
            # A part of a lowered cap may be larger, if there are fewer of them.
            part = allowance_of(make_cap(lowered), 3, is_home)
            limit = max(limit, part.window_limit)
            bucket.change(part, now)
        amount = bucket.take(costs[step % len(costs)], demand_per_s, now)
        granted.append((now, amount))
    assert largest_sum(granted, allowance.window_s) <= limit + 1e-3


@pytest.mark.parametrize("life_s", [1.0, 3.0, 9.0, 20.0])
@pytest.mark.parametrize("rate_per_s", [300.0, 4_200.0])
def test_successive_allocators_grant_no_more_than_one(
    rate_per_s: float, life_s: float
) -> None:
    """A burst or a debt for each new allocator would exceed the cap by it."""
    allowance = allowance_of(make_cap(rate_per_s), 3, True)
    rng = random.Random(1)
    granted = []
    now = 0.0
    while now < 90.0:
        bucket = UsageBucket(allowance, now)
        ends_at = now + life_s
        while now < ends_at:
            now += 0.02
            granted.append((now, bucket.take(rng.choice([2_400.0, 9_600.0]), 0.0, now)))
    assert largest_sum(granted, allowance.window_s) <= allowance.window_limit + 1e-3


def test_new_allocator_is_quiet_while_credit_of_its_predecessor_is_in_use() -> None:
    bucket = UsageBucket(DomainAllowance(1e6, 1e6, 1e6, 8.8, 1e6), 5.0)
    assert bucket.take(1.0, 0.0, 5.0 + QUIET_S - 0.01) == 0.0
    assert bucket.take(1.0, 0.0, 5.0 + QUIET_S + 0.01) == 1.0


def test_allocator_that_is_first_asked_late_has_its_burst() -> None:
    """The first requests after the start of a deployment were refused."""
    assert make_bucket().take(3_000.0, 0.0, 20.0) == 3_000.0


@pytest.mark.parametrize("rate_per_s", RATES)
@pytest.mark.parametrize("domains", [1, 3, 6])
@pytest.mark.parametrize("cost", [2_400.0, 9_600.0])
def test_requests_that_cost_more_than_the_burst_are_served(
    cost: float, rate_per_s: float, domains: int
) -> None:
    """A domain's burst is 700 tokens for the smallest cap, a request up to 9,600.

    The largest ones are served at least by the account's home domain.
    """
    allowance = allowance_of(make_cap(rate_per_s), domains, cost == 9_600.0)
    bucket = UsageBucket(allowance, 0.0)
    now, served = 0.0, 0.0
    while now < 120.0:
        now += 0.05
        while amount := bucket.take(cost, 0.0, now):
            served += amount
    assert served >= 0.95 * 110.0 * allowance.rate_per_s - cost


def test_request_that_can_never_be_granted_is_told_a_finite_time() -> None:
    bucket = make_bucket(10.0, 10.0)
    assert bucket.take(1e9, 0.0, 20.0) == 0.0
    assert bucket.retry_in_s(1e9, 20.0) == 8.8


def test_retry_time_is_when_the_request_is_served() -> None:
    bucket = make_bucket()
    assert bucket.take(3_000.0, 0.0, 20.0)
    retry_in_s = bucket.retry_in_s(2_400.0, 20.0)
    assert retry_in_s == pytest.approx(0.8)
    assert bucket.take(2_400.0, 0.0, 20.0 + retry_in_s - 0.01) == 0.0
    assert bucket.take(2_400.0, 0.0, 20.0 + retry_in_s + 0.01) == 2_400.0


def test_refused_requests_are_told_to_return_one_after_another() -> None:
    """All were told the same time, and all but the first were refused again."""
    bucket = make_bucket()
    bucket.take(3_000.0, 0.0, 20.0)
    times = [bucket.retry_in_s(1_500.0, 20.0) for _ in range(4)]
    assert times == pytest.approx([0.5, 1.0, 1.5, 2.0])


def test_callers_that_retry_at_once_do_not_move_the_times_away_without_bound() -> None:
    bucket = make_bucket()
    bucket.take(3_000.0, 0.0, 20.0)
    times = [bucket.retry_in_s(1_500.0, 20.0) for _ in range(1_000)]
    assert max(times) <= 0.5 + MAX_SPREAD_S


def test_credit_ahead_comes_only_while_the_bucket_is_more_than_half_full() -> None:
    """Credit that is not used is lost, which costs most when little is left."""
    bucket = make_bucket(3_000.0, 30_000.0)
    assert bucket.take(1_000.0, 10_000.0, 20.0) == 5_000.0
    while (granted := bucket.take(1_000.0, 10_000.0, 20.0)) > 1_000.0:
        pass
    assert granted == 1_000.0


def test_demand_of_less_than_a_request_gets_no_credit_ahead() -> None:
    """A VM of many has a request each second: parts of requests would be lost."""
    assert make_bucket(3_000.0, 30_000.0).take(1_000.0, 2_000.0, 20.0) == 1_000.0


def test_lowered_cap_leaves_no_more_than_its_burst() -> None:
    bucket = make_bucket(3_000.0, 3_000.0)
    bucket.take(1.0, 0.0, 20.0)
    bucket.change(DomainAllowance(100.0, 100.0, 100.0, 8.8, 100.0), 20.0)
    assert bucket.take(100.0, 0.0, 20.0) == 100.0
    assert bucket.take(50.0, 0.0, 20.1) == 0.0


def test_credit_expires_even_while_the_vm_is_suspended() -> None:
    credit = AccountCredit("a", UsageUnit.TOKENS)
    credit.add(100.0, 10.0)
    assert credit.take(60.0, 10.0 + CREDIT_TTL_S) is not None
    assert credit.take(40.0, 10.0 + CREDIT_TTL_S + 0.01) is None


def test_permit_is_not_valid_long_after_the_vm_asked() -> None:
    credit = AccountCredit("a", UsageUnit.TOKENS)
    credit.add(100.0, 10.0)
    permit = credit.take(60.0, 10.0 + CREDIT_TTL_S)
    assert permit is not None
    assert permit.is_valid(10.0 + MAX_SEND_LAG_S)
    assert not permit.is_valid(10.0 + MAX_SEND_LAG_S + 0.01)


def test_permit_that_is_given_back_does_not_last_longer_than_its_credit() -> None:
    """A permit made of it again and again would be valid for ever."""
    credit = AccountCredit("a", UsageUnit.TOKENS)
    credit.add(100.0, 10.0)
    permit = credit.take(100.0, 10.3)
    assert permit is not None
    credit.give_back(permit, 10.35)
    again = credit.take(100.0, 10.39)
    assert again is not None and again.asked_at == 10.0
    credit.give_back(again, 10.5)
    assert credit.take(1.0, 10.5) is None


def test_permit_of_another_unit_is_not_taken_back() -> None:
    """2,400 tokens would be 2,400 requests after a change of the unit."""
    tokens = AccountCredit("a", UsageUnit.TOKENS)
    tokens.add(2_400.0, 10.0)
    permit = tokens.take(2_400.0, 10.0)
    assert permit is not None
    requests = AccountCredit("a", UsageUnit.REQUESTS)
    requests.give_back(permit, 10.0)
    assert requests.take(1.0, 10.0) is None


def test_permit_made_of_several_grants_is_as_old_as_the_oldest() -> None:
    credit = AccountCredit("a", UsageUnit.TOKENS)
    credit.add(50.0, 10.2)
    credit.add(50.0, 10.0)
    permit = credit.take(80.0, 10.3)
    assert permit is not None and permit.asked_at == 10.0
    rest = credit.take(20.0, 10.3)
    assert rest is not None and rest.asked_at == 10.2
    assert credit.take(1.0, 10.3) is None


def test_demand_follows_the_requests_and_fades() -> None:
    demand = DemandMeter()
    for step in range(100):
        demand.record(100.0, step * 0.1)
    assert 900.0 <= demand.per_s(10.0) <= 1_200.0
    assert demand.per_s(20.0) < 1.0


def test_separated_vm_uses_its_part_once_in_a_window_and_the_lag() -> None:
    """A permit may be used up to the lag later, so the window has to be longer."""
    usage = SeparatedUsage()
    assert usage.try_take(60.0, 100.0, 8.0, 0.0)
    assert not usage.try_take(60.0, 100.0, 8.0, 7.99 + MAX_SEND_LAG_S)
    assert usage.try_take(60.0, 100.0, 8.0, 8.01 + MAX_SEND_LAG_S)
