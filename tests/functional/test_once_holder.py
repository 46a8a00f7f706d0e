"""Non-idempotent requests whose holder is killed, paused or replaced."""

from __future__ import annotations

import signal
import threading
import time
from pathlib import Path
from typing import Any

import pytest
from gooseberry_fakes.cluster import Cluster, Reply

from tests.functional.test_once import (
    FENCED,
    LOOKUP_ONLY,
    PLAIN,
    SERVER,
    SHORT,
    SMALL,
    book_until_settled,
    check_outcomes,
    effects_of,
)
from tests.lib.clusters import run_cluster


def book_in_background(cluster: Cluster, vm: str, key: str) -> threading.Thread:
    thread = threading.Thread(
        target=lambda: cluster.book(vm, key, timeout_s=5), daemon=True
    )
    thread.start()
    return thread


@pytest.mark.parametrize("options", [FENCED, LOOKUP_ONLY, PLAIN], ids=str)
def test_holder_killed_and_paused(tmp_path: Path, options: dict[str, bool]) -> None:
    with run_cluster(tmp_path, SHORT, service_options=options, **SMALL) as cluster:
        others = [vm for vm in cluster.entry_vms() if vm not in ("dakar-1", "dakar-2")]
        # Killed after dispatch: the effect happens, but the answer is lost.
        cluster.control(SERVER, delay_s=0.7)
        book_in_background(cluster, "dakar-1", "killed")
        time.sleep(0.4)
        cluster.kill("dakar-1")
        cluster.control(SERVER, delay_s=0.0)
        # Paused between intent and dispatch or just after; resumed much later.
        book_in_background(cluster, "dakar-2", "paused")
        time.sleep(0.035)
        cluster.signal("dakar-2", signal.SIGSTOP)
        replies_by_key: dict[str, list[Reply]] = {}
        for key in ("killed", "paused"):
            replies_by_key[key] = book_until_settled(cluster, others, key)
            check_outcomes(cluster, key, replies_by_key[key])
        cluster.signal("dakar-2", signal.SIGCONT)
        time.sleep(3)
        for key, replies in replies_by_key.items():
            assert effects_of(cluster, key) <= 1
            again = book_until_settled(cluster, others[:2], key)
            check_outcomes(cluster, key, replies + again)
        if options["lookup"]:
            assert replies_by_key["killed"][-1].outcome == "ran"


def test_repeat_on_replaced_vms_after_retention(tmp_path: Path) -> None:
    """A key outlives the retention of the log and the replacement of all VMs."""
    shape: dict[str, Any] = {**SMALL, "retention_s": 9.0, "domains": ("dakar",)}
    shape |= {"engines": (1,), "services": (1,)}
    with run_cluster(tmp_path, SHORT, service_options=PLAIN, **shape) as cluster:
        first = cluster.book("dakar-1", "remembered")
        assert first.outcome == "ran"
        for vm in cluster.entry_vms():
            time.sleep(4)
            cluster.kill(vm)
            cluster.start_entry_vm(vm)
            cluster.wait_ready(vm)
        time.sleep(4)
        ends = cluster.debug("log")["ends"]
        assert ends["work"] > 2
        for vm in cluster.entry_vms():
            again = cluster.book(vm, "remembered")
            assert (again.outcome, again.body) == ("ran", first.body)
        assert effects_of(cluster, "remembered") == 1
