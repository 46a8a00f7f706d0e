"""Cost of one entry VM against calling the stand-in engine directly."""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path

from gooseberry_fakes.cluster import Cluster
from gooseberry_fakes.topology import ENTRY_PORT, PAPILLON, SERVER_PORT

from .load import LoadResult, make_request, read_cpu_s, run_load

MODEL = "a1@1"
_JSON = {"Content-Type": "application/json"}


@dataclass(frozen=True, slots=True)
class _Way:
    name: str
    address: tuple[str, int]
    process: str | None


def _one_domain() -> Cluster:
    shape = replace(
        PAPILLON,
        domains=("dakar",),
        engines=(1,),
        services=(1,),
        entry_vms=2,
        token_s=0.0,
        batch=64,
    )
    overrides = {"http": {"log_requests": False}}
    return Cluster(shape, Path(".run/overhead"), net=43, overrides=overrides)


def _ways(cluster: Cluster) -> list[_Way]:
    """Return the direct way, the owner's way and the way by another entry VM."""
    engine = cluster.vms["dakar-engine-1"]["address"]
    owner = cluster.rows("show leases")[0]["owner"]
    other = next(vm for vm in cluster.entry_vms() if vm != owner)
    return [
        _Way("engine directly", (engine, SERVER_PORT), None),
        _Way("entry VM that owns", (cluster.vms[owner]["address"], ENTRY_PORT), owner),
        _Way(
            "entry VM, other owner", (cluster.vms[other]["address"], ENTRY_PORT), other
        ),
    ]


def _cpu(cluster: Cluster) -> dict[str, float]:
    return {vm: read_cpu_s(cluster.processes[vm].pid) for vm in cluster.entry_vms()}


def _print_way(way: _Way, idle: LoadResult, busy: LoadResult, cpu_s: float) -> None:
    per_request_ms = cpu_s / busy.requests * 1000
    print(
        f"{way.name:24}{busy.rate:10.0f}{per_request_ms:14.2f}"
        f"{idle.quantile(0.5) * 1000:10.2f}{idle.quantile(0.99) * 1000:10.2f}"
        f"{idle.failures + busy.failures:10d}"
    )


def measure_overhead(count: int) -> None:
    """Print rate, processor time and latency of each way, in one run."""
    with _one_domain() as cluster:
        cluster.configure(10)
        cluster.wait_owned()
        cluster.complete("dakar-1", MODEL, "warm-up")
        print(
            f"{'whole answers, 1 token':24}{'req/s':>10}{'CPU ms/req':>14}"
            f"{'p50 ms':>10}{'p99 ms':>10}{'failed':>10}"
        )
        for tokens, stream in ((1, False), (64, True)):
            if stream:
                print(f"streams of {tokens} tokens, unpaced")
            for way in _ways(cluster):
                body = {"prompt": "x", "max_tokens": tokens, "stream": stream}
                body |= {"model": MODEL, "request_id": "direct"}
                request = make_request("/v1/completions", body, _JSON)
                idle = run_load(way.address, request, 1, count // 2)
                before = _cpu(cluster)
                busy = run_load(way.address, request, 8, count // 8)
                after = _cpu(cluster)
                cpu_s = sum(after.values()) - sum(before.values())
                _print_way(way, idle, busy, cpu_s)
