"""Several entry VMs: killed owners, restarts of all, requests that crash runners."""

from __future__ import annotations

import http.client
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.lib.platform_site import MODEL, EntryVm, Site, wait_for

MakeSite = Callable[..., Site]


@pytest.fixture(name="make_site")
def _make_site(tmp_path: Path) -> Iterator[MakeSite]:
    sites: list[Site] = []

    def make(vms: int, models: int = 2) -> Site:
        site = Site(tmp_path, vms=vms, models=models)
        sites.append(site)
        site.wait_for_members()
        return site

    yield make
    for site in sites:
        site.close()


def ask_stream(vm: EntryVm, request_id: str, adapter: str) -> int:
    """Request a stream; return its status, 0 if the response was truncated."""
    named = f"{MODEL}/{adapter}"
    try:
        return vm.send_request(
            "POST", "/chat/1", request_id, b"p", X_Gooseberryrun_Model=named
        )[0]
    except (http.client.HTTPException, OSError):
        return 0


def serves_new_adapters(vm: EntryVm, prefix: str) -> bool:
    """Return whether requests for adapters that no runner holds are served."""
    return all(ask_stream(vm, f"{prefix}{n}", f"{prefix}{n}") == 200 for n in range(6))


def test_another_vm_takes_over_the_runners_of_a_dead_one(make_site: MakeSite) -> None:
    site = make_site(vms=2)
    wait_for(lambda: serves_new_adapters(site.vms[0], "a"), "loads by both owners")
    site.vms[1].kill()
    wait_for(lambda: serves_new_adapters(site.vms[0], "b"), "loads after a takeover")
    assert not any(runner.has_ownership_flapping() for runner in site.models)


def test_every_vm_killed_at_once_serves_again(make_site: MakeSite) -> None:
    site = make_site(vms=2)
    wait_for(lambda: serves_new_adapters(site.vms[0], "a"), "loads")
    for vm in site.vms:
        vm.kill()
    for vm in site.vms:
        vm.restart()
    for vm in site.vms:
        wait_for(vm.is_ready, "ready again")
    wait_for(lambda: serves_new_adapters(site.vms[1], "b"), "loads again")
    assert not any(runner.has_ownership_flapping() for runner in site.models)


def test_request_that_crashes_runners_is_refused_at_every_vm(
    make_site: MakeSite,
) -> None:
    site = make_site(vms=2, models=5)
    for runner in site.models:
        runner.fault, runner.fault_count = "crash", 1000
    first, second = site.vms
    number = 0

    def crashed(times: int) -> bool:
        nonlocal number
        number += 1
        ask_stream(first, f"r{number}", "a1")
        return first.log.read_text().count("event=crash_seen") >= times

    wait_for(lambda: crashed(3), "three crashes")
    wait_for(lambda: ask_stream(second, "last", "a1") == 503, "refusal elsewhere")
    wait_for(
        lambda: (
            "reason=crashes_runners" in second.log.read_text()
            or not ask_stream(second, "again", "a1")
        ),
        "the reason",
    )
    ran = sum(len(runner.ran) for runner in site.models)
    ask_stream(second, "after", "a1")
    assert sum(len(runner.ran) for runner in site.models) == ran
