"""Names and numbers that identify adapters, orders and machines."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from result import Err, Ok, Result

MAX_NAME_LENGTH = 128
"""Longest adapter or version name accepted, in characters."""


@dataclass(frozen=True, slots=True, order=True)
class FencingNumber:
    """Totally ordered number that an engine compares between orders.

    ``offset`` is the log offset of the ownership record. ``takeovers`` and ``rank``
    extend it while the log is unreachable, so that two successors never share one.
    """

    offset: int = 0
    takeovers: int = 0
    rank: int = 0

    def __str__(self) -> str:
        return f"{self.offset}.{self.takeovers}.{self.rank}"


@dataclass(frozen=True, slots=True)
class ModelName:
    """Immutable name of one version of one adapter, ``adapter@version``."""

    adapter: str
    version: str

    def __str__(self) -> str:
        return f"{self.adapter}@{self.version}"


def parse_model_name(text: str) -> Result[ModelName, str]:
    """Parse ``adapter@version``; the error is a sentence for the caller."""
    adapter, separator, version = text.partition("@")
    if not separator or not adapter or not version:
        return Err("model must have the form adapter@version")
    if len(text) > MAX_NAME_LENGTH or not text.isprintable() or " " in text:
        return Err("model name is too long or has characters that are not allowed")
    return Ok(ModelName(adapter, version))


class VmKind(enum.StrEnum):
    """What a VM of the platform's list does."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class VmState(enum.StrEnum):
    """Whether a VM may receive new work."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Vm:
    """One VM as the platform's list describes it.

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
    """How a request may be treated; operators set it by rule."""

    INTERACTIVE = "quick"
    BACKGROUND = "patient"
    AT_MOST_ONCE = "once"


class RunOutcome(enum.StrEnum):
    """What is known about the effects of a request."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
