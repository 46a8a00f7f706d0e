"""Traits of requests that may crash runners, and reports and verdicts on them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum

import msgspec

CRASHES_TO_REFUSE = 3
"""Crashes without an answer after which requests with a trait are refused."""
SUSPICION_TTL_S = 120.0
"""Time after the last crash for which a trait that is not refused stays suspected."""
MIN_REFUSAL_S = 60.0
"""Time for which a trait is refused before one more request may try it; doubles with
each crash."""
MAX_REFUSAL_S = 3600.0
"""Longest time for which a trait is refused after a crash."""


class TraitKind(StrEnum):
    """What several requests may have in common."""

    CONTENT = "content"
    PART = "part"
    ADAPTER = "adapter"


class Trait(msgspec.Struct, frozen=True, array_like=True):
    """Property of a request that may crash runners.

    ``key`` is a hash of the whole content, the id of a shared prompt part, or an
    adapter with its version.
    """

    kind: TraitKind
    key: str


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash of one incarnation of a runner, at ``at`` in monotonic seconds.

    ``incarnation`` is a number that tells it from the runner's other ones, such as its
    start in Unix milliseconds.
    ``is_begun`` is set if the runner had started the response of a request with the
    trait, so that the request is more likely to be the cause.
    """

    runner: str
    incarnation: int
    at: float
    is_begun: bool

    @property
    def key(self) -> tuple[str, int]:
        """Return the key of the runner's incarnation."""
        return (self.runner, self.incarnation)


class StoredCrash(msgspec.Struct, frozen=True):
    """Crash as it is kept in the store, with its Unix time in seconds."""

    runner: str
    born_ms: int
    unix_s: float
    is_begun: bool


class Suspicion(msgspec.Struct, frozen=True):
    """What the store keeps of a trait; without crashes it is cleared."""

    trait: Trait
    crashes: tuple[StoredCrash, ...] = ()


class Handling(Enum):
    """How a request is handled because of its traits, least strict first."""

    FREE = 0
    CONFINED = 1
    """It may go to one runner only, the same for all VMs."""
    PAUSED = 2
    """It has to wait until the runner that it crashed is back."""
    REFUSED = 3


@dataclass(frozen=True, slots=True)
class Verdict:
    """Handling of a request, with the trait that decides it and its crashes."""

    handling: Handling
    trait: Trait | None = None
    crashes: int = 0
    retry_at: float = 0.0


FREE = Verdict(Handling.FREE)


@dataclass(frozen=True, slots=True)
class CrashLimits:
    """From how many crashes on a trait is refused, and for how long it is suspected."""

    crashes_to_refuse: int = CRASHES_TO_REFUSE
    min_refusal_s: float = MIN_REFUSAL_S
    suspicion_ttl_s: float = SUSPICION_TTL_S

    def refusal_s(self, crashes: int) -> float:
        """Return for how long a trait is refused after its last crash."""
        if crashes < self.crashes_to_refuse:
            return 0.0
        doublings = crashes - self.crashes_to_refuse
        return float(min(MAX_REFUSAL_S, self.min_refusal_s * 2**doublings))
