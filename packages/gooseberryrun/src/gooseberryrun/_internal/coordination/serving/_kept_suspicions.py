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
from .._tasks import spawn
from ._context import Context
from ._store_calls import count_store_call

MIN_CRASHES_TO_KEEP = 2
"""Crashes of a trait from which on the store keeps them."""
KEEP_TRIES = 3
"""Attempts to write to the store; others and the next crash may write again."""
KEEP_RETRY_S = 1.0


class KeptSuspicions:
    """Reads and writes the suspicions in the store.

    ``record`` gets each crash of a trait that the store has kept.
    """

    def __init__(self, ctx: Context, record: Callable[[Trait, Crash], None]) -> None:
        self._ctx = ctx
        self._evidence = ctx.evidence
        self._record = record

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
        self._drop_expired([suspicion.trait for suspicion in read.ok_value], now)
        return True

    def _drop_expired(self, traits: list[Trait], now: float) -> None:
        """Remove the kept suspicions that no longer count."""
        self._evidence.expire(now)
        expired = [t for t in traits if not self._evidence.crash_count(t)]
        if expired:
            log_event("suspicions_expired", traits=len(expired))
            self._write([Suspicion(trait) for trait in expired])

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
        self._write_later([self._suspicion(trait) for trait in sorted(kept, key=str)])

    def withdraw(self, traits: Iterable[Trait]) -> None:
        """Remove traits that were cleared from the store in a green thread."""
        self._write_later([Suspicion(trait) for trait in traits])

    def _suspicion(self, trait: Trait) -> Suspicion:
        now, unix_now = self._ctx.clock.monotonic(), self._ctx.clock.unix()
        crashes = tuple(
            StoredCrash(c.runner, c.incarnation, unix_now - (now - c.at), c.is_begun)
            for c in self._evidence.blamed_crashes(trait)
        )
        return Suspicion(trait, crashes)

    def _write_later(self, suspicions: list[Suspicion]) -> None:
        if suspicions:
            spawn("crash_evidence_keep", lambda: self._write(suspicions))

    def _write(self, suspicions: list[Suspicion]) -> None:
        for _ in range(KEEP_TRIES):
            written = self._ctx.ports.store.write_suspicions(suspicions)
            outcome = count_store_call("write_suspicions", written)
            log_event("suspicions_kept", traits=len(suspicions), outcome=outcome)
            if not isinstance(written, Err):
                return
            eventlet.sleep(KEEP_RETRY_S)
