"""Crash reports: which requests were in flight when a runner crashed."""

from __future__ import annotations

import eventlet
from result import Err

from gooseberryrun._internal.state import Clock, CrashReport, Settings, Vm

from ._appender import Appender
from ._errors import EngineFault
from ._events import log_event
from ._membership import Membership
from ._messages import CrashNotice
from ._metrics import POISONED
from ._ports import Engines, Peers
from ._replica import Replica
from ._tasks import spawn

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

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether the request was in flight at too many crashes."""
        now = self._clock.monotonic()
        return self._replica.suspects.is_refused(fingerprint, now)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the request must not run together with other suspects."""
        now = self._clock.monotonic()
        return self._replica.suspects.is_suspect(fingerprint, now)

    def crashed_runners(self, fingerprint: str) -> set[str]:
        """Return the runners that crashed while they executed the request."""
        return self._replica.suspects.crashed_runners(fingerprint)

    def report_failed_attempt(
        self, engine: Vm, incarnation: str, fingerprint: str, probes: int = CRASH_PROBES
    ) -> None:
        """Report a request whose attempt failed, if its runner crashed.

        A runner has crashed if it refuses connections or has another incarnation. One
        that cannot be reached may be behind a network partition. One that still
        responds may be crashing and is probed again later, while the request is
        retried.
        """
        if not incarnation:
            return
        notice = CrashNotice(engine.id, incarnation, [fingerprint])
        if self._has_crashed(engine, incarnation, probes):
            self.handle_crash_notice(notice, True)
        else:
            spawn("crash-watch", lambda: self._recheck_later(engine, notice))

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
        suspects = self._replica.suspects
        new_fingerprints = suspects.record_crash(
            notice.runner, notice.incarnation, notice.fingerprints, now
        )
        for fingerprint in new_fingerprints:
            refused = suspects.is_refused(fingerprint, now)
            log_event("suspect", fingerprint=fingerprint, refused=refused)
            if refused:
                POISONED.inc()
        if is_local and new_fingerprints:
            for vm in self._membership.other_entry_vms():
                self._peers.send_to(vm, notice)
            spawn("crash-report", lambda: self._append(notice))

    def _append(self, notice: CrashNotice) -> None:
        record = CrashReport(
            notice.runner, notice.incarnation, notice.fingerprints, self._clock.unix()
        )
        deadline = self._clock.monotonic() + self._cfg.platform.timeout_s
        self._appender.append(record, deadline)
