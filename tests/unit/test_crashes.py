"""Crash reports of failed attempts, against a scripted engine."""

from __future__ import annotations

from typing import Any, cast

import eventlet
import gooseberryrun._internal.coordination as coordination
import gooseberryrun._internal.state as state
import gooseberryrun._internal.state.serving as serving
import pytest
from gooseberryrun._internal.coordination import _crashes
from result import Err, Ok, Result

from tests.lib.nodes import CFG, ENGINE

Report = Result[coordination.EngineReport, coordination.EngineError]
CONTENT = [serving.Trait(serving.TraitKind.CONTENT, "content")]
ADAPTER = serving.Trait(serving.TraitKind.ADAPTER, "a1@1")
REFUSED: Report = Err(coordination.EngineError(coordination.EngineFault.NOT_SENT))
BROKEN: Report = Err(coordination.EngineError(coordination.EngineFault.BROKEN))


def answers(incarnation: str) -> Report:
    return Ok(coordination.EngineReport(incarnation, [], 0, False))


class Fixture:
    """Crash reports of one VM; the engine's reports come from a list."""

    def __init__(self, script: list[Report]) -> None:
        self.script = script
        self.clock = state.ManualClock(100.0)
        limits = serving.CrashLimits(2, 600.0, 600.0)
        self.evidence = serving.CrashEvidence(lambda crash: True, limits)
        self.sent: list[coordination.CrashNotice] = []
        self.cleared: list[coordination.CrashClearedNotice] = []
        double = cast(Any, self)
        self.replica = self.membership = self.appender = double
        self.crashes = coordination.Crashes(
            CFG, self.clock, double, double, double, double, double
        )

    def report(self, engine: state.Vm) -> Report:
        return self.script.pop(0)

    def other_entry_vms(self) -> list[str]:
        return ["b"]

    def send_to(
        self,
        vm: str,
        message: coordination.CrashNotice | coordination.CrashClearedNotice,
    ) -> None:
        if isinstance(message, coordination.CrashNotice):
            self.sent.append(message)
        else:
            self.cleared.append(message)

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
    fixture.crashes.report_failed_attempt(ENGINE, "old", CONTENT)
    for _ in range(10):
        eventlet.sleep(0)
    assert fixture.evidence.crash_count(CONTENT[0]) == crashes
    assert len(fixture.sent) == crashes


def test_same_crash_counts_once() -> None:
    fixture = Fixture([REFUSED, REFUSED])
    fixture.crashes.report_failed_attempt(ENGINE, "old", CONTENT)
    fixture.crashes.report_failed_attempt(ENGINE, "old", CONTENT)
    assert not fixture.crashes.is_refused(CONTENT)
    fixture.script = [REFUSED]
    fixture.crashes.report_failed_attempt(ENGINE, "new", CONTENT)
    assert fixture.crashes.is_refused(CONTENT)


def test_content_that_crashes_again_is_not_held_against_its_adapter() -> None:
    fixture = Fixture([REFUSED, REFUSED, REFUSED])
    for number, content in enumerate(("one", "one", "two")):
        traits = [serving.Trait(serving.TraitKind.CONTENT, content), ADAPTER]
        fixture.crashes.report_failed_attempt(ENGINE, f"boot-{number}", traits)
        fixture.clock.now += 5.0
    assert fixture.evidence.crash_count(ADAPTER) == 2


def test_completed_request_clears_its_adapter_everywhere() -> None:
    """An adapter that runs beside contents that crash would be refused."""
    fixture = Fixture([REFUSED, REFUSED, REFUSED])
    for number in range(3):
        content = serving.Trait(serving.TraitKind.CONTENT, str(number))
        fixture.crashes.report_failed_attempt(ENGINE, f"b{number}", [content, ADAPTER])
        fixture.clock.now += 5.0
    assert fixture.crashes.is_refused([ADAPTER])
    other = Fixture([])
    other.crashes.handle_crash_notice(fixture.sent[0])
    other.clock.now += 5.0
    assert other.crashes.is_suspect([ADAPTER])
    fixture.crashes.record_answer([*CONTENT, ADAPTER])
    assert not fixture.crashes.is_suspect([ADAPTER])
    [notice] = fixture.cleared
    other.crashes.handle_cleared_notice(notice)
    assert not other.crashes.is_suspect([ADAPTER])


def test_crashes_from_before_a_restart_keep_their_age() -> None:
    """Each restart of a VM would have begun a new time of refusal."""
    clock = state.ManualClock(10_000.0)
    double: Any = None
    replica = coordination.Replica(CFG, clock, double, double, "boot-a")
    for number in range(2):
        at = clock.unix() - 3 * CFG.limits.suspect_ttl_s + number
        report = state.CrashReport("engine", f"boot-{number}", ["content"], at)
        replica._apply_decoded(report, number)
    handling = replica.evidence.verdict(CONTENT, clock.monotonic()).handling
    assert handling is serving.Handling.FREE


def test_crashing_content_is_kept_apart_from_others_of_its_adapter() -> None:
    """It went to the runner of the adapter, and a neighbour met both its crashes."""
    for number in range(20):
        fixture = Fixture([REFUSED])
        deadly = serving.Trait(serving.TraitKind.CONTENT, f"deadly-{number}")
        fixture.crashes.report_failed_attempt(ENGINE, "old", [deadly, ADAPTER])
        assert fixture.crashes.suspect_trait([deadly, ADAPTER]) == deadly
        assert fixture.crashes.suspect_trait([*CONTENT, ADAPTER]) == ADAPTER
