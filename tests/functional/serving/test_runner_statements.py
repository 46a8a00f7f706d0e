"""Runners that say in their responses that they leave, or that they need a pause."""

from __future__ import annotations

import itertools
import threading
import time
from functools import partial
from pathlib import Path

from gooseberry_fakes.platform_runner import PlatformRunner

from tests.functional.serving.test_several_vms import ask_stream
from tests.lib.platform_site import EntryVm, Site, wait_for

DRAIN_S = 2.0
"""Time after which a runner that leaves must get no more requests."""
PAUSE_S = 3.0
MOST_IN_PAUSE = 2
"""Requests that the users' platform allows in a pause."""
NUMBERS = itertools.count()


def look_up(vm: EntryVm) -> int:
    """Send a request to a plain service; return its status."""
    number = next(NUMBERS)
    return vm.send_request("GET", f"/look/{number}", f"r{number}")[0]


def ask(vm: EntryVm, adapter: str = "a1") -> int:
    """Request a stream; return its status."""
    return ask_stream(vm, f"r{next(NUMBERS)}", adapter)


def is_served(vm: EntryVm, adapter: str) -> bool:
    return ask(vm, adapter) == 200


def is_asked(runner: PlatformRunner, send: partial[int]) -> bool:
    """Send a request; return whether a runner has ever got one."""
    send()
    return bool(runner.arrivals)


def start_leaving(site: Site, runner: PlatformRunner) -> None:
    """Let a runner leave while the store cannot be read, so that nobody else tells."""
    site.store.is_down = True
    say_leaving(runner)


def say_leaving(runner: PlatformRunner) -> None:
    """Let a runner say that it leaves; its registry entry does not."""
    runner.own_headers.append(("Server-Leaving", "1"))
    runner.arrivals.clear()


def arrivals_after(runner: PlatformRunner, since: float) -> int:
    return sum(at > since for at in list(runner.arrivals))


def test_plain_server_that_says_it_leaves_gets_no_new_work(site: Site) -> None:
    leaving, vm = site.plain[0], site.vms[0]
    start_leaving(site, leaving)
    wait_for(partial(is_asked, leaving, partial(look_up, vm)), "a response")
    since = time.monotonic()
    statuses = [look_up(vm) for _ in range(40)]
    assert arrivals_after(leaving, since) == 0
    assert set(statuses) == {200}
    assert "event=runner_leaving" in vm.log.read_text()


def test_model_runner_that_says_it_leaves_gets_no_new_work(site: Site) -> None:
    """Neither the requests that wait for adapters nor those that find them there."""
    vm = site.vms[0]
    adapters = [f"a{n}" for n in range(8)]
    for adapter in adapters:
        wait_for(partial(is_served, vm, adapter), "a stream")
    leaving = max(site.models, key=lambda runner: len(runner.adapters))
    say_leaving(leaving)
    threads = [threading.Thread(target=ask, args=(vm, a)) for a in adapters * 3]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert leaving.arrivals
    since = time.monotonic()
    statuses = [ask(vm, adapter) for adapter in adapters]
    assert arrivals_after(leaving, since) == 0
    assert statuses.count(200) >= 6


def test_other_vms_learn_that_a_runner_leaves(site: Site) -> None:
    leaving, (first, second) = site.plain[0], site.vms
    start_leaving(site, leaving)
    wait_for(partial(is_asked, leaving, partial(look_up, first)), "a response")
    wait_for(lambda: "event=runner_leaving" in second.log.read_text(), "the news")
    since = time.monotonic()
    assert {look_up(second) for _ in range(20)} == {200}
    assert arrivals_after(leaving, since) == 0


def test_runner_that_takes_back_that_it_leaves_is_not_believed(site: Site) -> None:
    leaving, vm = site.plain[0], site.vms[0]
    start_leaving(site, leaving)
    wait_for(partial(is_asked, leaving, partial(look_up, vm)), "a response")
    leaving.own_headers.clear()
    since = time.monotonic()
    for _ in range(20):
        look_up(vm)
    assert arrivals_after(leaving, since) == 0


def test_next_incarnation_of_a_runner_that_left_is_used(site: Site) -> None:
    leaving, vm = site.plain[0], site.vms[0]
    start_leaving(site, leaving)
    wait_for(partial(is_asked, leaving, partial(look_up, vm)), "a response")
    leaving.own_headers.clear()
    site.store.is_down = False
    leaving.born_ms += 1
    site.register(leaving)
    leaving.arrivals.clear()
    wait_for(partial(is_asked, leaving, partial(look_up, vm)), "work again")


def arrivals_in_pause(runner: PlatformRunner) -> int:
    """Return the requests that a runner got in its pause, half a second after it began.

    Those before are on their way when the refusal arrives.
    """
    since = runner.refused_at[0] + 0.5
    return sum(since < at < since + PAUSE_S - 0.5 for at in list(runner.arrivals))


def test_server_that_asks_for_a_pause_gets_nothing_meanwhile(site: Site) -> None:
    busy, vm = site.plain[0], site.vms[0]
    busy.fault, busy.fault_count = f"busy {PAUSE_S}", 1
    wait_for(partial(is_asked, busy, partial(look_up, vm)), "a refusal")
    statuses = []
    until = time.monotonic() + PAUSE_S
    while time.monotonic() < until:
        statuses.append(look_up(vm))
    assert arrivals_in_pause(busy) == 0
    assert set(statuses) == {200}
    wait_for(lambda: look_up(vm) and arrivals_after(busy, until), "work again")


def test_runner_that_asks_for_a_pause_gets_nothing_that_waited(tmp_path: Path) -> None:
    """Requests that waited for an adapter at the only runner are refused."""
    site = Site(tmp_path, models=1)
    vm, busy = site.vms[0], site.models[0]
    wait_for(partial(is_served, vm, "a0"), "a stream")
    busy.fault, busy.fault_count = f"busy {PAUSE_S}", 1
    adapters = ["a0"] + [f"a{n}" for n in range(1, 6)] * 3
    threads = [threading.Thread(target=ask, args=(vm, a)) for a in adapters]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    until = time.monotonic() + PAUSE_S
    while time.monotonic() < until:
        ask(vm, "a0")
    assert arrivals_in_pause(busy) <= MOST_IN_PAUSE
    wait_for(partial(is_served, vm, "a1"), "work again")
    site.close()


def test_all_servers_that_ask_for_a_pause_are_answered_for_at_once(site: Site) -> None:
    vm = site.vms[0]
    for runner in site.plain:
        runner.fault, runner.fault_count = "busy 40", 1
    wait_for(lambda: look_up(vm) == 503, "refusals")
    status, _, headers = vm.send_request("GET", "/look/last", "last")
    assert status == 503
    assert 35.0 <= float(headers["Retry-After"]) <= 60.0
    wait_for(lambda: "reason=runners_limited" in vm.log.read_text(), "the reason")
    assert "last" not in [name for runner in site.plain for name in runner.ran]
