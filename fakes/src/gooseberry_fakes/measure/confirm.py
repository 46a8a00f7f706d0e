"""A short Monday through real processes, under the policy and its plain rival."""

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

from .workload import ZIPF

NET = 47
ADAPTERS = 150
JOBS = 500
JOB_TOKENS = 100
QUICK_TOKENS = 8
TOKEN_S = 0.02
QUICK_CALLERS = 4
QUICK_PAUSE_S = 1.0
"""Mean pause of a caller between two quick requests."""
LIMIT_S = 240.0
POLICIES = ("weighted", "fifo-lru")


@dataclass(slots=True)
class _Score:
    seconds: float = 0.0
    stall_s: float = 0.0
    quick: list[float] = field(default_factory=list)
    failures: int = 0

    def quick_p99_s(self) -> float:
        ordered = sorted(self.quick) or [0.0]
        return ordered[int(len(ordered) * 0.99)]


def measure_confirm(seed: int) -> None:
    """Print the load stalls and the quick answers under both policies."""
    for shape in (PAPILLON, GUILD):
        for policy in POLICIES:
            deployment = replace(shape, token_s=TOKEN_S)
            overrides: dict[str, dict[str, Any]] = {
                "policy": {"name": policy},
                "http": {"log_requests": False},
            }
            run_dir = Path(".run/confirm")
            with Cluster(deployment, run_dir, NET, overrides) as cluster:
                cluster.configure(ADAPTERS)
                cluster.wait_owned()
                score = _run_monday(cluster, random.Random(seed))
            print(
                f"{shape.name:9} {policy:9} jobs done after {score.seconds:6.1f} s, "
                f"load stall {score.stall_s:8.0f} s, quick p99 "
                f"{score.quick_p99_s():6.2f} s of {len(score.quick)}, "
                f"failures {score.failures}",
                flush=True,
            )


def _run_monday(cluster: Cluster, rng: random.Random) -> _Score:
    weights = [1 / rank**ZIPF for rank in range(1, ADAPTERS + 1)]
    models = [f"a{number}@1" for number in range(ADAPTERS)]
    vms = cluster.entry_vms()
    score = _Score()
    stop = threading.Event()
    seeds = [rng.random() for _ in range(QUICK_CALLERS)]
    callers = [
        threading.Thread(
            target=_call_quick,
            args=(cluster, random.Random(one), models, weights, score, stop),
        )
        for one in seeds
    ]
    wanted = rng.choices(models, weights, k=JOBS)
    started = time.monotonic()
    with ThreadPoolExecutor(QUICK_CALLERS) as pool:
        for number, model in enumerate(wanted):
            pool.submit(_submit_job, cluster, vms[number % len(vms)], model, number)
    for caller in callers:
        caller.start()
    while _count_done(cluster) < JOBS and time.monotonic() - started < LIMIT_S:
        time.sleep(1.0)
    score.seconds = time.monotonic() - started
    stop.set()
    for caller in callers:
        caller.join()
    score.stall_s = sum(_read_stall_s(cluster, vm) for vm in vms)
    return score


def _submit_job(cluster: Cluster, vm: str, model: str, number: int) -> None:
    cluster.complete(vm, model, f"job {number}", background=True, max_tokens=JOB_TOKENS)


def _count_done(cluster: Cluster) -> int:
    return len(cluster.rows("show jobs where state = done"))


def _call_quick(
    cluster: Cluster,
    rng: random.Random,
    models: list[str],
    weights: list[float],
    score: _Score,
    stop: threading.Event,
) -> None:
    vms = cluster.entry_vms()
    while not stop.is_set():
        time.sleep(rng.expovariate(1 / QUICK_PAUSE_S))
        model = rng.choices(models, weights)[0]
        started = time.monotonic()
        reply = cluster.complete(
            rng.choice(vms), model, "look up", max_tokens=QUICK_TOKENS
        )
        score.quick.append(time.monotonic() - started)
        score.failures += reply.status != 200


def _read_stall_s(cluster: Cluster, vm: str) -> float:
    text = send(cluster.vms[vm]["address"], ENTRY_PORT, "GET", "/metrics").body.decode()
    name = "gooseberryrun_load_stall_seconds_sum"
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if line.startswith(name)
    )
