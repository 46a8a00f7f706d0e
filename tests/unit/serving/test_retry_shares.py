"""Each VM's share of the retry budget of all."""

from __future__ import annotations

from typing import Any

from gooseberryrun._internal.coordination.serving import StoreStatus
from gooseberryrun._internal.coordination.serving._attempts import Attempts
from gooseberryrun._internal.state import ManualClock

from tests.lib.fleet import GroupStore, make_members, make_runners, make_vm


def test_vms_that_know_no_member_yet_share_the_retries_of_all() -> None:
    """All had been restarted without the store, and each retried for all."""
    vms = 9
    members = make_members(3, vms)
    runners = make_runners(3, 3)
    names = [member.vm for group in members.values() for member in group]
    granted = 0
    slack = 0.0
    for member in [m for group in members.values() for m in group]:
        ctx, _ = make_vm(member, GroupStore(members), runners, ManualClock(100.0))
        ctx.remote_views.clear()
        ctx.ownership.leave([], 0.0)
        for vm in names:
            ctx.store_statuses[vm] = StoreStatus(100.0, can_reach_store=False)
        slack = ctx.cfg.repeats.slack
        guard: Any = None
        attempts = Attempts(ctx, guard)
        active: Any = type("Active", (), {"sends": 1, "service": "s"})()
        active.metadata = type("Metadata", (), {"request_id": "r"})()
        while attempts.withdraw_attempt(active):
            granted += 1
    assert 0 < granted <= slack
