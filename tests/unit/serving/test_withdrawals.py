"""Requests to a runner's owner that their callers withdraw."""

from __future__ import annotations

from gooseberryrun._internal.coordination._serving_messages import AcquireRequest
from gooseberryrun._internal.coordination.serving._runner_owner import RunnerOwner
from gooseberryrun._internal.coordination.serving._runner_speeds import RunnerSpeeds
from gooseberryrun._internal.coordination.serving._waiting_requests import (
    WITHDRAWN_TTL_S,
)
from gooseberryrun._internal.state import ManualClock
from result import Err

from tests.lib.fleet import GroupStore, make_members, make_runners, make_vm

WAIT_S = 0.01


def make_owner() -> tuple[RunnerOwner, ManualClock]:
    members = make_members(1, 1)
    runners = make_runners(1, 1)
    clock = ManualClock(10.0)
    ctx, _ = make_vm(members["d0"][0], GroupStore(members), runners, clock)
    owner = RunnerOwner(ctx, runners[0], 6, lambda: None, RunnerSpeeds(ctx))
    owner._orders.fencing_token = lambda: 1  # type: ignore[method-assign]
    return owner, clock


def acquire(owner: RunnerOwner, clock: ManualClock) -> str:
    """Ask for the grant of a long prompt; return why there is none."""
    request = AcquireRequest("i-0", "m0/a1", 0, 1.0, 1.0, 0, "r1", False, 9000)
    acquired = owner.acquire(request, clock.monotonic() + WAIT_S)
    assert isinstance(acquired, Err)
    return acquired.err_value.reason


def test_request_that_was_withdrawn_before_it_was_served_gets_no_grant() -> None:
    """Requests are served in green threads of their own, withdrawals at once.

    The grant was never returned, so that prompts waited until it lapsed.
    """
    owner, clock = make_owner()
    owner.end_prefill("r1", -1.0)
    assert acquire(owner, clock) == "withdrawn"


def test_request_after_an_old_withdrawal_is_served() -> None:
    owner, clock = make_owner()
    owner.end_prefill("r1", -1.0)
    clock.now += WITHDRAWN_TTL_S + 0.1
    assert acquire(owner, clock) == "too_late"


def test_withdrawals_are_not_remembered_without_bound() -> None:
    owner, clock = make_owner()
    for number in range(100):
        owner.end_prefill(f"r{number}", -1.0)
        clock.now += 0.1
    assert len(owner._waiting._withdrawn_at) <= 12
