"""Identifiers and enumerations of adapters, orders, VMs and requests."""

from __future__ import annotations

import enum

import msgspec
from result import Err, Ok, Result

MAX_NAME_LENGTH = 128
"""Longest adapter or version name accepted, in characters."""


class FencingNumber(msgspec.Struct, frozen=True, order=True):
    """Fencing token: a totally ordered number that engines compare between orders.

    ``offset`` is the log offset of the ownership record. ``takeovers`` and ``rank``
    extend it while the log is unreachable, so that no two successors share a number.
    """

    offset: int = 0
    takeovers: int = 0
    rank: int = 0

    def __str__(self) -> str:
        return f"{self.offset}.{self.takeovers}.{self.rank}"


class ModelName(msgspec.Struct, frozen=True):
    """Immutable name of one version of one adapter, ``adapter@version``."""

    adapter: str
    version: str

    def __str__(self) -> str:
        return f"{self.adapter}@{self.version}"


def parse_model_name(text: str) -> Result[ModelName, str]:
    """Parse ``adapter@version``; the error is a message for the caller."""
    adapter, separator, version = text.partition("@")
    if not separator or not adapter or not version:
        return Err("model must have the form adapter@version")
    if len(text) > MAX_NAME_LENGTH or not text.isprintable() or " " in text:
        return Err("model name is too long or has characters that are not allowed")
    return Ok(ModelName(adapter, version))


class VmKind(enum.StrEnum):
    """Role of a VM in the platform's VM list."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class VmState(enum.StrEnum):
    """State of a VM in the platform's VM list; a leaving VM gets no new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """One VM of the platform's VM list.

    ``port`` is the HTTP port, ``peer_port`` the gRPC port of an entry VM.
    ``service`` names the plain service that a service VM runs.
    """

    id: str
    kind: VmKind
    domain: str
    address: str
    port: int
    peer_port: int = 0
    state: VmState = VmState.LIVE
    service: str = ""
    checks_fencing: bool = False
    slots: int = 0
    batch: int = 0


class WorkClass(enum.StrEnum):
    """Execution class of a request, set by the operators' rules.

    Interactive requests have priority over background ones. At-most-once requests are
    not idempotent and need an idempotency key.
    """

    INTERACTIVE = "quick"
    BACKGROUND = "patient"
    AT_MOST_ONCE = "once"


class RunOutcome(enum.StrEnum):
    """Whether a request was executed, as far as that is known."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
