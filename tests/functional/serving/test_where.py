"""``gooseberryctl where`` agrees with where the next request is sent."""

from __future__ import annotations

import itertools
import json
import re
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from gooseberryctl._internal.cli import make_cli

from tests.lib.platform_site import HOST, MODEL, EntryVm, Site, make_config, wait_for

KEY = "gk-77e02a91bd"
FREE_KEY = "gk-1c40d8e6f2"
ATTEMPT = re.compile(r"event=attempt .*?runner=(\S+)")


def where(vm: EntryVm, path: str, *options: str) -> tuple[int, dict[str, Any]]:
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


def lines_of(vm: EntryVm, event: str, request_id: str) -> list[str]:
    """Return the lines of an event of a request; a VM writes them a little later."""
    lines = vm.log.read_text(encoding="utf-8").splitlines()
    found = [line for line in lines if f"event={event} " in line]
    return [line for line in found if f"request={request_id} " in line]


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


def set_accounts(site: Site) -> None:
    """Put accounts in force, one of them with a cap of a request a second."""
    config = make_config(2)
    capped = {"unit": "requests", "rate_per_s": 1.0, "burst": 3.0, "priority": 2}
    config["tenants"] = [
        {"name": "acme", "api_keys": [KEY], **capped},
        {"name": "free", "api_keys": [FREE_KEY]},
    ]
    site.store.put("keyed.op", "config", config)
    says = "says=configuration:2"
    wait_for(lambda: says in site.vms[0].log.read_text(), says)


def look(vm: EntryVm, request_id: str, key: str) -> int:
    headers = {"Authorization": f"Token {key}"}
    return vm.send_request("GET", "/look/1", request_id, None, **headers)[0]


def test_cap_and_slots_of_an_account_are_explained(tmp_path: Path) -> None:
    """A refusal by the cap agrees with the next request's line, and no key is shown."""
    site = Site(tmp_path, models=1)
    try:
        vm = site.vms[0]
        set_accounts(site)
        code, found = where(vm, "/look/1")
        assert (code, found["reason"]) == (2, "no_key")
        code, found = where(vm, "/look/1", "--account", "free")
        assert (code, found["account"], found["cap"]) == (0, "free", None)
        numbers = itertools.count()
        wait_for(lambda: look(vm, f"w-{next(numbers)}", KEY) == 200, "an allocator")
        wait_for(lambda: look(vm, f"w-{next(numbers)}", KEY) == 429, "a refusal")
        code, found = where(vm, "/look/1", "--account", "acme")
        assert (code, found["reason"], found["priority"]) == (2, "usage_cap", 2)
        assert look(vm, "over", KEY) == 429
        refused = partial(lines_of, vm, "usage_refused", "over")
        line = wait_for(refused, "the refusal's line")[0]
        assert f"why={found['cap']['outcome']} " in line
        assert look(vm, "free-1", FREE_KEY) == 200
        _, found = where(vm, "/look/1", "--account", "free")
        ages = [row["slot_age_s"] for row in found["rows"]]
        assert any(age is not None for age in ages)
        assert KEY not in json.dumps(found)
        assert KEY not in vm.log.read_text(encoding="utf-8")
    finally:
        site.close()
