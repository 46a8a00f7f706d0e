"""A non-idempotent request runs at most once, and its reported outcome is correct."""

from __future__ import annotations

import signal
import threading
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest
from gooseberry_fakes.cluster import Cluster, Reply

from tests.lib.clusters import run_cluster
from tests.lib.traffic import wait_until

SMALL: dict[str, Any] = {"engines": (1, 0, 0), "services": (1, 0, 0)}
SHORT: dict[str, Any] = {
    "limits": {
        "service_timeout_s": 2.0,
        "dispatch_window_s": 2.0,
        "outcome_wait_s": 6.0,
    }
}
FENCED = {"lookup": True, "fencing": True}
LOOKUP_ONLY = {"lookup": True, "fencing": False}
PLAIN = {"lookup": False, "fencing": False}
SERVER = "dakar-orders-1"


def effects_of(cluster: Cluster, key: str) -> int:
    return Counter(effect["key"] for effect in cluster.effects())[f"orders:{key}"]


def book_until_settled(cluster: Cluster, vms: list[str], key: str) -> list[Reply]:
    """Repeat a booking as a caller would, until it ran or ten attempts failed."""
    replies: list[Reply] = []
    for number in range(10):
        replies.append(cluster.book(vms[number % len(vms)], key, timeout_s=15))
        if replies[-1].outcome == "ran":
            break
        time.sleep(0.5)
    return replies


def check_outcomes(cluster: Cluster, key: str, replies: list[Reply]) -> None:
    """Compare the outcomes in the replies with the service's record of effects."""
    effects = effects_of(cluster, key)
    assert effects <= 1
    outcomes = [reply.outcome for reply in replies]
    if "ran" in outcomes:
        assert effects == 1
    if outcomes[-1] == "not_run":
        assert effects == 0


@pytest.fixture(scope="module", params=[FENCED, LOOKUP_ONLY, PLAIN], ids=str)
def cluster(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[Cluster]:
    """One deployment for each kind of service."""
    path: Path = tmp_path_factory.mktemp("once")
    with run_cluster(path, SHORT, service_options=request.param, **SMALL) as running:
        yield running


def test_same_key_at_every_vm_at_once(cluster: Cluster) -> None:
    vms = cluster.entry_vms()
    for number in range(5):
        key = f"race-{number}"
        with ThreadPoolExecutor(len(vms)) as pool:
            replies = list(pool.map(lambda vm, k=key: cluster.book(vm, k), vms))
        assert {reply.outcome for reply in replies} == {"ran"}
        assert len({reply.body for reply in replies}) == 1
        assert effects_of(cluster, key) == 1


def test_answer_lost_after_effect(cluster: Cluster) -> None:
    cluster.control(SERVER, lose_answers=1)
    replies = book_until_settled(cluster, cluster.entry_vms(), "lost-answer")
    check_outcomes(cluster, "lost-answer", replies)
    assert effects_of(cluster, "lost-answer") == 1
    lookup = cluster.deployment.service_options["lookup"]
    assert replies[-1].outcome == ("ran" if lookup else "unknown")


def test_connection_dropped_before_effect(cluster: Cluster) -> None:
    cluster.control(SERVER, drop_before=1)
    replies = book_until_settled(cluster, cluster.entry_vms(), "dropped")
    check_outcomes(cluster, "dropped", replies)
    fenced = cluster.deployment.service_options["fencing"]
    # Without fencing, a missing key proves nothing: the request may still arrive.
    assert replies[-1].outcome == ("ran" if fenced else "unknown")


def test_lost_append_answers(cluster: Cluster) -> None:
    cluster.control("log", lose_answers=4)
    replies = book_until_settled(cluster, cluster.entry_vms(), "lost-append")
    check_outcomes(cluster, "lost-append", replies)
    assert replies[-1].outcome == "ran"


def test_log_outage_refuses_bookings_and_serves_the_rest(cluster: Cluster) -> None:
    cluster.control("log", down=True)
    try:
        reply = cluster.book("dakar-1", "outage")
        assert (reply.status, reply.outcome) == (503, "not_run")
        assert effects_of(cluster, "outage") == 0
        assert cluster.send("dakar-1", "GET", "/services/orders/stock").status == 200
        assert cluster.complete("thies-1", "a1@1", "during outage").status == 200
    finally:
        cluster.control("log", down=False)
    replies = book_until_settled(cluster, ["thies-2"], "outage")
    check_outcomes(cluster, "outage", replies)
    assert replies[-1].outcome == "ran"


def test_log_outage_after_dispatch(cluster: Cluster) -> None:
    cluster.control(SERVER, delay_s=1.0)
    answers: list[Reply] = []
    thread = threading.Thread(
        target=lambda: answers.append(cluster.book("dakar-2", "mid-outage"))
    )
    thread.start()
    time.sleep(0.5)
    cluster.control("log", down=True)
    thread.join()
    cluster.control(SERVER, delay_s=0.0)
    during = cluster.book("thies-1", "mid-outage")
    cluster.control("log", down=False)
    assert answers[0].outcome == "ran"
    assert during.outcome in ("ran", "unknown")
    replies = book_until_settled(cluster, ["saint-louis-1"], "mid-outage")
    check_outcomes(cluster, "mid-outage", answers + replies)
    assert replies[-1].body == answers[0].body


def test_service_down_is_not_run(cluster: Cluster) -> None:
    cluster.signal(SERVER, signal.SIGSTOP)
    try:
        reply = cluster.book("dakar-1", "service-frozen")
    finally:
        cluster.signal(SERVER, signal.SIGCONT)
    # The request may be in the server's buffer; only fencing could prove "not run".
    assert reply.outcome == "unknown"
    time.sleep(1)
    replies = book_until_settled(cluster, ["thies-1"], "service-frozen")
    check_outcomes(cluster, "service-frozen", [reply, *replies])


def test_operator_settles_unknown(cluster: Cluster) -> None:
    if cluster.deployment.service_options["lookup"]:
        unsettled = cluster.rows("show unknown")
        assert all("settle-me" not in row["key"] for row in unsettled)
        return
    cluster.control(SERVER, lose_answers=1)
    assert cluster.book("dakar-1", "settle-me").outcome == "unknown"
    operated = "thies-3"
    wait_until(
        lambda: [
            row
            for row in cluster.rows("show unknown", operated)
            if "settle-me" in row["key"]
        ],
        10,
        "key listed as unknown",
    )
    reply = cluster.operate("settle orders:settle-me as ran", operated)
    assert reply.status == 200
    assert cluster.book("saint-louis-3", "settle-me").outcome == "ran"
    assert effects_of(cluster, "settle-me") == 1
    again = cluster.operate("settle orders:settle-me as not_run")
    assert again.status == 409
