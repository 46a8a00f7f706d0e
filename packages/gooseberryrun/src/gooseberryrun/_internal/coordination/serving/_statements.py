"""Recording of what runners say of themselves, first-hand or as told by peers."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import RateLimit

from .._events import log_event
from .._metrics import RUNNER_LIMIT_CHANGES
from ._context import Context


def record_limit(
    ctx: Context, runner: str, limit: RateLimit, at: float, source: str
) -> None:
    """Record a runner's rate limit as stated at ``at``; log a change.

    ``source`` is the VM that received the runner's response.
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
