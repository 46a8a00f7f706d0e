"""Speed of a runner relative to the others of its domain.

Made for fleets whose runners differ in speed, and for runners that read slowly for a
few seconds at a time: the latest prompts tell the expected time to the first event,
while the speed that decides which adapters a runner is the home of changes rarely.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

STEPS_PER_UNIT = 4
"""Steps of a weight that stand for the speed of the median runner."""
MAX_STEPS = 4 * STEPS_PER_UNIT
"""Largest weight, in steps; the smallest is one step."""
SAMPLE_INTERVAL_S = 0.3
"""Shortest time between two samples that are kept, so that a full window covers 19 s:
a runner has to be slow for more than half of it until it counts as slow."""
MAX_SAMPLES = 64
"""Samples of a window."""
MIN_SAMPLES = 32
"""Samples below which an estimate changes nothing: they cover 9.6 s, so a runner may
be slow for 4.8 s from its start on without counting as slow."""
FULL_SAMPLES = 48.0
"""Samples from which on an estimate has its full weight."""
STEP_SAMPLE_WEIGHT = 0.5
"""Weight of the step time of a stream as a sample, in prompts."""
STREAMS_PER_PROMPT = 4
"""Streams for each prompt with a known reading time beyond which the step times count.
Otherwise they do not, since they also depend on the load: in the replay, the median
step of equal runners differs by a factor of 1.8, the reading time by 0.02."""
STEP_QUANTILE = 0.2
"""Quantile of the step times: those of a runner with little load, whose steps depend on
its speed the most."""
HYSTERESIS_STEPS = 0.85
"""Distance from its weight, in steps, up to which a runner's speed does not change it;
half a step would be plain rounding."""
HYSTERESIS_SHARE = 0.12
"""The same distance as a share of the weight: errors of estimates are relative."""
CHANGE_INTERVAL_S = 5.0
"""Shortest time between two changes of a runner's weight."""


class SpeedEstimate(msgspec.Struct, frozen=True, array_like=True):
    """Usual times of a prompt token and of a step, in seconds, with their samples.

    A time without samples is 0.
    """

    token_s: float = 0.0
    prompts: int = 0
    step_s: float = 0.0
    streams: int = 0


class RunnerWeight(msgspec.Struct, frozen=True, array_like=True):
    """Published speed of one incarnation of a runner, in steps of a quarter.

    Only the runner's owner changes it, and counts the ``version`` up.
    """

    born_ms: int
    version: int
    steps: int

    def supersedes(self, other: RunnerWeight) -> bool:
        """Return whether this weight replaces another one of the same runner.

        The order is total, so that all VMs keep the same weight in whichever order
        they hear of two.
        """
        mine = (self.born_ms, self.version, self.steps)
        return mine > (other.born_ms, other.version, other.steps)


class SampleWindow:
    """Quantile of the latest samples, at most one in SAMPLE_INTERVAL_S."""

    def __init__(self, quantile: float = 0.5) -> None:
        self._quantile = quantile
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._recorded_at = -math.inf

    def __len__(self) -> int:
        """Return the number of samples."""
        return len(self._samples)

    def seed(self, sample: float, count: int) -> None:
        """Start with the quantile of an earlier window."""
        self._samples.extend([sample] * min(count, MAX_SAMPLES))

    def record(self, sample: float, now: float) -> None:
        """Add a sample unless the previous one is too recent; ``now`` is in seconds."""
        if now - self._recorded_at >= SAMPLE_INTERVAL_S:
            self._recorded_at = now
            self._samples.append(sample)

    @property
    def value(self) -> float:
        """Return the quantile of the samples, 0 without any."""
        if not self._samples:
            return 0.0
        return sorted(self._samples)[int(self._quantile * (len(self._samples) - 1))]


class SpeedEstimator:
    """Estimates the speed of one incarnation of a runner from what is observed."""

    def __init__(self, known: SpeedEstimate | None = None) -> None:
        """Begin with the estimate of a previous owner, or without one."""
        self._token_s = SampleWindow()
        self._step_s = SampleWindow(STEP_QUANTILE)
        if known is not None:
            self._token_s.seed(known.token_s, known.prompts)
            self._step_s.seed(known.step_s, known.streams)

    def record_prompt(self, token_s: float, now: float) -> None:
        """Record the reading time of a prompt, by token."""
        if token_s > 0:
            self._token_s.record(token_s, now)

    def record_stream(self, step_s: float, now: float) -> None:
        """Record the mean time between two tokens of a stream."""
        if step_s > 0:
            self._step_s.record(step_s, now)

    @property
    def estimate(self) -> SpeedEstimate | None:
        """Return the present estimate, None without samples."""
        if not self._token_s and not self._step_s:
            return None
        return SpeedEstimate(
            float(f"{self._token_s.value:.3g}"),
            len(self._token_s),
            float(f"{self._step_s.value:.3g}"),
            len(self._step_s),
        )


def reference_speed(estimates: Iterable[SpeedEstimate], runners: int) -> SpeedEstimate:
    """Return the median runner of a domain with so many runners.

    A runner without enough samples counts as slower than all others: the fast ones
    have samples first, and would make all others count as slow.
    """
    found = list(estimates)
    token_s = sorted(e.token_s for e in found if e.prompts >= MIN_SAMPLES)
    step_s = sorted(e.step_s for e in found if e.streams >= MIN_SAMPLES)
    middle = runners // 2
    return SpeedEstimate(
        token_s[middle] if middle < len(token_s) else 0.0,
        len(token_s),
        step_s[middle] if middle < len(step_s) else 0.0,
        len(step_s),
    )


def relative_speed(estimate: SpeedEstimate, reference: SpeedEstimate) -> float:
    """Return the speed over that of the median runner, nearer to 1 with few samples."""
    total = 0.0
    weight = 0.0
    if estimate.prompts >= MIN_SAMPLES and reference.token_s:
        weight += estimate.prompts
        total += estimate.prompts * math.log(reference.token_s / estimate.token_s)
    uses_steps = estimate.streams > STREAMS_PER_PROMPT * estimate.prompts
    if uses_steps and estimate.streams >= MIN_SAMPLES and reference.step_s:
        share = STEP_SAMPLE_WEIGHT * estimate.streams
        weight += share
        total += share * math.log(reference.step_s / estimate.step_s)
    if not weight:
        return 1.0
    return math.exp(min(1.0, weight / FULL_SAMPLES) * total / weight)


def quantise(speed: float, steps: int) -> int:
    """Return the weight for a speed, given the present weight, both in steps."""
    wanted = min(float(MAX_STEPS), max(1.0, STEPS_PER_UNIT * speed))
    if abs(wanted - steps) <= max(HYSTERESIS_STEPS, HYSTERESIS_SHARE * steps):
        return steps
    return round(wanted)


@dataclass(slots=True)
class WeightDecision:
    """Owner's decision on the weight of one incarnation of a runner."""

    born_ms: int
    changed_at: float = -math.inf

    def decide(
        self,
        estimate: SpeedEstimate | None,
        reference: SpeedEstimate,
        known: RunnerWeight | None,
        now: float,
    ) -> RunnerWeight | None:
        """Return the changed weight, None to keep the known one.

        An incarnation without a weight counts as fast as the median runner.
        """
        if estimate is None or now - self.changed_at < CHANGE_INTERVAL_S:
            return None
        before = known
        if before is None or before.born_ms != self.born_ms:
            before = RunnerWeight(self.born_ms, 0, STEPS_PER_UNIT)
        steps = quantise(relative_speed(estimate, reference), before.steps)
        if steps == before.steps:
            return None
        self.changed_at = now
        return RunnerWeight(self.born_ms, before.version + 1, steps)


def in_flight_limit(slots: int, steps: int) -> int:
    """Return the requests that a runner takes before they count as too many.

    A slower runner takes fewer, since each of its requests lasts longer. A faster one
    has no more slots than it states.
    """
    if steps >= STEPS_PER_UNIT:
        return slots
    return max(1, slots * steps // STEPS_PER_UNIT)


def speed_factor(steps: int) -> float:
    """Return the speed that a weight stands for, over that of the median runner."""
    return steps / STEPS_PER_UNIT
