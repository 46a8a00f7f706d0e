"""Usage caps at three entry VMs: what all of them send on together."""

from __future__ import annotations

import http.client
import itertools
import threading
import time
from collections.abc import Iterator

import pytest

from tests.lib.platform_site import Site, make_config, request_headers, wait_for

KEY = "gk-51c0aa97d2"
FREE_KEY = "gk-9b1e74f0c8"
RATE_PER_S = 10.0
WINDOW_S = 8.0
BOUND = (RATE_PER_S * WINDOW_S + RATE_PER_S) * 1.1
CALLERS = 6
PAUSE_S = 0.03


@pytest.fixture(name="site", scope="module")
def _site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    site = Site(tmp_path_factory.mktemp("caps"), vms=3, models=1)
    site.wait_for_members()
    config = make_config(2)
    config["tenants"] = [
        {
            "name": "acme",
            "api_keys": [KEY],
            "unit": "requests",
            "rate_per_s": RATE_PER_S,
            "burst": RATE_PER_S,
        },
        {"name": "free", "api_keys": [FREE_KEY]},
    ]
    site.store.put("keyed.op", "config", config)
    says = "says=configuration:2"
    wait_for(lambda: all(says in vm.log.read_text() for vm in site.vms), says)
    # VMs that have just started own nothing for some seconds.
    headers = {"Authorization": f"Token {KEY}"}
    ids = (f"w{number}" for number in itertools.count())
    wait_for(
        lambda: (
            site.vms[0].send_request("GET", "/look/a", next(ids), None, **headers)[0]
            == 200
        ),
        "an allocator",
    )
    yield site
    site.close()


class Callers:
    """Callers that come back at once, evenly at all VMs that are alive."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._ends_at = 0.0
        self.served: list[float] = []
        self.refused: list[tuple[int, str | None]] = []
        self._threads: list[threading.Thread] = []

    def start(self, seconds: float) -> None:
        """Start calling, for some seconds."""
        self._ends_at = time.monotonic() + seconds
        for number in range(CALLERS):
            thread = threading.Thread(target=self._call, args=(number,))
            thread.start()
            self._threads.append(thread)

    def join(self) -> None:
        """Wait for the end."""
        for thread in self._threads:
            thread.join()

    def _call(self, number: int) -> None:
        vm = self._site.vms[number % len(self._site.vms)]
        count = 0
        while time.monotonic() < self._ends_at:
            count += 1
            request_id = f"c{id(self)}-{number}-{count}"
            headers = request_headers(request_id, Authorization=f"Token {KEY}")
            try:
                conn = vm.connect()
                conn.request("GET", "/look/a", None, headers)
                response = conn.getresponse()
                response.read()
                conn.close()
            except (OSError, http.client.HTTPException):
                time.sleep(0.1)
                continue
            if response.status == 200:
                self.served.append(time.monotonic())
            else:
                retry_after = response.headers.get("Retry-After")
                self.refused.append((response.status, retry_after))
            time.sleep(PAUSE_S)

    def largest_window(self) -> int:
        """Return the most requests that were served within a window."""
        times = sorted(self.served)
        return max(sum(t <= u < t + WINDOW_S for u in times) for t in times)


def test_vms_together_serve_what_the_cap_allows(site: Site) -> None:
    callers = Callers(site)
    callers.start(12.0)
    callers.join()
    assert callers.largest_window() <= BOUND
    assert len(callers.served) >= 0.9 * 12.0 * RATE_PER_S
    assert {status for status, _ in callers.refused} == {429}
    assert all(retry and 0.0 < float(retry) <= 6.0 for _, retry in callers.refused)


def test_bound_holds_while_the_allocator_is_killed(site: Site) -> None:
    """Its successor begins when its lease has run out, with an empty bucket."""
    logs = {vm: vm.log.read_text() for vm in site.vms}
    allocators = [
        vm
        for vm, text in logs.items()
        if "event=usage_allocator account=acme" in text and "is_allocator=True" in text
    ]
    assert len(allocators) == 1
    callers = Callers(site)
    callers.start(16.0)
    time.sleep(2.0)
    allocators[0].kill()
    time.sleep(4.0)
    allocators[0].restart()
    callers.join()
    assert callers.largest_window() <= BOUND
    assert len(callers.served) >= 0.4 * 16.0 * RATE_PER_S


def test_account_without_a_cap_is_not_limited(site: Site) -> None:
    wait_for(lambda: all(vm.is_ready() for vm in site.vms), "all ready")
    for count in range(60):
        vm = site.vms[count % 3]
        headers = {"Authorization": f"Token {FREE_KEY}"}
        status, _, _ = vm.send_request("GET", "/look/a", f"f{count}", None, **headers)
        assert status == 200
