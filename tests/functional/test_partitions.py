"""Failure domains partitioned from each other and from the platform."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
from gooseberry_fakes.cluster import Cluster

from tests.functional.test_once import book_until_settled, check_outcomes, effects_of
from tests.lib.clusters import run_cluster
from tests.lib.traffic import Completions, wait_until

MODELS = [f"a{number}@1" for number in range(8)]


def isolate(cluster: Cluster, domain: str, platform: bool) -> None:
    """Partition a domain from the others, and from the platform if ``platform``."""
    inside = cluster.domain(domain)
    outside = [vm for vm in cluster.vms if vm not in inside]
    cluster.partition_network(
        [inside, outside], cluster.entry_vms(domain) if platform else None
    )


def serve_inside(cluster: Cluster, domain: str) -> Completions:
    """Send completions to a domain for 10 s; return the finished traffic."""
    vms = cluster.entry_vms(domain)
    with Completions(cluster, vms, MODELS, workers=3) as traffic:
        time.sleep(10)
    return traffic


@pytest.mark.parametrize("platform", [False, True], ids=["peers", "peers+platform"])
def test_domain_cut_off_serves_what_it_can(tmp_path: Path, platform: bool) -> None:
    # One unresponsive owner must not use up the time for acquiring a grant.
    limits = {"limits": {"grant_wait_s": 8.0}}
    with run_cluster(tmp_path, limits, relayed=True) as cluster:
        domain = "saint-louis"
        vm = cluster.entry_vms(domain)[0]
        isolate(cluster, domain, platform)
        traffic = serve_inside(cluster, domain)
        assert traffic.wrong_responses == []
        assert traffic.failures == []
        assert traffic.counts["whole"] > 10
        assert cluster.send(vm, "GET", "/services/orders/stock").status == 200
        bookings = [cluster.book(vm, "inside", timeout_s=20)]
        assert bookings[0].outcome == ("not_run" if platform else "ran")
        assert cluster.complete("dakar-1", "a1@1", "outside").status == 200
        cluster.heal()
        bookings += book_until_settled(cluster, ["dakar-2", vm], "inside")
        check_outcomes(cluster, "inside", bookings)
        assert effects_of(cluster, "inside") == 1


def test_every_domain_alone_without_platform_twice(tmp_path: Path) -> None:
    with run_cluster(tmp_path, relayed=True) as cluster:
        domains = list(cluster.deployment.domains)
        for _ in range(2):
            groups = [cluster.domain(domain) for domain in domains]
            cluster.partition_network(groups, platform=cluster.entry_vms())
            with Completions(
                cluster, cluster.entry_vms(), MODELS, workers=6
            ) as traffic:
                time.sleep(8)
            assert traffic.wrong_responses == []
            assert traffic.counts["whole"] > 10
            cluster.heal()
            wait_until(
                lambda: cluster.book("dakar-1", "after").outcome == "ran", 15, "healed"
            )
        assert effects_of(cluster, "after") == 1


def test_owner_killed_while_the_platform_is_away(tmp_path: Path) -> None:
    """Without the log the new owner derives its number from the last known one."""
    with run_cluster(tmp_path, relayed=True) as cluster:
        domain, runner = "saint-louis", "saint-louis-engine-1"
        owner = cluster.owner(runner)
        others = [vm for vm in cluster.entry_vms(domain) if vm != owner]
        isolate(cluster, domain, platform=True)
        time.sleep(1)
        cluster.kill(owner)
        wait_until(
            lambda: any(
                row["runner"] == runner and row["left_s"] > 0
                for row in cluster.rows("show leases", others[0])
            ),
            20,
            "successor without the log",
        )
        rows = cluster.rows(f"show leases where runner = {runner}", others[0])
        assert rows[0]["fencing"].split(".")[1] == "1"
        with Completions(cluster, others, MODELS[:4], workers=3) as traffic:
            time.sleep(6)
        assert traffic.wrong_responses == []
        assert traffic.counts["whole"] > 5
        cluster.heal()
        cluster.start_entry_vm(owner)
        cluster.wait_ready(owner)
        cluster.wait_owned()
        assert cluster.complete("dakar-1", "a1@1", "healed").status == 200
