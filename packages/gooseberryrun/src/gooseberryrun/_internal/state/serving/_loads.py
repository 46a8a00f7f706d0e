"""Work and recent results of each runner, own and as told by peers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import msgspec

RESULT_WINDOW_S = 3.0
"""Age up to which results of attempts count."""
PEER_VIEW_TTL_S = 2.5
"""Age up to which a peer's figures count."""
SLOWNESS_WEIGHT = 0.2
"""Share of the newest sample in the average of slowness."""


class RunnerView(msgspec.Struct, frozen=True, array_like=True):
    """One VM's figures of one runner.

    ``unread_tokens`` are prompt tokens of requests without a first event yet;
    ``slowness`` is the observed time to the first event over the expected one.
    """

    in_flight: int
    unread_tokens: int
    ok: int
    failed: int
    slowness: float


@dataclass(slots=True)
class _Own:
    in_flight: int = 0
    unread_tokens: int = 0
    results: deque[tuple[float, bool]] = field(default_factory=deque)
    slowness: float = 1.0
    slowness_at: float = 0.0
    down_deadline: float = 0.0


class RunnerLoads:
    """Sums what this VM and its peers have sent to each runner."""

    def __init__(self) -> None:
        self._own: dict[str, _Own] = {}
        self._peers: dict[str, tuple[float, dict[str, RunnerView]]] = {}

    def begin(self, runner: str, tokens: int) -> None:
        """Count a request that is sent to a runner."""
        own = self._own.setdefault(runner, _Own())
        own.in_flight += 1
        own.unread_tokens += tokens

    def first_event(self, runner: str, tokens: int) -> None:
        """Count a prompt as read."""
        self._own[runner].unread_tokens -= tokens

    def end(self, runner: str) -> None:
        """Count a request as over."""
        self._own[runner].in_flight -= 1

    def record_result(self, runner: str, ok: bool, now: float) -> None:
        """Note the result of an attempt."""
        self._own.setdefault(runner, _Own()).results.append((now, ok))

    def record_slowness(self, runner: str, ratio: float, now: float) -> None:
        """Note observed over expected time to the first event."""
        own = self._own.setdefault(runner, _Own())
        own.slowness += SLOWNESS_WEIGHT * (min(ratio, 20.0) - own.slowness)
        own.slowness_at = now

    def mark_down(self, runner: str, until: float) -> None:
        """Keep new work from a runner that cannot be reached or is full."""
        self._own.setdefault(runner, _Own()).down_deadline = until

    def is_down(self, runner: str, now: float) -> bool:
        """Tell whether new work is kept from a runner."""
        own = self._own.get(runner)
        return own is not None and now < own.down_deadline

    def hear(self, peer: str, views: dict[str, RunnerView], now: float) -> None:
        """Take in the figures of a peer."""
        self._peers[peer] = (now, views)

    def own_views(self, now: float) -> dict[str, RunnerView]:
        """Return this VM's figures, runners without any left out."""
        views = {}
        for runner, own in list(self._own.items()):
            self._expire(own, now)
            if own.in_flight or own.results or own.slowness > 1.5:
                views[runner] = self._view(own)
            elif own.slowness_at < now - 60:
                del self._own[runner]
        return views

    def total(self, runner: str, now: float) -> RunnerView:
        """Return the sum over this VM and the peers heard of lately."""
        own = self._own.setdefault(runner, _Own())
        self._expire(own, now)
        views = [self._view(own)]
        for heard_at, peer_views in self._peers.values():
            if now - heard_at <= PEER_VIEW_TTL_S and runner in peer_views:
                views.append(peer_views[runner])
        return RunnerView(
            sum(view.in_flight for view in views),
            sum(view.unread_tokens for view in views),
            sum(view.ok for view in views),
            sum(view.failed for view in views),
            sum(view.slowness for view in views) / len(views),
        )

    @staticmethod
    def _view(own: _Own) -> RunnerView:
        ok = sum(result for _, result in own.results)
        failed = len(own.results) - ok
        return RunnerView(
            own.in_flight, own.unread_tokens, ok, failed, round(own.slowness, 2)
        )

    @staticmethod
    def _expire(own: _Own, now: float) -> None:
        while own.results and own.results[0][0] < now - RESULT_WINDOW_S:
            own.results.popleft()
        if now - own.slowness_at > RESULT_WINDOW_S:
            own.slowness = 1.0
