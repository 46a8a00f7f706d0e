"""Load and recent results of each runner, as counted here and by peers."""

from __future__ import annotations

from collections import deque

import msgspec

RESULT_WINDOW_S = 3.0
"""Age up to which results of attempts are used."""
PEER_VIEW_TTL_S = 2.5
"""Age up to which a peer's load figures are used."""
MEMORY_RESERVE = 0.1
"""Share of a runner's memory that stays free: what peers have sent within the last
round of gossip is not counted yet, and a runner whose memory is exceeded crashes."""
UNCOUNTED_REQUESTS = 3
"""Requests of the same size that peers may have sent since; a runner gets about four a
second from all VMs."""
SLOWNESS_WEIGHT = 0.2
"""Weight of the newest sample in the average slowness."""


class RunnerView(msgspec.Struct, frozen=True, array_like=True):
    """Load figures of one runner, as counted by one VM or summed over VMs.

    ``unread_tokens`` are prompt tokens of requests without a first event yet;
    ``slowness`` is the observed time to the first event over the expected one; ``ok``
    and ``failed`` count the attempts of the last RESULT_WINDOW_S seconds.
    ``held_tokens`` are the prompt and output tokens of the requests in flight.
    """

    in_flight: int
    unread_tokens: int
    ok: int
    failed: int
    slowness: float
    held_tokens: int = 0


class _OwnLoad(msgspec.Struct):
    """Requests of this VM at one runner; ``results`` are times and successes.

    ``ok`` counts the successes: every request reads it for many runners.
    """

    in_flight: int = 0
    unread_tokens: int = 0
    results: deque[tuple[float, bool]] = msgspec.field(default_factory=deque)
    ok: int = 0
    slowness: float = 1.0
    slowness_at: float = 0.0
    held_tokens: int = 0


class _PeerSum(msgspec.Struct):
    """Sum of the peers' load figures of one runner."""

    in_flight: int = 0
    unread_tokens: int = 0
    ok: int = 0
    failed: int = 0
    slowness: float = 0.0
    held_tokens: int = 0
    peers: int = 0

    def add(self, view: RunnerView, sign: int) -> None:
        """Add a peer's figures, or subtract them with ``sign`` -1."""
        self.in_flight += sign * view.in_flight
        self.unread_tokens += sign * view.unread_tokens
        self.ok += sign * view.ok
        self.failed += sign * view.failed
        self.slowness += sign * view.slowness
        self.held_tokens += sign * view.held_tokens
        self.peers += sign


def fits_memory(kv_total: int, held_tokens: int, tokens: int) -> bool:
    """Return whether a runner can hold a request beside those sent to it; all tokens.

    A runner that does not state its memory, 0, is not limited.
    """
    if not kv_total:
        return True
    if not held_tokens:
        return tokens <= kv_total
    reserve = max(MEMORY_RESERVE * kv_total, UNCOUNTED_REQUESTS * tokens)
    return held_tokens + tokens + reserve <= kv_total


class RunnerLoads:
    """Sums the load that this VM and its peers put on each runner.

    Every request reads the totals of many runners, so the sums over the peers are
    updated as figures arrive: a read costs the same for any number of peers.
    """

    def __init__(self) -> None:
        self._own: dict[str, _OwnLoad] = {}
        self._peers: dict[str, tuple[float, dict[str, RunnerView]]] = {}
        self._sums: dict[str, _PeerSum] = {}
        self._owner_totals: dict[str, tuple[float, RunnerView]] = {}

    def begin(self, runner: str, tokens: int, held_tokens: int = 0) -> None:
        """Count a request that is being sent to a runner."""
        own = self._own_load(runner)
        own.in_flight += 1
        own.unread_tokens += tokens
        own.held_tokens += held_tokens

    def _own_load(self, runner: str) -> _OwnLoad:
        own = self._own.get(runner)
        if own is None:
            own = self._own[runner] = _OwnLoad()
        return own

    def record_first_event(self, runner: str, tokens: int) -> None:
        """Subtract a prompt from the unread tokens: its first event has arrived."""
        self._own[runner].unread_tokens -= tokens

    def end(self, runner: str, held_tokens: int = 0) -> None:
        """Subtract a request that has ended from the count."""
        self._own[runner].in_flight -= 1
        self._own[runner].held_tokens -= held_tokens

    def record_result(self, runner: str, ok: bool, now: float) -> None:
        """Record the result of an attempt."""
        own = self._own_load(runner)
        own.results.append((now, ok))
        own.ok += ok

    def record_slowness(self, runner: str, ratio: float, now: float) -> None:
        """Record the observed over the expected time to the first event."""
        own = self._own_load(runner)
        own.slowness += SLOWNESS_WEIGHT * (min(ratio, 20.0) - own.slowness)
        own.slowness_at = now

    def receive(self, peer: str, views: dict[str, RunnerView], now: float) -> None:
        """Replace the figures of a peer; ``now`` must not decrease between calls."""
        self._remove_peer(peer)
        self._peers[peer] = (now, views)
        for runner, view in views.items():
            self._sums.setdefault(runner, _PeerSum()).add(view, 1)

    def receive_from_owner(self, runner: str, view: RunnerView, now: float) -> None:
        """Record the total that a runner's owner sent with a response."""
        self._owner_totals[runner] = (now, view)

    def expire_owner_totals(self, now: float) -> None:
        """Drop the totals of owners that are too old to be used."""
        self._owner_totals = {
            runner: (received_at, total)
            for runner, (received_at, total) in self._owner_totals.items()
            if now - received_at <= PEER_VIEW_TTL_S
        }

    def _remove_peer(self, peer: str) -> None:
        """Subtract the figures of a peer from the sums."""
        _, views = self._peers.pop(peer, (0.0, {}))
        for runner, view in views.items():
            peer_sum = self._sums[runner]
            peer_sum.add(view, -1)
            if not peer_sum.peers:
                del self._sums[runner]

    def _expire_peers(self, now: float) -> None:
        """Remove peers whose figures are too old; the oldest ones are first."""
        while self._peers:
            peer = next(iter(self._peers))
            if now - self._peers[peer][0] <= PEER_VIEW_TTL_S:
                return
            self._remove_peer(peer)

    def known_peers(self, now: float) -> set[str]:
        """Return the peers with recent figures."""
        self._expire_peers(now)
        return set(self._peers)

    def own_views(self, now: float) -> dict[str, RunnerView]:
        """Return this VM's figures, without runners that have nothing to report."""
        views = {}
        for runner, own in list(self._own.items()):
            self._expire(own, now)
            if own.in_flight or own.results or own.slowness > 1.5:
                views[runner] = self._view(own)
            elif own.slowness_at < now - 60:
                del self._own[runner]
        return views

    def total(self, runner: str, now: float) -> RunnerView:
        """Return the sum over this VM and the peers with recent figures."""
        self._expire_peers(now)
        own = self._own_load(runner)
        self._expire(own, now)
        return self._with_owner_total(
            runner, self._with_peers(runner, self._view(own)), now
        )

    def _with_peers(self, runner: str, view: RunnerView) -> RunnerView:
        peers = self._sums.get(runner)
        if peers is None:
            return view
        return RunnerView(
            view.in_flight + peers.in_flight,
            view.unread_tokens + peers.unread_tokens,
            view.ok + peers.ok,
            view.failed + peers.failed,
            (view.slowness + peers.slowness) / (1 + peers.peers),
            view.held_tokens + peers.held_tokens,
        )

    def _with_owner_total(
        self, runner: str, view: RunnerView, now: float
    ) -> RunnerView:
        """Return, field by field, the larger of the sum and the owner's total."""
        received_at, total = self._owner_totals.get(runner, (float("-inf"), view))
        if now - received_at > PEER_VIEW_TTL_S:
            return view
        return RunnerView(
            max(view.in_flight, total.in_flight),
            max(view.unread_tokens, total.unread_tokens),
            max(view.ok, total.ok),
            max(view.failed, total.failed),
            max(view.slowness, total.slowness),
            max(view.held_tokens, total.held_tokens),
        )

    @staticmethod
    def _view(own: _OwnLoad) -> RunnerView:
        return RunnerView(
            own.in_flight,
            own.unread_tokens,
            own.ok,
            len(own.results) - own.ok,
            round(own.slowness, 2),
            own.held_tokens,
        )

    @staticmethod
    def _expire(own: _OwnLoad, now: float) -> None:
        while own.results and own.results[0][0] < now - RESULT_WINDOW_S:
            own.ok -= own.results.popleft()[1]
        if now - own.slowness_at > RESULT_WINDOW_S:
            own.slowness = 1.0
