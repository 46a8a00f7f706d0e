"""``gooseberryctl where`` agrees with where the next request is sent."""

from __future__ import annotations

import itertools
import json
import re
from functools import partial

import pytest
from click.testing import CliRunner
from gooseberryctl._internal.cli import make_cli

from tests.lib.platform_site import HOST, MODEL, EntryVm, Site, wait_for

ATTEMPT = re.compile(r"event=attempt .*?runner=(\S+)")


def where(vm: EntryVm, path: str, *options: str) -> tuple[int, dict[str, object]]:
    """Return the exit code and the JSON output."""
    server = ["--server", f"127.0.0.1:{vm.metrics_port}", "--json"]
    arguments = [*server, "where", "--host", HOST, "--path", path, *options]
    found = CliRunner().invoke(make_cli(), arguments)
    return found.exit_code, json.loads(found.stdout)


def attempted_runners(vm: EntryVm, request_id: str) -> list[str]:
    """Return the runners that a request was sent to, by the VM's log."""
    lines = vm.log.read_text(encoding="utf-8").splitlines()
    found = [ATTEMPT.search(line) for line in lines if f"request={request_id} " in line]
    return [match[1] for match in found if match]


def stream(vm: EntryVm, request_id: str) -> int:
    """Request a stream on one adapter; return its status."""
    headers = {"X_Gooseberryrun_Model": f"{MODEL}/a1"}
    return vm.send_request("POST", "/chat/1", request_id, b"p", **headers)[0]


def wait_for_owners(vm: EntryVm) -> None:
    """Wait until the runners have owners, which have loaded the adapter."""
    numbers = itertools.count()
    wait_for(lambda: stream(vm, f"first-{next(numbers)}") == 200, "a stream")


def test_next_requests_log_line_agrees(site: Site) -> None:
    """An explanation by separate code would drift from what is done."""
    vm = site.vms[0]
    wait_for_owners(vm)
    for number in range(4):
        name = f"plain-{number}"
        code, found = where(vm, "/look/1", "--id", name)
        assert (code, found["outcome"]) == (0, "sent")
        assert vm.send_request("GET", "/look/1", name)[0] == 200
        wait_for(partial(attempted_runners, vm, name), "the attempt")
        assert attempted_runners(vm, name) == [found["runner"]]
        name = f"stream-{number}"
        options = ["--model", MODEL, "--adapter", "a1", "--id", name]
        code, found = where(vm, "/chat/1", *options)
        assert (code, found["outcome"]) == (0, "sent")
        assert stream(vm, name) == 200
        wait_for(partial(attempted_runners, vm, name), "the attempt")
        assert attempted_runners(vm, name)[0] == found["runner"]


def test_refusal_and_error_have_their_exit_codes(site: Site) -> None:
    vm = site.vms[0]
    code, refused = where(vm, "/nowhere")
    assert (code, refused["reason"]) == (2, "no_route")
    with pytest.raises(json.JSONDecodeError):
        where(vm, "/look/1", "--wait-s", "soon")
