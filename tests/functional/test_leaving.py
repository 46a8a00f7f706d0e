"""Leaving backend servers, and planned stops that truncate no request."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import pytest
from gooseberry_fakes.cluster import Cluster

from tests.lib.clusters import run_cluster
from tests.lib.traffic import Completions, wait_until

MODELS = [f"a{number}@1" for number in range(8)]
LIMIT_S = 4.0
"""A leaving backend server gets no new work after "a few seconds"."""


def requests_at(cluster: Cluster, engine: str) -> int:
    return int(cluster.debug(engine)["counts"].get("requests", 0))


def check_no_new_work(cluster: Cluster, engine: str) -> None:
    time.sleep(LIMIT_S)
    before = requests_at(cluster, engine)
    time.sleep(3)
    assert requests_at(cluster, engine) == before


@pytest.mark.parametrize("source", ["list", "engine", "operator"])
def test_leaving_engine_gets_no_new_work(tmp_path: Path, source: str) -> None:
    with run_cluster(tmp_path, list_lag_s=1.0) as cluster:
        engine = "dakar-engine-1"
        with Completions(cluster, cluster.entry_vms(), MODELS) as traffic:
            time.sleep(3)
            assert requests_at(cluster, engine) > 0
            if source == "list":
                cluster.vms[engine]["state"] = "leaving"
                cluster.publish_list()
            elif source == "engine":
                cluster.control(engine, leaving=True)
            else:
                assert cluster.operate(f"drain {engine}").status == 200
            check_no_new_work(cluster, engine)
        assert traffic.wrong_responses == []
        assert traffic.failures == []


def test_leaving_engine_in_a_domain_without_platform(tmp_path: Path) -> None:
    """A domain without the VM list relies on the engine's own report."""
    with run_cluster(tmp_path, relayed=True) as cluster:
        inside = cluster.domain("dakar")
        outside = [vm for vm in cluster.vms if vm not in inside]
        vms = cluster.entry_vms("dakar")
        cluster.partition_network([inside, outside], platform=vms)
        with Completions(cluster, vms, MODELS) as traffic:
            time.sleep(6)
            cluster.control("dakar-engine-1", leaving=True)
            check_no_new_work(cluster, "dakar-engine-1")
        assert traffic.wrong_responses == []
        assert traffic.counts["whole"] > 0


def test_each_entry_vm_stopped_in_turn_under_load(tmp_path: Path) -> None:
    with run_cluster(tmp_path) as cluster:
        vms = cluster.entry_vms()
        for vm in vms:
            with Completions(cluster, vms, MODELS, workers=6) as traffic:
                time.sleep(1.0)
                rest = [other for other in vms if other != vm]
                traffic.vms = rest
                cluster.signal(vm, signal.SIGTERM)
                status = cluster.processes[vm].wait(timeout=30)
            assert status == 0, vm
            assert traffic.wrong_responses == []
            assert traffic.failures == [], vm
            cluster.start_entry_vm(vm)
            cluster.wait_ready(vm)
            cluster.wait_owned()


def test_stopping_vm_serves_until_the_balancer_has_noticed(tmp_path: Path) -> None:
    """It exited as soon as no request was open, and cut what had just arrived."""
    removal = {"stop": {"balancer_removal_s": 3.0}}
    with run_cluster(tmp_path, overrides=removal) as cluster:
        vm = cluster.entry_vms()[0]
        cluster.signal(vm, signal.SIGTERM)
        wait_until(
            lambda: cluster.send(vm, "GET", "/readyz").status == 503, 2, "not ready"
        )
        time.sleep(1.0)
        assert cluster.send(vm, "GET", "/readyz").status == 503
        reply = cluster.complete(vm, MODELS[0], "late", stream=True, max_tokens=5)
        assert reply.status == 200
        assert reply.headers["connection"] == "close"
        assert cluster.processes[vm].wait(timeout=30) == 0


def test_operator_stops_an_entry_vm(tmp_path: Path) -> None:
    with run_cluster(tmp_path) as cluster:
        assert cluster.operate("stop thies-2", "dakar-1").status == 200
        process = cluster.processes["thies-2"]
        wait_until(lambda: process.poll() is not None, 20, "graceful shutdown")
        assert process.returncode == 0


def test_entry_vm_stopped_while_the_log_is_away(tmp_path: Path) -> None:
    """Ownership is transferred without the log, and streams are finished."""
    with run_cluster(tmp_path) as cluster:
        vms = cluster.entry_vms()
        leaving = cluster.owner("dakar-engine-1")
        cluster.control("log", down=True)
        with Completions(cluster, vms, MODELS, workers=6) as traffic:
            time.sleep(1.0)
            traffic.vms = [vm for vm in vms if vm != leaving]
            cluster.signal(leaving, signal.SIGTERM)
            status = cluster.processes[leaving].wait(timeout=30)
            time.sleep(2.0)
        cluster.control("log", down=False)
        assert status == 0
        assert traffic.wrong_responses == []
        assert traffic.failures == []
        assert traffic.counts["whole"] > 0


@pytest.mark.parametrize("source", ["list", "operator"])
def test_leaving_service_gets_no_new_work(tmp_path: Path, source: str) -> None:
    with run_cluster(tmp_path, list_lag_s=1.0) as cluster:
        server = cluster.services()[0]

        def book_everywhere(name: str) -> int:
            for number, vm in enumerate(cluster.entry_vms()):
                assert cluster.book(vm, f"{name}-{number}").outcome == "ran"
            return len(cluster.debug(server, "/debug/effects"))

        assert book_everywhere("before") > 0
        if source == "list":
            cluster.vms[server]["state"] = "leaving"
            cluster.publish_list()
        else:
            assert cluster.operate(f"drain {server}").status == 200
        time.sleep(LIMIT_S)
        before = len(cluster.debug(server, "/debug/effects"))
        assert book_everywhere("after") == before
