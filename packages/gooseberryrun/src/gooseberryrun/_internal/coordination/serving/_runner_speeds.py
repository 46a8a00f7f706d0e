"""Speeds of the owned runners: the owner of a runner decides on its weight."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import Runner, follows_all_domains
from gooseberryrun._internal.state.serving.placement import (
    RunnerWeight,
    SpeedEstimate,
    WeightDecision,
    reference_speed,
)

from .._events import log_event
from .._metrics import RUNNER_WEIGHT_CHANGES
from ._context import Context

REFERENCE_TTL_S = 2.0
"""Time for which the speed of the median runner is kept."""
REFERENCE_RUNNERS = 128
"""Runners of a domain of which the median is taken; more would cost more only."""
REFERENCE_KEY = "reference"
"""Key by which all VMs take the same ones."""


class RunnerSpeeds:
    """Compares the speed of owned runners with that of the others of their domain."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._references: dict[tuple[str, str], tuple[float, SpeedEstimate]] = {}

    def published(self, runner: Runner) -> RunnerWeight | None:
        """Return the weight of this incarnation of a runner, None without one."""
        known = self._ctx.weights.get(runner.id)
        return known if known and known.born_ms == runner.born_ms else None

    def weigh(
        self, runner: Runner, estimate: SpeedEstimate | None, weighing: WeightDecision
    ) -> bool:
        """Decide on the weight of an owned runner; return whether it has changed."""
        now = self._ctx.clock.monotonic()
        known = self.published(runner)
        reference = self._reference(runner, now)
        weight = weighing.decide(estimate, reference, known, now)
        if weight is None or estimate is None:
            return False
        self._ctx.weights.merge(runner.id, weight)
        RUNNER_WEIGHT_CHANGES.inc()
        log_event(
            "runner_weight",
            runner=runner.id,
            born_ms=runner.born_ms,
            steps=weight.steps,
            before=known.steps if known else None,
            version=weight.version,
            reference_token_s=reference.token_s,
            reference_step_s=reference.step_s,
            token_s=estimate.token_s,
            prompts=estimate.prompts,
            step_s=estimate.step_s,
            streams=estimate.streams,
        )
        return True

    def _reference(self, runner: Runner, now: float) -> SpeedEstimate:
        """Return the median speed of the runners that this VM follows."""
        key = (runner.service, runner.domain)
        found_at, reference = self._references.get(key, (float("-inf"), None))
        if reference is not None and now - found_at <= REFERENCE_TTL_S:
            return reference
        others = self._sampled(runner)
        found = (self._estimate(other) for other in others)
        known = [estimate for estimate in found if estimate is not None]
        reference = reference_speed(known, len(others))
        self._references[key] = (now, reference)
        return reference

    def _sampled(self, runner: Runner) -> list[str]:
        """Return some runners of the domain, those of all domains where it has few."""
        rings = self._ctx.directory.rings(runner.service)
        ring = rings.get(runner.domain)
        is_small = follows_all_domains(len(ring) if ring is not None else 0)
        picked = [
            ring.window(REFERENCE_KEY, REFERENCE_RUNNERS)
            for domain, ring in rings.items()
            if is_small or domain == runner.domain
        ]
        return [other for window in picked for other in window]

    def _estimate(self, runner_id: str) -> SpeedEstimate | None:
        """Return the speed that the owner of a runner has told of its incarnation."""
        runner = self._ctx.directory.runner(runner_id)
        notice = self._ctx.residency.newest(runner_id)
        if runner is None or notice is None or notice.born_ms != runner.born_ms:
            return None
        return notice.prefill.speed
