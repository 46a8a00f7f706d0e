"""A short Monday morning through real processes, under weighted and FIFO policies."""

from __future__ import annotations

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from gooseberry_fakes.cluster import Cluster, send
from gooseberry_fakes.topology import ENTRY_PORT, GUILD, PAPILLON

from .workload import ZIPF_EXPONENT

NET = 47
ADAPTERS = 150
JOBS = 500
TOKENS_PER_JOB = 100
TOKENS_PER_INTERACTIVE_REQUEST = 8
TOKEN_S = 0.02
INTERACTIVE_CALLERS = 4
MEAN_CALLER_PAUSE_S = 1.0
"""Mean pause of a caller between two interactive requests."""
TIME_LIMIT_S = 240.0
POLICIES = ("weighted", "fifo-lru")


@dataclass(slots=True)
class _RunResult:
    duration_s: float = 0.0
    load_stall_s: float = 0.0
    latencies_s: list[float] = field(default_factory=list)
    failures: int = 0

    def interactive_p99_s(self) -> float:
        ordered = sorted(self.latencies_s) or [0.0]
        return ordered[int(len(ordered) * 0.99)]


def measure_short_run(seed: int) -> None:
    """Print load stalls and interactive latencies under both policies."""
    for base in (PAPILLON, GUILD):
        for policy in POLICIES:
            deployment = replace(base, token_s=TOKEN_S)
            overrides: dict[str, dict[str, Any]] = {
                "policy": {"name": policy},
                "http": {"log_requests": False},
            }
            run_dir = Path(".run/confirm")
            with Cluster(deployment, run_dir, NET, overrides) as cluster:
                cluster.configure(ADAPTERS)
                cluster.wait_owned()
                result = _run_workload(cluster, random.Random(seed))
            print(
                f"{base.name:9} {policy:9} jobs done after {result.duration_s:6.1f} s, "
                f"load stall {result.load_stall_s:8.0f} s, quick p99 "
                f"{result.interactive_p99_s():6.2f} s of {len(result.latencies_s)}, "
                f"failures {result.failures}",
                flush=True,
            )


def _run_workload(cluster: Cluster, rng: random.Random) -> _RunResult:
    """Submit all jobs at once, call interactively until they are done, and measure."""
    weights = [1 / rank**ZIPF_EXPONENT for rank in range(1, ADAPTERS + 1)]
    models = [f"a{number}@1" for number in range(ADAPTERS)]
    vms = cluster.entry_vms()
    result = _RunResult()
    stop = threading.Event()
    seeds = [rng.random() for _ in range(INTERACTIVE_CALLERS)]
    callers = [
        threading.Thread(
            target=_call_interactively,
            args=(cluster, random.Random(seed), models, weights, result, stop),
        )
        for seed in seeds
    ]
    job_models = rng.choices(models, weights, k=JOBS)
    started = time.monotonic()
    with ThreadPoolExecutor(INTERACTIVE_CALLERS) as pool:
        for number, model in enumerate(job_models):
            pool.submit(_submit_job, cluster, vms[number % len(vms)], model, number)
    for caller in callers:
        caller.start()
    while _count_done(cluster) < JOBS and time.monotonic() - started < TIME_LIMIT_S:
        time.sleep(1.0)
    result.duration_s = time.monotonic() - started
    stop.set()
    for caller in callers:
        caller.join()
    result.load_stall_s = sum(_read_stall_s(cluster, vm) for vm in vms)
    return result


def _submit_job(cluster: Cluster, vm: str, model: str, number: int) -> None:
    cluster.complete(
        vm, model, f"job {number}", background=True, max_tokens=TOKENS_PER_JOB
    )


def _count_done(cluster: Cluster) -> int:
    return len(cluster.rows("show jobs where state = done"))


def _call_interactively(
    cluster: Cluster,
    rng: random.Random,
    models: list[str],
    weights: list[float],
    result: _RunResult,
    stop: threading.Event,
) -> None:
    vms = cluster.entry_vms()
    while not stop.is_set():
        time.sleep(rng.expovariate(1 / MEAN_CALLER_PAUSE_S))
        model = rng.choices(models, weights)[0]
        started = time.monotonic()
        reply = cluster.complete(
            rng.choice(vms), model, "look up", max_tokens=TOKENS_PER_INTERACTIVE_REQUEST
        )
        result.latencies_s.append(time.monotonic() - started)
        result.failures += reply.status != 200


def _read_stall_s(cluster: Cluster, vm: str) -> float:
    text = send(cluster.vms[vm]["address"], ENTRY_PORT, "GET", "/metrics").body.decode()
    name = "gooseberryrun_load_stall_seconds_sum"
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if line.startswith(name)
    )
