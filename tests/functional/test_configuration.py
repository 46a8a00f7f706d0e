"""An accepted change is in force on all VMs within seconds, and stays in force."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from gooseberry_fakes.cluster import Cluster

from tests.lib.clusters import run_cluster
from tests.lib.traffic import wait_until

LIMIT_S = 7.0
ONE_DOMAIN: dict[str, Any] = {"domains": ("dakar",), "engines": (1,), "services": (1,)}


def put(key: str, **value: Any) -> list[dict[str, Any]]:
    return [{"op": "put", "table": "adapters", "key": key, "value": value}]


def has_adapter(cluster: Cluster, vm: str, key: str) -> bool:
    return bool(cluster.rows(f"show adapters where key = {key}", vm))


def in_force(cluster: Cluster, key: str, vms: list[str] | None = None) -> bool:
    return all(has_adapter(cluster, vm, key) for vm in vms or cluster.entry_vms())


def test_racing_operators_agree_on_one_winner(tmp_path: Path) -> None:
    with run_cluster(tmp_path) as cluster:
        vms = cluster.entry_vms()
        revision = cluster.operate("show config").json()["revision"]

        def change(vm: str) -> int:
            ops = put("contested@1", winner=vm)
            return cluster.apply(ops, vm, expected=revision).status

        with ThreadPoolExecutor(len(vms)) as pool:
            statuses = list(pool.map(change, vms))
        assert sorted(statuses) == [200] + [409] * (len(vms) - 1)
        winner = vms[statuses.index(200)]
        for vm in vms:
            rows = cluster.rows("show adapters where key = contested@1", vm)
            assert [row["winner"] for row in rows] == [winner]


def test_accepted_is_confirmed_by_every_vm(tmp_path: Path) -> None:
    with run_cluster(tmp_path) as cluster:
        reply = cluster.apply(put("fresh@1"))
        assert reply.status == 200
        assert reply.json()["missing"] == []
        assert len(reply.json()["rows"]) == len(cluster.entry_vms())
        assert in_force(cluster, "fresh@1")


def test_log_outage_and_a_vm_started_during_it(tmp_path: Path) -> None:
    with run_cluster(tmp_path) as cluster:
        assert cluster.apply(put("before@1")).status == 200
        cluster.control("log", down=True)
        refused = cluster.apply(put("during@1"))
        assert refused.status in (503, 504)
        cluster.kill("dakar-2")
        cluster.start_entry_vm("dakar-2")
        cluster.wait_ready("dakar-2")
        assert has_adapter(cluster, "dakar-2", "before@1")
        cluster.control("log", down=False)
        assert cluster.apply(put("after@1")).status == 200
        wait_until(lambda: in_force(cluster, "after@1"), LIMIT_S, "change in force")
        assert in_force(cluster, "before@1")


def test_vm_cut_off_learns_from_peers_then_from_the_log(tmp_path: Path) -> None:
    with run_cluster(tmp_path, relayed=True) as cluster:
        cluster.partition_network([], platform=["thies-1"])
        assert cluster.apply(put("by-peer@1"), "dakar-1").status == 200
        wait_until(
            lambda: has_adapter(cluster, "thies-1", "by-peer@1"), LIMIT_S, "by peers"
        )
        isolated = ["thies-1"]
        rest = [vm for vm in cluster.vms if vm not in isolated]
        cluster.partition_network([isolated, rest], platform=isolated)
        assert cluster.apply(put("alone@1"), "dakar-1").status == 200
        time.sleep(1)
        assert not has_adapter(cluster, "thies-1", "alone@1")
        rows = cluster.rows(
            "show stale where vm = thies-1 and stream = config", "thies-1"
        )
        assert rows[0]["age_s"] > 0.5
        cluster.heal()
        wait_until(
            lambda: has_adapter(cluster, "thies-1", "alone@1"), LIMIT_S, "after healing"
        )
        assert in_force(cluster, "by-peer@1")


def test_all_vms_replaced_and_retention_passing(tmp_path: Path) -> None:
    with run_cluster(tmp_path, retention_s=9.0, **ONE_DOMAIN) as cluster:
        assert cluster.apply(put("kept@1")).status == 200
        revisions = [cluster.operate("show config").json()["revision"]]
        for vm in cluster.entry_vms() * 2:
            time.sleep(3.5)
            cluster.kill(vm)
            cluster.start_entry_vm(vm)
            cluster.wait_ready(vm)
            assert has_adapter(cluster, vm, "kept@1")
            reply = cluster.operate("show config", vm)
            revisions.append(reply.json()["revision"])
        assert revisions == sorted(revisions)
        for vm in cluster.entry_vms():
            cluster.kill(vm)
        for vm in cluster.entry_vms():
            cluster.start_entry_vm(vm)
        for vm in cluster.entry_vms():
            cluster.wait_ready(vm)
        assert cluster.debug("log")["ends"]["config"] > 1
        assert in_force(cluster, "kept@1")
