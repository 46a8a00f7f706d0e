"""Requests of every kind through a deployment of separate processes."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from gooseberry_fakes.cluster import Cluster
from gooseberry_fakes.engine import make_token

from tests.lib.clusters import run_cluster


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    """One deployment for the tests of this module."""
    path: Path = tmp_path_factory.mktemp("whole_path")
    spans = path / "spans.jsonl"
    with run_cluster(path / "run", {"trace": {"path": str(spans)}}) as running:
        yield running


def expected_text(model: str, prompt: str, tokens: int = 16) -> str:
    return "".join(make_token(model, json.dumps(prompt), i) for i in range(tokens))


def test_every_entry_vm_serves_the_named_version(cluster: Cluster) -> None:
    for vm in cluster.entry_vms():
        reply = cluster.complete(vm, "a1@1", "fold")
        assert reply.status == 200
        assert reply.json()["model"] == "a1@1"
        assert reply.json()["choices"][0]["text"] == expected_text("a1@1", "fold")


def test_stream_is_whole_and_ends_with_its_mark(cluster: Cluster) -> None:
    reply = cluster.complete("dakar-1", "a2@1", "fold", stream=True)
    events = reply.body.decode().strip().split("\n\n")
    assert events[-1] == "data: [DONE]"
    texts = [json.loads(event[6:])["choices"][0]["text"] for event in events[:-1]]
    assert "".join(texts) == expected_text("a2@1", "fold")


def test_one_trace_has_a_span_for_each_hop(cluster: Cluster) -> None:
    reply = cluster.complete("dakar-1", "a30@1", "traced", stream=True)
    assert reply.status == 200
    trace_id = reply.headers["traceparent"].split("-")[1]
    span_names = {"entry.request", "owner.decide", "engine.load", "engine.open"}
    span_names.add("engine.stream")
    deadline = time.monotonic() + 10
    while (
        not span_names <= read_span_names(cluster, trace_id)
        and time.monotonic() < deadline
    ):
        time.sleep(0.1)
    assert read_span_names(cluster, trace_id) >= span_names


def read_span_names(cluster: Cluster, trace_id: str) -> set[str]:
    path = cluster.run_dir.parent / "spans.jsonl"
    spans = [json.loads(line) for line in path.read_text().splitlines()]
    return {
        span["name"] for span in spans if span["context"]["trace_id"] == f"0x{trace_id}"
    }


def test_cache_events_of_a_busy_engine_are_read(cluster: Cluster) -> None:
    """The engine delays cache events and omits one in seven; requests still succeed.

    An event that was read directs a request with the same prefix to its runner.
    """
    before = sum_engine_counts(cluster, "cache_reads")
    for number in range(20):
        reply = cluster.complete("dakar-1", "a4@1", f"{number} fold")
        assert reply.status == 200
    deadline = time.monotonic() + 10
    while (
        sum_engine_counts(cluster, "cache_reads") <= before
        and time.monotonic() < deadline
    ):
        time.sleep(0.1)
    assert sum_engine_counts(cluster, "cache_reads") > before
    hits = sum_engine_counts(cluster, "prefix_hits")
    cluster.complete("thies-1", "a4@1", "0 fold")
    assert sum_engine_counts(cluster, "prefix_hits") == hits + 1


def sum_engine_counts(cluster: Cluster, name: str) -> int:
    return sum(
        cluster.debug(engine)["counts"].get(name, 0) for engine in cluster.engines()
    )


def test_job_is_finished_and_visible_everywhere(cluster: Cluster) -> None:
    reply = cluster.complete("thies-1", "a3@1", "plan", background=True)
    assert (reply.status, reply.outcome) == (202, "ran")
    path = reply.headers["location"]
    deadline = time.monotonic() + 20
    job = cluster.send("dakar-3", "GET", path).json()
    while job["status"] != "done" and time.monotonic() < deadline:
        time.sleep(0.1)
        job = cluster.send("dakar-3", "GET", path).json()
    result = json.loads(job["result"])
    assert result["choices"][0]["text"] == expected_text("a3@1", "plan")


def test_booking_sent_twice_takes_effect_once(cluster: Cluster) -> None:
    first = cluster.book("dakar-1", "party-1")
    second = cluster.book("saint-louis-2", "party-1")
    assert (first.status, first.outcome) == (201, "ran")
    assert (second.status, second.body) == (201, first.body)
    keys = [effect["key"] for effect in cluster.effects()]
    assert keys.count("orders:party-1") == 1


def test_key_with_another_body_is_refused(cluster: Cluster) -> None:
    cluster.book("dakar-1", "party-2", {"n": 1})
    reply = cluster.book("thies-1", "party-2", {"n": 2})
    assert (reply.status, reply.json()["type"]) == (422, "urn:gooseberryrun:key_reused")


@pytest.mark.parametrize(
    ("body", "status", "code"),
    [
        (b"{", 400, "malformed_json"),
        (b"[]", 400, "malformed_json"),
        (b"[" * 100_000, 400, "malformed_json"),
        ({"prompt": "x"}, 400, "bad_request"),
        ({"model": "a1", "prompt": "x"}, 400, "bad_request"),
        ({"model": "a1@1"}, 400, "bad_request"),
        ({"model": "a1@1", "prompt": "x", "stream": "yes"}, 400, "bad_request"),
        ({"model": "nobody@1", "prompt": "x"}, 404, "unknown_model"),
        ({"model": "a1@9", "prompt": "x"}, 404, "unknown_model"),
        ({"model": "a1@1", "prompt": "x" * (1 << 20)}, 413, "body_too_large"),
    ],
)
def test_bad_completion_is_refused_clearly(
    cluster: Cluster, body: object, status: int, code: str
) -> None:
    reply = cluster.send("dakar-1", "POST", "/v1/completions", body)
    assert (reply.status, reply.outcome) == (status, "not_run")
    assert reply.json()["type"] == f"urn:gooseberryrun:{code}"
    assert b"Traceback" not in reply.body


def test_booking_without_key_is_refused(cluster: Cluster) -> None:
    reply = cluster.send("dakar-1", "POST", "/services/orders/bookings", {})
    assert (reply.status, reply.outcome) == (400, "not_run")


def test_wrong_operator_token_is_refused(cluster: Cluster) -> None:
    headers = {"Authorization": "Bearer wrong"}
    body = {"command": "show vms"}
    reply = cluster.send("dakar-1", "POST", "/operator/v1/command", body, headers)
    assert (reply.status, reply.outcome) == (401, "not_run")


def test_trace_context_passes_through(cluster: Cluster) -> None:
    parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
    reply = cluster.send(
        "dakar-1", "GET", "/services/orders/stock", None, {"traceparent": parent}
    )
    assert reply.headers["traceparent"].split("-")[1] == parent.split("-")[1]
