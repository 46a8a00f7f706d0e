"""VMs that grant what the requests of all VMs share at a runner."""

from __future__ import annotations

from collections.abc import Iterator

from gooseberryrun._internal.state import rank_nodes
from gooseberryrun._internal.state.serving import Runner

from ._peer_requests import PeerRequests


class Granters(PeerRequests):
    """Finds the VM to which a runner is assigned and its deputies, and asks them."""

    def ranked(self, runner: Runner) -> Iterator[str]:
        """Yield the VM that a runner is assigned to, then its deputies in order.

        The deputies are only ranked if they are needed.
        """
        owner = self._ctx.owner_of(runner)
        if owner is not None:
            yield owner.vm
        members = self._ctx.members().values()
        local = [member.vm for member in members if member.domain == runner.domain]
        for vm in rank_nodes(runner.id, local):
            if owner is None or vm != owner.vm:
                yield vm
