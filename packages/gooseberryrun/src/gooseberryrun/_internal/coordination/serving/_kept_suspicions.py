"""Suspicions that the store keeps beyond the life of VMs."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import eventlet
from result import Err

from gooseberryrun._internal.state.serving import (
    Crash,
    StoredCrash,
    Suspicion,
    Trait,
)

from .._events import log_event
from .._tasks import spawn_until_done
from ._context import Context
from ._store_calls import count_store_call

MIN_CRASHES_TO_KEEP = 2
"""Crashes of a trait from which on the store keeps them."""
KEEP_RETRY_S = 1.0


class KeptSuspicions:
    """Reads and writes the suspicions in the store.

    ``record`` gets each crash of a trait that the store has kept.

    A write repeats until the store takes it, and states what is known by then: nobody
    else may know that a suspicion in the store no longer holds.
    """

    def __init__(self, ctx: Context, record: Callable[[Trait, Crash], None]) -> None:
        self._ctx = ctx
        self._evidence = ctx.evidence
        self._record = record
        self._to_write: set[Trait] = set()
        self._is_writing = False
        self._written: set[Trait] = set()
        self._read_at: dict[Trait, float] = {}

    def read(self) -> bool:
        """Record the kept suspicions; return whether the store answered."""
        read = self._ctx.ports.store.read_suspicions()
        count_store_call("read_suspicions", read)
        if isinstance(read, Err):
            return False
        now, unix_now = self._ctx.clock.monotonic(), self._ctx.clock.unix()
        for suspicion in read.ok_value:
            for stored in suspicion.crashes:
                at = now - max(0.0, unix_now - stored.unix_s)
                crash = Crash(stored.runner, stored.born_ms, at, stored.is_begun)
                self._record(suspicion.trait, crash)
            self._read_at[suspicion.trait] = now
        self._drop_expired([suspicion.trait for suspicion in read.ok_value], now)
        return True

    def _drop_expired(self, traits: list[Trait], now: float) -> None:
        """Remove the kept suspicions that no longer count."""
        self._evidence.expire(now)
        expired = [t for t in traits if not self._evidence.crash_count(t)]
        if expired:
            log_event("suspicions_expired", traits=len(expired))
            self._write_later(expired)

    def worth_keeping(self, traits: Iterable[Trait]) -> set[Trait]:
        """Return the traits with so many crashes that the store keeps them."""
        return {
            trait
            for trait in traits
            if self._evidence.crash_count(trait) >= MIN_CRASHES_TO_KEEP
        }

    def keep(self, traits: Iterable[Trait]) -> None:
        """Write the traits with several crashes to the store in a green thread."""
        kept = self.worth_keeping(traits)
        self._written = self.worth_keeping(self._written) | kept
        self._write_later(kept)

    def withdraw(self, traits: Iterable[Trait]) -> None:
        """Remove traits that were cleared from the store in a green thread."""
        self._write_later(traits)

    def withdraw_outdated(self, cleared: Iterable[Trait]) -> None:
        """Remove traits of which others say that they were cleared, where it is needed.

        The VM that sees an answer removes what it knows to be kept. It may have done so
        before this VM wrote the trait, or have failed to if this VM read it afterwards.
        """
        outdated = []
        for trait in cleared:
            read_at = self._read_at.pop(trait, float("-inf"))
            is_read_later = read_at > self._evidence.last_answer_at(trait)
            if trait in self._written or is_read_later:
                outdated.append(trait)
        self._write_later(outdated)

    def _suspicion(self, trait: Trait) -> Suspicion:
        if not self.worth_keeping([trait]):
            self._written.discard(trait)
            return Suspicion(trait)
        now, unix_now = self._ctx.clock.monotonic(), self._ctx.clock.unix()
        crashes = tuple(
            StoredCrash(c.runner, c.incarnation, unix_now - (now - c.at), c.is_begun)
            for c in self._evidence.blamed_crashes(trait)
        )
        return Suspicion(trait, crashes)

    def _write_later(self, traits: Iterable[Trait]) -> None:
        self._to_write.update(traits)
        if self._to_write and not self._is_writing:
            self._is_writing = True
            spawn_until_done("crash_evidence_keep", self._write)

    def _write(self) -> None:
        """Write until the store has taken everything; it is not called while away."""
        while self._to_write:
            if not self._ctx.can_reach_store:
                eventlet.sleep(KEEP_RETRY_S)
                continue
            batch, self._to_write = self._to_write, set()
            suspicions = [self._suspicion(trait) for trait in sorted(batch, key=str)]
            written = self._ctx.ports.store.write_suspicions(suspicions)
            outcome = count_store_call("write_suspicions", written)
            log_event("suspicions_kept", traits=len(suspicions), outcome=outcome)
            if isinstance(written, Err):
                self._to_write |= batch
                eventlet.sleep(KEEP_RETRY_S)
        self._is_writing = False
