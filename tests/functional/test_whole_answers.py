"""Responses are complete and of the requested version under races and failures."""

from __future__ import annotations

import json
import signal
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest
from gooseberry_fakes.cluster import Cluster, Reply
from gooseberry_fakes.engine import CRASH_MARK, CRASHING_ADAPTER

from tests.lib.clusters import run_cluster
from tests.lib.traffic import END_MARK, Completions, expected_text, read_stream

MODELS = [f"a{number}@1" for number in range(8)]


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    """One deployment for the tests of this module."""
    path: Path = tmp_path_factory.mktemp("answers")
    limits: dict[str, Any] = {"engine_stall_s": 1.5}
    with run_cluster(path, {"limits": limits}) as running:
        yield running


def find_serving_engine(cluster: Cluster, model: str) -> str:
    rows = cluster.rows(f"show loaded where model = {model}")
    return str(rows[0]["runner"])


def test_version_change_races_requests(cluster: Cluster) -> None:
    put_adapter = {"op": "put", "table": "adapters", "value": {}}
    versions = [f"racer@{number}" for number in range(1, 6)]
    replies: list[tuple[str, Reply]] = []

    def send_request(number: int) -> None:
        model = versions[number % len(versions)]
        vm = cluster.entry_vms()[number % 9]
        replies.append((model, cluster.complete(vm, model, "race", max_tokens=5)))

    with ThreadPoolExecutor(16) as pool:
        for number in range(100):
            pool.submit(send_request, number)
            if number % 20 == 0:
                cluster.apply([{**put_adapter, "key": versions[number // 20]}])
    served = 0
    for model, reply in replies:
        if reply.status == 404:
            assert reply.outcome == "not_run"
            continue
        assert reply.status == 200
        assert reply.json()["model"] == model
        assert reply.json()["choices"][0]["text"] == expected_text(model, "race", 5)
        served += 1
    assert served > 20


@pytest.mark.parametrize("stream", [True, False])
def test_answer_naming_another_model_is_never_passed_on(
    cluster: Cluster, stream: bool
) -> None:
    cluster.complete("dakar-1", "a1@1", "warm-up")
    engine = find_serving_engine(cluster, "a1@1")
    cluster.control(engine, wrong_model=1)
    reply = cluster.complete("dakar-1", "a1@1", "name", stream=stream, max_tokens=6)
    assert reply.status == 200
    assert b"other@1" not in reply.body
    assert cluster.debug(engine)["counts"]["requests"] >= 2


@pytest.mark.parametrize("stream", [True, False])
def test_frozen_engine_late_answer_is_not_given_to_anybody(
    cluster: Cluster, stream: bool
) -> None:
    """A stalled connection is not reused, so its late response reaches no caller."""
    model = "a2@1"
    cluster.complete("dakar-1", model, "warm-up")
    engine = find_serving_engine(cluster, model)
    cluster.signal(engine, signal.SIGSTOP)
    replies: dict[str, Reply] = {}

    def send_request(prompt: str) -> None:
        replies[prompt] = cluster.complete("dakar-1", model, prompt, stream=stream)

    threads = [
        threading.Thread(target=send_request, args=(f"late-{n}",)) for n in range(4)
    ]
    for thread in threads:
        thread.start()
    time.sleep(2.5)
    cluster.signal(engine, signal.SIGCONT)
    for thread in threads:
        thread.join()
    for prompt, reply in replies.items():
        assert reply.status == 200
        text = read_stream(reply) if stream else reply.json()["choices"][0]["text"]
        assert text == expected_text(model, prompt, 16)


def test_broken_stream_is_resumed_whole(cluster: Cluster) -> None:
    for number in range(5):
        model = MODELS[number]
        cluster.complete("dakar-1", model, "warm-up")
        cluster.control(find_serving_engine(cluster, model), break_after=4, breaks=1)
        reply = cluster.complete("dakar-1", model, f"broken {number}", stream=True)
        assert reply.body.endswith(END_MARK)
        assert read_stream(reply) == expected_text(model, f"broken {number}", 16)


def test_engine_crashes_mid_stream(cluster: Cluster) -> None:
    with Completions(cluster, cluster.entry_vms(), MODELS, tokens=40) as traffic:
        time.sleep(2)
        cluster.kill("thies-engine-1")
        cluster.start_server("thies-engine-1")
        time.sleep(4)
    assert traffic.wrong_responses == []
    assert traffic.failures == []


def test_entry_vm_dies_mid_stream(cluster: Cluster) -> None:
    """The caller sees a truncated stream, never a short response that ends cleanly."""
    vm = "saint-louis-3"
    replies: list[Reply] = []

    def send_request(number: int) -> None:
        replies.append(
            cluster.complete(vm, "a3@1", f"cut {number}", stream=True, max_tokens=200)
        )

    threads = [threading.Thread(target=send_request, args=(n,)) for n in range(5)]
    for thread in threads:
        thread.start()
    time.sleep(0.8)
    cluster.kill(vm)
    for thread in threads:
        thread.join()
    cluster.start_entry_vm(vm)
    cluster.wait_ready(vm)
    assert [describe(reply) for reply in replies if reply.outcome != "cut"] == []


def count_crashes(cluster: Cluster) -> int:
    return sum(
        cluster.debug(engine)["counts"].get("crashes", 0)
        for engine in cluster.engines()
    )


CRASH_REFUSAL = (422, "crashes_runners")


def describe(reply: Reply) -> tuple[int, str]:
    """Return the status of a reply, and the code of a refusal."""
    if reply.status == 200:
        return (200, "")
    return (reply.status, str(json.loads(reply.body)["type"]).rpartition(":")[2])


def is_crash_refusal(reply: Reply) -> bool:
    return describe(reply) == CRASH_REFUSAL


def test_crashing_request_is_refused_and_neighbours_survive(cluster: Cluster) -> None:
    crashes_before = count_crashes(cluster)
    refused = 0
    with Completions(cluster, cluster.entry_vms(), MODELS, workers=6) as traffic:
        time.sleep(1)
        for number in range(6):
            vm = cluster.entry_vms()[number]
            reply = cluster.complete(vm, "a4@1", f"{CRASH_MARK} please")
            refused += is_crash_refusal(reply)
        time.sleep(3)
    assert refused == 6
    assert count_crashes(cluster) - crashes_before <= 2
    assert traffic.wrong_responses == []
    assert traffic.failures == []


@pytest.mark.parametrize(
    ("model", "contents", "copies"),
    [("a5@1", ("at once",), 9), ("a6@1", ("one", "other"), 1)],
    ids=["nine copies", "two contents"],
)
def test_crashing_requests_sent_at_once(
    cluster: Cluster, model: str, contents: tuple[str, ...], copies: int
) -> None:
    """Each content crashes at most two runners, and all its copies are refused.

    Requests that run beside them are served.
    """
    crashes_before = count_crashes(cluster)
    prompts = [f"{CRASH_MARK} {content}" for content in contents] * copies
    with Completions(cluster, cluster.entry_vms(), MODELS, workers=4) as traffic:
        time.sleep(1)
        with ThreadPoolExecutor(len(prompts)) as pool:
            futures = [
                pool.submit(cluster.complete, vm, model, prompt)
                for vm, prompt in zip(cluster.entry_vms(), prompts, strict=False)
            ]
        time.sleep(3)
    replies = [describe(future.result()) for future in futures]
    assert replies == [CRASH_REFUSAL] * len(prompts)
    assert count_crashes(cluster) - crashes_before <= 2 * len(contents)
    assert traffic.wrong_responses == []
    assert traffic.failures == []


def test_adapter_that_crashes_its_runners_is_refused(cluster: Cluster) -> None:
    """No two requests are alike, and each content could crash two runners."""
    model = f"{CRASHING_ADAPTER}1"
    cluster.apply([{"op": "put", "table": "adapters", "key": model, "value": {}}])
    crashes_before = count_crashes(cluster)
    replies: list[Reply] = []
    with Completions(cluster, cluster.entry_vms(), MODELS, workers=4) as traffic:
        time.sleep(1)
        for number in range(8):
            vm = cluster.entry_vms()[number]
            replies.append(cluster.complete(vm, model, f"prompt {number}"))
            time.sleep(1.2)
        time.sleep(2)
    contents_until_refusal = 3
    assert count_crashes(cluster) - crashes_before <= 2 * contents_until_refusal
    for reply in replies[contents_until_refusal:]:
        assert reply.status == 503
        assert reply.outcome == "not_run"
    assert traffic.wrong_responses == []
    assert traffic.failures == []
