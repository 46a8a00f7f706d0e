"""Runs a whole deployment as separate processes on loopback addresses."""

from __future__ import annotations

import contextlib
import json
import signal
import subprocess
import sys
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self

import tomli_w
import urllib3

from .topology import ENTRY_PORT, PEER_PORT, SERVER_PORT, Deployment, list_vms

OPERATOR_TOKEN = "operator-token-of-the-stand-ins"
PEER_SECRET = "peer-secret-of-the-stand-ins"
READY_TIMEOUT_S = 30.0
BALANCER_REMOVAL_S = 0.5
"""Time for which a VM that is stopped gets requests; no balancer stands before it."""
ROOT = Path(__file__).resolve().parents[3]


@dataclass(frozen=True, slots=True)
class Reply:
    """Response to a test request; ``error`` is the transport failure, with status 0."""

    status: int
    headers: dict[str, str]
    body: bytes
    error: str = ""

    def json(self) -> Any:
        """Return the parsed body."""
        return json.loads(self.body)

    @property
    def outcome(self) -> str:
        """Outcome in the response header, or ``cut`` after a transport failure."""
        return "cut" if self.error else self.headers.get("x-outcome", "")


def send(
    address: str,
    port: int,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 60.0,
) -> Reply:
    """Send one request to a loopback address, without retries."""
    pool = urllib3.HTTPConnectionPool(address, port, retries=False, maxsize=1)
    data = (
        body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
    )
    sent_headers = {"Content-Type": "application/json", **(headers or {})}
    try:
        response = pool.urlopen(
            method, path, body=data, headers=sent_headers, timeout=timeout_s
        )
        received = {key.lower(): value for key, value in response.headers.items()}
        return Reply(response.status, received, response.data)
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        return Reply(0, {}, b"", repr(exc))
    finally:
        pool.close()


class Cluster:
    """Processes of one deployment; it signals only those that it started.

    With ``relayed``, the connections between entry VMs go through a relay, which
    `partition_network` needs.
    """

    def __init__(
        self,
        deployment: Deployment,
        run_dir: Path,
        net: int = 41,
        overrides: dict[str, dict[str, Any]] | None = None,
        relayed: bool = False,
    ) -> None:
        self.deployment = deployment
        self.run_dir = run_dir
        self.net = net
        self.overrides = overrides or {}
        self.vms = {vm["id"]: vm for vm in list_vms(deployment, net)}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._relayed = relayed
        self.platform = {
            "log": f"127.{net}.200.1",
            "store": f"127.{net}.200.2",
            "vms": f"127.{net}.200.3",
            "relay": f"127.{net}.200.4",
        }

    def __enter__(self) -> Self:
        signal.signal(signal.SIGTERM, _raise_system_exit)
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_exc: object) -> None:
        self.stop()

    def entry_vms(self, domain: str | None = None) -> list[str]:
        """Return the ids of the entry VMs, of one failure domain if given."""
        return self._ids("entry", domain)

    def engines(self, domain: str | None = None) -> list[str]:
        """Return the ids of the engines, of one failure domain if given."""
        return self._ids("engine", domain)

    def services(self) -> list[str]:
        """Return the ids of the plain service's backend servers."""
        return self._ids("service", None)

    def _ids(self, kind: str, domain: str | None) -> list[str]:
        return [
            vm["id"]
            for vm in self.vms.values()
            if vm["kind"] == kind and domain in (None, vm["domain"])
        ]

    def start(self) -> None:
        """Start all processes and wait until every entry VM is ready."""
        self.run_dir.mkdir(parents=True, exist_ok=True)
        for name, command in self._platform_commands().items():
            self._start_fake(name, command)
        if self.deployment.shared_engine_process:
            self._start_shared_engine_processes()
        else:
            for vm_id in self.engines():
                self.start_server(vm_id)
        for vm_id in self.services():
            self.start_server(vm_id)
        if self._relayed:
            self._start_relay()
        self.wait_for("vms", self.platform["vms"], SERVER_PORT, "/v1/vms")
        self.publish_list()
        for vm_id in self.entry_vms():
            self.start_entry_vm(vm_id)
        for vm_id in self.entry_vms():
            self.wait_ready(vm_id)

    def _platform_commands(self) -> dict[str, list[str]]:
        deployment = self.deployment
        port = str(SERVER_PORT)
        rate, retention = str(deployment.appends_per_s), str(deployment.retention_s)
        return {
            "log": ["log", self.platform["log"], port]
            + ["--appends-per-s", rate, "--retention-s", retention],
            "store": ["store", self.platform["store"], port]
            + ["--rate", str(deployment.store_rate)],
            "vms": [
                "vms",
                self.platform["vms"],
                port,
                "--lag-s",
                str(deployment.list_lag_s),
            ],
        }

    def _start_relay(self) -> None:
        """Start the relay and set it up between every two entry VMs.

        The VM list gives each entry VM the relay's addresses for the others.
        """
        routes: list[list[Any]] = []
        views: dict[str, dict[str, Any]] = {}
        vms = self.entry_vms()
        for row, source in enumerate(vms):
            view = views.setdefault(self.vms[source]["address"], {})
            for column, target in enumerate(vms):
                if source == target:
                    continue
                listen = f"127.{self.net}.{100 + row}.{column + 1}"
                address = self.vms[target]["address"]
                routes.append([listen, address, PEER_PORT, _link(source, target)])
                view[target] = {"address": listen}
        path = self.run_dir / "routes.json"
        path.write_text(json.dumps(routes), encoding="utf-8")
        relay = self.platform["relay"]
        self._start_fake("relay", ["relay", relay, str(SERVER_PORT), str(path)])
        self.wait_for("relay", relay, SERVER_PORT, "/")
        self.wait_for("vms", self.platform["vms"], SERVER_PORT, "/v1/vms")
        self.control("vms", views=views)

    def start_server(self, vm_id: str, count: int = 1) -> None:
        """Start a backend server, or ``count`` engines in one process."""
        vm, deployment = self.vms[vm_id], self.deployment
        command = [vm["kind"], vm["address"], str(SERVER_PORT)]
        if vm["kind"] == "engine":
            command += [
                "--slots",
                str(deployment.slots),
                "--batch",
                str(deployment.batch),
            ]
            command += ["--token-s", str(deployment.token_s)]
            command += ["--store-url", f"http://{self.platform['store']}:{SERVER_PORT}"]
            command += ["--count", str(count)]
            command += ["--checks-fencing"] if deployment.checks_fencing else []
        else:
            command += [
                f"--{name}"
                for name, enabled in deployment.service_options.items()
                if enabled
            ]
        self._start_fake(vm_id, command)

    def _start_shared_engine_processes(self) -> None:
        """Start one process for all engines of each failure domain."""
        for domain in self.deployment.domains:
            engines = self.engines(domain)
            if engines:
                self.start_server(engines[0], len(engines))

    def _start_fake(self, name: str, command: list[str]) -> None:
        self._start_process(name, [sys.executable, "-m", "gooseberry_fakes", *command])

    def _start_process(self, name: str, command: list[str]) -> None:
        with (self.run_dir / f"{name}.log").open("ab") as out:
            self.processes[name] = subprocess.Popen(
                command, stdout=out, stderr=out, stdin=subprocess.DEVNULL
            )

    def settings(self, vm_id: str) -> dict[str, Any]:
        """Return the settings of an entry VM: those of ``deploy/`` with overrides."""
        vm = self.vms[vm_id]
        shared = ROOT / "deploy" / f"{self.deployment.name}.toml"
        cfg: dict[str, Any] = tomllib.loads(shared.read_text(encoding="utf-8"))
        cfg["vm"] = {"id": vm_id, "domain": vm["domain"], "address": vm["address"]}
        cfg["http"] = {"port": ENTRY_PORT}
        cfg["peer"] = {"port": PEER_PORT, "secret": PEER_SECRET}
        cfg["operator"] = {"token": OPERATOR_TOKEN}
        cfg["platform"] = {
            f"{key}_url": f"http://{self.platform[name]}:{SERVER_PORT}"
            for key, name in (("log", "log"), ("store", "store"), ("vm_list", "vms"))
        }
        cfg["log"] = {"retention_s": self.deployment.retention_s}
        cfg["stop"] = {"balancer_removal_s": BALANCER_REMOVAL_S}
        for section, values in self.overrides.items():
            cfg.setdefault(section, {}).update(values)
        return cfg

    def start_entry_vm(self, vm_id: str) -> None:
        """Write the settings of an entry VM and start it, or start its replacement."""
        path = self.run_dir / f"{vm_id}.toml"
        path.write_text(tomli_w.dumps(self.settings(vm_id)), encoding="utf-8")
        command = [sys.executable, "-m", "gooseberryrun", "--settings", str(path)]
        self._start_process(vm_id, command)

    def stop(self) -> None:
        """Kill every process that was started here, also paused ones."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(timeout=10)

    def signal(self, vm_id: str, number: signal.Signals) -> None:
        """Send a signal to a process that was started here."""
        self.processes[vm_id].send_signal(number)

    def kill(self, vm_id: str) -> None:
        """Kill a process and wait for its end."""
        self.processes[vm_id].kill()
        self.processes[vm_id].wait(timeout=10)

    def wait_for(self, name: str, address: str, port: int, path: str) -> None:
        """Wait until a path returns 200.

        Raises `RuntimeError` with the end of the log if the process ends or times out.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while send(address, port, "GET", path, timeout_s=2).status != 200:
            if time.monotonic() > deadline or self.processes[name].poll() is not None:
                log = (self.run_dir / f"{name}.log").read_text(errors="replace")
                raise RuntimeError(f"{name} is not ready:\n{log[-3000:]}")
            time.sleep(0.05)

    def wait_ready(self, vm_id: str) -> None:
        """Wait until an entry VM is ready."""
        self.wait_for(vm_id, self.vms[vm_id]["address"], ENTRY_PORT, "/readyz")

    def wait_owned(self, runners: list[str] | None = None) -> None:
        """Wait until the runners (default: all engines) have valid leases."""
        expected = set(runners or self.engines())
        deadline = time.monotonic() + READY_TIMEOUT_S
        owned: set[str] = set()
        while not expected <= owned:
            if time.monotonic() > deadline:
                raise RuntimeError(f"runners without owner: {sorted(expected - owned)}")
            time.sleep(0.1)
            rows = self.rows("show leases where left_s > 0")
            owned = {row["runner"] for row in rows}

    def send(
        self,
        vm_id: str,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 60.0,
    ) -> Reply:
        """Send a request to an entry VM."""
        address = self.vms[vm_id]["address"]
        return send(address, ENTRY_PORT, method, path, body, headers, timeout_s)

    def complete(
        self,
        vm_id: str,
        model: str,
        prompt: str,
        timeout_s: float = 60.0,
        **fields: Any,
    ) -> Reply:
        """Send a completion request to an entry VM."""
        body = {"model": model, "prompt": prompt, **fields}
        return self.send(vm_id, "POST", "/v1/completions", body, None, timeout_s)

    def book(
        self, vm_id: str, key: str, body: Any = None, timeout_s: float = 60.0
    ) -> Reply:
        """Send a non-idempotent request with an idempotency key."""
        path = f"/services/{self.deployment.service}/bookings"
        headers = {"Idempotency-Key": key}
        return self.send(vm_id, "POST", path, body or {"n": 1}, headers, timeout_s)

    def operate(self, command: str, vm_id: str | None = None) -> Reply:
        """Send an operator command to an entry VM, by default to one that runs."""
        return self._operate("command", {"command": command}, vm_id)

    def apply(
        self, ops: list[dict[str, Any]], vm_id: str | None = None, expected: Any = None
    ) -> Reply:
        """Send a configuration change to an entry VM, by default to one that runs."""
        return self._operate("apply", {"ops": ops, "expected": expected}, vm_id)

    def _operate(self, name: str, body: Any, vm_id: str | None) -> Reply:
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        target = vm_id or self.first_running()
        return self.send(target, "POST", f"/operator/v1/{name}", body, headers, 15.0)

    def first_running(self) -> str:
        """Return the first entry VM whose process runs."""
        for vm_id in self.entry_vms():
            process = self.processes.get(vm_id)
            if process is not None and process.poll() is None:
                return vm_id
        raise RuntimeError("no entry VM is running")

    def rows(self, command: str, vm_id: str | None = None) -> list[dict[str, Any]]:
        """Return the rows of a query, or none if it failed."""
        reply = self.operate(command, vm_id)
        return list(reply.json()["rows"]) if reply.status == 200 else []

    def configure(self, adapters: int) -> None:
        """Configure adapters from ``a0`` on at version 1, the service and its rule."""
        ops = [_put("adapters", f"a{number}@1", {}) for number in range(adapters)]
        service = self.deployment.service
        ops.append(_put("services", service, dict(self.deployment.service_options)))
        at_most_once = {"class": "once"}
        ops.append(_put("rules", f"service/{service}/bookings", at_most_once))
        for start in range(0, len(ops), 1000):
            reply = self.apply(ops[start : start + 1000])
            if reply.status != 200:
                raise RuntimeError(f"configuration rejected: {reply}")

    def control(self, name: str, **faults: Any) -> None:
        """Set faults of a stand-in: a VM by its id, a platform service by its name."""
        address = self.platform.get(name) or self.vms[name]["address"]
        reply = send(address, SERVER_PORT, "POST", "/control", faults)
        if reply.status != 200:
            raise RuntimeError(f"{name}: setting faults failed: {reply}")

    def partition_network(
        self, groups: list[list[str]], platform: list[str] | None = None
    ) -> None:
        """Cut the connections between groups of VMs, and from some VMs to the platform.

        Groups list entry VMs and backend servers. VMs in no group reach all others.
        """
        group_of = {vm: number for number, group in enumerate(groups) for vm in group}
        vms = self.entry_vms()

        def are_separated(one: str, other: str) -> bool:
            grouped = one in group_of and other in group_of
            return grouped and group_of[one] != group_of[other]

        links = sorted({_link(a, b) for a in vms for b in vms if are_separated(a, b)})
        self.control("relay", links=links)
        for server in self.engines() + self.services():
            blocked = [
                self.vms[vm]["address"] for vm in vms if are_separated(vm, server)
            ]
            self.control(server, cut=blocked)
        without_platform = [self.vms[vm]["address"] for vm in platform or []]
        for name in ("log", "store", "vms"):
            self.control(name, cut=without_platform)

    def heal(self) -> None:
        """Restore every connection that `partition_network` cut."""
        self.partition_network([])

    def domain(self, name: str) -> list[str]:
        """Return the ids of all VMs of a failure domain."""
        return [vm["id"] for vm in self.vms.values() if vm["domain"] == name]

    def owner(self, runner: str) -> str:
        """Return the owner of a runner with a valid lease, or an empty string."""
        rows = self.rows(f"show leases where runner = {runner} and left_s > 0")
        return str(rows[0]["owner"]) if rows else ""

    def debug(self, name: str, path: str = "/debug/state") -> Any:
        """Return the debug state of a stand-in."""
        address = self.platform.get(name) or self.vms[name]["address"]
        return send(address, SERVER_PORT, "GET", path).json()

    def publish_list(self) -> None:
        """Publish the current VMs in the VM list."""
        body = {"vms": list(self.vms.values())}
        send(self.platform["vms"], SERVER_PORT, "PUT", "/v1/vms", body)

    def effects(self) -> list[dict[str, Any]]:
        """Return the effects recorded by all servers of the plain service."""
        found: list[dict[str, Any]] = []
        for vm_id in self.services():
            found += self.debug(vm_id, "/debug/effects")
        return found

    def violations(self) -> list[str]:
        """Return the violations that the engines recorded; crashed ones are skipped."""
        found: list[str] = []
        for vm_id in self.engines():
            with contextlib.suppress(ValueError):
                found += self.debug(vm_id)["violations"]
        return found

    def broken_invariants(self) -> list[str]:
        """Return the log lines of broken invariants and internal errors."""
        found = []
        for vm_id in self.entry_vms():
            path = self.run_dir / f"{vm_id}.log"
            text = path.read_text(errors="replace") if path.exists() else ""
            for line in text.splitlines():
                if "event=invariant_broken" in line or "event=internal_error" in line:
                    found.append(f"{vm_id}: {line}")
        return found


def _link(one: str, other: str) -> str:
    return "|".join(sorted((one, other)))


def _raise_system_exit(_number: int, _frame: object) -> None:
    """Turn SIGTERM into an exception, so that the started processes are stopped."""
    raise SystemExit(143)


def _put(table: str, key: str, value: dict[str, Any]) -> dict[str, Any]:
    return {"op": "put", "table": table, "key": key, "value": value}
