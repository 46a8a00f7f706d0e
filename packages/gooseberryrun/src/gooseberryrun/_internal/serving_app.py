"""Life of an entry VM process that serves by routes."""

from __future__ import annotations

import hashlib
import signal
import time
import uuid
from pathlib import Path
from types import FrameType

import eventlet
from eventlet.timeout import Timeout

from gooseberryrun._internal.coordination import log_event
from gooseberryrun._internal.coordination.serving import (
    ControlStore,
    HeaderCodec,
    Ports,
    RunnerControl,
    Serving,
    make_context,
)
from gooseberryrun._internal.garbage import collect_from_now_on
from gooseberryrun._internal.logs import start_stdout_logs
from gooseberryrun._internal.state import Clock, ServingSettings, SystemClock
from gooseberryrun._internal.state.serving import ClientLimits
from gooseberryrun._internal.transport import PeerLinks
from gooseberryrun._internal.transport.serving import (
    CallerServer,
    HttpRunners,
    ProbeServer,
)

POLL_S = 0.1
"""Pause between looks at signals and at the progress of a stop."""
SETTINGS_CHECK_S = 1.0
"""Pause between looks at the settings file."""
ROTATION_S = 2.6
"""Time after which the balancer has taken a VM that is not ready out: two probes a
second apart, with slack."""
CLOSE_IDLE_S = 0.3
"""Time after which kept connections without a request are closed."""
EXIT_MARGIN_S = 0.8
"""Time kept before the platform kills a process that stops."""
RELEASE_S = 0.3
"""Time for giving up what was kept to the end of a stop."""
QUIET_S = 0.4
"""Time without requests after which a stopping process ends."""


class PlatformIntegration:
    """What a platform brings: its store, its headers and its runners' orders."""

    def __init__(
        self,
        store: ControlStore,
        codec: HeaderCodec,
        control: RunnerControl,
        readiness_path: str,
    ) -> None:
        self.store = store
        self.codec = codec
        self.control = control
        self.readiness_path = readiness_path


def run_platform_server(
    cfg: ServingSettings, path: Path, adapter: PlatformIntegration
) -> None:
    """Serve until SIGTERM and the end of what was read by then."""
    writer = start_stdout_logs()
    process = _Process(cfg, path, SystemClock(), adapter)
    process.run()
    writer.flush(time.monotonic() + 0.2)


class _Process:
    """Parts of the process and its way from start to stop."""

    def __init__(
        self,
        cfg: ServingSettings,
        path: Path,
        clock: Clock,
        adapter: PlatformIntegration,
    ) -> None:
        self._cfg = cfg
        self._path = path
        self._clock = clock
        self._boot = uuid.uuid4().hex[:12]
        self._runners = HttpRunners(clock, adapter.codec)
        ports = Ports(adapter.store, adapter.codec, self._runners, adapter.control)
        self._peers = PeerLinks(cfg, clock)
        self._ctx = make_context(cfg, clock, ports, self._peers)
        self._serving = Serving(self._ctx)
        self._callers = CallerServer(
            clock, self._limits, self._serving.gateway, cfg.entry.max_connections
        )
        self._probes = ProbeServer(adapter.readiness_path, self._serving.is_ready)
        self._metrics = ProbeServer("", lambda: False)
        self._signals: list[str] = []

    def run(self) -> None:
        """Start, wait for SIGTERM, stop."""
        self._catch_signals()
        collect_from_now_on()
        self._peers.find_vm = self._ctx.find_vm
        self._peers.dispatch = self._serving.dispatch
        self._peers.start()
        self._serving.start()
        self._callers.serve(*_split(self._cfg.entry.callers))
        self._probes.serve(*_split(self._cfg.entry.readiness))
        self._metrics.serve(str(self._cfg.vm.address), self._cfg.entry.metrics_port)
        eventlet.spawn(self._sweep)
        log_event(
            "started",
            vm=self._cfg.vm.id,
            boot=self._boot,
            domain=self._cfg.vm.domain,
            settings=_digest(self._path),
        )
        self._wait_for_stop()
        self._stop()

    def _limits(self) -> ClientLimits:
        table = self._ctx.directory.table
        return table.configuration.limits if table else ClientLimits()

    def _sweep(self) -> None:
        while True:
            eventlet.sleep(1.0)
            self._runners.sweep()

    # Signals and settings.

    def _catch_signals(self) -> None:
        def on_signal(number: int, _frame: FrameType | None) -> None:
            self._signals.append(signal.Signals(number).name)

        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, on_signal)

    def _wait_for_stop(self) -> None:
        digest = _digest(self._path)
        checked_at = self._clock.monotonic()
        while True:
            eventlet.sleep(POLL_S)
            received, self._signals = self._signals, []
            if "SIGTERM" in received or "SIGINT" in received:
                return
            now = self._clock.monotonic()
            if received or now - checked_at >= SETTINGS_CHECK_S:
                checked_at = now
                digest = self._check_settings(digest, received)

    def _check_settings(self, known: str, signals: list[str]) -> str:
        """Log a change of the settings file; it counts from the next start."""
        digest = _digest(self._path)
        if signals or digest != known:
            log_event(
                "settings_reread",
                signals=",".join(signals) or "none",
                changed=digest != known,
                settings=digest,
            )
        return digest

    # Stopping.

    def _stop(self) -> None:
        started_at = self._clock.monotonic()
        exit_deadline = started_at + self._cfg.stop.grace_s - EXIT_MARGIN_S
        self._serving.is_stopping = True
        self._callers.is_stopping = True
        log_event("stop_requested", open_requests=self._callers.open_requests)
        if self._ctx.has_store:
            eventlet.spawn(self._serving.release)
        eventlet.spawn_after(CLOSE_IDLE_S, self._callers.close_idle)
        self._drain(started_at + ROTATION_S, exit_deadline)
        log_event(
            "stopped",
            open_requests=self._callers.open_requests,
            took_s=self._clock.monotonic() - started_at,
        )
        self._callers.close()
        # Without the store nobody can take the runners over: they are kept to the end.
        with Timeout(RELEASE_S, False):
            self._serving.release()

    def _drain(self, earliest: float, latest: float) -> None:
        """Serve on until the balancer sends nothing and no request is open.

        Later requests are refused: they could not be finished before the end.
        """
        quiet_since = earliest
        while True:
            eventlet.sleep(POLL_S / 4)
            now = self._clock.monotonic()
            if now >= earliest and not self._callers.refuses_new:
                self._callers.refuses_new = True
                self._callers.close_idle()
            if self._callers.open_requests:
                quiet_since = now
            if now >= latest or (now >= earliest and now - quiet_since >= QUIET_S):
                return


def _split(address: str) -> tuple[str, int]:
    """Return the host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _digest(path: Path) -> str:
    """Return a short hash of the settings file, empty if it cannot be read."""
    try:
        return hashlib.sha256(path.read_bytes()).hexdigest()[:12]
    except OSError as exc:
        log_event("settings_unreadable", level="warning", why=repr(exc))
        return ""
