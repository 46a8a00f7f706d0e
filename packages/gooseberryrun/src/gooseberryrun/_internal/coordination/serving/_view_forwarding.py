"""Forwarding of a group's views to the VMs that would otherwise read them."""

from __future__ import annotations

import random
from collections.abc import Iterable

import eventlet

from gooseberryrun._internal.state.serving import Member, OwnershipState, View

from .._serving_messages import LeavingNotice, ViewNotice
from ._context import Context

REMOTE_VIEW_RECIPIENTS = 2
"""Members of each other failure domain to which a view read from the store is
forwarded."""
VIEW_REPEAT_S = 1.0
"""Time after which a view is forwarded again: less than an owner's lease, which the
next owner waits out."""


class ViewForwarding:
    """Sends the changes of one group to all local peers and some of each domain."""

    def __init__(self, ctx: Context, group: str, ownership: OwnershipState) -> None:
        self._ctx = ctx
        self._group = group
        self._ownership = ownership

    def forward(self, view: View) -> None:
        """Forward a view so that its recipients need not read it from the store."""
        self.send(self.recipients(), ViewNotice(self._group, view))
        eventlet.spawn_after(VIEW_REPEAT_S, self._repeat, view)

    def _repeat(self, view: View) -> None:
        """Forward a view again that a local peer may have missed."""
        if self._ownership.view == view:
            self.send(self._ctx.local_peer_ids(), ViewNotice(self._group, view))

    def send(self, vms: Iterable[str], message: ViewNotice | LeavingNotice) -> None:
        """Send a change to VMs."""
        self._ctx.peers.send_to_all(vms, message)

    def recipients(self) -> list[str]:
        """Return all local peers and some members of each other domain."""
        recipients = self._ctx.local_peer_ids()
        for view in self._ctx.remote_views.values():
            recipients += [m.vm for m in _sample(view.members, REMOTE_VIEW_RECIPIENTS)]
        return recipients


def _sample(members: tuple[Member, ...], count: int) -> list[Member]:
    """Return at most ``count`` random members."""
    return random.sample(members, min(count, len(members)))
