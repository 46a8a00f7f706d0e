"""Runners that say something else of themselves in each response, or nonsense."""

from __future__ import annotations

import itertools
import time

import pytest
from gooseberry_fakes.platform_runner import PlatformRunner

from tests.functional.serving.test_several_vms import ask_stream
from tests.lib.platform_site import EntryVm, Site, wait_for

NUMBERS = itertools.count()
LIMITS = [
    [("SERVER-limit", "0.4")],
    [],
    [("Server-Limit", "5000"), ("server-limit", "0.5")],
    [("Server-Limit", "-3")],
    [("Server-Limit", "nan")],
    [("Server-Limit", "1e9")],
    [("Server-Limit", "9" * 400)],
    [("Server-Limit", ""), ("Server-Limit", "2")],
    [("Server-Limit", "0")],
]
"""Headers of a limit, in several letter cases, twice, and that are no number."""
NONSENSE = [
    [("Server-Leaving", "maybe"), ("Retry-After", "3")],
    [("server-leaving", "0"), ("Server-Leaving", "")],
    [("Retry-After", "-1"), ("Server-Limit", "x")],
    [("Retry-After", "Fri, 99 Foo 2026"), ("Server-Leaving", "2")],
]
"""Headers that say nothing to believe, on responses of requests that ran."""


def look_up(vm: EntryVm) -> int:
    number = next(NUMBERS)
    return vm.send_request("GET", f"/look/{number}", f"r{number}")[0]


def stream(vm: EntryVm) -> int:
    number = next(NUMBERS)
    return ask_stream(vm, f"r{number}", f"a{number % 4}")


def is_asked_again(site: Site, runner: PlatformRunner, is_model: bool) -> bool:
    """Send requests to all VMs; return whether a runner has got one of them."""
    runner.arrivals.clear()
    for vm in site.vms * 4:
        assert (stream(vm) if is_model else look_up(vm)) == 200
    return bool(runner.arrivals)


def assert_no_internal_errors(site: Site) -> None:
    for vm in site.vms:
        assert "event=internal_error" not in vm.log.read_text()


@pytest.mark.parametrize("is_model", [False, True], ids=["plain", "streams"])
def test_limits_that_change_at_each_response_break_nothing(
    site: Site, is_model: bool
) -> None:
    """The runner is used again once it names no limit any more."""
    runners = site.models if is_model else site.plain
    wait_for(lambda: (stream if is_model else look_up)(site.vms[0]) == 200, "a 200")
    runners[0].changing_headers = LIMITS
    statuses = []
    stop_at = time.monotonic() + 6.0
    while time.monotonic() < stop_at:
        for vm in site.vms:
            statuses.append(stream(vm) if is_model else look_up(vm))
        time.sleep(0.05)
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) >= 0.9 * len(statuses)
    runners[0].changing_headers = []
    wait_for(lambda: is_asked_again(site, runners[0], is_model), "the runner again")
    assert_no_internal_errors(site)


@pytest.mark.parametrize("fault", ["", "error"], ids=["answers", "errors"])
def test_nonsense_keeps_nothing_from_a_server(site: Site, fault: str) -> None:
    for runner in site.plain:
        runner.changing_headers = NONSENSE
        runner.fault, runner.fault_count = fault, 3 if fault else 0
    statuses = [look_up(vm) for vm in site.vms * 10]
    assert set(statuses) <= {200, 500}
    assert statuses.count(200) >= len(statuses) - 6
    assert all(runner.arrivals for runner in site.plain)
    assert_no_internal_errors(site)
