"""Replicated ledger of at-most-once requests, keyed by idempotency key."""

from __future__ import annotations

import enum
from collections.abc import Iterator
from dataclasses import dataclass, replace

from ._invariants import check_invariant
from ._names import RunOutcome
from ._records import NO_OFFSET, Intent, KeyRefresh, Outcome


class KeyStatus(enum.StrEnum):
    """Status of a key; only its holder may dispatch the request of an open key."""

    OPEN = "open"
    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class LedgerEntry:
    """State of one key; ``intent`` is the log offset of the intent in force.

    ``at`` is the Unix time of the first intent. ``read_at`` and ``recorded_at`` are
    monotonic times of this VM: when the intent in force was read, and when the latest
    record of the key was read.
    """

    key: str
    fingerprint: str
    service: str
    path: str
    holder: str
    boot: str
    at: float
    intent: int
    status: KeyStatus
    read_at: float
    recorded_at: float
    http_status: int = 0
    body: str = ""
    content_type: str = ""


class LedgerState:
    """State rebuilt by replaying the intents and outcomes of the work stream.

    Entries are ordered by their latest record, so that the entries due for a refresh
    are found without scanning the rest.
    """

    def __init__(self) -> None:
        self._entries: dict[str, LedgerEntry] = {}
        self._unsettled: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[LedgerEntry]:
        return iter(list(self._entries.values()))

    def get(self, key: str) -> LedgerEntry | None:
        """Return the entry of a key, or None if the key is unknown."""
        return self._entries.get(key)

    def unsettled(self) -> list[LedgerEntry]:
        """Return the entries that are open or unknown."""
        return [self._entries[key] for key in self._unsettled]

    def recorded_before(self, limit: float) -> list[LedgerEntry]:
        """Return entries whose latest record was read before monotonic ``limit``."""
        old = []
        for entry in self._entries.values():
            if entry.recorded_at >= limit:
                break
            old.append(entry)
        return old

    def drop(self, key: str) -> None:
        """Remove a settled key; its status must not be open or unknown."""
        check_invariant(key not in self._unsettled, "ledger-keeps-unsettled", key)
        self._entries.pop(key, None)

    def _put(self, entry: LedgerEntry) -> None:
        self._entries.pop(entry.key, None)
        self._entries[entry.key] = entry
        if entry.status in (KeyStatus.OPEN, KeyStatus.UNKNOWN):
            self._unsettled[entry.key] = None
        else:
            self._unsettled.pop(entry.key, None)

    def apply_intent(self, intent: Intent, offset: int, now: float) -> None:
        """Put the intent in force if it may replace the current one, else ignore it."""
        entry = self._entries.get(intent.key)
        if entry is not None and not _may_replace(entry, intent):
            return
        self._put(
            LedgerEntry(
                key=intent.key,
                fingerprint=intent.fingerprint,
                service=intent.service,
                path=intent.path,
                holder=intent.holder,
                boot=intent.boot,
                at=intent.at if entry is None else entry.at,
                intent=offset,
                status=KeyStatus.OPEN,
                read_at=now,
                recorded_at=now,
            )
        )

    def apply_outcome(self, outcome: Outcome, now: float) -> None:
        """Settle a key; ``ran`` is final and accepted from any intent of the key."""
        entry = self._entries.get(outcome.key)
        if entry is None or entry.status is KeyStatus.RAN:
            return
        status = _STATUS_OF[RunOutcome(outcome.outcome)]
        if status is not KeyStatus.RAN and outcome.intent != entry.intent:
            return
        if entry.status is KeyStatus.NOT_RUN and status is not KeyStatus.RAN:
            return
        self._put(
            replace(
                entry,
                status=status,
                http_status=outcome.status,
                body=outcome.body,
                content_type=outcome.content_type,
                recorded_at=now,
            )
        )

    def apply_refresh(self, refresh: KeyRefresh, now: float) -> None:
        """Add an unknown key, or update the time at which a known one was recorded."""
        entry = self._entries.get(refresh.key)
        if entry is not None:
            self._put(replace(entry, recorded_at=now))
            return
        self._put(
            LedgerEntry(
                key=refresh.key,
                fingerprint=refresh.fingerprint,
                service=refresh.service,
                path=refresh.path,
                holder=refresh.holder,
                boot=refresh.boot,
                at=refresh.at,
                intent=refresh.intent,
                status=KeyStatus(refresh.outcome),
                read_at=now,
                recorded_at=now,
                http_status=refresh.status,
                body=refresh.body,
                content_type=refresh.content_type,
            )
        )


_STATUS_OF = {
    RunOutcome.RAN: KeyStatus.RAN,
    RunOutcome.NOT_RUN: KeyStatus.NOT_RUN,
    RunOutcome.UNKNOWN: KeyStatus.UNKNOWN,
}


def _may_replace(entry: LedgerEntry, intent: Intent) -> bool:
    """Return whether the intent retries an unexecuted request or takes one over."""
    if intent.fingerprint != entry.fingerprint:
        return False
    if entry.status is KeyStatus.NOT_RUN:
        return True
    if intent.takes_over == NO_OFFSET:
        return False
    unsettled = entry.status in (KeyStatus.OPEN, KeyStatus.UNKNOWN)
    return unsettled and intent.takes_over == entry.intent


def to_refresh(entry: LedgerEntry) -> KeyRefresh:
    """Return a record from which a new reader of the log can rebuild the entry."""
    check_invariant(entry.intent != NO_OFFSET, "ledger-entry-has-intent", entry.key)
    return KeyRefresh(
        key=entry.key,
        fingerprint=entry.fingerprint,
        service=entry.service,
        path=entry.path,
        holder=entry.holder,
        boot=entry.boot,
        at=entry.at,
        intent=entry.intent,
        outcome=str(entry.status),
        status=entry.http_status,
        body=entry.body,
        content_type=entry.content_type,
    )
