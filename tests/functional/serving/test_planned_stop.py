"""Requests that a VM has taken when it is stopped: each gets a whole, true answer."""

from __future__ import annotations

import signal
import threading
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from tests.lib.platform_site import (
    MODEL,
    EntryVm,
    Site,
    make_config,
    request_headers,
    wait_for,
)

LONG_MS = 60_000


def allow_long_requests(site: Site) -> None:
    """Put routes in force whose requests may take longer than the grace period."""
    config = make_config(2)
    for route in config["routes"]:
        route["timeout_ms"] = LONG_MS
    site.store.put("keyed.op", "config", config)
    logs = [vm.log for vm in site.vms]
    applied = "configuration:2"
    wait_for(lambda: all(applied in log.read_text() for log in logs), applied)


def send(vm: EntryVm, method: str, path: str, request_id: str, **headers: str) -> int:
    own = {"X_Gooseberryrun_Deadline_Ms": str(LONG_MS), **headers}
    return vm.send_request(method, path, request_id, b"kit", **own)[0]


def in_background(call: Any, *args: Any, **kwargs: Any) -> Future[int]:
    """Call a function in a thread of its own."""
    return ThreadPoolExecutor(1).submit(call, *args, **kwargs)


def test_request_that_a_server_never_answers_gets_an_answer_before_the_exit(
    site: Site,
) -> None:
    """Its connection was closed without one at the end of the grace period."""
    allow_long_requests(site)
    for server in site.plain:
        server.fault, server.fault_count = "silent", 10
    vm = site.vms[0]
    statuses = [
        in_background(send, vm, "POST", "/order/1", "r1"),
        in_background(send, vm, "GET", "/look/1", "r2"),
    ]
    wait_for(lambda: sum(len(s.ran) for s in site.plain) >= 2, "both run")
    assert vm.stop() == 0
    # They may have run, so that nothing is promised.
    assert [status.result() for status in statuses] == [502, 502]
    assert sum(server.ran.count("r1") for server in site.plain) == 1


def test_stream_that_cannot_end_before_the_exit_is_refused_at_once(site: Site) -> None:
    """It was taken after the SIGTERM and cut at the end of the grace period."""
    allow_long_requests(site)
    vm = site.vms[0]
    model = f"{MODEL}/a1"
    wait_for(
        lambda: send(vm, "POST", "/chat/1", "warm", X_Gooseberryrun_Model=model) == 200,
        "warm",
    )
    ran = sum(len(runner.ran) for runner in site.models)
    conns = [vm.connect() for _ in range(2)]
    for conn in conns:
        conn.connect()
    stop = threading.Thread(target=vm.stop)
    vm.process.send_signal(signal.SIGTERM)
    wait_for(lambda: "stop_requested" in vm.log.read_text(), "stopping")
    answers = []
    for conn, tokens in zip(conns, ("10,100000", "10,10"), strict=True):
        headers = {
            "X_Gooseberryrun_Model": model,
            "X_Gooseberryrun_Deadline_Ms": str(LONG_MS),
            "X_Gooseberryrun_Token_Count": tokens,
        }
        conn.request("POST", "/chat/1", b"p", request_headers(f"r{tokens}", **headers))
        response = conn.getresponse()
        response.read()
        answers.append((response.status, response.headers.get("Retry-After")))
    stop.start()
    stop.join()
    (long_status, retry_after), (short_status, _) = answers
    assert (long_status, short_status) == (503, 200)
    assert float(retry_after or 0) > 0
    assert sum(len(runner.ran) for runner in site.models) == ran + 1
