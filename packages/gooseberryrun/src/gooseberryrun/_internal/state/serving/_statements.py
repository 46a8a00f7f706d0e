"""What runners say of themselves in their responses.

Made for loads in which a runner in need names a rate of requests that it takes: every
response repeats it, over several connections and VMs, so that reports overlap and may
arrive out of order. The newest one counts, and only for the incarnation that sent it.
"""

from __future__ import annotations

import msgspec

from ._runners import Runner

STATEMENT_TTL_S = 15.0
"""Age up to which a statement counts: longer than the interval of the requests to a
runner that takes next to none, each of which brings a newer statement."""
MAX_STATEMENTS_SENT = 64
"""Statements in one message, the newest ones."""


class RunnerStatement(msgspec.Struct, frozen=True):
    """What a runner says of itself in one response.

    ``limit_per_s`` is the rate of requests that it takes from all VMs together, None if
    it names no limit. A runner that is leaving wants no new requests; one that turned a
    request away may want none from this VM for ``pause_s`` seconds. A brittle one fails
    if it has to turn away more than ``refusals_per_s`` of all VMs together in a second.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    refusals_per_s: float | None = None


class RateLimit(msgspec.Struct, frozen=True, array_like=True):
    """Requests per second that a runner takes, or turns away, from all VMs together.

    ``per_s`` is None once the runner names no limit any more.
    """

    born_ms: int
    per_s: float | None


class RunnerStatements:
    """Newest rate limit of each runner that names one, with its age.

    Runners that never named a limit take no space. Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._limits: dict[str, tuple[float, RateLimit]] = {}

    def record(self, runner: str, limit: RateLimit, at: float) -> bool:
        """Record a limit as stated at ``at``; return whether it is a change."""
        known_at, known = self._limits.get(runner, (float("-inf"), None))
        if known is None and limit.per_s is None:
            return False
        if known and (limit.born_ms, at) <= (known.born_ms, known_at):
            return False
        self._limits[runner] = (at, limit)
        return limit != known

    def limit_per_s(self, runner: Runner, now: float) -> float | None:
        """Return the rate that a runner takes, None without a limit."""
        known = self._limits.get(runner.id)
        if known is None or known[1].born_ms != runner.born_ms:
            return None
        stated_at, limit = known
        return limit.per_s if now - stated_at <= STATEMENT_TTL_S else None

    def newest(self, runner: str, now: float) -> tuple[RateLimit, float]:
        """Return the newest limit of any incarnation and its age; no limit if none."""
        stated_at, limit = self._limits.get(runner, (now, RateLimit(0, None)))
        return limit, now - stated_at

    def recent(self, now: float) -> dict[str, tuple[float, RateLimit]]:
        """Return the newest statements with their ages, by runner; drop the others."""
        self._limits = {
            runner: (at, limit)
            for runner, (at, limit) in self._limits.items()
            if now - at <= STATEMENT_TTL_S
        }
        newest = sorted(self._limits.items(), key=lambda item: -item[1][0])
        return {
            runner: (now - at, limit)
            for runner, (at, limit) in newest[:MAX_STATEMENTS_SENT]
        }
