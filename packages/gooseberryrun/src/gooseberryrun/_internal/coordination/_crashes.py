"""Crash reports: which contents and adapters were in flight when a runner crashed."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import eventlet
from result import Err

from gooseberryrun._internal.state import (
    Clock,
    CrashCleared,
    CrashReport,
    Settings,
    Vm,
)
from gooseberryrun._internal.state.serving import (
    Crash,
    Handling,
    Trait,
    TraitKind,
    Verdict,
)

from ._appender import Appender
from ._crash_names import incarnation_number, trait_name, trait_of
from ._errors import EngineFault
from ._events import log_event
from ._membership import Membership
from ._messages import CrashClearedNotice, CrashNotice
from ._metrics import POISONED
from ._ports import Engines, Peers
from ._replica import Replica
from ._tasks import spawn

Traits = Sequence[Trait]

CRASH_PROBES = 5
"""Most probes of a runner after a failed attempt, until the result is clear."""
CRASH_PROBE_INTERVAL_S = 0.2
"""Pause between the probes that distinguish a crash from a broken connection."""
CRASH_RECHECK_PAUSES_S = (0.5, 2.0)
"""Pauses before probing again a runner that still responded: it may be crashing."""


class Crashes:
    """Reports crashes and decides whether a request is suspected of causing them."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        membership: Membership,
        replica: Replica,
        appender: Appender,
        engines: Engines,
        peers: Peers,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._replica = replica
        self._appender = appender
        self._engines = engines
        self._peers = peers

    def verdict(self, traits: Traits) -> Verdict:
        """Return how a request with these traits is handled now."""
        return self._replica.evidence.verdict(traits, self._clock.monotonic())

    def is_refused(self, traits: Traits) -> bool:
        """Return whether too many crashes are blamed on a trait."""
        return self.verdict(traits).handling is Handling.REFUSED

    def is_suspect(self, traits: Traits) -> bool:
        """Return whether the request must not run together with other suspects."""
        return self.verdict(traits).handling is not Handling.FREE

    def suspect_trait(self, traits: Traits) -> Trait | None:
        """Return the first trait that is suspected, None if there is none."""
        return next((trait for trait in traits if self.is_suspect([trait])), None)

    def crashed_runners(self, trait: Trait) -> set[str]:
        """Return the runners whose crashes are blamed on a trait."""
        crashes = self._replica.evidence.blamed_crashes(trait)
        return {crash.runner for crash in crashes}

    def report_failed_attempt(
        self,
        engine: Vm,
        incarnation: str,
        traits: Traits,
        probes: int = CRASH_PROBES,
    ) -> None:
        """Report a request whose attempt failed, if its runner crashed.

        A runner has crashed if it refuses connections or has another incarnation. One
        that cannot be reached may be behind a network partition. One that still
        responds may be crashing and is probed again later, while the request is
        retried.
        """
        if not incarnation:
            return
        names = [trait_name(trait) for trait in self._to_blame(traits)]
        notice = CrashNotice(engine.id, incarnation, names)
        if self._has_crashed(engine, incarnation, probes):
            self.handle_crash_notice(notice, True)
        else:
            spawn("crash-watch", lambda: self._recheck_later(engine, notice))

    def _to_blame(self, traits: Traits) -> list[Trait]:
        """Return the traits to blame for a crash.

        A content that has crashed a runner before says nothing new of its adapter.
        """
        contents = [trait for trait in traits if trait.kind is TraitKind.CONTENT]
        if any(self._replica.evidence.crash_count(trait) for trait in contents):
            return contents
        return list(traits)

    def record_answer(self, traits: Traits) -> None:
        """Clear the traits of a request that a runner has completed; tell others."""
        names = self._clear(traits)
        if not names:
            return
        for vm in self._membership.other_entry_vms():
            self._peers.send_to(vm, CrashClearedNotice(names))
        record = CrashCleared(names, self._clock.unix())
        spawn("crash-cleared", lambda: self._append(record))

    def handle_cleared_notice(self, notice: CrashClearedNotice) -> None:
        """Record what a response at another VM has cleared."""
        self._clear([trait_of(name) for name in notice.fingerprints])

    def _clear(self, traits: Iterable[Trait]) -> list[str]:
        """Record a response; log and return the names of the traits it clears."""
        now = self._clock.monotonic()
        cleared = self._replica.evidence.record_answer(traits, now)
        names = [trait_name(trait) for trait in cleared]
        for name in names:
            log_event("suspect_cleared", fingerprint=name)
        return names

    def _recheck_later(self, engine: Vm, notice: CrashNotice) -> None:
        for pause_s in CRASH_RECHECK_PAUSES_S:
            eventlet.sleep(pause_s)
            if self._has_crashed(engine, notice.incarnation, 1):
                self.handle_crash_notice(notice, True)
                return

    def _has_crashed(self, engine: Vm, incarnation: str, probes: int) -> bool:
        """Probe until the result is clear; a crashing engine may accept and reset."""
        for probe in range(probes):
            if probe:
                eventlet.sleep(CRASH_PROBE_INTERVAL_S)
            report = self._engines.report(engine)
            if not isinstance(report, Err):
                return report.ok_value.incarnation != incarnation
            if report.err_value.fault is EngineFault.NOT_SENT:
                return True
        return False

    def handle_crash_notice(self, notice: CrashNotice, is_local: bool = False) -> None:
        """Record a crash; one found by this VM is sent to every VM and the log."""
        now = self._clock.monotonic()
        evidence = self._replica.evidence
        traits = [trait_of(name) for name in notice.fingerprints]
        incarnation = incarnation_number(notice.incarnation)
        crash = Crash(notice.runner, incarnation, now, is_begun=True)
        fresh = evidence.record_crash(traits, crash)
        for trait in fresh:
            refused = self.is_refused([trait])
            log_event(
                "suspect",
                fingerprint=trait_name(trait),
                runner=notice.runner,
                crashes=evidence.crash_count(trait),
                refused=refused,
            )
            if refused:
                POISONED.inc()
        if is_local and fresh:
            for vm in self._membership.other_entry_vms():
                self._peers.send_to(vm, notice)
            record = CrashReport(
                notice.runner,
                notice.incarnation,
                notice.fingerprints,
                self._clock.unix(),
            )
            spawn("crash-report", lambda: self._append(record))

    def _append(self, record: CrashReport | CrashCleared) -> None:
        deadline = self._clock.monotonic() + self._cfg.platform.timeout_s
        self._appender.append(record, deadline)
