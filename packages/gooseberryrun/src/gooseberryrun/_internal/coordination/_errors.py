"""Errors of the coordination layer, returned as values."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from gooseberryrun._internal.state import RunOutcome


class EngineFault(enum.StrEnum):
    """Ways in which a call to a backend server can fail."""

    NOT_SENT = "not_sent"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    TIMEOUT = "timeout"
    REJECTED = "rejected"
    STALE_FENCING = "stale_fencing"
    NOT_RESIDENT = "not_resident"
    WRONG_MODEL = "wrong_model"
    LEASE_LAPSED = "lease_lapsed"


@dataclass(frozen=True, slots=True)
class EngineError:
    """Failed call to an engine; ``status`` is the HTTP status if there was one."""

    fault: EngineFault
    detail: str = ""
    status: int = 0


@dataclass(frozen=True, slots=True)
class ServiceError:
    """Failed call to a plain service; ``sent`` if any byte may have arrived."""

    sent: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class LogError:
    """Failed use of the log; ``sent`` if the append may have taken effect."""

    sent: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class PeerError:
    """A peer did not answer before the deadline."""

    vm: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class PlatformError:
    """The platform's VM list or store did not answer."""

    detail: str = ""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Answer to a caller whose request has no result.

    ``outcome`` says what is known about its effects; ``code`` is a stable word for
    programs, ``detail`` a sentence for people, ``retry_after_s`` a hint.
    """

    status: int
    code: str
    detail: str
    outcome: RunOutcome = RunOutcome.NOT_RUN
    retry_after_s: float | None = None
