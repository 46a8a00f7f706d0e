"""The log lines with a failed request's id identify the cause of the failure."""

from __future__ import annotations

import http.client
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.lib.platform_site import MODEL, EntryVm, Site, wait_for

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@pytest.fixture(name="site")
def _site(tmp_path: Path) -> Iterator[Site]:
    site = Site(tmp_path)
    yield site
    site.close()


def request_lines(vm: EntryVm, request_id: str) -> list[dict[str, str]]:
    """Return the fields of a request's log lines once its last line is logged."""

    def ended() -> list[dict[str, str]] | None:
        lines = read_request_lines(vm, request_id)
        return lines if any(line["event"] == "request" for line in lines) else None

    found: list[dict[str, str]] = wait_for(ended, "the end of the request")
    return found


def read_request_lines(vm: EntryVm, request_id: str) -> list[dict[str, str]]:
    """Return the fields of the log lines with a request's id."""
    lines = vm.log.read_text(encoding="utf-8").splitlines()
    fields = [dict(PAIR.findall(line)) for line in lines]
    return [line for line in fields if line.get("request") == request_id]


def send_request(vm: EntryVm, path: str, request_id: str) -> int:
    """Request a stream on one adapter; return its status, 0 if it was truncated."""
    try:
        return vm.send_request(
            "POST", path, request_id, b"p", X_Gooseberryrun_Model=f"{MODEL}/a1"
        )[0]
    except (http.client.HTTPException, OSError):
        return 0


def test_refusal_names_what_was_missing(site: Site) -> None:
    vm = site.vms[0]
    for runner in site.models:
        site.store.put("keyed.servers", runner.id, None)
    log = vm.log
    wait_for(lambda: log.read_text().count("says=removed") >= 2, "runners removed")
    assert send_request(vm, "/chat/1", "refused") == 503
    (end,) = request_lines(vm, "refused")
    assert (end["status"], end["reason"], end["sends"]) == ("503", "no_runner", "0")


def test_lost_answer_names_the_server_that_may_have_run_it(site: Site) -> None:
    for server in site.plain:
        server.fault, server.fault_count = "reset", 1
    vm = site.vms[0]
    assert vm.send_request("POST", "/order/1", "unknown", b"kit")[0] == 502
    attempt, end = request_lines(vm, "unknown")
    assert attempt["outcome"].startswith('"sent: ')
    assert (end["status"], end["reason"]) == ("502", "server_failed")
    (ran,) = [server.id for server in site.plain if "unknown" in server.ran]
    assert attempt["runner"] == ran


def test_cut_stream_names_the_runner_that_broke_it_off(site: Site) -> None:
    vm = site.vms[0]
    numbers = iter(range(1000))
    wait_for(
        lambda: send_request(vm, "/chat/1", f"w{next(numbers)}") == 200, "a stream"
    )
    for runner in site.models:
        runner.fault, runner.fault_count = "cut", 1
    assert send_request(vm, "/chat/1", "cut") == 0
    lines = {line["event"]: line for line in request_lines(vm, "cut")}
    (ran,) = [runner.id for runner in site.models if "cut" in runner.ran]
    assert lines["answer_cut"]["runner"] == ran
    assert lines["request"]["reason"] == '"cut: runner_failed"'
