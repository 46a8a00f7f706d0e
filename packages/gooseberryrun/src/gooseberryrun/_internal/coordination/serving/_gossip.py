"""Figures that entry VMs tell each other at intervals."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

import eventlet

from .._serving_messages import ResidencyNotice, ServingGossip
from .._tasks import spawn_lasting
from ._context import Context, StoreView

INTERVAL_S = 0.5
FANOUT = 8
"""Peers told at a time; fixed, so that the cost does not grow with the VMs."""
RESIDENCY_ROUNDS = 6
"""Rounds after which what the owned runners hold is told again."""
CRASH_TOLD_S = 5.0
"""Time for which a crash is told."""


class Gossip:
    """Tells random peers what this VM has read, sent and seen."""

    def __init__(
        self,
        ctx: Context,
        own_residency: Callable[[], list[ResidencyNotice]],
        hear_residency: Callable[[str, ResidencyNotice], None],
    ) -> None:
        self._ctx = ctx
        self._hear_residency = hear_residency
        self._own_residency = own_residency
        self._rounds = itertools.count()

    def start(self) -> None:
        """Tell in a green thread of its own."""
        spawn_lasting("gossip", self._tell_all)

    def _tell_all(self) -> None:
        while True:
            eventlet.sleep(INTERVAL_S * random.uniform(0.8, 1.2))
            gossip = self._gossip()
            for peer in self._pick_peers():
                self._ctx.peers.tell(peer, gossip)

    def _pick_peers(self) -> set[str]:
        """Return some peers, and all that have to know how this VM fares.

        Members that the store has dropped may be cut off from it only. A VM without
        the store keeps its runners while its neighbours say that they lost it too.
        """
        ctx = self._ctx
        peers = ctx.peer_ids()
        picked = set(random.sample(peers, min(FANOUT, len(peers))))
        picked.update(ctx.former_peer_ids()[:FANOUT])
        if not ctx.has_store:
            picked.update(ctx.near_peer_ids())
        return picked

    def _gossip(self) -> ServingGossip:
        ctx = self._ctx
        now = ctx.clock.monotonic()
        ctx.crashes = [item for item in ctx.crashes if now - item[0] < CRASH_TOLD_S]
        return ServingGossip(
            vm=ctx.vm,
            has_store=ctx.has_store,
            ends=dict(ctx.directory.ends),
            views=ctx.loads.own_views(now),
            residency=self._residency(),
            crashes=[report for _, report in ctx.crashes],
        )

    def _residency(self) -> list[ResidencyNotice]:
        """Return all notices now and then; changes are told as they come."""
        return [] if next(self._rounds) % RESIDENCY_ROUNDS else self._own_residency()

    def hear(self, gossip: ServingGossip) -> None:
        """Take in what a peer tells."""
        ctx = self._ctx
        now = ctx.clock.monotonic()
        ctx.loads.hear(gossip.vm, gossip.views, now)
        ctx.store_views[gossip.vm] = StoreView(now, gossip.has_store)
        for notice in gossip.residency:
            self._hear_residency(gossip.vm, notice)
        for report in gossip.crashes:
            ctx.record_crash(report)
