"""Cost of an entry VM as a deployment grows, fitted by a line for each dimension."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

from gooseberry_fakes.cluster import Cluster
from gooseberry_fakes.topology import ENTRY_PORT, PAPILLON, Deployment

from .load import make_request, read_cpu_s, read_memory_mb, run_load
from .peer_traffic import read_peer_traffic

SETTLE_S = 4.0
OBSERVE_S = 8.0
TOKEN_S = 0.059
_JSON = {"Content-Type": "application/json"}


@dataclass(frozen=True, slots=True)
class Point:
    """Mean cost of an entry VM at one size.

    ``cpu_share`` is the share of a core, ``peer_bytes_s`` the peer traffic in bytes/s;
    ``appends_s`` counts the log appends/s of the whole deployment.
    """

    size: float
    cpu_share: float
    memory_mb: float
    peer_bytes_s: float
    appends_s: float


@dataclass(frozen=True, slots=True)
class Fit:
    """Fitted line; ``error`` is the largest absolute residual."""

    slope: float
    base: float
    error: float


def fit_line(points: list[tuple[float, float]]) -> Fit:
    """Return the least-squares line through (x, y) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    error = max(abs(y - base - slope * x) for x, y in points)
    return Fit(slope, base, error)


def measure_point(cluster: Cluster, vms: list[str], size: float) -> Point:
    """Return the mean cost of the given entry VMs over ``OBSERVE_S`` seconds."""
    time.sleep(SETTLE_S)
    pids = [cluster.processes[vm].pid for vm in vms]
    cpu_before_s = sum(read_cpu_s(pid) for pid in pids)
    bytes_before = sum(read_peer_traffic(cluster, vm).bytes for vm in vms)
    appends_before = cluster.debug("log")["appends"]
    started = time.monotonic()
    time.sleep(OBSERVE_S)
    seconds = time.monotonic() - started
    vm_count = len(vms)
    return Point(
        size,
        (sum(read_cpu_s(pid) for pid in pids) - cpu_before_s) / seconds / vm_count,
        sum(read_memory_mb(pid) for pid in pids) / vm_count,
        (sum(read_peer_traffic(cluster, vm).bytes for vm in vms) - bytes_before)
        / seconds
        / vm_count,
        (cluster.debug("log")["appends"] - appends_before) / seconds,
    )


@contextmanager
def _run_cluster(shape: Deployment, adapters: int = 10) -> Iterator[Cluster]:
    run_dir = Path(".run/slopes")
    overrides: dict[str, dict[str, Any]] = {"http": {"log_requests": False}}
    with Cluster(shape, run_dir, net=44, overrides=overrides) as cluster:
        cluster.configure(adapters)
        if cluster.engines():
            cluster.wait_owned()
        yield cluster


_ONE_DOMAIN = replace(
    PAPILLON,
    domains=("dakar",),
    engines=(1,),
    services=(1,),
    token_s=0.0,
    batch=256,
    appends_per_s=1000.0,
)


def _measure_peers() -> list[Point]:
    points = []
    for per_domain in (2, 6, 12, 20):
        shape = replace(
            PAPILLON, entry_vms=per_domain, engines=(0, 0, 0), services=(1, 0, 0)
        )
        with _run_cluster(shape) as cluster:
            vms = cluster.entry_vms()
            points.append(measure_point(cluster, vms, len(vms)))
    return points


def _measure_runners() -> list[Point]:
    points = []
    for engines in (1, 14, 27):
        shape = replace(
            _ONE_DOMAIN, entry_vms=1, engines=(engines,), shared_engine_process=True
        )
        with _run_cluster(shape) as cluster:
            points.append(measure_point(cluster, cluster.entry_vms(), engines))
    return points


def _measure_adapters() -> list[Point]:
    points = []
    for adapters in (1000, 50_000, 190_000):
        with _run_cluster(_ONE_DOMAIN, adapters) as cluster:
            points.append(measure_point(cluster, cluster.entry_vms(), adapters))
    return points


@contextmanager
def _repeat_in_thread(work: Callable[[], None]) -> Iterator[None]:
    """Call ``work`` in a loop in a thread while the context is open."""
    stop = threading.Event()

    def loop() -> None:
        while not stop.is_set():
            work()

    thread = threading.Thread(target=loop, daemon=True)
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join(timeout=30)


def _measure_changes() -> list[Point]:
    points = []
    with _run_cluster(_ONE_DOMAIN) as cluster:
        for rate in (0, 2, 5, 10):

            def change(rate: int = rate) -> None:
                started = time.monotonic()
                if rate:
                    cluster.apply(
                        [{"op": "put", "table": "adapters", "key": "c@1", "value": {}}]
                    )
                pause_s = 1.0 / rate if rate else 1.0
                time.sleep(max(0.0, pause_s - (time.monotonic() - started)))

            with _repeat_in_thread(change):
                points.append(measure_point(cluster, cluster.entry_vms()[1:], rate))
    return points


def _measure_requests() -> list[Point]:
    points = []
    with _run_cluster(_ONE_DOMAIN) as cluster:
        vm = cluster.entry_vms()[0]
        address = (cluster.vms[vm]["address"], ENTRY_PORT)
        body = {"model": "a1@1", "prompt": "x", "max_tokens": 1}
        request = make_request("/v1/completions", body, _JSON)
        for rate in (0, 20, 40, 80):

            def send_requests(rate: int = rate) -> None:
                started = time.monotonic()
                if rate:
                    run_load(address, request, 1, max(1, rate // 10))
                time.sleep(max(0.0, 0.1 - (time.monotonic() - started)))

            with _repeat_in_thread(send_requests):
                points.append(measure_point(cluster, [vm], rate))
    return points


def _measure_tokens() -> list[Point]:
    points = []
    with _run_cluster(replace(_ONE_DOMAIN, token_s=TOKEN_S)) as cluster:
        vm = cluster.entry_vms()[0]
        address = (cluster.vms[vm]["address"], ENTRY_PORT)
        body = {"model": "a1@1", "prompt": "x", "stream": True, "max_tokens": 100}
        request = make_request("/v1/completions", body, _JSON)
        for streams in (10, 40, 80):

            def read_streams(streams: int = streams) -> None:
                run_load(address, request, streams, 1)

            with _repeat_in_thread(read_streams):
                points.append(measure_point(cluster, [vm], streams / TOKEN_S))
    return points


SERIES: dict[str, Callable[[], list[Point]]] = {
    "entry VMs (idle)": _measure_peers,
    "runners owned": _measure_runners,
    "adapters configured": _measure_adapters,
    "configuration changes a second": _measure_changes,
    "requests a second": _measure_requests,
    "tokens a second, paced": _measure_tokens,
}


def measure_slopes(only: str, as_json: bool) -> None:
    """Print the points and fitted lines of the series with ``only`` in the name."""
    measured: dict[str, Any] = {}
    for name, run in SERIES.items():
        if only not in name:
            continue
        points = run()
        fits = {
            field: asdict(fit_line([(p.size, getattr(p, field)) for p in points]))
            for field in ("cpu_share", "memory_mb", "peer_bytes_s")
        }
        measured[name] = {"points": [asdict(point) for point in points], "fits": fits}
        if not as_json:
            _print_series(name, points, fits)
    if as_json:
        print(json.dumps(measured, indent=2))


def _print_series(
    name: str, points: list[Point], fits: dict[str, dict[str, float]]
) -> None:
    print(f"\n{name:>32}{'CPU %':>9}{'MB':>8}{'peer B/s':>10}{'appends/s':>11}")
    for point in points:
        print(
            f"{point.size:32.0f}{point.cpu_share * 100:9.2f}{point.memory_mb:8.1f}"
            f"{point.peer_bytes_s:10.0f}{point.appends_s:11.2f}"
        )
    for field, fit in fits.items():
        print(
            f"  {field}: {fit['base']:.5g} + {fit['slope']:.4g} a unit, "
            f"largest residual {fit['error']:.3g}",
            flush=True,
        )
