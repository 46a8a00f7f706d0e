"""Each VM's share of the retry budget of all."""

from __future__ import annotations

from typing import Any

import pytest
from gooseberryrun._internal.coordination.serving import (
    StoreStatus,
    _retry_budgets,
)
from gooseberryrun._internal.coordination.serving._attempts import Attempts
from gooseberryrun._internal.state import ManualClock

from tests.lib.fleet import GroupStore, make_members, make_runners, make_vm
from tests.lib.retries import FailingFleet, withdraw_retries


def test_vms_that_know_no_member_yet_share_the_retries_of_all() -> None:
    """All had been restarted without the store, and each retried for all."""
    vms = 9
    members = make_members(3, vms)
    runners = make_runners(3, 3)
    names = [member.vm for group in members.values() for member in group]
    granted = 0
    slack = 0.0
    for member in [m for group in members.values() for m in group]:
        clock = ManualClock(100.0)
        ctx, _ = make_vm(member, GroupStore(members), runners, clock)
        clock.now += 2 * ctx.cfg.repeats.window_s
        ctx.remote_views.clear()
        ctx.ownership.leave([], 0.0)
        for vm in names:
            ctx.store_statuses[vm] = StoreStatus(clock.now, can_reach_store=False)
        slack = ctx.cfg.repeats.slack
        guard: Any = None
        granted += withdraw_retries(Attempts(ctx, guard), most=1000)
    assert 0 < granted <= slack


def test_denied_retry_is_logged_with_the_figures_of_the_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[tuple[str, dict[str, Any]]] = []
    monkeypatch.setattr(
        _retry_budgets,
        "log_event",
        lambda event, **fields: lines.append((event, fields)),
    )
    fleet = FailingFleet(7)
    while fleet.fail_request(fleet.members[0]):
        pass
    event, fields = lines[0]
    assert event == "repeat_denied"
    assert fields["spent"] == len(fleet.retries)
    assert fields["spent"] <= fields["limit"] < fields["spent"] + 1
    assert fields["requests"] == len(fleet.requests)
    assert (fields["vms"], fields["age_s"]) == (7, 2 * fleet.cfg.window_s)
