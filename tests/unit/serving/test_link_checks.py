"""Liveness checks of peer links happen only when one is due."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from gooseberryrun._internal.state import ManualClock, ServingSettings
from gooseberryrun._internal.transport import PeerLinks
from gooseberryrun._internal.transport import _peer_links as module
from gooseberryrun._internal.transport._liveness import PING_AFTER_S

LINKS = 40


class Timers:
    """Timers of a hub in virtual time; counts those that fired."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._queue: list[Any] = []
        self._numbers: Iterator[int] = iter(range(1 << 30))
        self.fired = 0

    def schedule_call_global(
        self, delay_s: float, function: Callable[[], None]
    ) -> _Timer:
        timer = _Timer(function)
        due_at = self._clock.monotonic() + delay_s
        heapq.heappush(self._queue, (due_at, next(self._numbers), timer))
        return timer

    def run_until(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            due_at, _, timer = heapq.heappop(self._queue)
            if not timer.is_cancelled:
                self._clock.now = due_at
                self.fired += 1
                timer.function()
        self._clock.now = until


class _Timer:
    def __init__(self, function: Callable[[], None]) -> None:
        self.function = function
        self.is_cancelled = False

    def cancel(self) -> None:
        self.is_cancelled = True


class Links:
    """Peer links whose streams never open, in virtual time."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = ManualClock()
        self.timers = Timers(self.clock)
        monkeypatch.setattr(module, "get_hub", lambda: self.timers)
        monkeypatch.setattr(module, "spawn_for_awaitable", lambda task: task.close())
        cfg = ServingSettings.model_validate(
            {
                "vm": {"id": "vm-0", "domain": "d0", "address": "127.0.0.1"},
                "peer": {"port": 1, "secret": "s", "connect_timeout_s": 0.4},
                "entry": {"callers": "a:1", "readiness": "a:2", "metrics_port": 3},
                "store": {"address": "a:4"},
            }
        )
        self.peers = PeerLinks(cfg, self.clock)

    def open(self, count: int) -> None:
        for number in range(count):
            self.peers._get_link(f"vm-{number + 1}")

    def await_reply(self, vm: str) -> list[Any]:
        """Leave a request unanswered; return the results that it gets."""
        results: list[Any] = []

        class Waiter:
            def send(self, result: Any) -> None:
                results.append((links.clock.monotonic(), result))

        links = self
        now = self.clock.monotonic()
        waiter: Any = Waiter()
        link = self.peers._get_link(vm)
        link.pending[len(link.pending) + 1] = module._PendingRequest(waiter, now)
        self.peers._schedule_check(now + PING_AFTER_S)
        return results


@pytest.fixture(name="links")
def _links(monkeypatch: pytest.MonkeyPatch) -> Links:
    return Links(monkeypatch)


def test_idle_links_cause_no_wake_ups(links: Links) -> None:
    """Guards against ten wake-ups a second of each idle VM."""
    links.open(LINKS)
    links.timers.run_until(29.0)
    assert links.timers.fired == 0


def test_idle_links_are_closed_after_the_idle_time(links: Links) -> None:
    """Guards against links that stay open since nothing checks them any more."""
    links.open(LINKS)
    links.timers.run_until(10.0)
    links.open(1)
    links.timers.run_until(31.0)
    assert list(links.peers._links) == ["vm-1"]
    links.timers.run_until(41.0)
    assert not links.peers._links
    assert links.timers.fired <= 3


def test_silence_is_noticed_as_soon_as_by_a_periodic_check(links: Links) -> None:
    """Guards against a later detection: a ping at 0.25 to 0.35 s, then 0.4 s."""
    links.timers.run_until(5.0)
    results = links.await_reply("vm-1")
    links.timers.run_until(6.0)
    assert [failed_at - 5.0 for failed_at, _ in results] == [pytest.approx(0.65)]
    assert links.peers._links["vm-1"].liveness.is_silent


def test_many_slow_replies_cost_no_more_than_a_periodic_check(links: Links) -> None:
    """Guards against a check for each of many requests that wait for a load."""
    for number in range(300):
        links.timers.run_until(number * 0.013)
        link = links.peers._get_link(f"vm-{number % LINKS}")
        link.liveness.record_contact(links.clock.monotonic())
        links.await_reply(f"vm-{number % LINKS}")
    assert links.timers.fired <= 300 * 0.013 / module.MIN_CHECK_INTERVAL_S + 1
