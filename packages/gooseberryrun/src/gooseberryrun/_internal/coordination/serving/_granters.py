"""VMs that grant what the requests of all VMs share at a runner."""

from __future__ import annotations

import math
from collections.abc import Iterator

from result import Err

from gooseberryrun._internal.state import rank_nodes
from gooseberryrun._internal.state.serving import Runner

from .._events import log_event
from .._messages import PeerMessage
from ._context import Context

SILENCE_S = 1.0
"""Time for which a VM that did not answer is not asked again."""


class Granters:
    """Finds the VM to which a runner is assigned and its deputies, and asks them."""

    def __init__(self, ctx: Context, answer_timeout_s: float) -> None:
        self._ctx = ctx
        self._answer_timeout_s = answer_timeout_s
        self._silent_until: dict[str, float] = {}

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

    def ask(
        self, granter: str, message: PeerMessage, request_id: str
    ) -> PeerMessage | None:
        """Ask another VM; return None if it does not answer, or did not lately."""
        if self.is_silent(granter):
            return None
        deadline = self._ctx.clock.monotonic() + self._answer_timeout_s
        reply = self._ctx.peers.request_from(granter, message, deadline)
        if isinstance(reply, Err):
            self.record_silence(granter, request_id, reply.err_value.detail)
            return None
        return reply.ok_value

    def is_silent(self, granter: str) -> bool:
        """Return whether a VM did not answer lately, and is not asked."""
        now = self._ctx.clock.monotonic()
        return now < self._silent_until.get(granter, -math.inf)

    def record_silence(self, granter: str, request_id: str, why: str) -> None:
        """Record that a VM did not answer as expected."""
        self._silent_until[granter] = self._ctx.clock.monotonic() + SILENCE_S
        log_event("granter_unreachable", request=request_id, granter=granter, why=why)
