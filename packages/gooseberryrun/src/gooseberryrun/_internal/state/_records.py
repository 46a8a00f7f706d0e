"""Records of the platform's log and their JSON-compatible form.

A record is encoded as ``{"kind": ..., "body": {...}}``; kinds are the snake-case
names registered below. Times in records are Unix seconds of the writer's clock; they
serve to expire records, never to order them.
"""

from __future__ import annotations

from typing import Any

import msgspec
from result import Err, Ok, Result

CONFIG_STREAM = "config"
OWNERS_STREAM = "owners"
WORK_STREAM = "work"
NO_OFFSET = -1
"""Stands for the absence of a record; offsets of records start at 0."""
STREAMS = (CONFIG_STREAM, OWNERS_STREAM, WORK_STREAM)


class ConfigOp(msgspec.Struct, frozen=True):
    """One operation of a configuration change.

    ``op`` is ``put`` or ``remove``; ``table`` is ``adapters``, ``rules``,
    ``services`` or ``drains``; ``value`` is empty for ``remove``.
    """

    op: str
    table: str
    key: str
    value: dict[str, Any] = msgspec.field(default_factory=dict)


class ConfigChange(msgspec.Struct, frozen=True):
    """Configuration change, rejected if ``expected`` is set and not the revision."""

    change_id: str
    author: str
    ops: list[ConfigOp]
    expected: int | None = None


class ConfigSnapshot(msgspec.Struct, frozen=True):
    """Complete configuration as of offset ``base``.

    It is written before the records that it replaces expire.
    """

    base: int
    revision: int
    tables: dict[str, dict[str, dict[str, Any]]]


class OwnerClaim(msgspec.Struct, frozen=True):
    """Claim of runners by an entry VM; its log offset becomes the fencing number."""

    vm: str
    boot: str
    domain: str
    runners: list[str]


class Intent(msgspec.Struct, frozen=True):
    """Declares that ``holder`` will dispatch a request, at most once.

    ``takes_over`` is the offset of the intent of a failed holder that this one
    replaces.
    """

    key: str
    fingerprint: str
    service: str
    path: str
    holder: str
    boot: str
    at: float
    takes_over: int = NO_OFFSET


class Outcome(msgspec.Struct, frozen=True):
    """Result of the intent at offset ``intent``.

    ``outcome`` is ``ran``, ``not_run`` or ``unknown``.
    """

    key: str
    intent: int
    outcome: str
    status: int = 0
    body: str = ""
    content_type: str = ""
    by: str = ""


class KeyRefresh(msgspec.Struct, frozen=True):
    """Ledger entry that is appended again before its own records expire."""

    key: str
    fingerprint: str
    service: str
    path: str
    holder: str
    boot: str
    at: float
    intent: int
    outcome: str
    status: int
    body: str
    content_type: str


class JobAccepted(msgspec.Struct, frozen=True):
    """Accepted background job; the first record of an id wins."""

    job_id: str
    path: str
    request: dict[str, Any]
    executor: str
    boot: str
    domain: str
    at: float
    deadline_at: float


class JobDone(msgspec.Struct, frozen=True):
    """Result of a background job; the first record of an id wins."""

    job_id: str
    status: int
    body: str
    by: str
    at: float


class CrashReport(msgspec.Struct, frozen=True):
    """Fingerprints of the requests in flight on a runner when it crashed."""

    runner: str
    incarnation: str
    fingerprints: list[str]
    at: float


class CrashCleared(msgspec.Struct, frozen=True):
    """Fingerprints that a response has cleared of the crashes before it."""

    fingerprints: list[str]
    at: float


Record = (
    ConfigChange
    | ConfigSnapshot
    | OwnerClaim
    | Intent
    | Outcome
    | KeyRefresh
    | JobAccepted
    | JobDone
    | CrashReport
    | CrashCleared
)

_TYPE_BY_KIND: dict[str, type[Any]] = {
    "config_change": ConfigChange,
    "config_snapshot": ConfigSnapshot,
    "owner_claim": OwnerClaim,
    "intent": Intent,
    "outcome": Outcome,
    "key_refresh": KeyRefresh,
    "job_accepted": JobAccepted,
    "job_done": JobDone,
    "crash_report": CrashReport,
    "crash_cleared": CrashCleared,
}
_KIND_BY_TYPE = {cls: kind for kind, cls in _TYPE_BY_KIND.items()}


class LogRecord(msgspec.Struct, frozen=True):
    """Record read from a stream; ``writer`` and ``seq`` identify its append."""

    offset: int
    writer: str
    seq: int
    data: dict[str, Any]


def encode_record(record: Record) -> dict[str, Any]:
    """Return the JSON-compatible form of a record."""
    return {"kind": _KIND_BY_TYPE[type(record)], "body": msgspec.to_builtins(record)}


def decode_record(data: dict[str, Any]) -> Result[Record, str]:
    """Return the typed record, or a message that states why ``data`` is not one."""
    cls = _TYPE_BY_KIND.get(str(data.get("kind")))
    if cls is None:
        return Err(f"unknown record kind {data.get('kind')!r}")
    try:
        record: Record = msgspec.convert(data.get("body"), cls)
    except msgspec.ValidationError as exc:
        return Err(str(exc))
    return Ok(record)
