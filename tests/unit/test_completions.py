"""Retries of a completion, against engines with scripted faults."""

from __future__ import annotations

from typing import Any, cast

import gooseberryrun._internal.coordination as coordination
import gooseberryrun._internal.state as state
import pytest
from gooseberryrun._internal.coordination import _completions
from gooseberryrun._internal.state.serving import Handling, Trait, Verdict
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok, Result

from tests.lib.nodes import CFG, ENGINE

Fault = coordination.EngineFault


class Stream(coordination.EngineStream):
    """Answer of one block."""

    content_type = "application/json"
    incarnation = "boot"

    def read(self) -> Result[coordination.StreamBlock, coordination.EngineError]:
        return Ok(coordination.StreamBlock(b"{}", 1, True))

    def close(self) -> None:
        """Do nothing."""


class Fixture:
    """Collaborators of a completion; ``script`` holds the faults of the attempts."""

    def __init__(self, script: list[coordination.EngineFault]) -> None:
        self.script = script
        self.attempts = 0
        self.refused = False
        self.ended: list[str] = []
        limits = CFG.limits.model_copy(
            update={"retry_budget_floor": 0, "retry_budget_ratio": 0.0}
        )
        double = cast(Any, self)
        self.config = self.owners = double
        cfg = CFG.model_copy(update={"limits": limits})
        clock = state.ManualClock(100.0)
        acquisition = coordination.Acquisition(
            cfg, clock, double, double, double, double, double, "boot"
        )
        self.completions = coordination.Completions(
            cfg, clock, double, double, double, double, double, acquisition
        )

    def __getattr__(self, name: str) -> Any:
        return lambda *_args: None

    def has_model(self, model: str) -> bool:
        return True

    def verdict(self, traits: tuple[Trait, ...]) -> Verdict:
        if self.refused:
            return Verdict(Handling.REFUSED, traits[0], 2)
        return Verdict(Handling.FREE)

    def is_suspect(self, traits: tuple[Trait, ...]) -> bool:
        return False

    def suspect_trait(self, traits: tuple[Trait, ...]) -> Trait | None:
        return None

    def has_boot_ended(self, vm: str, boot: str) -> bool:
        return False

    def voters(self, domain: str) -> list[str]:
        return ["a"]

    def choose(self, *_args: object) -> state.Vm:
        return ENGINE

    def request_grant(
        self, *_args: object
    ) -> Result[coordination.GrantAnswer, coordination.PeerError]:
        return Ok(coordination.GrantAnswer("granted", ENGINE.id, "grant", lease_s=9.0))

    def left_s(self, grant_id: str) -> float:
        return 9.0

    def end(self, grant_id: str) -> None:
        self.ended.append(grant_id)

    def cancel(self, *_args: object) -> bool:
        return True

    def complete(
        self, *_args: object
    ) -> Result[coordination.EngineStream, coordination.EngineError]:
        self.attempts += 1
        if self.script:
            return Err(coordination.EngineError(self.script.pop(0)))
        return Ok(Stream())

    def run(self) -> Result[coordination.Response, coordination.Refusal]:
        request = coordination.CompletionRequest(
            request_id="r",
            path="/v1/completions",
            model="m@1",
            body={},
            stream=False,
            work_class=state.WorkClass.INTERACTIVE,
            fingerprint="content",
            deadline=130.0,
        )
        return self.completions.run(request)


@pytest.fixture(autouse=True)
def _no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_completions, "RETRY_PAUSE_S", 0.0)


@pytest.mark.parametrize("fault", [Fault.NOT_SENT, Fault.NOT_RESIDENT])
def test_attempt_that_cost_no_work_needs_no_retry_budget(
    fault: coordination.EngineFault,
) -> None:
    fixture = Fixture([fault, fault])
    assert isinstance(fixture.run(), Ok)
    assert fixture.attempts == 3


def test_attempt_that_cost_work_is_not_repeated_without_budget() -> None:
    fixture = Fixture([Fault.BROKEN])
    refusal = fixture.run()
    assert isinstance(refusal, Err)
    assert refusal.err_value.code == "engine_failed"
    assert refusal.err_value.outcome is state.RunOutcome.UNKNOWN
    assert fixture.attempts == 1


def test_attempts_are_bounded_even_without_budget() -> None:
    fixture = Fixture([Fault.NOT_SENT] * 100)
    refusal = fixture.run()
    assert isinstance(refusal, Err)
    assert refusal.err_value.outcome is state.RunOutcome.NOT_RUN
    assert fixture.attempts == CFG.limits.max_attempts


def test_verdict_that_comes_while_a_copy_waits_for_its_place_holds() -> None:
    fixture = Fixture([])

    def ask_and_refuse(
        *_args: object,
    ) -> Result[coordination.GrantAnswer, coordination.PeerError]:
        fixture.refused = True
        return Fixture.request_grant(fixture)

    cast(Any, fixture).request_grant = ask_and_refuse
    refusal = fixture.run()
    assert isinstance(refusal, Err)
    assert refusal.err_value.code == "crashes_runners"
    assert refusal.err_value.outcome is state.RunOutcome.NOT_RUN
    assert (fixture.attempts, fixture.ended) == (0, ["grant"])


NEVER_RAN = {Fault.NOT_SENT, Fault.UNREACHABLE, Fault.NOT_RESIDENT}
AMBIGUOUS = [fault for fault in Fault if fault is not Fault.REJECTED]


class BreakingStream(Stream):
    """Answer whose read fails with ``fault``, unless that is None."""

    def __init__(self, fault: coordination.EngineFault | None) -> None:
        self._fault = fault

    def read(self) -> Result[coordination.StreamBlock, coordination.EngineError]:
        if self._fault is not None:
            return Err(coordination.EngineError(self._fault))
        return super().read()


class RandomFixture(Fixture):
    """Engines that fail by a script of (fault, whether the stream opens first)."""

    def __init__(
        self, script: list[tuple[coordination.EngineFault | None, bool]]
    ) -> None:
        super().__init__([])
        self.steps = script
        self.granted = 0
        self.dispatched = False

    def request_grant(
        self, *_args: object
    ) -> Result[coordination.GrantAnswer, coordination.PeerError]:
        self.granted += 1
        grant_id = f"grant-{self.granted}"
        return Ok(coordination.GrantAnswer("granted", ENGINE.id, grant_id, lease_s=9.0))

    def complete(
        self, *_args: object
    ) -> Result[coordination.EngineStream, coordination.EngineError]:
        self.attempts += 1
        fault, opens = self.steps.pop(0) if self.steps else (None, True)
        if opens or fault is None:
            self.dispatched = True
            return Ok(BreakingStream(fault))
        self.dispatched = self.dispatched or fault not in NEVER_RAN
        return Err(coordination.EngineError(fault))


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(AMBIGUOUS), st.booleans()), max_size=6))
def test_outcome_is_true_and_every_grant_ends_whatever_fails(
    script: list[tuple[coordination.EngineFault | None, bool]],
) -> None:
    """Answers are complete; "not run" exactly if no engine accepted an attempt."""
    fixture = RandomFixture(list(script))
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(_completions, "RETRY_PAUSE_S", 0.0)
        answer = fixture.run()
    assert fixture.attempts <= CFG.limits.max_attempts
    assert len(set(fixture.ended)) == len(fixture.ended) == fixture.granted
    if isinstance(answer, Ok):
        assert b"".join(answer.ok_value.chunks) == b"{}"
        return
    outcome = answer.err_value.outcome
    expected = state.RunOutcome.UNKNOWN if fixture.dispatched else None
    assert outcome is (expected or state.RunOutcome.NOT_RUN)
