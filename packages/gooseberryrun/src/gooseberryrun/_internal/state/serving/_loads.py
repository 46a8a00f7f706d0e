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


@dataclass(slots=True)
class _Sum:
    """Sum of the peers' figures of one runner."""

    in_flight: int = 0
    unread_tokens: int = 0
    ok: int = 0
    failed: int = 0
    slowness: float = 0.0
    peers: int = 0

    def add(self, view: RunnerView, sign: int) -> None:
        """Add a peer's figures, or take them out with ``sign`` -1."""
        self.in_flight += sign * view.in_flight
        self.unread_tokens += sign * view.unread_tokens
        self.ok += sign * view.ok
        self.failed += sign * view.failed
        self.slowness += sign * view.slowness
        self.peers += sign


class RunnerLoads:
    """Sums what this VM and its peers have sent to each runner.

    Answers choices on every request over many runners and peers: the sums are kept
    up to date as figures come, so that reading one costs the same for any number.
    """

    def __init__(self) -> None:
        self._own: dict[str, _Own] = {}
        self._peers: dict[str, tuple[float, dict[str, RunnerView]]] = {}
        self._sums: dict[str, _Sum] = {}
        self._told: dict[str, tuple[float, RunnerView]] = {}

    def begin(self, runner: str, tokens: int) -> None:
        """Count a request that is sent to a runner."""
        own = self._own.setdefault(runner, _Own())
        own.in_flight += 1
        own.unread_tokens += tokens

    def record_first_event(self, runner: str, tokens: int) -> None:
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

    def receive(self, peer: str, views: dict[str, RunnerView], now: float) -> None:
        """Take in the figures of a peer; the order of hearing is that of time."""
        self._forget(peer)
        self._peers[peer] = (now, views)
        for runner, view in views.items():
            self._sums.setdefault(runner, _Sum()).add(view, 1)

    def receive_from_owner(self, runner: str, view: RunnerView, now: float) -> None:
        """Take in the sum that a runner's owner has told with an answer."""
        self._told[runner] = (now, view)

    def _forget(self, peer: str) -> None:
        """Take the figures of a peer out of the sums."""
        _, views = self._peers.pop(peer, (0.0, {}))
        for runner, view in views.items():
            known = self._sums[runner]
            known.add(view, -1)
            if not known.peers:
                del self._sums[runner]

    def _forget_old(self, now: float) -> None:
        """Forget the peers that were not heard for too long, the oldest come first."""
        while self._peers:
            peer = next(iter(self._peers))
            if now - self._peers[peer][0] <= PEER_VIEW_TTL_S:
                return
            self._forget(peer)

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
        self._forget_old(now)
        own = self._own.setdefault(runner, _Own())
        self._expire(own, now)
        return self._with_told(runner, self._sum(runner, self._view(own)), now)

    def _sum(self, runner: str, view: RunnerView) -> RunnerView:
        peers = self._sums.get(runner)
        if peers is None:
            return view
        return RunnerView(
            view.in_flight + peers.in_flight,
            view.unread_tokens + peers.unread_tokens,
            view.ok + peers.ok,
            view.failed + peers.failed,
            (view.slowness + peers.slowness) / (1 + peers.peers),
        )

    def _with_told(self, runner: str, view: RunnerView, now: float) -> RunnerView:
        """Return the owner's figures where they show more work than was heard of."""
        heard_at, told = self._told.get(runner, (float("-inf"), view))
        if now - heard_at > PEER_VIEW_TTL_S:
            return view
        return RunnerView(
            max(view.in_flight, told.in_flight),
            max(view.unread_tokens, told.unread_tokens),
            max(view.ok, told.ok),
            max(view.failed, told.failed),
            max(view.slowness, told.slowness),
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
