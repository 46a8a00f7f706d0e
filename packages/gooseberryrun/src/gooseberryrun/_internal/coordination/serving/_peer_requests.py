"""Requests to peers that may not answer, each within a short time."""

from __future__ import annotations

import math
from typing import TypeVar

from result import Err

from .._events import log_event
from .._messages import PeerMessage
from ._context import Context

SILENCE_S = 1.0
"""Time for which a VM that did not answer is not asked again."""

AnswerT = TypeVar("AnswerT", bound=PeerMessage)


class PeerRequests:
    """Asks VMs that grant something, and leaves those alone that did not answer."""

    def __init__(self, ctx: Context, timeout_s: float) -> None:
        self._ctx = ctx
        self._timeout_s = timeout_s
        self._silent_until: dict[str, float] = {}

    def is_silent(self, vm: str) -> bool:
        """Return whether a VM is not to be asked, since it did not answer lately."""
        now = self._ctx.clock.monotonic()
        return now < self._silent_until.get(vm, -math.inf)

    def ask(
        self,
        vm: str,
        message: PeerMessage,
        answer_type: type[AnswerT],
        request_id: str,
    ) -> AnswerT | None:
        """Return a VM's answer, None without one in time."""
        if self.is_silent(vm):
            return None
        deadline = self._ctx.clock.monotonic() + self._timeout_s
        reply = self._ctx.peers.request_from(vm, message, deadline)
        if not isinstance(reply, Err) and isinstance(reply.ok_value, answer_type):
            return reply.ok_value
        why = reply.err_value.detail if isinstance(reply, Err) else "another reply"
        self.record_silence(vm, request_id, why)
        return None

    def record_silence(self, vm: str, request_id: str, why: str) -> None:
        """Record that a VM did not answer as expected."""
        self._silent_until[vm] = self._ctx.clock.monotonic() + SILENCE_S
        log_event("granter_unreachable", request=request_id, granter=vm, why=why)
