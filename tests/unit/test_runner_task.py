"""The owner's task of one runner, against a scripted engine."""

from __future__ import annotations

from typing import Any, cast

import gooseberryrun._internal.coordination as coordination
import gooseberryrun._internal.state as state
import pytest
from gooseberryrun._internal.coordination import _runner_task
from result import Err, Ok, Result

from tests.lib.nodes import CFG, ENGINE

FENCING = state.FencingNumber(7)
Report = Result[coordination.EngineReport, coordination.EngineError]


class Fixture:
    """A task whose spawned functions run when a test calls ``run_spawned``."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = state.ManualClock(100.0)
        self.incarnation = "first"
        self.resident: list[str] = []
        self.reports = 0
        self.failing = False
        self.released = 0
        self.spawned: list[Any] = []
        self.answers: list[coordination.GrantAnswer] = []
        monkeypatch.setattr(
            _runner_task, "spawn", lambda name, work: self.spawned.append(work)
        )
        double = cast(Any, self)
        self.task = coordination.RunnerTask(
            CFG,
            self.clock,
            ENGINE.id,
            double,
            double,
            double,
            double,
            set(),
            self.extend_use,
        )
        monkeypatch.setattr(self.task, "post", self.task.handle)

    # Test doubles of the membership, leases, engines and permits.

    def get(self, vm: str) -> state.Vm:
        return ENGINE

    def is_leaving(self, vm: state.Vm) -> bool:
        return False

    def entry_vms(self) -> list[str]:
        return ["a"]

    def record_engine_leaving(self, runner: str, leaving: bool) -> None:
        """Ignore whether the engine reports that it is leaving."""

    def extend_use(self, vm: str, boot: str) -> None:
        """Ignore an extension of a use lease."""

    def is_valid(self, runner: str, fencing: state.FencingNumber = FENCING) -> bool:
        return True

    def owned(self) -> dict[str, state.FencingNumber]:
        return {ENGINE.id: FENCING}

    def acquire(self, *_args: object) -> bool:
        return True

    def release(self, runner: str) -> None:
        """Count the release of a permit."""
        self.released += 1

    def load(
        self, _engine: state.Vm, model: str, *_rest: object
    ) -> Result[None, coordination.EngineError]:
        self.resident.append(model)
        return Ok(None)

    def report(self, engine: state.Vm) -> Report:
        self.reports += 1
        if self.failing:
            fault = coordination.EngineFault.NOT_SENT
            return Err(coordination.EngineError(fault))
        return Ok(
            coordination.EngineReport(self.incarnation, list(self.resident), 0, False)
        )

    def run_spawned(self) -> None:
        work, self.spawned = self.spawned, []
        for one in work:
            one()

    def ask(self, number: int, model: str, work_class: str = "quick") -> None:
        request = coordination.GrantRequest(
            request_id=str(number),
            runner=ENGINE.id,
            model=model,
            vm="a",
            boot="boot",
            work_class=work_class,
            fingerprint=str(number),
            suspect=False,
            wait_s=5.0,
            traceparent="",
        )
        self.task.handle(coordination.GrantRequested(request, self.answers.append))


def test_grant_names_the_incarnation_that_loaded_the_adapter(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A restart before a load must not leave the old incarnation in the grant."""
    fixture = Fixture(monkeypatch)
    fixture.ask(1, "m@1")
    fixture.run_spawned()
    fixture.run_spawned()
    fixture.incarnation = "second"
    fixture.run_spawned()
    assert fixture.resident == ["m@1"]
    fixture.run_spawned()
    assert [answer.incarnation for answer in fixture.answers] == ["second"]


def test_report_asked_for_before_a_load_ended_is_not_believed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fixture = Fixture(monkeypatch)
    fixture.ask(1, "m@1")
    fixture.run_spawned()
    fixture.run_spawned()
    early = coordination.ReportFetched(0, fixture.report(ENGINE))
    fixture.run_spawned()
    fixture.task.handle(early)
    assert fixture.answers == []
    fixture.run_spawned()
    assert [answer.decision for answer in fixture.answers] == ["granted"]
    assert list(fixture.task.scheduler.resident()) == ["m@1"]


def test_engine_without_report_is_asked_again_only_after_a_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fixture = Fixture(monkeypatch)
    fixture.failing = True
    fixture.ask(1, "m@1")
    for _ in range(5):
        fixture.run_spawned()
    assert fixture.reports == 1
    fixture.clock.now += 0.1
    fixture.task.handle(coordination.Tick())
    fixture.run_spawned()
    assert fixture.reports == 2


def test_engine_that_lacks_a_granted_adapter_is_asked_what_it_has(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An engine restarted without adapters: one failed request triggers a reload."""
    fixture = Fixture(monkeypatch)
    fixture.ask(1, "m@1")
    for _ in range(4):
        fixture.run_spawned()
    fixture.resident.clear()
    fixture.incarnation = "second"
    fixture.task.handle(coordination.GrantsEnded([fixture.answers[0].grant_id], True))
    fixture.ask(2, "m@1")
    assert len(fixture.answers) == 1
    for _ in range(4):
        fixture.run_spawned()
    assert fixture.resident == ["m@1"]
    assert fixture.answers[1].incarnation == "second"


def test_permit_that_patient_work_waited_for_serves_quick_work(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The adapter to load is picked when the permit is granted."""
    fixture = Fixture(monkeypatch)
    fixture.ask(1, "patient@1", "patient")
    fixture.run_spawned()
    fixture.ask(2, "quick@1")
    fixture.run_spawned()
    fixture.run_spawned()
    assert fixture.resident == ["quick@1"]


def test_permit_that_nothing_waits_for_any_more_is_given_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fixture = Fixture(monkeypatch)
    fixture.ask(1, "m@1")
    fixture.run_spawned()
    fixture.clock.now += 10.0
    fixture.task.handle(coordination.Tick())
    for _ in range(3):
        fixture.run_spawned()
    assert fixture.resident == []
    assert fixture.released == 1


def test_idle_engine_is_asked_before_it_gets_new_work(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Idle engines are polled rarely, but a leaving one must get no new work."""
    fixture = Fixture(monkeypatch)
    fixture.resident.append("m@1")
    fixture.ask(1, "m@1")
    fixture.run_spawned()
    assert len(fixture.answers) == 1
    fixture.task.handle(coordination.GrantsEnded([fixture.answers[0].grant_id]))
    assert fixture.task.is_idle()
    fixture.clock.now += _runner_task.MAX_REPORT_AGE_S + 0.1
    fixture.ask(2, "m@1")
    assert len(fixture.answers) == 1
    fixture.run_spawned()
    assert len(fixture.answers) == 2


def test_missing_adapter_is_not_granted_again_while_another_one_loads(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The engine had restarted, and each retry of a request was granted at once."""
    fixture = Fixture(monkeypatch)
    fixture.resident = ["m@1"]
    fixture.ask(1, "m@1")
    fixture.run_spawned()
    assert len(fixture.answers) == 1
    fixture.resident = []
    fixture.ask(2, "n@1")
    fixture.run_spawned()
    assert fixture.task.scheduler.has_order_outstanding()
    fixture.task.handle(coordination.GrantsEnded([fixture.answers[0].grant_id], True))
    fixture.ask(3, "m@1")
    assert len(fixture.answers) == 1
    for _ in range(6):
        fixture.run_spawned()
    assert sorted(fixture.resident) == ["m@1", "n@1"]
    assert len(fixture.answers) == 3
