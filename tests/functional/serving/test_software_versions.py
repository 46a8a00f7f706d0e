"""Streams go on only at runners of the software version that began them."""

from __future__ import annotations

import http.client
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest
from gooseberry_fakes.platform_runner import PlatformRunner

from tests.lib.platform_site import MODEL, EntryVm, Site, wait_for

STREAMS = 6
CALLER_WAITS_MS = 60_000
"""Time a caller waits in all: longer than VMs take to start and to own runners."""


@pytest.fixture(name="site")
def _site(tmp_path: Path) -> Iterator[Site]:
    """Two entry VMs, and two model runners of each of two versions."""
    site = Site(tmp_path, vms=2, models=4)
    site.wait_for_members()
    release(site, site.models[2:])
    wait_for(lambda: all(serves(site, vm) for vm in site.vms), "two versions")
    yield site
    site.close()


def release(site: Site, runners: list[PlatformRunner]) -> None:
    """Replace runners by ones of a newer version."""
    for runner in runners:
        runner.software = "v2"
        runner.born_ms += 1
        site.register(runner)


def serves(site: Site, vm: EntryVm) -> bool:
    """Return whether a VM serves streams and knows the runners of both versions."""
    log = vm.log.read_text()
    is_known = all(log.count(f"key={r.id} ") > 1 for r in site.models[2:])
    return is_known and ask(vm, "warm", adapter="warm") == 200


def ask(vm: EntryVm, request_id: str, adapter: str, resumes: str = "") -> int:
    """Request a stream; return its status, 0 if it was cut."""
    headers = {
        "X_Gooseberryrun_Model": f"{MODEL}/{adapter}",
        "X_Gooseberryrun_Deadline_Ms": str(CALLER_WAITS_MS),
    }
    if resumes:
        headers |= {"Resumes": resumes, "Last_Event_Id": "4"}
    try:
        return vm.send_request("POST", "/plan/1", request_id, b"p", **headers)[0]
    except (http.client.HTTPException, OSError):
        return 0


def begin_streams(site: Site) -> list[str]:
    """Begin streams at the first VM, all of which break off; return their ids."""
    for runner in site.models:
        runner.fault, runner.fault_count = "cut", 1000
    roots = [f"r{number}" for number in range(STREAMS)]
    for number, root in enumerate(roots):
        wait_for(partial(breaks_off, site, root, f"a{number}"), f"{root} broken off")
    for runner in site.models:
        runner.fault_count = 0
    return roots


def breaks_off(site: Site, root: str, adapter: str) -> bool:
    """Request a stream; return whether it began and was cut."""
    return ask(site.vms[0], root, adapter) == 0 and bool(began(site, root))


def began(site: Site, root: str) -> set[str]:
    """Return the versions of the runners that a stream ran at."""
    return {runner.software for runner in site.models if root in runner.begun}


def joined(site: Site, roots: list[str]) -> list[str]:
    """Return the streams that ran at runners of two versions."""
    return [root for root in roots if len(began(site, root)) > 1]


def take_up(vm: EntryVm, roots: list[str]) -> list[int]:
    """Take the streams up at a VM; return the statuses."""
    return [
        ask(vm, f"again-{root}", f"a{number}", resumes=root)
        for number, root in enumerate(roots)
    ]


def test_stream_is_cut_rather_than_joined_within_one_answer(site: Site) -> None:
    """The repeat went to any runner of the service."""
    roots = begin_streams(site)
    assert not joined(site, roots)


def test_stream_that_another_vm_takes_up_goes_on_at_its_version(site: Site) -> None:
    roots = begin_streams(site)
    statuses = take_up(site.vms[1], roots)
    assert not joined(site, roots)
    assert statuses == [200] * STREAMS


def test_stream_that_restarted_vms_take_up_goes_on_at_its_version(site: Site) -> None:
    """All VMs were killed at once, so that none of them knew where it began."""
    roots = begin_streams(site)
    for vm in site.vms:
        vm.kill()
    for vm in site.vms:
        vm.restart()
    wait_for(lambda: all(vm.is_ready() for vm in site.vms), "all ready")
    wait_for(lambda: ask(site.vms[1], "warm2", "warm") == 200, "serving")
    statuses = take_up(site.vms[1], roots)
    assert not joined(site, roots)
    assert statuses.count(200) >= STREAMS / 2


def test_stream_whose_version_is_gone_is_refused(site: Site) -> None:
    """Its first version had just left, and the new one was the only one in service."""
    roots = begin_streams(site)
    old = [root for root in roots if began(site, root) == {"v1"}]
    release(site, site.models[:2])
    wait_for(
        lambda: all(
            vm.log.read_text().count(f"key={runner.id} ") > 1
            for vm in site.vms
            for runner in site.models
        ),
        "only the new version",
    )
    runs = sum(len(runner.begun) for runner in site.models)
    statuses = [ask(site.vms[1], f"x-{root}", "warm", resumes=root) for root in old]
    assert statuses == [503] * len(old)
    assert sum(len(runner.begun) for runner in site.models) == runs


def test_stream_does_not_go_on_at_a_runner_that_restarted_as_another_version(
    site: Site,
) -> None:
    """The runners kept their ids, and their new entries were late."""
    roots = begin_streams(site)
    version = began(site, roots[0])
    old = [root for root in roots if began(site, root) == version]
    for runner in site.models:
        if {runner.software} == version:
            runner.restart()
            runner.software = "v3"
            runner.begun.clear()
    wait_for(lambda: take_up(site.vms[1], old) and is_noticed(site), "noticed")
    statuses = take_up(site.vms[1], old)
    assert not [root for root in old if began(site, root)], statuses
    assert ask(site.vms[0], "fresh", adapter="warm") == 200


def is_noticed(site: Site) -> bool:
    """Return whether a VM has seen that a runner restarted without a new entry."""
    return any("event=runner_restarted" in vm.log.read_text() for vm in site.vms)


def test_stream_of_unknown_origin_is_refused_while_two_versions_serve(
    site: Site,
) -> None:
    status, _, headers = site.vms[0].send_request(
        "POST",
        "/plan/1",
        "x",
        b"p",
        X_Gooseberryrun_Model=f"{MODEL}/warm",
        Resumes="never-was",
        Last_Event_Id="4",
    )
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert not began(site, "never-was")
