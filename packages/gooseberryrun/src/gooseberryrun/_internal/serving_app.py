"""Wiring and lifecycle of the entry VM process in platform mode."""

from __future__ import annotations

import hashlib
import signal
import time
import uuid
from pathlib import Path
from typing import Any

import eventlet
from eventlet.hubs import get_hub
from eventlet.queue import Empty, LightQueue
from eventlet.timeout import Timeout
from result import Err, Ok, Result

from gooseberryrun._internal.coordination import Shutdown, log_event
from gooseberryrun._internal.coordination.serving import (
    ControlStore,
    HeaderCodec,
    Ports,
    RunnerControl,
    Serving,
    make_context,
    parse_query,
)
from gooseberryrun._internal.gc_setup import enable_garbage_collection
from gooseberryrun._internal.logs import start_stdout_logging
from gooseberryrun._internal.state import Clock, ServingSettings, SystemClock
from gooseberryrun._internal.state.serving import ClientLimits
from gooseberryrun._internal.transport import PeerLinks
from gooseberryrun._internal.transport.serving import (
    CallerServer,
    InputBounds,
    ProbeServer,
    RunnerConnectionPool,
)

STOP_POLL_S = 0.025
"""Interval between checks of the open requests during a stop."""
SETTINGS_CHECK_INTERVAL_S = 1.0
"""Interval between checks of the settings file for changes."""
BALANCER_REMOVAL_S = 2.6
"""Time by which the load balancer has removed a VM that is not ready: two failed probes
at an interval of one second, plus a margin."""
IDLE_CLOSE_DELAY_S = 0.3
"""Time from a stop request until idle keep-alive connections are closed."""
EXIT_MARGIN_S = 0.8
"""Time reserved before the platform kills a process that is stopping."""
ANSWER_TIME_S = 0.2
"""Time in which the last open requests get their responses before the exit."""
RELEASE_TIMEOUT_S = 0.3
"""Time limit for the release of the runners at the end of a stop."""


class PlatformIntegration:
    """Platform-specific parts: control store, header codec and runner control."""

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
    cfg: ServingSettings, path: Path, integration: PlatformIntegration
) -> None:
    """Serve until SIGTERM or SIGINT, then finish the requests read by then.

    ``path`` is the settings file, which is watched for changes.
    """
    writer = start_stdout_logging()
    process = _Process(cfg, path, SystemClock(), integration)
    process.run()
    writer.flush(time.monotonic() + 0.2)


class _Process:
    """Components of the process, and its startup and shutdown."""

    def __init__(
        self,
        cfg: ServingSettings,
        path: Path,
        clock: Clock,
        integration: PlatformIntegration,
    ) -> None:
        self._cfg = cfg
        self._path = path
        self._clock = clock
        self._boot = uuid.uuid4().hex[:12]
        bounds = InputBounds(clock)
        self._runners = RunnerConnectionPool(clock, integration.codec, bounds)
        ports = Ports(
            integration.store, integration.codec, self._runners, integration.control
        )
        self._peers = PeerLinks(cfg, clock)
        self._ctx = make_context(cfg, clock, ports, self._peers)
        self._serving = Serving(self._ctx)
        self._callers = CallerServer(
            clock,
            self._limits,
            self._serving.gateway,
            cfg.entry.max_connections,
            bounds,
        )
        self._probes = ProbeServer(
            clock, integration.readiness_path, self._serving.is_ready
        )
        self._metrics = ProbeServer(clock, "", lambda: False, self._explain)
        self._signals = LightQueue()

    def run(self) -> None:
        """Start, wait for SIGTERM or SIGINT, and stop."""
        self._install_signal_handlers()
        enable_garbage_collection()
        self._peers.find_vm = self._ctx.find_vm
        self._peers.dispatch = self._serving.dispatch
        self._runners.watch(self._serving.reach.record_connection)
        self._peers.start()
        self._serving.start()
        self._callers.serve(*_parse_address(self._cfg.entry.callers))
        self._probes.serve(*_parse_address(self._cfg.entry.readiness))
        self._metrics.serve(str(self._cfg.vm.address), self._cfg.entry.metrics_port)
        log_event(
            "started",
            vm=self._cfg.vm.id,
            boot=self._boot,
            domain=self._cfg.vm.domain,
            settings=_hash_settings(self._path),
        )
        self._wait_for_stop()
        self._stop()

    def _explain(self, fields: dict[str, list[str]]) -> Result[dict[str, Any], str]:
        """Explain where the request that a query string describes would be sent."""
        query = parse_query(fields)
        if isinstance(query, Err):
            return query
        return Ok(self._serving.explainer.explain(query.ok_value))

    def _limits(self) -> ClientLimits:
        table = self._ctx.directory.table
        return table.configuration.limits if table else ClientLimits()

    def _install_signal_handlers(self) -> None:
        """Have the event loop woken by signals, instead of polling for them."""
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            get_hub().loop.add_signal_handler(number, self._signals.put_nowait, number)

    def _wait_for_stop(self) -> None:
        version = _file_version(self._path)
        digest = _hash_settings(self._path)
        while True:
            number = self._next_signal(SETTINGS_CHECK_INTERVAL_S)
            if number in (signal.SIGTERM, signal.SIGINT):
                return
            known, version = version, _file_version(self._path)
            if number is not None or version != known:
                name = "none" if number is None else signal.Signals(number).name
                digest = self._check_settings(digest, name)

    def _next_signal(self, timeout_s: float) -> int | None:
        """Wait for a signal; return its number, None if there is none in time."""
        try:
            number: int = self._signals.get(timeout=timeout_s)
            return number
        except Empty:
            return None

    def _check_settings(self, known: str, received: str) -> str:
        """Log a change of the settings file, which takes effect at the next start.

        Returns the current hash of the file.
        """
        digest = _hash_settings(self._path)
        if received != "none" or digest != known:
            log_event(
                "settings_reread",
                signals=received,
                changed=digest != known,
                settings=digest,
            )
        return digest

    def _stop(self) -> None:
        started_at = self._clock.monotonic()
        exit_deadline = started_at + self._cfg.stop.grace_s - EXIT_MARGIN_S
        self._serving.is_stopping = True
        self._callers.state.is_stopping = True
        log_event("stop_requested", open_requests=self._callers.state.open_requests)
        if self._ctx.can_reach_store:
            eventlet.spawn(self._serving.release)
        eventlet.spawn_after(IDLE_CLOSE_DELAY_S, self._callers.close_idle)
        self._ctx.stop_deadline = exit_deadline - ANSWER_TIME_S
        self._drain(Shutdown(started_at + BALANCER_REMOVAL_S, self._ctx.stop_deadline))
        self._end_open_requests(exit_deadline)
        log_event(
            "stopped",
            open_requests=self._callers.state.open_requests,
            took_s=self._clock.monotonic() - started_at,
        )
        self._callers.close()
        # Without the store no other VM can take over the runners, so they are kept
        # until here.
        with Timeout(RELEASE_TIMEOUT_S, False):
            self._serving.release()

    def _end_open_requests(self, latest: float) -> None:
        """Answer the requests that are still open, as far as they have no answer."""
        if not self._callers.state.open_requests:
            return
        log_event("requests_ended", open_requests=self._callers.state.open_requests)
        self._callers.interrupt_open()
        while self._callers.state.open_requests and self._clock.monotonic() < latest:
            eventlet.sleep(STOP_POLL_S)

    def _drain(self, shutdown: Shutdown) -> None:
        """Serve until the load balancer sends no more requests and none is open.

        New requests are refused once it has removed this VM: they could not finish.
        """
        may_exit = False
        while not may_exit:
            eventlet.sleep(STOP_POLL_S)
            now = self._clock.monotonic()
            if shutdown.is_removed(now) and not self._callers.state.refuses_new:
                self._callers.state.refuses_new = True
                self._callers.close_idle()
            may_exit = shutdown.may_exit(now, not self._callers.state.open_requests)


def _parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into the host and the port number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _file_version(path: Path) -> tuple[int, ...]:
    """Return what changes whenever a file does, without reading it."""
    try:
        stat = path.stat()
    except OSError:
        return ()
    return stat.st_ino, stat.st_size, stat.st_mtime_ns, stat.st_ctime_ns


def _hash_settings(path: Path) -> str:
    """Return a short hash of the settings file, empty if it cannot be read."""
    try:
        return hashlib.sha256(path.read_bytes()).hexdigest()[:12]
    except OSError as exc:
        log_event("settings_unreadable", level="warning", why=repr(exc))
        return ""
