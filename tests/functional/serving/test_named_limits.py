"""Runners that name the rate of requests that they take from all VMs together."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from tests.functional.serving.test_several_vms import ask_stream
from tests.lib.platform_site import EntryVm, Site, wait_for

SETTLE_S = 3.0
"""Time after the first answer with a limit from which it has to be kept."""
WATCHED_S = 7.0
SPAN_S = 4.0
"""Length of the spans in which the requests are counted."""
CALLERS = 8


def allowed(limit_per_s: float) -> float:
    """Return the requests that the users' platform allows in ``SPAN_S`` seconds."""
    return 1.5 * limit_per_s * SPAN_S + 5


def press(site: Site, ask: Callable[[EntryVm, str], int]) -> list[int]:
    """Send requests from several callers to all VMs; return the statuses."""
    statuses: list[int] = []
    stop_at = time.monotonic() + SETTLE_S + WATCHED_S

    def call(caller: int) -> None:
        number = 0
        while time.monotonic() < stop_at:
            number += 1
            vm = site.vms[(caller + number) % len(site.vms)]
            statuses.append(ask(vm, f"r{caller}-{number}"))
            time.sleep(0.05)

    threads = [threading.Thread(target=call, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


def look_up(vm: EntryVm, request_id: str) -> int:
    """Send a request to a plain service; return its status."""
    return vm.send_request("GET", f"/look/{request_id}", request_id)[0]


def test_plain_server_gets_no_more_than_it_takes_from_all_vms(site: Site) -> None:
    limited = site.plain[0]
    limited.own_headers.append(("Server-Limit", "1.5"))
    since = time.monotonic() + SETTLE_S
    statuses = press(site, look_up)
    assert limited.most_arrivals(SPAN_S, since) <= allowed(1.5)
    assert statuses.count(200) >= 0.9 * len(statuses)


def test_model_runner_gets_no_more_than_it_takes_from_all_vms(site: Site) -> None:
    def stream(vm: EntryVm, request_id: str) -> int:
        return ask_stream(vm, request_id, f"a{int(request_id[-1]) % 4}")

    wait_for(lambda: stream(site.vms[0], "warm-1") == 200, "a stream")
    limited = site.models[0]
    limited.own_headers.append(("Server-Limit", "1.5"))
    since = time.monotonic() + SETTLE_S
    statuses = press(site, stream)
    assert limited.most_arrivals(SPAN_S, since) <= allowed(1.5)
    assert statuses.count(200) >= 0.5 * len(statuses)
