"""Replay of a domain of runners of unequal speed, in virtual time.

The requests of one failure domain meet runners of which a third is 2.4 times as fast as
the others. Choice, queues, estimates and weights are the product's classes.
"""

from __future__ import annotations

import dataclasses
import math
from collections import Counter
from dataclasses import dataclass
from enum import Enum

import msgspec
from gooseberry_fakes.measure.engine_model import EngineSpeed, ModelStream
from gooseberry_fakes.measure.fleet_model import (
    FleetModel,
    FleetResult,
    FleetScenario,
    ModelRequest,
    RequestKind,
    _ModelRunner,
    _Notice,
)
from gooseberryrun._internal.state.serving import (
    Candidate,
    Choice,
    PrefillPace,
    Runner,
    ServingPolicy,
)
from gooseberryrun._internal.state.serving.placement import (
    WeightDecision,
    WeightTable,
    reference_speed,
    speed_factor,
)

SPEEDS = (0.7, 0.7, 1.7)
TOKENS_PER_S = 20400
STEP_S = 0.0101
SWING = 0.55
PERIOD_S = 17.0
PER_RUNNER = 283 / 70
"""Requests per second and runner: 680,000 prompt tokens per second for 70 runners."""
NOISE_PERIOD_S = 20.0
NOISE_SHARE = 0.15
NOISE_FACTOR = 2.5


class Knowledge(Enum):
    """What decides: no speeds, learnt speeds, or the true ones."""

    NONE = "none"
    LEARNT = "learnt"
    TRUE = "true"


@dataclass(frozen=True)
class SpeedLoad:
    """Load of a domain; ``speeds`` are those of its runners.

    ``changes`` are runners with a time and the speed from then on; one that also
    restarts then is in ``restarts``, with the time for which it is away. With
    ``is_noisy`` each runner is slower for a part of the time.
    """

    speeds: tuple[float, ...]
    phase: float = 0.0
    length_s: float = 51.0
    swing: float = SWING
    demand: float = 1.0
    changes: tuple[tuple[int, float, float], ...] = ()
    restarts: tuple[tuple[int, float, float], ...] = ()
    is_noisy: bool = False

    def rate(self, now: float) -> float:
        """Return the requests per second at a time."""
        angle = 2 * math.pi * (now / PERIOD_S + self.phase)
        mean = self.demand * PER_RUNNER * len(self.speeds)
        return mean * (1 + self.swing * math.sin(angle))

    def speed(self, number: int, now: float) -> float:
        """Return the speed of a runner at a time."""
        speed = self.speeds[number]
        for changed, at, new in self.changes:
            if changed == number and now >= at:
                speed = new
        offset = NOISE_PERIOD_S * number / len(self.speeds)
        if self.is_noisy and (now + offset) % NOISE_PERIOD_S < (
            NOISE_SHARE * NOISE_PERIOD_S
        ):
            speed /= NOISE_FACTOR
        return speed


def engine_speed(speed: float) -> EngineSpeed:
    """Return the rates of an engine of a speed."""
    return EngineSpeed(
        STEP_S / speed, 0.0, 1 / (TOKENS_PER_S * speed), 0.0, 1024, stride=1
    )


def scenario(load: SpeedLoad, knowledge: Knowledge) -> FleetScenario:
    """Return the fleet of a load; a scheduler that knows all has no old notices."""
    peak = (1 + load.swing) * load.demand * PER_RUNNER * len(load.speeds)
    kind = RequestKind("usual", peak, 2400, 0.3, 80, 0.5, 1.0, 0, 6.0, target_s=1.5)
    return FleetScenario(
        "speeds",
        (kind,),
        runners=len(load.speeds),
        slots=5,
        adapters=10000,
        zipf=1.2,
        load_s=0.288,
        loads_at_full_speed=27,
        max_pause_s=0.4,
        news_s=0.0 if knowledge is Knowledge.TRUE else 0.03,
        length_s=load.length_s,
        shift_s=1000.0,
        lost=load.restarts,
    )


class SpeedReplay(FleetModel):
    """Plays a load with one kind of knowledge of the runners' speeds."""

    def __init__(self, load: SpeedLoad, knowledge: Knowledge, seed: int = 1) -> None:
        self.load = load
        self.knowledge = knowledge
        self.weights = WeightTable()
        self.changes: list[tuple[float, str, int]] = []
        self.sent: Counter[str] = Counter()
        self.loaded: Counter[str] = Counter()
        self._decisions: dict[str, WeightDecision] = {}
        self._born_ms: dict[str, int] = {}
        self.result: FleetResult
        super().__init__(scenario(load, knowledge), ServingPolicy(), seed)

    def _make_runner(self, number: int) -> _ModelRunner:
        runner = super()._make_runner(number)
        born_ms = self._born_ms.get(runner.id, 0) + 1
        self._born_ms[runner.id] = born_ms
        runner.runner = Runner(runner.id, "s", "h", 1, "d", 64, False, born_ms, 0, ())
        self._decisions[runner.id] = WeightDecision(born_ms)
        return runner

    def _add_request(self, kind: RequestKind, adapter: int, now: float) -> None:
        """Thin the arrivals, which come at the peak rate, to the present one."""
        if self._rng.random() * kind.per_s <= self.load.rate(now):
            super()._add_request(kind, adapter, now)

    def _step(self, runner: _ModelRunner) -> None:
        number = int(runner.id.removeprefix("i-"))
        runner.engine.speed = engine_speed(self.load.speed(number, self._now))
        super()._step(runner)

    def _choose(self, request: ModelRequest) -> Choice | None:
        choice = super()._choose(request)
        if choice is not None:
            self.sent[choice.candidate.runner.id] += 1
        return choice

    def _candidate(
        self, request: ModelRequest, runner: _ModelRunner, seen: _Notice
    ) -> Candidate:
        found = super()._candidate(request, runner, seen)
        if self.knowledge is Knowledge.NONE:
            return found
        weight = self.weights.steps(runner.id, runner.runner.born_ms)
        if self.knowledge is Knowledge.TRUE:
            number = int(runner.id.removeprefix("i-"))
            speed = self.load.speed(number, self._now)
            weight = max(1, round(4 * speed / min(SPEEDS)))
            pace = PrefillPace(1 / (TOKENS_PER_S * speed))
            prefill = msgspec.structs.replace(found.prefill, pace=pace)
            found = dataclasses.replace(found, prefill=prefill)
        return dataclasses.replace(
            found, weight=weight, stream_s=found.stream_s / speed_factor(weight)
        )

    def _load(self, runner: _ModelRunner, adapter: str) -> None:
        self.loaded[runner.id] += 1
        super()._load(runner, adapter)

    def _end_prefill(
        self, runner: _ModelRunner, request_id: str, took_s: float
    ) -> None:
        now = None if self.knowledge is Knowledge.NONE else self._now
        if runner.queue.prefills.end(request_id, took_s, now):
            self._serve(runner)
        self._weigh(runner)

    def _finish(self, runner: _ModelRunner, stream: ModelStream) -> None:
        super()._finish(runner, stream)
        step_s = (stream.last_at - stream.first_at) / stream.output_tokens
        runner.queue.prefills.speed.record_stream(step_s, self._now)
        self._weigh(runner)

    def _weigh(self, runner: _ModelRunner) -> None:
        if self.knowledge is not Knowledge.LEARNT:
            return
        notices = [r.seen for r in self._runners if r.seen is not None]
        known = [seen.prefill.speed for seen in notices]
        weight = self._decisions[runner.id].decide(
            runner.queue.prefills.speed.estimate,
            reference_speed((s for s in known if s is not None), len(known)),
            self.weights.get(runner.id),
            self._now,
        )
        if weight is not None:
            self.weights.merge(runner.id, weight)
            self.changes.append((self._now, runner.id, weight.steps))


def in_time_share(results: list[FleetResult], since: float = 0.0) -> float:
    """Return the share of the requests that arrived since then served in time."""
    found = [
        result.is_in_time(request)
        for result in results
        for request in result.requests
        if request.arrived_at >= since
    ]
    return sum(found) / len(found)
