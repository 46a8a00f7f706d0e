"""Cost of a request through an entry VM, compared with calling the engine directly."""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path

from gooseberry_fakes.cluster import Cluster
from gooseberry_fakes.topology import ENTRY_PORT, PAPILLON, SERVER_PORT

from .load import LoadResult, make_request, read_cpu_s, run_load

MODEL = "a1@1"
_JSON = {"Content-Type": "application/json"}


@dataclass(frozen=True, slots=True)
class _RequestPath:
    name: str
    address: tuple[str, int]
    process: str | None


def _make_cluster() -> Cluster:
    deployment = replace(
        PAPILLON,
        domains=("dakar",),
        engines=(1,),
        services=(1,),
        entry_vms=2,
        token_s=0.0,
        batch=64,
    )
    overrides = {"http": {"log_requests": False}}
    return Cluster(deployment, Path(".run/overhead"), net=43, overrides=overrides)


def _request_paths(cluster: Cluster) -> list[_RequestPath]:
    """Return the paths directly to the engine, by its owner and by another VM."""
    engine = cluster.vms["dakar-engine-1"]["address"]
    owner = cluster.rows("show leases")[0]["owner"]
    other = next(vm for vm in cluster.entry_vms() if vm != owner)
    return [
        _RequestPath("engine directly", (engine, SERVER_PORT), None),
        _RequestPath(
            "entry VM that owns", (cluster.vms[owner]["address"], ENTRY_PORT), owner
        ),
        _RequestPath(
            "entry VM, other owner", (cluster.vms[other]["address"], ENTRY_PORT), other
        ),
    ]


def _read_cpu_by_vm(cluster: Cluster) -> dict[str, float]:
    return {vm: read_cpu_s(cluster.processes[vm].pid) for vm in cluster.entry_vms()}


def _print_request_path(
    request_path: _RequestPath, light: LoadResult, loaded: LoadResult, cpu_s: float
) -> None:
    per_request_ms = cpu_s / loaded.requests * 1000
    print(
        f"{request_path.name:24}{loaded.rate:10.0f}{per_request_ms:14.2f}"
        f"{light.quantile(0.5) * 1000:10.2f}{light.quantile(0.99) * 1000:10.2f}"
        f"{light.failures + loaded.failures:10d}"
    )


def measure_overhead(count: int) -> None:
    """Print rate, processor time per request and latency of each request path."""
    with _make_cluster() as cluster:
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
            for request_path in _request_paths(cluster):
                body = {"prompt": "x", "max_tokens": tokens, "stream": stream}
                body |= {"model": MODEL, "request_id": "direct"}
                request = make_request("/v1/completions", body, _JSON)
                light = run_load(request_path.address, request, 1, count // 2)
                before = _read_cpu_by_vm(cluster)
                loaded = run_load(request_path.address, request, 8, count // 8)
                after = _read_cpu_by_vm(cluster)
                cpu_s = sum(after.values()) - sum(before.values())
                _print_request_path(request_path, light, loaded, cpu_s)
