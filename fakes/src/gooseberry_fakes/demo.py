"""Demo: traffic of every kind against a deployment while an entry VM is killed."""

from __future__ import annotations

import sys
import threading
import time
from collections import Counter, defaultdict
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import click

from .cluster import Cluster, Reply
from .topology import DEPLOYMENTS

TRAFFIC_S = 15.0
KILL_AFTER_S = 5.0
ADAPTERS = 3000
ADAPTERS_IN_USE = 8
END_MARK = b"data: [DONE]"


@dataclass(slots=True)
class RequestStats:
    """Outcomes and latencies in seconds, by kind of request."""

    outcomes: dict[str, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    seconds: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, kind: str, outcome: str, seconds: float) -> None:
        """Record one request."""
        with self.lock:
            self.outcomes[kind][outcome] += 1
            self.seconds[kind].append(seconds)

    def rows(self) -> list[tuple[str, str, str, str]]:
        """Return a row of kind, outcomes, p50 and p99 for each kind."""
        rows = []
        for kind, counts in sorted(self.outcomes.items()):
            times = sorted(self.seconds[kind])
            p50 = times[len(times) // 2]
            p99 = times[min(len(times) - 1, int(len(times) * 0.99))]
            shown = ", ".join(f"{name} {n}" for name, n in counts.most_common())
            rows.append((kind, shown, f"{p50 * 1000:.0f} ms", f"{p99 * 1000:.0f} ms"))
        return rows


class Traffic:
    """Clients that spread requests over the entry VMs and retry at another one."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.stats = RequestStats()
        self.jobs: dict[str, str] = {}
        self.bookings: dict[str, list[Reply]] = defaultdict(list)
        self.wrong_responses: list[str] = []
        self._excluded: set[str] = set()

    def vm(self, number: int) -> str:
        """Return the entry VM for a request, as a load balancer would choose it."""
        vms = [vm for vm in self.cluster.entry_vms() if vm not in self._excluded]
        return vms[number % len(vms)]

    def kill(self, vm_id: str) -> None:
        """Kill an entry VM and send it no more requests."""
        self._excluded.add(vm_id)
        self.cluster.kill(vm_id)

    def exclude(self, vm_id: str) -> None:
        """Send an entry VM no more requests."""
        self._excluded.add(vm_id)

    def include(self, vm_id: str) -> None:
        """Send requests to an entry VM again."""
        self._excluded.discard(vm_id)

    def lookup(self, number: int) -> None:
        """Send an interactive lookup."""
        path = f"/services/{self.cluster.deployment.service}/stock"
        started = time.monotonic()
        reply = self.cluster.send(self.vm(number), "GET", path)
        self.stats.add("quick lookup", reply.outcome, time.monotonic() - started)

    def completion(self, number: int) -> None:
        """Stream a completion; retry up to twice if the response is not whole."""
        model = f"a{number % ADAPTERS_IN_USE}@1"
        started = time.monotonic()
        for attempt in range(3):
            reply = self.cluster.complete(
                self.vm(number + attempt), model, f"prompt {number}", stream=True
            )
            is_whole = reply.status == 200 and END_MARK in reply.body
            outcome = "whole" if is_whole else reply.outcome
            if is_whole and f'"model": "{model}"'.encode() not in reply.body:
                self.wrong_responses.append(f"{model}: response names another model")
            self.stats.add("completion", outcome, time.monotonic() - started)
            if is_whole:
                return

    def job(self, number: int) -> None:
        """Submit a background job, at another entry VM if one does not accept it."""
        model = f"a{number % ADAPTERS_IN_USE}@1"
        key = f"job-{number}"
        started = time.monotonic()
        body = {"model": model, "prompt": f"lesson {number}", "background": True}
        for attempt in range(5):
            reply = self.cluster.send(
                self.vm(number + attempt),
                "POST",
                "/v1/completions",
                body,
                {"Idempotency-Key": key},
            )
            if reply.status == 202:
                self.jobs[reply.json()["id"]] = model
                break
        self.stats.add("patient job", reply.outcome, time.monotonic() - started)

    def booking(self, number: int) -> None:
        """Send a booking with one key to two entry VMs at once."""
        key = f"booking-{number}"
        started = time.monotonic()
        with ThreadPoolExecutor(2) as pool:
            vms = [self.vm(number), self.vm(number + 4)]
            for reply in pool.map(lambda vm: self.cluster.book(vm, key), vms):
                self.bookings[key].append(reply)
                seconds = time.monotonic() - started
                self.stats.add("booking (sent twice)", reply.outcome, seconds)

    def repeat_unknown(self) -> None:
        """Repeat each booking whose last outcome is not ``ran``, for up to 15 s."""
        for number, (key, replies) in enumerate(self.bookings.items()):
            deadline = time.monotonic() + 15
            while replies[-1].outcome != "ran" and time.monotonic() < deadline:
                replies.append(self.cluster.book(self.vm(number), key))
                time.sleep(0.2)


def run_traffic(traffic: Traffic, victim: str) -> None:
    """Send requests of every kind for `TRAFFIC_S` and kill an entry VM meanwhile."""
    senders = [traffic.lookup, traffic.completion, traffic.job, traffic.booking]
    started = time.monotonic()
    killed = False
    number = 0
    with ThreadPoolExecutor(48) as pool:
        while time.monotonic() - started < TRAFFIC_S:
            pool.submit(senders[number % len(senders)], number)
            number += 1
            time.sleep(0.02)
            if not killed and time.monotonic() - started > KILL_AFTER_S:
                killed = True
                click.echo(f"killing entry VM {victim}")
                traffic.kill(victim)


def wait_for_jobs(traffic: Traffic, limit_s: float = 25.0) -> list[str]:
    """Return the ids of the jobs that do not finish within the limit."""
    deadline = time.monotonic() + limit_s
    unfinished = dict(traffic.jobs)
    while unfinished and time.monotonic() < deadline:
        for job_id in list(unfinished):
            reply = traffic.cluster.send(traffic.vm(0), "GET", f"/v1/jobs/{job_id}")
            if reply.status == 200 and reply.json()["status"] == "done":
                if f'"model": "{unfinished[job_id]}"' not in reply.json()["result"]:
                    traffic.wrong_responses.append(f"job {job_id} ran on another model")
                del unfinished[job_id]
        time.sleep(0.2)
    return list(unfinished)


def check_bookings(traffic: Traffic) -> list[str]:
    """Return the mismatches between reported outcomes and recorded effects."""
    prefix = f"{traffic.cluster.deployment.service}:"
    effects = Counter(
        effect["key"].removeprefix(prefix) for effect in traffic.cluster.effects()
    )
    mismatches = [f"{key} took effect {n} times" for key, n in effects.items() if n > 1]
    for key, replies in traffic.bookings.items():
        last = replies[-1].outcome
        if last == "not_run" and effects[key]:
            mismatches.append(f"{key} was reported as not run, but took effect")
        if any(reply.outcome == "ran" for reply in replies) and not effects[key]:
            mismatches.append(f"{key} was reported as run, but took no effect")
        if last != "ran":
            mismatches.append(f"{key} did not reach the outcome ran: {replies[-1]}")
    return mismatches


@click.command()
@click.argument("name", type=click.Choice(sorted(DEPLOYMENTS)), default="papillon")
@click.option("--run-dir", type=click.Path(path_type=Path), default=Path(".run/demo"))
def main(name: str, run_dir: Path) -> None:
    """Run the demo of one deployment."""
    started = time.monotonic()
    cluster = Cluster(DEPLOYMENTS[name], run_dir / f"{name}-{time.time_ns()}", net=42)
    with cluster:
        click.echo(f"{name}: {len(cluster.processes)} processes are ready")
        cluster.configure(ADAPTERS)
        cluster.wait_owned()
        traffic = Traffic(cluster)
        run_traffic(traffic, cluster.entry_vms()[1])
        traffic.repeat_unknown()
        unfinished = wait_for_jobs(traffic)
        broken = check_bookings(traffic) + cluster.violations()
        broken += cluster.broken_invariants() + traffic.wrong_responses
        broken += [f"job {job_id} was not finished" for job_id in unfinished]
    click.echo(f"\n{'kind':24}{'outcomes':46}{'p50':>10}{'p99':>10}")
    for kind, shown, p50, p99 in traffic.stats.rows():
        click.echo(f"{kind:24}{shown:46}{p50:>10}{p99:>10}")
    click.echo(
        f"\njobs accepted {len(traffic.jobs)}, finished in time: {not unfinished}"
    )
    click.echo(f"took {time.monotonic() - started:.0f} s")
    for line in broken:
        click.echo(f"BROKEN: {line}")
    click.echo("invariants: " + ("BROKEN" if broken else "all held"))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
