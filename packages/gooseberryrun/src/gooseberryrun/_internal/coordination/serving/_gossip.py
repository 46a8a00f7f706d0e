"""Periodic exchange of load figures and status between entry VMs.

A VM with load, or with news that peers may need, tells ``FANOUT`` peers in each round.
An idle one tells a few fixed contacts, which is enough to know that it is there.
"""

from __future__ import annotations

import itertools
import random
from collections import defaultdict
from collections.abc import Callable

import eventlet
import msgspec

from gooseberryrun._internal.state.serving import (
    IDLE_FANOUT,
    GossipActivity,
    Position,
    Topic,
    idle_contacts,
)

from .._serving_messages import ResidencyNotice, ServingGossip
from .._tasks import spawn_until_done
from ._context import Context, StoreStatus
from ._fleet_knowledge import count_vms
from .crossing import Crossing

INTERVAL_S = 0.5
FANOUT = 8
"""Peers per round; fixed, so that the cost does not grow with the number of VMs."""
REMOTE_FANOUT = 2
"""Smallest number of peers of other failure domains per round."""
MIN_LOCAL_FANOUT = 2
"""Peers of the own failure domain that a reader keeps per round: it tells each other
domain the pressure of its own."""
RESIDENCY_ROUNDS = 6
"""Rounds between two repetitions of the owned runners' residency."""
CONTACT_ROUNDS = 40
"""Rounds after which the contacts in other failure domains are chosen anew."""


class Gossip:
    """Sends this VM's positions and load figures to random peers."""

    def __init__(
        self,
        ctx: Context,
        own_residency: Callable[[], list[ResidencyNotice]],
        handle_residency_notice: Callable[[str, ResidencyNotice], None],
        crossing: Crossing | None = None,
    ) -> None:
        self._ctx = ctx
        self._crossing = crossing
        self._handle_residency_notice = handle_residency_notice
        self._own_residency = own_residency
        self._rounds = itertools.count()
        self._turns = itertools.count()
        self._contacts: list[str] = []
        self._contact_rounds = 0
        self._activity = GossipActivity()
        self._was_reader = False

    def start(self) -> None:
        """Start the gossip loop in a green thread."""
        spawn_until_done("gossip", self._run)

    def _run(self) -> None:
        while True:
            eventlet.sleep(INTERVAL_S * random.uniform(0.8, 1.2))
            self.send_round()

    def send_round(self) -> None:
        """Send this VM's figures and reports to the peers of one round.

        Traffic between domains costs, so it carries fewer summaries of pressure there.
        """
        crossing, peers = self._crossing, self._ctx.peers
        if crossing is not None:
            crossing.step()
        gossip = self._make_gossip()
        self._record_activity(gossip)
        picked = self._pick_peers() if self._is_wide(gossip) else self._pick_contacts()
        if crossing is None or not crossing.is_enabled:
            peers.send_to_all(picked, gossip)
            return
        local = picked.intersection(self._ctx.local_peer_ids())
        own, known = crossing.summaries_for_others(), crossing.summaries_for_domain()
        peers.send_to_all(local, msgspec.structs.replace(gossip, pressure=known))
        peers.send_to_all(picked - local, msgspec.structs.replace(gossip, pressure=own))

    def _record_activity(self, gossip: ServingGossip) -> None:
        now = self._ctx.clock.monotonic()
        if gossip.views or not gossip.can_reach_store or self._ctx.weights.has_news():
            self._activity.record_news(now)
        if not gossip.configuration_version:
            # All VMs that start read their first configuration, which is no news.
            return
        # The end of the registry changes with each heartbeat of a runner, and peers
        # get it from the readers of their domain.
        reports = (
            gossip.can_reach_store,
            gossip.ends.get(Topic.CONFIGURATION),
            gossip.configuration_version,
            gossip.evidence_digest,
            tuple(sorted((runner, lim) for runner, (_, lim) in gossip.limits.items())),
            tuple(sorted((runner, lim) for runner, (_, lim) in gossip.brittle.items())),
            tuple(sorted(gossip.leaving.items())),
        )
        self._activity.record_reports(reports, now)

    def _is_wide(self, gossip: ServingGossip) -> bool:
        """Return whether this round goes to as many peers as under load.

        Rounds with residency always do: a peer that missed a change learns it so.
        """
        now = self._ctx.clock.monotonic()
        return bool(gossip.residency) or self._activity.is_active(now)

    def _pick_contacts(self) -> set[str]:
        """Return the contacts of an idle VM whose turn it is, and former members."""
        ctx = self._ctx
        local = ctx.local_peer_ids()
        remote = self._remote_contacts(max(REMOTE_FANOUT, FANOUT - len(local)))
        contacts = idle_contacts(ctx.vm, local, remote)
        turn = next(self._turns) % max(1, -(-len(contacts) // IDLE_FANOUT))
        picked = contacts[turn * IDLE_FANOUT : (turn + 1) * IDLE_FANOUT]
        return {*picked, *ctx.former_peer_ids()[:FANOUT]}

    def _pick_peers(self) -> set[str]:
        """Return random peers, and former members, which need this VM's store status.

        They may be partitioned from the store only.
        """
        ctx = self._ctx
        local = ctx.local_peer_ids()
        remote_count = max(REMOTE_FANOUT, FANOUT - len(local))
        if self._crossing is not None and self._crossing.is_reader:
            others = min(len(ctx.remote_views), FANOUT - MIN_LOCAL_FANOUT)
            remote_count = max(remote_count, others)
        picked = set(self._remote_contacts(remote_count))
        picked.update(random.sample(local, min(FANOUT - len(picked), len(local))))
        picked.update(ctx.former_peer_ids()[:FANOUT])
        return picked

    def _remote_contacts(self, count: int) -> list[str]:
        """Return members of other failure domains, the same ones for many rounds.

        Reusing contacts avoids new connections, since a connection in use stays open.
        """
        remote = self._ctx.remote_peer_ids()
        self._contact_rounds += 1
        self._contacts = [vm for vm in self._contacts if vm in remote][:count]
        is_reader = self._crossing is not None and self._crossing.is_reader
        is_due = self._contact_rounds % CONTACT_ROUNDS == 0
        if is_reader is not self._was_reader:
            self._was_reader = is_reader
            is_due = True
        if is_due or len(self._contacts) < min(count, len(remote)):
            self._contacts = self._choose_contacts(remote, count)
        return self._contacts

    def _choose_contacts(self, remote: list[str], count: int) -> list[str]:
        """Return random contacts; a reader has them in as many domains as possible.

        Each domain thus gets the summaries of the others.
        """
        if not self._was_reader:
            return random.sample(remote, min(count, len(remote)))
        members = self._ctx.members()
        by_domain: defaultdict[str, list[str]] = defaultdict(list)
        for vm in random.sample(remote, len(remote)):
            by_domain[members[vm].domain].append(vm)
        columns = itertools.zip_longest(
            *random.sample([*by_domain.values()], len(by_domain))
        )
        return [vm for column in columns for vm in column if vm][:count]

    def _make_gossip(self) -> ServingGossip:
        ctx = self._ctx
        now = ctx.clock.monotonic()
        return ServingGossip(
            vm=ctx.vm,
            reaches_runners=ctx.reach.reaches_runners(now),
            misses_runners=ctx.reach.unreached > 0,
            callers=ctx.cfg.entry.callers,
            can_reach_store=ctx.can_reach_store,
            ends=dict(ctx.directory.ends),
            views=ctx.loads.own_views(now),
            residency=self._residency(),
            evidence_digest=ctx.evidence.digest(),
            limits=ctx.statements.recent(now),
            brittle=ctx.brittle.recent(now),
            leaving=ctx.directory.stated_leaving(),
            configuration_version=ctx.directory.configuration_version,
            counted_vms=count_vms(ctx),
            weights=ctx.weights.next_round(),
        )

    def _residency(self) -> list[ResidencyNotice]:
        """Return all notices every few rounds; changes are sent separately."""
        return [] if next(self._rounds) % RESIDENCY_ROUNDS else self._own_residency()

    def receive(self, gossip: ServingGossip) -> None:
        """Apply the figures and reports of a peer."""
        ctx = self._ctx
        now = ctx.clock.monotonic()
        ctx.loads.receive(gossip.vm, gossip.views, now)
        ctx.store_statuses[gossip.vm] = StoreStatus(
            now,
            gossip.can_reach_store,
            registry_end=gossip.ends.get(Topic.RUNNERS, Position()),
        )
        if not gossip.can_reach_store:
            # It may need a peer that renews its lease or has newer records.
            self._activity.record_news(now)
        ctx.fleet_size.hear(gossip.counted_vms, now)
        ctx.reach.hear(gossip.vm, gossip.reaches_runners, gossip.misses_runners, now)
        if gossip.callers:
            ctx.caller_addresses[gossip.vm] = gossip.callers
        for runner_id, weight in gossip.weights.items():
            ctx.weights.merge(runner_id, weight)
        if self._crossing is not None:
            self._crossing.receive(gossip.pressure)
        for notice in gossip.residency:
            runner = ctx.directory.runner(notice.runner)
            if runner is None or ctx.follows(runner):
                self._handle_residency_notice(gossip.vm, notice)
