"""Brittle runners, which fail if they turn away too many requests in a second."""

from __future__ import annotations

import random

import pytest
from gooseberryrun._internal.coordination._serving_messages import ServingGossip
from gooseberryrun._internal.coordination.serving._statements import (
    record_brittle,
    record_full,
    record_gossip,
)
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import (
    RateLimit,
    Runner,
    pause_after_refusal_s,
)
from gooseberryrun_platform._headers import PlatformHeaders

from tests.lib.fleet import GroupStore, make_members, make_runners, make_vm

SECONDS = 60
STEP_S = 0.01
DELAY_S = 0.03
"""Time until a VM gets a refusal, in which it may send more."""


class FullRunner:
    """Runner that turns every request away and counts those of the last second."""

    def __init__(self) -> None:
        self.refused_at: list[float] = []

    def most_in_a_second(self) -> int:
        return max(
            sum(at <= other < at + 1.0 for other in self.refused_at)
            for at in self.refused_at
        )


def hammer(vms: int, limit: float, requests_per_s: float, seed: int) -> int:
    """Let VMs send to a full runner; return its refusals in the worst second."""
    rng = random.Random(seed)
    random.seed(seed)
    clock = ManualClock(10.0)
    members = make_members(1, vms)
    runners = make_runners(1, 2)
    runner = runners[0]
    full = FullRunner()
    ctxs = []
    for member in members["d0"]:
        ctx, _ = make_vm(member, GroupStore(members), runners, clock)
        ctx.fleet_size.hear(vms, clock.now)
        record_brittle(ctx, runner.id, RateLimit(1, limit), clock.now, ctx.vm)
        ctxs.append(ctx)
    answers: list[tuple[float, int]] = []
    for _ in range(int(SECONDS / STEP_S)):
        clock.now += STEP_S
        for number, ctx in enumerate(ctxs):
            if rng.random() >= requests_per_s * STEP_S:
                continue
            if ctx.pauses.left_s(runner, clock.now) > 0.0:
                continue
            ctx.pauses.begin_send(runner, clock.now)
            full.refused_at.append(clock.now)
            answers.append((clock.now + DELAY_S, number))
        due = [entry for entry in answers if entry[0] <= clock.now]
        answers = [entry for entry in answers if entry[0] > clock.now]
        for _, number in due:
            ctx = ctxs[number]
            ctx.fleet_size.hear(vms, clock.now)
            record_brittle(ctx, runner.id, RateLimit(1, limit), clock.now, ctx.vm)
            record_full(ctx, runner)
    steady = FullRunner()
    steady.refused_at = [at for at in full.refused_at if at > 13.0]
    return steady.most_in_a_second()


@pytest.mark.parametrize(("vms", "limit"), [(3, 5.0), (9, 10.0), (30, 20.0)])
@pytest.mark.parametrize("seed", range(3))
def test_all_vms_together_are_refused_no_more_than_a_runner_bears(
    vms: int, limit: float, seed: int
) -> None:
    """Guards against runners that fall over by what they have to turn away."""
    assert hammer(vms, limit, 12.0, seed) <= limit


def test_pause_follows_the_number_of_vms_and_the_lowest_limit() -> None:
    assert pause_after_refusal_s([None, None], 9) == 0.0
    assert pause_after_refusal_s([10.0, None], 9) == pytest.approx(3.0)
    assert pause_after_refusal_s([10.0, 5.0], 9) == pytest.approx(6.0)
    assert pause_after_refusal_s([10.0], 18) == pytest.approx(6.0)
    assert pause_after_refusal_s([0.0], 9) == float("inf")


def test_word_of_one_runner_holds_for_its_service() -> None:
    """Guards against a runner that falls over before it was heard itself."""
    clock = ManualClock(10.0)
    members = make_members(1, 9)
    runners = make_runners(1, 3)
    ctx, _ = make_vm(members["d0"][0], GroupStore(members), runners, clock)
    brittle = {"i-0": (0.5, RateLimit(1, 4.0))}
    record_gossip(
        ctx, "vm-001", ServingGossip("vm-001", True, {}, {}, [], brittle=brittle)
    )
    record_full(ctx, runners[2])
    assert ctx.pauses.left_s(runners[2], clock.now) > 0.0


def test_older_word_does_not_undo_a_newer_one() -> None:
    """Guards against gossip that brings back what a runner has taken back."""
    clock = ManualClock(10.0)
    members = make_members(1, 9)
    runner: Runner = make_runners(1, 1)[0]
    ctx, _ = make_vm(members["d0"][0], GroupStore(members), [runner], clock)
    record_brittle(ctx, runner.id, RateLimit(1, 4.0), 10.0, ctx.vm)
    record_brittle(ctx, runner.id, RateLimit(1, None), 9.0, "vm-001")
    assert ctx.brittle.limit_per_s(runner, 10.0) == 4.0
    record_brittle(ctx, runner.id, RateLimit(1, None), 10.5, ctx.vm)
    record_brittle(ctx, runner.id, RateLimit(1, 4.0), 10.2, "vm-001")
    assert ctx.brittle.limit_per_s(runner, 10.5) is None


def test_header_of_brittle_runners_is_read() -> None:
    codec = PlatformHeaders()
    read = codec.decode_response(200, [("Server-Brittle", "7"), ("X", "1")])
    assert read.statement.refusals_per_s == 7.0
    assert codec.decode_response(200, []).statement.refusals_per_s is None
