"""Runners that restart under their ids before the registry has new entries of them."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from gooseberryrun._internal.coordination.serving import Ports, RunnerReport
from gooseberryrun._internal.coordination.serving._orders import (
    ENTRY_WAIT_S,
    RunnerOrders,
)
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import Runner
from result import Err, Ok, Result

from tests.lib.fleet import GroupStore, make_members, make_runners, make_vm


class Reports:
    """Control port whose runners all tell the same start."""

    def __init__(self, born_ms: int) -> None:
        self.born_ms = born_ms

    def read_report(self, _runner: Runner) -> Result[RunnerReport, str]:
        """Return a report with an order count of 3."""
        return Ok(RunnerReport((), {}, False, 3, 0, 0, self.born_ms))


def make_orders(entry_born_ms: int, report_born_ms: int) -> tuple[Any, RunnerOrders]:
    """Return the context of a VM and its orders to a runner that it knows."""
    store = GroupStore(make_members(1, 1))
    runner = replace(make_runners(1, 1)[0], born_ms=entry_born_ms)
    clock = ManualClock(10.0)
    ctx, _ = make_vm(store.groups["d0"][0], store, [runner], clock)
    reports: Any = Reports(report_born_ms)
    nothing: Any = None
    ctx.ports = Ports(nothing, nothing, nothing, reports)
    return ctx, RunnerOrders(ctx, runner)


def test_restarted_runner_gets_no_orders_until_its_entry_had_time_to_come() -> None:
    ctx, orders = make_orders(entry_born_ms=5, report_born_ms=6)
    assert isinstance(orders.read_report(), Err)
    assert not orders.is_seq_known
    assert ctx.directory.runner("i-0").born_ms == 5
    ctx.clock.now += ENTRY_WAIT_S
    assert isinstance(orders.read_report(), Err)
    assert ctx.directory.runner("i-0").born_ms == 6


@pytest.mark.parametrize(
    ("entry", "report"),
    [(5, 5), (0, 6), (5, 0), (6, 5)],
    ids=["same", "entry without a start", "report without a start", "stale report"],
)
def test_runner_that_has_not_restarted_gets_orders(entry: int, report: int) -> None:
    ctx, orders = make_orders(entry, report)
    for _ in range(2):
        assert isinstance(orders.read_report(), Ok)
        ctx.clock.now += ENTRY_WAIT_S
    assert orders.is_seq_known
    assert ctx.directory.runner("i-0").born_ms == entry
