"""Recording of what runners say of themselves, first-hand or as told by peers."""

from __future__ import annotations

import random

from gooseberryrun._internal.state.serving import (
    PAUSE_JITTER,
    RateLimit,
    Runner,
    RunnerStatement,
    pause_after_refusal_s,
)

from .._events import log_event
from .._metrics import RUNNER_LIMIT_CHANGES, RUNNER_PAUSES, RUNNERS_LEAVING
from .._serving_messages import ServingGossip
from ._context import Context


def record_statement(
    ctx: Context, runner: Runner, statement: RunnerStatement, sent_at: float
) -> None:
    """Record what a runner says of itself in a response that has just arrived.

    ``sent_at`` is when the request was sent.
    """
    limit = RateLimit(runner.born_ms, statement.limit_per_s)
    record_limit(ctx, runner.id, limit, ctx.clock.monotonic(), ctx.vm)
    brittle = RateLimit(runner.born_ms, statement.refusals_per_s)
    record_brittle(ctx, runner.id, brittle, ctx.clock.monotonic(), ctx.vm)
    if statement.is_leaving:
        record_leaving(ctx, runner.id, runner.born_ms, ctx.vm)
    _record_pause(ctx, runner, statement, sent_at)


def _record_pause(
    ctx: Context, runner: Runner, statement: RunnerStatement, sent_at: float
) -> None:
    """Record the pause that a runner asks for, or that one is over."""
    if statement.pause_s is not None:
        ctx.pauses.record_refusal(runner, statement.pause_s, ctx.clock.monotonic())
        RUNNER_PAUSES.inc()
        log_event("runner_pause", runner=runner.id, pause_s=statement.pause_s)
    elif ctx.pauses.record_accepted(runner, sent_at):
        log_event("runner_pause_ended", runner=runner.id)


def record_gossip(ctx: Context, sender: str, gossip: ServingGossip) -> None:
    """Record what runners said to a peer, or to the peers of it."""
    now = ctx.clock.monotonic()
    for runner, (age_s, limit) in gossip.limits.items():
        record_limit(ctx, runner, limit, now - max(0.0, age_s), sender)
    for runner, (age_s, limit) in gossip.brittle.items():
        record_brittle(ctx, runner, limit, now - max(0.0, age_s), sender)
    for runner, born_ms in gossip.leaving.items():
        record_leaving(ctx, runner, born_ms, sender)


def record_limit(
    ctx: Context, runner: str, limit: RateLimit, at: float, source: str
) -> None:
    """Record a runner's rate limit as stated at ``at``; log a change.

    ``source`` is the VM that received the runner's response, or the peer that told it.
    """
    if not ctx.statements.record(runner, limit, at):
        return
    RUNNER_LIMIT_CHANGES.inc()
    log_event(
        "runner_limit",
        runner=runner,
        born_ms=limit.born_ms,
        limit_per_s="none" if limit.per_s is None else limit.per_s,
        age_s=ctx.clock.monotonic() - at,
        source=source,
    )


def record_brittle(
    ctx: Context, runner: str, limit: RateLimit, at: float, source: str
) -> None:
    """Record how many refusals a brittle runner bears, as stated at ``at``."""
    if not ctx.brittle.record(runner, limit, at):
        return
    log_event(
        "runner_brittle",
        runner=runner,
        born_ms=limit.born_ms,
        refusals_per_s="none" if limit.per_s is None else limit.per_s,
        age_s=ctx.clock.monotonic() - at,
        source=source,
    )


def record_full(ctx: Context, runner: Runner) -> None:
    """Send nothing for a time to a brittle runner that has just refused a request."""
    now = ctx.clock.monotonic()
    limits = [
        ctx.brittle.limit_per_s(other, now)
        for other in ctx.directory.runners(runner.service, now)
    ]
    pause_s = pause_after_refusal_s(limits, ctx.fleet_size.value(now))
    if pause_s > 0.0:
        pause_s *= random.uniform(1.0 - PAUSE_JITTER, 1.0 + PAUSE_JITTER)
        ctx.pauses.record_refusal(runner, pause_s, now)
        log_event("runner_pause", runner=runner.id, pause_s=pause_s, why="brittle")


def record_leaving(ctx: Context, runner: str, born_ms: int, source: str) -> None:
    """Record that an incarnation of a runner is leaving; log it if that is new."""
    if not ctx.directory.record_leaving(runner, born_ms):
        return
    RUNNERS_LEAVING.inc()
    log_event("runner_leaving", runner=runner, born_ms=born_ms, source=source)


def record_restart(ctx: Context, runner: str, born_ms: int, source: str) -> None:
    """Record an incarnation whose entry is late; log it if that is new."""
    now = ctx.clock.monotonic()
    if ctx.directory.record_restart(runner, born_ms, now):
        log_event("runner_restarted", runner=runner, born_ms=born_ms, source=source)
