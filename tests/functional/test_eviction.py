"""An adapter that a request is using is never evicted."""

from __future__ import annotations

import signal
import threading
import time
from pathlib import Path
from typing import Any

import pytest
from gooseberry_fakes.cluster import Cluster

from tests.lib.clusters import run_cluster
from tests.lib.traffic import Completions, wait_until

ONE_RUNNER: dict[str, Any] = {
    "domains": ("dakar",),
    "engines": (1,),
    "services": (1,),
    "slots": 2,
}
MODELS = [f"a{number}@1" for number in range(6)]
RUNNER = "dakar-engine-1"
FAST = {"lease": {"grant_s": 6.0}}


def test_many_adapters_on_few_slots(tmp_path: Path) -> None:
    with run_cluster(tmp_path, FAST, **ONE_RUNNER) as cluster:
        with Completions(cluster, cluster.entry_vms(), MODELS, workers=8) as traffic:
            time.sleep(6)
        assert traffic.wrong_responses == []
        assert traffic.failures == []
        assert cluster.debug(RUNNER)["counts"]["evictions"] > 5


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_owner_killed(tmp_path: Path, checks_fencing: bool) -> None:
    shape = {**ONE_RUNNER, "checks_fencing": checks_fencing}
    with run_cluster(tmp_path, FAST, **shape) as cluster:
        owner = cluster.owner(RUNNER)
        others = [vm for vm in cluster.entry_vms() if vm != owner]
        with Completions(cluster, others, MODELS, workers=6) as traffic:
            time.sleep(2)
            cluster.kill(owner)
            wait_until(lambda: cluster.owner(RUNNER) in others, 15, "new owner")
            time.sleep(9)
            before = traffic.counts["whole"]
            time.sleep(3)
            assert traffic.counts["whole"] > before
        assert traffic.wrong_responses == []
        assert traffic.failures == []


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_owner_paused_past_its_lease(tmp_path: Path, checks_fencing: bool) -> None:
    shape = {**ONE_RUNNER, "checks_fencing": checks_fencing}
    with run_cluster(tmp_path, FAST, **shape) as cluster:
        owner = cluster.owner(RUNNER)
        others = [vm for vm in cluster.entry_vms() if vm != owner]
        with Completions(cluster, others, MODELS, workers=6) as traffic:
            for _ in range(2):
                time.sleep(2)
                holder = cluster.owner(RUNNER) or owner
                if holder not in others:
                    cluster.signal(holder, signal.SIGSTOP)
                    wait_until(
                        lambda: (
                            cluster.rows("show leases", others[0])
                            and cluster.rows("show leases", others[0])[0]["owner"]
                            in others
                        ),
                        15,
                        "new owner",
                    )
                    time.sleep(3)
                    cluster.signal(holder, signal.SIGCONT)
            time.sleep(4)
        assert traffic.wrong_responses == []
        assert traffic.failures == []


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_owner_cut_off(tmp_path: Path, checks_fencing: bool) -> None:
    """A partitioned owner reaches only the engine, and has requests for it."""
    shape = {**ONE_RUNNER, "checks_fencing": checks_fencing}
    with run_cluster(tmp_path, FAST, relayed=True, **shape) as cluster:
        owner = cluster.owner(RUNNER)
        others = [vm for vm in cluster.entry_vms() if vm != owner]
        with (
            Completions(cluster, others, MODELS[:4], workers=4) as traffic,
            Completions(cluster, [owner], MODELS[4:], workers=2) as owner_traffic,
        ):
            time.sleep(2)
            cluster.partition_network([[owner], others], platform=[owner])
            probe = f"show leases where runner = {RUNNER} and left_s > 0"
            wait_until(lambda: cluster.rows(probe, others[0]), 15, "new owner")
            time.sleep(8)
            cluster.heal()
            time.sleep(3)
        assert traffic.wrong_responses + owner_traffic.wrong_responses == []
        assert traffic.failures == []


def pause_with_a_long_stream(cluster: Cluster, vm: str) -> None:
    """Pause an entry VM while one of its requests runs on the engine."""
    thread = threading.Thread(
        target=lambda: cluster.complete(
            vm, MODELS[0], "long", stream=True, max_tokens=1500, timeout_s=60
        ),
        daemon=True,
    )
    thread.start()
    wait_until(lambda: cluster.debug(RUNNER)["running"] == 1, 10, "stream runs")
    cluster.signal(vm, signal.SIGSTOP)


def test_silent_user_of_a_living_owner(tmp_path: Path) -> None:
    """The adapter of a paused VM's request stays pinned until the engine ends it."""
    with run_cluster(tmp_path, FAST, **ONE_RUNNER) as cluster:
        owner = cluster.owner(RUNNER)
        user, other = [vm for vm in cluster.entry_vms() if vm != owner]
        pause_with_a_long_stream(cluster, user)
        with Completions(cluster, [owner, other], MODELS[1:], workers=4) as traffic:
            time.sleep(11)
        assert traffic.wrong_responses == []
        assert traffic.failures == []
        assert cluster.violations() == []


def test_silent_user_of_a_dead_owner(tmp_path: Path) -> None:
    """A new owner without a report from a paused VM evicts nothing that is in use."""
    shape = {**ONE_RUNNER, "entry_vms": 5}
    with run_cluster(tmp_path, FAST, **shape) as cluster:
        owner = cluster.owner(RUNNER)
        user, *others = [vm for vm in cluster.entry_vms() if vm != owner]
        pause_with_a_long_stream(cluster, user)
        cluster.kill(owner)
        probe = f"show leases where runner = {RUNNER} and left_s > 0"
        wait_until(lambda: cluster.rows(probe, others[0]), 15, "new owner")
        assert cluster.debug(RUNNER)["running"] == 1
        with Completions(cluster, others, MODELS[1:], workers=4) as traffic:
            time.sleep(10)
        assert traffic.wrong_responses == []
        assert cluster.violations() == []
