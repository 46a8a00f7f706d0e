"""Parts of the retry slack while VMs know fewer VMs than share it."""

from __future__ import annotations

from typing import Any

import pytest
from gooseberryrun._internal.coordination.serving import Context
from gooseberryrun._internal.coordination.serving._fleet_knowledge import (
    count_vms,
    known_vm_count,
)
from gooseberryrun._internal.coordination.serving._gossip import Gossip
from gooseberryrun._internal.state.serving import Member, View
from gooseberryrun._internal.state.serving._fleet_size import HOLD_S

from tests.lib.retries import MAX_RETRIES, FailingFleet


@pytest.fixture
def fleet() -> FailingFleet:
    return FailingFleet(9)


def forget(ctx: Context, members: list[Member]) -> None:
    """Let the views of a VM lose members, as their leases lapse."""
    groups = {member.domain for member in members}
    gone = {member.vm for member in members}
    for group in groups - {ctx.cfg.vm.domain}:
        view = ctx.remote_views[group]
        left = tuple(m for m in view.members if m.vm not in gone)
        ctx.update_remote_view(group, View(view.generation + 1, left))
    if ctx.cfg.vm.domain in groups:
        view = ctx.ownership.view
        left = tuple(m for m in view.members if m.vm not in gone)
        ctx.ownership.adopt(View(view.generation + 1, left), 0.0)


def isolate(ctx: Context) -> None:
    """Take a VM all that it has learnt of other VMs."""
    ctx.remote_views.clear()
    ctx.ownership.leave([], 0.0)


def spend(fleet: FailingFleet, member: Member) -> int:
    """Let requests fail until the budget denies even the first retry of one."""
    granted = total = fleet.fail_request(member)
    while granted == MAX_RETRIES:
        granted = fleet.fail_request(member)
        total += granted
    return total


def gossip_of(ctx: Context) -> Gossip:
    nothing: Any = None
    return Gossip(ctx, list, nothing)


def test_vms_whose_peers_are_lost_do_not_get_what_these_have_spent(
    fleet: FailingFleet,
) -> None:
    last = fleet.members[0]
    lost = fleet.members[1:]
    for member in fleet.members:
        spend(fleet, member)
    fleet.clock.now += 4.0
    forget(fleet.contexts[last.vm], lost)
    spend(fleet, last)
    assert fleet.excess() <= 0


def test_vms_of_domains_that_are_cut_off_from_one_another_share_the_slack(
    fleet: FailingFleet,
) -> None:
    """Each VM has started in the cut and knows those of its own domain only."""
    for member in fleet.members:
        ctx = fleet.restart(member)
        domains = ["d0", "d1", "d2"]
        membership = ctx.cfg.membership.model_copy(update={"domains": domains})
        ctx.cfg = ctx.cfg.model_copy(update={"membership": membership})
        ctx.remote_views.clear()
    fleet.clock.now += 2 * fleet.cfg.window_s
    for member in fleet.members:
        spend(fleet, member)
    assert len(fleet.retries) > 0
    assert fleet.excess() <= 0


def test_vms_that_each_know_no_other_do_not_take_the_slack_of_all(
    fleet: FailingFleet,
) -> None:
    for member in fleet.members:
        isolate(fleet.restart(member))
    fleet.clock.now += 2 * fleet.cfg.window_s
    for _ in range(20):
        for member in fleet.members:
            fleet.fail_request(member)
    assert len(fleet.retries) > 0
    assert fleet.excess() <= 0


def test_vm_that_starts_learns_the_number_of_vms_from_a_peer(
    fleet: FailingFleet,
) -> None:
    new, peer = fleet.members[:2]
    ctx = fleet.restart(new)
    isolate(ctx)
    assert known_vm_count(ctx) == 0
    gossip_of(ctx).receive(gossip_of(fleet.contexts[peer.vm])._make_gossip())
    assert known_vm_count(ctx) == len(fleet.members)


def test_number_that_peers_tell_one_another_does_not_last_for_ever(
    fleet: FailingFleet,
) -> None:
    pair = [
        fleet.contexts[member.vm] for member in fleet.members if member.domain == "d0"
    ]
    left, right = pair[:2]
    lost = [m for m in fleet.members if m.vm not in (left.vm, right.vm)]
    for ctx in pair:
        count_vms(ctx)
    for ctx in (left, right):
        forget(ctx, lost)
    for _ in range(3 * int(HOLD_S)):
        fleet.clock.now += 1.0
        gossip_of(left).receive(gossip_of(right)._make_gossip())
        gossip_of(right).receive(gossip_of(left)._make_gossip())
    assert known_vm_count(left) == known_vm_count(right) == 2


def test_vm_that_is_left_alone_gets_the_whole_slack_in_the_end(
    fleet: FailingFleet,
) -> None:
    last = fleet.members[0]
    ctx = fleet.contexts[last.vm]
    count_vms(ctx)
    forget(ctx, fleet.members[1:])
    fleet.clock.now += HOLD_S + 1.0
    assert spend(fleet, last) > 0.6 * fleet.cfg.slack
