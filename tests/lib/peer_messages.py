"""Messages between VMs of a test, which pass at once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gooseberryrun._internal.coordination import PeerError, PeerMessage
from result import Err, Ok, Result

from tests.lib.fleet import CountingPeers


class Inbound:
    """Message of a peer, whose replies are kept."""

    def __init__(self, sender: str, message: PeerMessage) -> None:
        self.sender = sender
        self.message = message
        self.replies: list[PeerMessage] = []

    def reply(self, message: PeerMessage) -> None:
        """Keep a reply."""
        self.replies.append(message)


def answer_requests(
    peers: CountingPeers,
    sender: str,
    is_linked: Callable[[str], bool],
    handle: Callable[[str, Any], None],
) -> None:
    """Let requests of a VM be handled at once by ``handle(vm, inbound)``.

    A VM that is not linked with the sender stays silent.
    """

    def request_from(
        vm: str, message: PeerMessage, deadline: float
    ) -> Result[PeerMessage, PeerError]:
        if not is_linked(vm):
            return Err(PeerError(vm, "silent"))
        inbound = Inbound(sender, message)
        handle(vm, inbound)
        return Ok(inbound.replies[0])

    peers.request_from = request_from  # type: ignore[method-assign]
