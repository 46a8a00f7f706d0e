"""Accepted background jobs are finished despite failures and replaced VMs."""

from __future__ import annotations

import json
import time
from pathlib import Path

from gooseberry_fakes.cluster import Cluster

from tests.lib.clusters import run_cluster
from tests.lib.traffic import expected_text, wait_until

JOBS = 60


def submit_jobs(cluster: Cluster, count: int) -> dict[str, tuple[str, str]]:
    jobs = {}
    vms = cluster.entry_vms()
    for number in range(count):
        model, prompt = f"a{number % 6}@1", f"lesson {number}"
        reply = cluster.complete(
            vms[number % len(vms)], model, prompt, background=True, max_tokens=40
        )
        assert reply.status == 202
        jobs[reply.json()["id"]] = (model, prompt)
    return jobs


def open_jobs(cluster: Cluster, vm: str, jobs: dict[str, tuple[str, str]]) -> list[str]:
    rows = cluster.rows("show jobs where state = done", vm)
    return sorted(set(jobs) - {row["job"] for row in rows})


def check_results(cluster: Cluster, jobs: dict[str, tuple[str, str]]) -> None:
    """Every VM has every result within seconds, and each result is correct."""
    for vm in cluster.entry_vms():
        wait_until(lambda vm=vm: not open_jobs(cluster, vm, jobs), 10, f"{vm} knows")  # type: ignore[misc]
    for job_id, (model, prompt) in jobs.items():
        job = cluster.send("thies-1", "GET", f"/v1/jobs/{job_id}").json()
        result = json.loads(job["result"])
        assert result["choices"][0]["text"] == expected_text(model, prompt, 40)


def test_every_entry_vm_replaced(tmp_path: Path) -> None:
    with run_cluster(tmp_path) as cluster:
        jobs = submit_jobs(cluster, JOBS)
        for vm in cluster.entry_vms():
            cluster.kill(vm)
            cluster.start_entry_vm(vm)
            cluster.wait_ready(vm)
        wait_until(lambda: not open_jobs(cluster, "thies-1", jobs), 60, "all finished")
        check_results(cluster, jobs)


def test_log_outage_refuses_new_jobs_and_finishes_accepted_ones(
    tmp_path: Path,
) -> None:
    with run_cluster(tmp_path) as cluster:
        jobs = submit_jobs(cluster, 20)
        cluster.control("log", down=True)
        refused = cluster.complete("dakar-1", "a1@1", "late", background=True)
        assert (refused.status, refused.outcome) == (503, "not_run")
        time.sleep(4)
        cluster.control("log", down=False)
        wait_until(lambda: not open_jobs(cluster, "dakar-1", jobs), 40, "all finished")
        check_results(cluster, jobs)


def test_failing_loads_and_slow_store_delay_but_drop_nothing(tmp_path: Path) -> None:
    with run_cluster(tmp_path) as cluster:
        cluster.control("store", slow=4.0, fail=5)
        for engine in cluster.engines():
            cluster.control(engine, fail_loads=2)
        jobs = submit_jobs(cluster, 20)
        wait_until(lambda: not open_jobs(cluster, "dakar-1", jobs), 60, "all finished")
        check_results(cluster, jobs)
