"""What a VM remembers of the adapters that runners hold."""

from __future__ import annotations

from gooseberryrun._internal.coordination._serving_messages import ResidencyNotice
from gooseberryrun._internal.coordination.serving import StoreStatus
from gooseberryrun._internal.coordination.serving._residency import (
    FORGET_S,
    Residency,
)
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import PrefillLoad, Runner, RunnerView

from tests.lib.fleet import GroupStore, make_members, make_runners, make_vm


def notice(runner: str) -> ResidencyNotice:
    return ResidencyNotice(runner, 1, 1, {"m0/a1": 1}, 1, 0, 0.1, PrefillLoad())


def test_vms_and_runners_that_are_gone_are_forgotten() -> None:
    """Both start under new names each day, and were remembered for ever."""
    members = make_members(1, 1)
    clock = ManualClock(10.0)
    ctx, _ = make_vm(members["d0"][0], GroupStore(members), make_runners(1, 1), clock)
    for number in range(100):
        ctx.store_statuses[f"vm-{number}"] = StoreStatus(10.0, can_reach_store=True)
        ctx.residency.record(notice(f"i-gone-{number}"))
        ctx.loads.receive_from_owner(f"i-{number}", RunnerView(1, 1, 1, 1, 1.0), 10.0)
    ctx.residency.record(notice("i-0"))
    clock.now += FORGET_S + 1.0
    ctx.forget_gone()
    assert not ctx.store_statuses
    assert ctx.residency.runners() == {"i-0"}
    assert not ctx.loads._owner_totals


def test_runners_that_are_gone_are_forgotten() -> None:
    """Runners start under new ids, and their notices were kept for ever."""
    clock = ManualClock(10.0)
    residency = Residency(clock)
    residency.record(notice("i-stays"))
    for number in range(100):
        residency.record(notice(f"i-{number}"))
    clock.now += FORGET_S + 1.0
    residency.record(notice("i-unlisted-yet"))
    residency.drop_unregistered({"i-stays"})
    assert residency.runners() == {"i-stays", "i-unlisted-yet"}
    gone = Runner("i-1", "s", "h", 1, "d", 8, False, 1, 1, ())
    assert not residency.held_recently(gone, "m0/a1")
