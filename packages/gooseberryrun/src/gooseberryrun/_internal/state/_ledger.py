"""Replicated ledger of non-idempotent requests, keyed by idempotency key."""

from __future__ import annotations

import enum
from collections.abc import Iterator
from dataclasses import dataclass, replace

from ._invariants import check_invariant
from ._names import RunOutcome
from ._records import NO_OFFSET, Intent, KeyRefresh, Outcome


class KeyStatus(enum.StrEnum):
    """Life of a key: open keys may be dispatched by their holder only."""

    OPEN = "open"
    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class LedgerEntry:
    """State of one key; ``intent`` is the offset of the intent in force.

    ``at`` is the Unix time of the first intent, ``position`` the offset of the last
    record from which a fresh reader could rebuild the entry, ``read_at`` the
    monotonic time at which the intent in force was read here.
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
    """Replay of the intents and outcomes of the work stream.

    Entries are kept in the order of their latest record, so that what needs another
    one is found without a visit to the rest.
    """

    def __init__(self) -> None:
        self._entries: dict[str, LedgerEntry] = {}
        self._unsettled: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[LedgerEntry]:
        return iter(list(self._entries.values()))

    def get(self, key: str) -> LedgerEntry | None:
        """Return the entry of a key."""
        return self._entries.get(key)

    def unsettled(self) -> list[LedgerEntry]:
        """Return the entries that are open or unknown."""
        return [self._entries[key] for key in self._unsettled]

    def recorded_before(self, limit: float) -> list[LedgerEntry]:
        """Return the entries whose latest record was read before ``limit``."""
        old = []
        for entry in self._entries.values():
            if entry.recorded_at >= limit:
                break
            old.append(entry)
        return old

    def drop(self, key: str) -> None:
        """Forget a settled key."""
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
        """Make the intent the one in force if the key is free, else ignore it."""
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
        """Settle a key; "ran" is final and true whichever intent reports it."""
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
        """Adopt an unknown key, or note that a known one was recorded again."""
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
    if intent.fingerprint != entry.fingerprint:
        return False
    if entry.status is KeyStatus.NOT_RUN:
        return True
    if intent.takes_over == NO_OFFSET:
        return False
    unsettled = entry.status in (KeyStatus.OPEN, KeyStatus.UNKNOWN)
    return unsettled and intent.takes_over == entry.intent


def to_refresh(entry: LedgerEntry) -> KeyRefresh:
    """Return the record that lets a fresh reader rebuild the entry."""
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
