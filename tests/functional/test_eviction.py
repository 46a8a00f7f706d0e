"""An adapter that a request is using is never evicted."""

from __future__ import annotations

import signal
import time
from pathlib import Path
from typing import Any

import pytest

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
        assert traffic.wrong == []
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
        assert traffic.wrong == []
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
        assert traffic.wrong == []
        assert traffic.failures == []


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_owner_cut_off(tmp_path: Path, checks_fencing: bool) -> None:
    shape = {**ONE_RUNNER, "checks_fencing": checks_fencing}
    with run_cluster(tmp_path, FAST, relayed=True, **shape) as cluster:
        owner = cluster.owner(RUNNER)
        others = [vm for vm in cluster.entry_vms() if vm != owner]
        with Completions(cluster, others, MODELS, workers=6) as traffic:
            time.sleep(2)
            cluster.cut([[owner], others])
            wait_until(
                lambda: any(
                    row["owner"] in others and row["left_s"] > 0
                    for row in cluster.rows("show leases", others[0])
                ),
                15,
                "new owner",
            )
            time.sleep(8)
            cluster.heal()
            time.sleep(3)
        assert traffic.wrong == []
        assert traffic.failures == []
