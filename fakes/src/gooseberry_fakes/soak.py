"""Soak test: random failures under load until an invariant breaks or time is up."""

from __future__ import annotations

import random
import signal
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import click

from .cluster import Cluster
from .demo import Traffic, check_bookings, wait_for_jobs
from .topology import DEPLOYMENTS

STEP_S = 4.0
ADAPTERS = 200
REQUEST_INTERVAL_S = 0.05


class FaultInjector:
    """Failures to inject; each action undoes its failure before it returns.

    An action returns what failed. Its name is printed.
    """

    def __init__(self, cluster: Cluster, traffic: Traffic, rng: random.Random) -> None:
        self._cluster = cluster
        self._traffic = traffic
        self._rng = rng
        self.actions: list[Callable[[], str]] = [
            self.kill_entry_vm,
            self.pause_entry_vm,
            self.stop_entry_vm,
            self.kill_engine,
            self.cut_domain,
            self.log_outage,
            self.lose_answers,
            self.fail_loads,
        ]

    def _replace(self, vm: str) -> None:
        self._cluster.start_entry_vm(vm)
        self._cluster.wait_ready(vm)
        self._traffic.include(vm)

    def kill_entry_vm(self) -> str:
        """Kill an entry VM and start its replacement."""
        vm = self._rng.choice(self._cluster.entry_vms())
        self._traffic.kill(vm)
        time.sleep(STEP_S)
        self._replace(vm)
        return vm

    def pause_entry_vm(self) -> str:
        """Pause an entry VM until its leases have expired."""
        vm = self._rng.choice(self._cluster.entry_vms())
        self._cluster.signal(vm, signal.SIGSTOP)
        time.sleep(STEP_S + self._rng.uniform(0, 4))
        self._cluster.signal(vm, signal.SIGCONT)
        return vm

    def stop_entry_vm(self) -> str:
        """Stop an entry VM gracefully and start its replacement."""
        vm = self._rng.choice(self._cluster.entry_vms())
        self._traffic.exclude(vm)
        self._cluster.signal(vm, signal.SIGTERM)
        self._cluster.processes[vm].wait(timeout=70)
        self._replace(vm)
        return vm

    def kill_engine(self) -> str:
        """Kill an engine and restart it without adapters."""
        engine = self._rng.choice(self._cluster.engines())
        self._cluster.kill(engine)
        time.sleep(1)
        self._cluster.start_server(engine)
        return engine

    def cut_domain(self) -> str:
        """Partition a failure domain from the others and the platform."""
        domain = self._rng.choice(self._cluster.deployment.domains)
        inside = self._cluster.domain(domain)
        outside = [vm for vm in self._cluster.vms if vm not in inside]
        self._cluster.partition_network(
            [inside, outside], self._cluster.entry_vms(domain)
        )
        time.sleep(STEP_S + self._rng.uniform(0, 6))
        self._cluster.heal()
        return domain

    def log_outage(self) -> str:
        """Make the log unavailable for `STEP_S` seconds."""
        self._cluster.control("log", down=True)
        time.sleep(STEP_S)
        self._cluster.control("log", down=False)
        return "log"

    def lose_answers(self) -> str:
        """Drop responses of the log and of a plain service, after the effect."""
        server = self._rng.choice(self._cluster.services())
        self._cluster.control("log", lose_answers=self._rng.randint(1, 4))
        self._cluster.control(server, lose_answers=self._rng.randint(1, 3))
        return server

    def fail_loads(self) -> str:
        """Make loads of an engine fail and slow the store down."""
        engine = self._rng.choice(self._cluster.engines())
        self._cluster.control(engine, fail_loads=2)
        self._cluster.control("store", slow=3.0)
        time.sleep(STEP_S)
        self._cluster.control("store", slow=1.0)
        return engine


def _send_until(traffic: Traffic, stopped: threading.Event) -> None:
    senders = [traffic.lookup, traffic.completion, traffic.job, traffic.booking]
    number = 0
    while not stopped.is_set():
        send = senders[number % len(senders)]
        threading.Thread(target=send, args=(number,), daemon=True).start()
        number += 1
        time.sleep(REQUEST_INTERVAL_S)


def _failures(cluster: Cluster) -> list[str]:
    return cluster.violations() + cluster.broken_invariants()


@click.command()
@click.option(
    "--seed", type=int, default=None, help="Seed; random if not given, always printed."
)
@click.option("--minutes", type=float, default=2.0)
@click.option(
    "--deployment", type=click.Choice(sorted(DEPLOYMENTS)), default="papillon"
)
def main(seed: int | None, minutes: float, deployment: str) -> None:
    """Run random failures under load."""
    seed = seed if seed is not None else random.SystemRandom().randrange(10**6)
    click.echo(f"seed {seed}")
    rng = random.Random(seed)
    shape = replace(
        DEPLOYMENTS[deployment],
        store_rate=20.0,
        retention_s=45.0,
        checks_fencing=bool(rng.getrandbits(1)),
    )
    run_dir = Path(f".run/soak-{seed}-{time.time_ns()}")
    overrides = {"policy": {"store_loads_per_s": 20.0}}
    broken: list[str] = []
    with Cluster(shape, run_dir, 45, overrides, relayed=True) as cluster:
        cluster.configure(ADAPTERS)
        cluster.wait_owned()
        traffic = Traffic(cluster)
        injector = FaultInjector(cluster, traffic, rng)
        stopped = threading.Event()
        sender = threading.Thread(target=_send_until, args=(traffic, stopped))
        sender.start()
        deadline = time.monotonic() + minutes * 60
        while time.monotonic() < deadline and not broken:
            action = rng.choice(injector.actions)
            click.echo(f"{action.__name__}: {action()}")
            time.sleep(rng.uniform(0.5, 3))
            broken = _failures(cluster)
        stopped.set()
        sender.join()
        time.sleep(STEP_S)
        traffic.repeat_unknown()
        unfinished = wait_for_jobs(traffic, 60)
        broken += check_bookings(traffic) + _failures(cluster) + traffic.wrong_responses
        broken += [f"job {job_id} was not finished" for job_id in unfinished]
    for kind, shown, p50, p99 in traffic.stats.rows():
        click.echo(f"{kind:24}{shown:60}{p50:>10}{p99:>10}")
    for line in broken[:20]:
        click.echo(f"BROKEN: {line}")
    click.echo(f"seed {seed}: " + ("BROKEN" if broken else "all invariants held"))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
