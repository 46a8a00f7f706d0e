"""Crash reports: which requests were in flight when a runner died."""

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
CRASH_PROBE_S = 0.2
"""Pause between the questions that tell a crash from a broken connection."""
DYING_S = (0.5, 2.0)
"""Pauses before a runner that still answered is asked again: it may have been dying."""


class Crashes:
    """Reports crashes and answers whether a request is a suspect."""

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
        """Tell whether the request was present at too many crashes."""
        now = self._clock.monotonic()
        return self._replica.suspects.is_refused(fingerprint, now)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether the request must run apart from other suspects."""
        now = self._clock.monotonic()
        return self._replica.suspects.is_suspect(fingerprint, now)

    def crashed_runners(self, fingerprint: str) -> set[str]:
        """Return the runners that crashed while they executed the request."""
        return self._replica.suspects.crashed_runners(fingerprint)

    def suspect(
        self, engine: Vm, incarnation: str, fingerprint: str, probes: int = CRASH_PROBES
    ) -> None:
        """Report a request whose attempt failed, if its runner really crashed.

        A runner has crashed if it refuses connections or has another incarnation. One
        that cannot be reached may only be cut off. One that still answers may be dying
        and is asked again later, while the request goes on elsewhere.
        """
        if not incarnation:
            return
        notice = CrashNotice(engine.id, incarnation, [fingerprint])
        if self._has_crashed(engine, incarnation, probes):
            self.take_notice(notice, True)
        else:
            spawn("crash-watch", lambda: self._watch(engine, notice))

    def _watch(self, engine: Vm, notice: CrashNotice) -> None:
        for pause_s in DYING_S:
            eventlet.sleep(pause_s)
            if self._has_crashed(engine, notice.incarnation, 1):
                self.take_notice(notice, True)
                return

    def _has_crashed(self, engine: Vm, incarnation: str, probes: int) -> bool:
        """Ask until the answer is clear; a dying engine may still accept and reset."""
        for probe in range(probes):
            if probe:
                eventlet.sleep(CRASH_PROBE_S)
            report = self._engines.report(engine)
            if not isinstance(report, Err):
                return report.ok_value.incarnation != incarnation
            if report.err_value.fault is EngineFault.NOT_SENT:
                return True
        return False

    def take_notice(self, notice: CrashNotice, own: bool = False) -> None:
        """Count a crash; an own report is spread to every VM and the log."""
        now = self._clock.monotonic()
        suspects = self._replica.suspects
        fresh = suspects.record_crash(
            notice.runner, notice.incarnation, notice.fingerprints, now
        )
        for fingerprint in fresh:
            refused = suspects.is_refused(fingerprint, now)
            log_event("suspect", fingerprint=fingerprint, refused=refused)
            if refused:
                POISONED.inc()
        if own and fresh:
            for vm in self._membership.other_entry_vms():
                self._peers.send_to(vm, notice)
            spawn("crash-report", lambda: self._append(notice))

    def _append(self, notice: CrashNotice) -> None:
        record = CrashReport(
            notice.runner, notice.incarnation, notice.fingerprints, self._clock.unix()
        )
        deadline = self._clock.monotonic() + self._cfg.platform.timeout_s
        self._appender.append(record, deadline)
