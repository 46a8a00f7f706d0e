"""Crash reports of failed attempts, against a scripted engine."""

from __future__ import annotations

from typing import Any, cast

import eventlet
import gooseberryrun._internal.coordination as coordination
import gooseberryrun._internal.state as state
import pytest
from gooseberryrun._internal.coordination import _crashes
from result import Err, Ok, Result

from tests.lib.nodes import CFG, ENGINE

Report = Result[coordination.EngineReport, coordination.EngineError]
REFUSED: Report = Err(coordination.EngineError(coordination.EngineFault.NOT_SENT))
BROKEN: Report = Err(coordination.EngineError(coordination.EngineFault.BROKEN))


def answers(incarnation: str) -> Report:
    return Ok(coordination.EngineReport(incarnation, [], 0, False))


class Fixture:
    """Crash reports of one VM; the engine's reports come from a list."""

    def __init__(self, script: list[Report]) -> None:
        self.script = script
        self.clock = state.ManualClock(100.0)
        self.suspects = state.SuspectState(2, 600.0)
        self.sent: list[coordination.CrashNotice] = []
        double = cast(Any, self)
        self.replica = self.membership = self.appender = double
        self.crashes = coordination.Crashes(
            CFG, self.clock, double, double, double, double, double
        )

    def report(self, engine: state.Vm) -> Report:
        return self.script.pop(0)

    def other_entry_vms(self) -> list[str]:
        return ["b"]

    def send_to(self, vm: str, message: coordination.CrashNotice) -> None:
        self.sent.append(message)

    def append(self, record: object, deadline: float) -> None:
        """Ignore a crash record for the log."""


@pytest.fixture(autouse=True)
def _no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_crashes, "CRASH_RECHECK_PAUSES_S", (0.0, 0.0))
    monkeypatch.setattr(_crashes, "CRASH_PROBE_INTERVAL_S", 0.0)


@pytest.mark.parametrize(
    ("script", "crashes"),
    [
        ([REFUSED], 1),
        ([BROKEN, BROKEN, answers("new")], 1),
        ([answers("old"), answers("old"), REFUSED], 1),
        ([answers("old"), answers("old"), answers("old")], 0),
    ],
    ids=["refuses", "restarted", "dies after it answered", "only the connection"],
)
def test_crash_is_told_from_a_broken_connection(
    script: list[Report], crashes: int
) -> None:
    fixture = Fixture(script)
    fixture.crashes.report_failed_attempt(ENGINE, "old", "content")
    for _ in range(10):
        eventlet.sleep(0)
    assert fixture.suspects.crash_count("content", 100.0) == crashes
    assert len(fixture.sent) == crashes


def test_same_crash_counts_once() -> None:
    fixture = Fixture([REFUSED, REFUSED])
    fixture.crashes.report_failed_attempt(ENGINE, "old", "content")
    fixture.crashes.report_failed_attempt(ENGINE, "old", "content")
    assert not fixture.crashes.is_refused("content")
    fixture.script = [REFUSED]
    fixture.crashes.report_failed_attempt(ENGINE, "new", "content")
    assert fixture.crashes.is_refused("content")
