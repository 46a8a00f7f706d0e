"""Errors of the coordination layer, returned as values and not raised."""

from __future__ import annotations

import enum

import msgspec

from gooseberryrun._internal.state import RunOutcome


class EngineFault(enum.StrEnum):
    """Causes of failed calls to a backend server."""

    NOT_SENT = "not_sent"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    TIMEOUT = "timeout"
    REJECTED = "rejected"
    STALE_FENCING = "stale_fencing"
    NOT_RESIDENT = "not_resident"
    WRONG_MODEL = "wrong_model"
    LEASE_EXPIRED = "lease_lapsed"


class EngineError(msgspec.Struct, frozen=True):
    """Failed call to an engine; ``status`` is the HTTP status if there was one."""

    fault: EngineFault
    detail: str = ""
    status: int = 0


class ServiceError(msgspec.Struct, frozen=True):
    """Failed call to a service; ``sent`` if the server may have received any byte."""

    sent: bool
    detail: str = ""


class LogError(msgspec.Struct, frozen=True):
    """Failed append or read; ``sent`` if an append may have taken effect."""

    sent: bool
    detail: str = ""


class PeerError(msgspec.Struct, frozen=True):
    """No reply from a peer before the deadline."""

    vm: str
    detail: str = ""


class PlatformError(msgspec.Struct, frozen=True):
    """Failed call to the platform's VM list or store."""

    detail: str = ""


class Refusal(msgspec.Struct, frozen=True):
    """Error response to a caller.

    ``outcome`` states whether the request may have run. ``code`` is stable, for
    programs; ``detail`` is a sentence for people. ``retry_after_s`` is a hint.
    """

    status: int
    code: str
    detail: str
    outcome: RunOutcome = RunOutcome.NOT_RUN
    retry_after_s: float | None = None
