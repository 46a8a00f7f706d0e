"""Figures that entry VMs tell each other at intervals."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

import eventlet

from .._serving_messages import ResidencyNotice, ServingGossip
from .._tasks import spawn_until_done
from ._context import Context, StoreView

INTERVAL_S = 0.5
FANOUT = 8
"""Peers told at a time; fixed, so that the cost does not grow with the VMs."""
FAR_FANOUT = 2
"""Those of them in other failure domains, where there are more peers than that."""
RESIDENCY_ROUNDS = 6
"""Rounds after which what the owned runners hold is told again."""
CONTACT_ROUNDS = 40
"""Rounds after which other members of other failure domains are told."""
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
        self._contacts: list[str] = []
        self._contact_rounds = 0

    def start(self) -> None:
        """Tell in a green thread of its own."""
        spawn_until_done("gossip", self._tell_all)

    def _tell_all(self) -> None:
        while True:
            eventlet.sleep(INTERVAL_S * random.uniform(0.8, 1.2))
            gossip = self._gossip()
            self._ctx.peers.send_to_all(self._pick_peers(), gossip)

    def _pick_peers(self) -> set[str]:
        """Return some peers, and all that have to know how this VM fares.

        Members that the store has dropped may be cut off from it only. A VM without
        the store keeps its runners while its neighbours say that they lost it too.
        """
        ctx = self._ctx
        near = ctx.near_peer_ids()
        picked = set(self._far_contacts(max(FAR_FANOUT, FANOUT - len(near))))
        picked.update(random.sample(near, min(FANOUT - len(picked), len(near))))
        picked.update(ctx.former_peer_ids()[:FANOUT])
        if not ctx.has_store:
            picked.update(ctx.near_peer_ids())
        return picked

    def _far_contacts(self, count: int) -> list[str]:
        """Return some members of other failure domains, the same for a while.

        Each contact is a connection that stays open while it is used.
        """
        far = self._ctx.far_peer_ids()
        self._contact_rounds += 1
        self._contacts = [vm for vm in self._contacts if vm in far][:count]
        is_due = self._contact_rounds % CONTACT_ROUNDS == 0
        if is_due or len(self._contacts) < min(count, len(far)):
            self._contacts = random.sample(far, min(count, len(far)))
        return self._contacts

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
            runner = ctx.directory.runner(notice.runner)
            if runner is None or ctx.follows(runner):
                self._hear_residency(gossip.vm, notice)
        for report in gossip.crashes:
            ctx.record_crash(report)
