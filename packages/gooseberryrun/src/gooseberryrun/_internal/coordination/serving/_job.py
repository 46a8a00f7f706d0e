"""One request on its way through this VM."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import xxhash

from gooseberryrun._internal.state.serving import Route

from ._ports import Caller, InboundRequest, RequestMetadata


@dataclass(slots=True)
class Job:
    """Request with its route and what has happened to it so far.

    ``deadline`` is when the final answer is due; ``may_have_run`` is set once a
    runner may have begun to work and nothing proves that it did not. ``missing_on``
    names the runner that last answered that it lacks the adapter.
    """

    request: InboundRequest
    metadata: RequestMetadata
    caller: Caller
    route: Route
    service: str
    deadline: float
    attempts: int = 0
    sends: int = 0
    may_have_run: bool = False
    is_answered: bool = False
    tried: set[str] = field(default_factory=set)
    missing_on: str = ""
    unloadable: set[str] = field(default_factory=set)

    @property
    def content(self) -> str:
        """Return a hash of what a runner would work on."""
        text = f"{self.request.method} {self.request.target}\n"
        text += f"{self.metadata.model}/{self.metadata.adapter}\n"
        return xxhash.xxh3_128_hexdigest(text.encode() + self.request.body)

    @property
    def may_repeat(self) -> bool:
        """Tell whether another attempt is allowed after one that may have run."""
        if not self.may_have_run:
            return True
        return self.route.is_repeatable and self.attempts < self.route.max_attempts


class Round(Enum):
    """How a round ended that gave the caller no final answer of this VM."""

    DONE = "done"
    """The caller has a runner's answer."""
    AGAIN = "again"
    """Another runner may be tried."""


@dataclass(frozen=True, slots=True)
class LocalResponse:
    """Answer that this VM gives itself, for want of a runner's.

    With ``retry_in_s`` it says when to come back.
    """

    status: int
    reason: str
    retry_in_s: float | None = None


def run_rounds(
    rounds: int, try_once: Callable[[], LocalResponse | Round]
) -> LocalResponse | Round:
    """Try until a round is final; ``AGAIN`` if none of them was."""
    for _ in range(rounds):
        outcome = try_once()
        if outcome is not Round.AGAIN:
            return outcome
    return Round.AGAIN
