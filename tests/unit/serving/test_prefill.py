"""Admission of long prompts, against loads that make the streams of a runner pause."""

from __future__ import annotations

import heapq
import random

import pytest
from gooseberry_fakes.measure.engine_model import (
    EngineModel,
    EngineSpeed,
    ModelStream,
)
from gooseberryrun._internal.state.serving import (
    PrefillAdmission,
    PrefillLoad,
    PrefillPace,
)
from gooseberryrun._internal.state.serving._prefill import (
    USABLE_PAUSE_SHARE,
    PaceEstimator,
)
from hypothesis import given
from hypothesis import strategies as st

MAX_PAUSE_S = 0.5
MAX_PAUSED_SHARE = 0.05
"""Share of the streams that may pause for too long: the aim is 95 in 100 in time."""
NEWS_S = 0.003
"""Time that a message between two VMs takes."""


class Replay:
    """Plays prompts of many VMs at one engine; without ``admission`` all start at once.

    The owner of the engine hears of a first event ``NEWS_S`` after it was sent.
    """

    def __init__(self, speed: EngineSpeed, admission: PrefillAdmission | None) -> None:
        self.engine = EngineModel(speed)
        self.admission = admission
        self.max_pause_s = MAX_PAUSE_S
        self.waiting: list[ModelStream] = []
        self.streams: list[ModelStream] = []
        self.returns: list[tuple[float, str, float]] = []

    def run(self, arrivals: list[ModelStream]) -> None:
        due = sorted(arrivals, key=lambda stream: stream.sent_at)
        while due or self.waiting or not self.engine.is_idle:
            if self.engine.is_idle and not self.waiting and due:
                self.engine.now = max(self.engine.now, due[0].sent_at)
            while due and due[0].sent_at <= self.engine.now:
                self._arrive(due.pop(0))
            self._return_grants()
            self._admit()
            first = [s for s in self.engine.running if s.first_at == float("inf")]
            self.engine.step()
            for stream in first:
                if stream.first_at <= self.engine.now:
                    took_s = self.engine.now - stream.sent_at
                    heapq.heappush(
                        self.returns, (self.engine.now + NEWS_S, stream.id, took_s)
                    )

    def _arrive(self, stream: ModelStream) -> None:
        self.streams.append(stream)
        if self.admission is None or not self.admission.pace.needs_grant(
            stream.prompt_tokens, self.max_pause_s
        ):
            self.engine.add(stream)
        else:
            self.waiting.append(stream)

    def _return_grants(self) -> None:
        while self.returns and self.returns[0][0] <= self.engine.now:
            _, request_id, took_s = heapq.heappop(self.returns)
            if self.admission is not None:
                self.admission.end(request_id, took_s)

    def _admit(self) -> None:
        while self.waiting and self.admission is not None:
            tokens = self.waiting[0].prompt_tokens
            if not self.admission.may_begin(tokens, self.max_pause_s, self.engine.now):
                return
            stream = self.waiting.pop(0)
            stream.sent_at = self.engine.now
            self.admission.begin(stream.id, tokens, MAX_PAUSE_S, self.engine.now)
            self.engine.add(stream)

    def paused_share(self) -> float:
        """Return the share of streams with short prompts that paused too long."""
        short = [stream for stream in self.streams if stream.id.startswith("short")]
        paused = [s for s in short if s.longest_pause_s > self.max_pause_s]
        return len(paused) / len(short)


def long_and_short(seed: int, factor: float) -> list[ModelStream]:
    """Return 60 s of load: 1.7 long prompts and 3 short-prompt streams a second.

    ``factor`` scales the prompts to the speed of the engine.
    """
    rng = random.Random(seed)
    arrivals: list[ModelStream] = []
    for kind, per_s, tokens, output in (
        ("long", 1.7, 6000 * factor, 50),
        ("short", 3.0, 800 * factor, 290),
    ):
        now = 0.0
        while (now := now + rng.expovariate(per_s)) < 60:
            prompt = max(1, int(tokens * rng.lognormvariate(0, 0.2)))
            name = f"{kind}-{len(arrivals)}"
            arrivals.append(ModelStream(name, prompt, output, now))
    return arrivals


@pytest.mark.parametrize("factor", [1 / 3, 1.0, 3.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_prompts_of_several_vms_do_not_add_up_to_long_pauses(
    seed: int, factor: float
) -> None:
    """Guards against VMs that start long prompts at one runner at the same time.

    Played at a third and at three times the speed of the engine: the pace is learnt.
    """
    speed = EngineSpeed().scaled(factor)
    unguarded = Replay(speed, None)
    unguarded.run(long_and_short(seed, factor))
    guarded = Replay(speed, PrefillAdmission())
    guarded.run(long_and_short(seed, factor))
    assert unguarded.paused_share() > MAX_PAUSED_SHARE
    assert guarded.paused_share() <= MAX_PAUSED_SHARE


@pytest.mark.parametrize("tokens_per_s", [5000, 15000, 38400, 120000])
def test_pace_is_learnt_for_engines_of_any_speed(tokens_per_s: int) -> None:
    rng = random.Random(5)
    estimator = PaceEstimator(PrefillPace())
    for _ in range(80):
        tokens = int(rng.lognormvariate(8.5, 0.6))
        took_s = tokens / tokens_per_s * rng.uniform(0.9, 1.1)
        estimator.record(tokens, took_s)
    assert estimator.pace.token_s == pytest.approx(1 / tokens_per_s, rel=0.1)


def test_runner_that_turns_slow_is_noticed_within_some_prompts() -> None:
    estimator = PaceEstimator(PrefillPace(1 / 38400))
    rng = random.Random(6)
    for _ in range(40):
        tokens = rng.randint(2000, 16000)
        estimator.record(tokens, 5 * tokens / 38400)
    assert estimator.pace.token_s == pytest.approx(5 / 38400, rel=0.1)


def test_short_prompts_need_no_grant() -> None:
    pace = PrefillPace(1 / 38400)
    assert not pace.needs_grant(800, MAX_PAUSE_S)
    assert pace.needs_grant(9000, MAX_PAUSE_S)


def test_without_a_declared_pause_no_prompt_waits() -> None:
    assert not PrefillPace().needs_grant(1_000_000, 0.0)


def test_prompt_longer_than_the_pause_starts_once_it_is_alone() -> None:
    admission = PrefillAdmission(PrefillPace(1 / 10000))
    admission.begin("a", 1000, MAX_PAUSE_S, 0.0)
    assert not admission.may_begin(20000, MAX_PAUSE_S, 0.05)
    admission.end("a", 0.1)
    assert admission.may_begin(20000, MAX_PAUSE_S, 0.1)


def test_lost_return_holds_prompts_back_for_a_bounded_time() -> None:
    admission = PrefillAdmission(PrefillPace(1 / 10000))
    admission.begin("a", 5000, MAX_PAUSE_S, 0.0)
    lapse_at = admission.next_lapse_at()
    assert lapse_at is not None
    assert lapse_at <= 2.0
    assert not admission.may_begin(5000, MAX_PAUSE_S, lapse_at - 0.01)
    assert admission.may_begin(5000, MAX_PAUSE_S, lapse_at)


def test_expected_load_runs_down_while_no_news_arrives() -> None:
    load = PrefillLoad(PrefillPace(), running_s=0.3, waiting_s=0.4)
    later = load.after(0.5)
    assert (later.running_s, round(later.waiting_s, 6)) == (0.0, 0.2)
    assert load.after(9.0).waiting_s == 0.0


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "return", "lose", "repeat"]),
        st.integers(1, 30000),
        st.floats(0.0, 0.6),
    ),
    max_size=60,
)


@given(_STEPS)
def test_prompts_in_progress_stay_within_the_pause_whatever_is_lost(
    steps: list[tuple[str, int, float]],
) -> None:
    """Returns that are lost, doubled or late never let too many prompts start."""
    admission = PrefillAdmission(PrefillPace(1 / 20000))
    now = 0.0
    granted: list[str] = []
    returned: list[str] = []
    for number, (action, tokens, passed_s) in enumerate(steps):
        now += passed_s
        if action == "ask" and admission.may_begin(tokens, MAX_PAUSE_S, now):
            was_free = admission.granted_tokens == 0
            admission.begin(f"r{number}", tokens, MAX_PAUSE_S, now)
            granted.append(f"r{number}")
            pause_s = admission.pace.prefill_s(admission.granted_tokens)
            assert was_free or pause_s <= USABLE_PAUSE_SHARE * MAX_PAUSE_S + 1e-9
        elif action == "return" and granted:
            returned.append(granted.pop(0))
            admission.end(returned[-1], None)
        elif action == "lose" and granted:
            granted.pop()
        elif action == "repeat" and returned:
            assert not admission.end(returned[-1], 0.1)
    assert admission.may_begin(1, MAX_PAUSE_S, now + 60.0)
    assert admission.granted_tokens == 0
