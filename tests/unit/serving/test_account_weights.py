"""Weights of client accounts, and their shares of a model runner."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import replace

import pytest
from gooseberryrun._internal.coordination._serving_messages import UseNotice
from gooseberryrun._internal.coordination.serving._runner_owner import RunnerOwner
from gooseberryrun._internal.coordination.serving._runner_speeds import RunnerSpeeds
from gooseberryrun._internal.coordination.serving._waiting_requests import (
    WaitingRequests,
)
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state._sections import SettingsError
from gooseberryrun._internal.state._serving_settings import AdmissionSettings
from gooseberryrun._internal.state.serving import (
    Candidate,
    Choice,
    Runner,
    RunnerView,
    ServingPolicy,
    choose_model_runner,
)
from gooseberryrun._internal.state.serving.admission import (
    AccountUsage,
    Claim,
    FairShares,
    SlotClaim,
    SlotQueue,
    UsageShares,
    choose_displaced,
    longest_queue_wait_s,
)

from tests.lib.fleet import GroupStore, make_members, make_runners, make_vm

WEIGHTS = {"large": 3.0}


def take_turns(queue: SlotQueue) -> Iterator[str]:
    """End the requests of one server after another; yield the accounts served."""
    now = 0.0
    running = [SlotClaim("vm", 0, "r", "x", 1, 99.0, 99.0)]
    queue.ask(running[0], now)
    queue.ask(SlotClaim("vm", 1, "r", "x", 1, 99.0, 99.0), now)
    running.append(SlotClaim("vm", 1, "r", "x", 1, 99.0, 99.0))
    for number in range(2, 42):
        account = "large" if number % 2 else "small"
        queue.ask(SlotClaim("vm", number, "r", account, 1, 99.0, 99.0), now)
    while running:
        now += 0.01
        done = running.pop(0)
        queue.release(done.vm, done.ticket, True, now)
        for claim in queue.advance(now).granted:
            running.append(claim)
            yield claim.account


@pytest.mark.parametrize(("weights", "large"), [({}, 12), (WEIGHTS, 18)])
def test_slots_are_divided_by_weight(weights: dict[str, float], large: int) -> None:
    """Guards against weights that the order of plain servers does not follow."""
    served = take_turns(SlotQueue(1, weights))
    counts = Counter(account for account, _ in zip(served, range(24), strict=False))
    assert counts["large"] == pytest.approx(large, abs=1)


def test_refused_requests_return_at_the_rate_of_their_weight() -> None:
    """Guards against retry times that give a weighted account an equal rate."""
    queue = SlotQueue(1, WEIGHTS)
    for number, account in enumerate(("large", "small")):
        queue.ask(SlotClaim("vm", number, "r", account, 1, 9.0, 9.0), 0.0)
    intervals = {}
    for account in ("large", "small"):
        claim = SlotClaim("vm", 9, "r", account, 1, 9.0, 9.0)
        first, second = (queue.next_retry_s(claim, 0.0, 0.0) for _ in range(2))
        intervals[account] = second - first
    assert intervals["small"] == pytest.approx(3 * intervals["large"])


def test_corrections_count_by_weight() -> None:
    """Guards against a correction that charges more than the charge it corrects."""
    shares = FairShares(0.0, WEIGHTS)
    shares.charge(1, "large", 3.0)
    shares.correct(1, "large", 3.0)
    shares.charge(1, "small", 2.0)
    claims = [Claim(name, 1, False, 1.0, 0.0) for name in ("large", "small")]
    large, small = (rank[2] for rank in shares.ranks(claims))
    assert large == small == pytest.approx(2.0)


def test_service_out_of_order_does_not_clear_the_lead_of_an_account() -> None:
    """Guards against a virtual time that jumps to the start of a request served early.

    The requests that wait would then no longer come before its account's.
    """
    shares = FairShares(0.0)
    for _ in range(3):
        shares.charge(1, "a", 1.0, ["b"])
    claims = [Claim(name, 1, False, 1.0, 0.0) for name in ("a", "b")]
    first, second = (rank[2] for rank in shares.ranks(claims))
    assert first - second == pytest.approx(3.0)


def test_place_in_a_full_queue_depends_on_the_weight() -> None:
    claims = [Claim("large", 1, False, 1.0, n) for n in range(3)]
    claims += [Claim("small", 1, False, 1.0, n) for n in range(2)]
    ranks = FairShares(0.0, WEIGHTS).ranks(claims)
    new = Claim("new", 1, False, 1.0, 9.0)
    unweighted = choose_displaced(claims, ranks, new)
    assert unweighted is not None and claims[unweighted].account == "large"
    weighted = choose_displaced(claims, ranks, new, WEIGHTS)
    assert weighted is not None and claims[weighted].account == "small"


def test_owner_queues_get_the_weights_of_the_settings() -> None:
    """Guards against weights in the settings that reach no queue."""
    members = make_members(1, 1)
    runners = make_runners(1, 1)
    ctx, _ = make_vm(members["d0"][0], GroupStore(members), runners, ManualClock(10.0))
    admission = AdmissionSettings(weights={"large": 3.0})
    ctx.cfg = ctx.cfg.model_copy(update={"admission": admission})
    queue = WaitingRequests(ctx, runners[0], 4, lambda: None, lambda: None).queue
    for account in ("large", "small"):
        queue.usage.record(1, account, 300.0, 10.0)
    shares = queue.usage.shares(10.0)
    assert shares.share(1, "small") == pytest.approx(3 * shares.share(1, "large"), 0.02)


@pytest.mark.parametrize("weight", [0.0, -1.0, 1e9, float("nan"), float("inf")])
def test_weight_out_of_bounds_is_refused(weight: float) -> None:
    with pytest.raises(SettingsError):
        AdmissionSettings.model_validate({"weights": {"a": weight}})


def test_shares_are_relative_to_the_priority() -> None:
    """Guards against urgent accounts that are held back for less urgent ones."""
    usage = AccountUsage({})
    usage.record(0, "urgent", 9000.0, 0.0)
    usage.record(1, "a", 100.0, 0.0)
    usage.record(1, "b", 300.0, 0.0)
    shares = usage.shares(0.0)
    assert shares.share(0, "urgent") == 1.0
    assert (shares.share(1, "a"), shares.share(1, "b")) == (0.5, 1.5)


def test_reported_shares_are_bounded_and_their_mean_is_kept() -> None:
    """Guards against notices that grow with the number of accounts."""
    usage = AccountUsage({})
    for number in range(1000):
        usage.record(1, f"a{number}", 1.0 + number % 50, 0.0)
    shares = usage.shares(0.0)
    assert len(shares.listed) <= 8 and len(shares.others) == 1
    mean = (sum(shares.listed.values()) + 992 * shares.others[1]) / 1000
    assert mean == pytest.approx(1.0, abs=0.01)
    usage.record(1, "new", 50_000.0, 400.0)
    assert usage.shares(400.0) == UsageShares({"1/new": 1.0})


def choose(share: float, waiting: int = 0, idle: int = 2) -> Choice:
    """Return the choice between two runners that are equally busy."""
    candidates = [
        Candidate(
            Runner(f"i-{n}", "s", "h", 1, "d", 96, False, 1, 0, ()),
            RunnerView(0, 0, 0, 0, 1.0),
            True,
            has_adapter=False,
            waiting=waiting,
            available_slots=idle,
            account_share=share,
        )
        for n in range(2)
    ]
    choice = choose_model_runner(candidates, "m/a", 100, ServingPolicy())
    assert choice is not None
    return choice


def test_account_beyond_its_share_gets_only_what_nothing_waits_for() -> None:
    """Guards against an account that fills short queues all the time.

    Nor may capacity be idle although a request wants it.
    """
    assert choose(1.0, waiting=4, idle=0).refusal(2.0) == ""
    assert choose(5.0, waiting=4, idle=0).refusal(2.0) == "account_share"
    assert choose(5.0, waiting=2, idle=1).refusal(2.0) == "account_share"
    assert choose(5.0, idle=1).refusal(2.0) == ""
    assert choose(5.0, idle=2).refusal(2.0) == ""


def test_account_beyond_its_share_is_served_where_nobody_waits() -> None:
    """Guards against refusals at usual demand of accounts larger than the mean.

    A turn, a load and the prompts being read count as a wait, but others do not wait.
    """
    busy = choose(1.8, idle=3)
    assert replace(busy, queue_s=0.5).refusal(2.0) == ""
    full = choose(1.8, waiting=3, idle=0)
    assert replace(full, queue_s=0.5).refusal(2.0) == "account_share"


def test_account_within_its_share_waits_as_long_as_any() -> None:
    assert choose(1.0, idle=1).refusal(2.0) == ""
    assert choose(1.0, waiting=99).refusal(2.0) == "overload"
    assert replace(choose(1.0), queue_s=9.0).refusal(2.0) == ""


def test_limit_falls_steadily_with_the_share() -> None:
    limits = [longest_queue_wait_s(share / 10, 2.0) for share in range(60)]
    assert limits == sorted(limits, reverse=True)
    assert limits[:12] == [2.0] * 12 and limits[15] < 0.2


def test_owner_reports_what_accounts_use() -> None:
    """Guards against uses that bypass the owner's queue and are not counted."""
    members = make_members(1, 1)
    runners = make_runners(1, 1)
    ctx, _ = make_vm(members["d0"][0], GroupStore(members), runners, ManualClock(10.0))
    owner = RunnerOwner(ctx, runners[0], 4, lambda: None, RunnerSpeeds(ctx))
    notice = UseNotice(runners[0].id, "m/a", 1)
    owner.record_use("vm", notice)
    assert owner.shares() == UsageShares()
    for account, tokens in (("a", 900), ("b", 100)):
        use = UseNotice(runners[0].id, "m/a", 1, 0.0, account, 1, tokens)
        owner.record_use("vm", use)
    assert owner.shares().listed == {"1/a": 1.8, "1/b": 0.2}
