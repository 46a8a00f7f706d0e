"""Test deployments of platform mode: entry VM processes and a fake platform."""

from __future__ import annotations

import http.client
import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from functools import partial
from pathlib import Path
from typing import Any

from gooseberry_fakes.platform_runner import PlatformRunner, serve_runner
from gooseberry_fakes.platform_store import PlatformStore, serve_store

ROOT = Path(__file__).parents[2]
HOST = "h.example"
MODEL = "m0"
WAIT_S = 15.0


FIRST_PORT = 20000
"""Lowest port of the tests; all are below those that the system gives connections, so
that no connection takes a port between its choice and its use."""
PORTS_PER_WORKER = 3000
RETRY_WINDOW_S = 0.5
"""Window of the retry budget: a process younger than it has a part of its share."""


def _worker_ports() -> Iterator[int]:
    """Return the ports of this test worker without end, starting at one of its own."""
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    first = FIRST_PORT + worker % 4 * PORTS_PER_WORKER
    offset = os.getpid() * 41
    numbers = range(PORTS_PER_WORKER)
    return itertools.cycle(first + (n + offset) % PORTS_PER_WORKER for n in numbers)


_PORTS = _worker_ports()


def free_port() -> int:
    """Return a TCP port that is currently free and was not returned lately."""
    for port in _PORTS:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise AssertionError("no ports")


def wait_for(found: Callable[[], Any], what: str, within_s: float = WAIT_S) -> Any:
    """Poll ``found`` and return its first true result."""
    deadline = time.monotonic() + within_s
    while time.monotonic() < deadline:
        result = found()
        if result:
            return result
        time.sleep(0.02)
    raise AssertionError(f"not seen within {within_s} s: {what}")


def make_config(version: int = 1, **paths: str) -> dict[str, Any]:
    """Return a configuration with routes of every kind.

    ``paths`` adds safe routes, as a path prefix by service.
    """
    kinds = {
        "/chat/": ("stream", "models", False),
        "/plan/": ("stream", "models", True),
        "/order/": ("unsafe", "plain", False),
        "/look/": ("safe", "plain", False),
        **{path: ("safe", service, False) for service, path in paths.items()},
    }
    return {
        "version": version,
        "routes": [
            {
                "name": path.strip("/"),
                "host": HOST,
                "path_prefix": path,
                "kind": kind,
                "timeout_ms": 5000,
                "target_latency_ms": 1000,
                "service": service,
                "max_attempts": 2,
                "resumable": resumable,
                "gap_aim_ms": 500 if kind == "stream" else 0,
            }
            for path, (kind, service, resumable) in kinds.items()
        ],
        "services": [
            {
                "name": "models",
                "max_conns": 100,
                "engine": {
                    "models": [{"name": MODEL, "weights_mb": 1, "adapters": 9}],
                    "weights_mb": 10,
                    "max_adapters": 6,
                },
            },
            {"name": "plain", "max_conns": 100},
        ],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 20000,
            "header_timeout_ms": 700,
            "idle_timeout_ms": 4000,
        },
    }


class EntryVm:
    """Process of an entry VM, with its addresses and log file."""

    def __init__(
        self,
        name: str,
        store_port: int,
        folder: Path,
        more_settings: str = "",
        start: Sequence[str] = ("platform/start.py",),
    ) -> None:
        self.name = name
        self.port = free_port()
        self.ready_port = free_port()
        self.metrics_port = free_port()
        peer_port = free_port()
        settings = folder / f"{name}.toml"
        settings.write_text(
            f"""
[vm]
id = "{name}"
domain = "zone-a"
address = "127.0.0.1"
[peer]
port = {peer_port}
secret = "internal"
[entry]
callers = "127.0.0.1:{self.port}"
readiness = "127.0.0.1:{self.ready_port}"
metrics_port = {self.metrics_port}
[store]
address = "127.0.0.1:{store_port}"
[membership]
lease_s = 1.2
renew_interval_s = 0.2
outside_s = 2.4
[repeats]
window_s = {RETRY_WINDOW_S}
{more_settings}
""",
            encoding="utf-8",
        )
        self.member = f"{name}@127.0.0.1:{peer_port}/zone-a#1"
        self.log = folder / f"{name}.log"
        self._command = [sys.executable, *start, "--settings", str(settings)]
        self.process = self._start()

    def _start(self) -> subprocess.Popen[bytes]:
        with self.log.open("a") as out:
            return subprocess.Popen(self._command, cwd=ROOT, stdout=out, stderr=out)

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()

    def restart(self) -> None:
        """Start a new process with the same settings."""
        self.process = self._start()

    def is_ready(self) -> bool:
        """Return whether the readiness endpoint responds with 200."""
        try:
            conn = http.client.HTTPConnection("127.0.0.1", self.ready_port, timeout=2)
            conn.request("GET", "/v1/ready")
            return conn.getresponse().status == 200
        except OSError:
            return False

    def connect(self) -> http.client.HTTPConnection:
        """Return a connection to the callers' port."""
        return http.client.HTTPConnection("127.0.0.1", self.port, timeout=10)

    def send_request(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes | None = None,
        **headers: str,
    ) -> tuple[int, bytes, http.client.HTTPMessage]:
        """Send one request on a new connection; return status, body and headers."""
        conn = self.connect()
        conn.request(method, path, body, request_headers(request_id, **headers))
        response = conn.getresponse()
        data = response.read()
        conn.close()
        return response.status, data, response.headers

    def stop(self) -> int:
        """Send SIGTERM and return the exit status."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(12)


def request_headers(request_id: str, **headers: str) -> dict[str, str]:
    """Return the headers of a caller's request."""
    own = {
        "Host": HOST,
        "X-Gooseberryrun-Request-Id": request_id,
        "X-Gooseberryrun-Deadline-Ms": "4000",
    }
    return own | {name.replace("_", "-"): value for name, value in headers.items()}


class Site:
    """A fake store, model runners (default two), two plain servers and entry VMs.

    While ``cut_marker`` exists, the first VM cannot connect to any of the servers.
    """

    def __init__(
        self,
        folder: Path,
        vms: int = 1,
        configured: bool = True,
        models: int = 2,
        more_settings: str = "",
        cut_marker: Path | None = None,
    ) -> None:
        self.store = PlatformStore()
        self._store_server = serve_store(self.store)
        self.models = [PlatformRunner(f"m-{n}", "models", MODEL) for n in range(models)]
        self.plain = [PlatformRunner(f"p-{n}", "plain") for n in range(2)]
        self.addresses: dict[str, str] = {}
        for runner in [*self.models, *self.plain]:
            server = serve_runner(runner)
            self.addresses[runner.id] = f"127.0.0.1:{server.server_address[1]}"
            runner.on_restart = partial(self.register, runner)
            self.register(runner)
        if configured:
            self.store.put("keyed.op", "config", make_config())
        port = self._store_server.server_address[1]
        self.vms = [
            EntryVm(f"vm-{number}", port, folder, more_settings)
            for number in range(1 if cut_marker else 0, vms)
        ]
        if cut_marker is not None:
            ports = ",".join(a.rpartition(":")[2] for a in self.addresses.values())
            start = ("tests/lib/cut_off_start.py", str(cut_marker), ports)
            cut_off = EntryVm("vm-0", port, folder, more_settings, start)
            self.vms.insert(0, cut_off)
        if configured:
            self._wait_until_ready()

    def _wait_until_ready(self) -> None:
        """Wait for all entry VMs; end them if one does not start."""
        try:
            for vm in self.vms:
                wait_for(vm.is_ready, f"{vm.name} ready")
        except AssertionError:
            self.close()
            raise

    def register(self, runner: PlatformRunner) -> None:
        """Write the registry entry of a server."""
        entry = runner.entry(self.addresses[runner.id])
        self.store.put("keyed.servers", runner.id, entry)

    def wait_for_members(self) -> None:
        """Wait until every entry VM knows all others."""
        names = f"members={len(self.vms)}"
        wait_for(lambda: all(names in vm.log.read_text() for vm in self.vms), names)

    def close(self) -> None:
        """Kill the entry VM processes and stop the store."""
        for vm in self.vms:
            if vm.process.poll() is None:
                vm.kill()
        self._store_server.shutdown()
