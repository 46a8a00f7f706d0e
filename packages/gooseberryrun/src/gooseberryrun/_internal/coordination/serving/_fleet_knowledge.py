"""What this VM knows of all entry VMs together, and whether that can be relied on."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import (
    FORMER_MEMBER_TTL_S,
    Topic,
    estimate_vms,
)

from ._context import Context


def known_vm_count(ctx: Context) -> int:
    """Return the number of VMs that may share an allowance, 0 if it is unknown.

    It is unknown to a VM that has started in a partition and knows no other VM, nor a
    view of its own domain.
    """
    count_vms(ctx)
    return ctx.fleet_size.value(ctx.clock.monotonic())


def count_vms(ctx: Context) -> int:
    """Count the VMs known now; return the largest recent count, 0 if unknown."""
    now = ctx.clock.monotonic()
    ctx.fleet_size.count(_count_present(ctx, now), now)
    return ctx.fleet_size.counted(now)


def _count_present(ctx: Context, now: float) -> int:
    """Return the number of members and of other VMs that gossip was received from.

    A VM that has started in a partition may know no member yet.
    """
    heard = {
        vm
        for vm, status in ctx.store_statuses.items()
        if now - status.received_at <= FORMER_MEMBER_TTL_S
    }
    views = dict(ctx.remote_views)
    if ctx.ownership.view.members:
        views[ctx.cfg.vm.domain] = ctx.ownership.view
    members = {
        group: {member.vm for member in view.members} for group, view in views.items()
    }
    if not heard and not any(members.values()):
        return 0
    domains = {*ctx.cfg.membership.domains, ctx.cfg.vm.domain}
    return estimate_vms(members, domains, heard | {ctx.vm})


def knows_registry_of_all(ctx: Context) -> bool:
    """Return whether no VM can have read more of the registry than this one.

    That is so while all VMs report that they cannot reach the store, and none has read
    the registry further.
    """
    now = ctx.clock.monotonic()
    peers = ctx.peer_ids()
    if ctx.can_reach_store or len(peers) + 1 < known_vm_count(ctx):
        return False
    if not peers or not ctx.is_store_unreachable_for_all(peers, now):
        return False
    own_end = ctx.directory.ends[Topic.RUNNERS]
    return all(ctx.store_statuses[vm].registry_end <= own_end for vm in peers)
