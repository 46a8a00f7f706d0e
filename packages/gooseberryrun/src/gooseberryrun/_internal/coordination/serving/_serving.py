"""All tasks of an entry VM that serves by routes, wired together."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .._events import log_event
from .._ports import Inbound
from .._serving_messages import (
    AcquireRequest,
    DirectoryNotice,
    DirectoryRequest,
    HandoverNotice,
    LeavingNotice,
    RenewRequest,
    ResidencyNotice,
    ServingGossip,
    UseNotice,
    ViewNotice,
)
from ._adapters import Adapters
from ._answers import Answers
from ._attempts import Attempts
from ._context import Context
from ._far_domains import FarDomains
from ._follower import DirectoryFollower
from ._gateway import Gateway
from ._gossip import Gossip
from ._membership import Membership
from ._model_requests import ModelRequests
from ._owner import Owners
from ._plain_requests import PlainRequests


class Serving:
    """Tasks of one entry VM."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.follower = DirectoryFollower(ctx)
        self.membership = Membership(ctx)
        self.far_domains = FarDomains(ctx)
        self.owners = Owners(ctx)
        attempts = Attempts(ctx)
        answers = Answers(ctx)
        adapters = Adapters(ctx, self.owners, self.membership)
        self._adapters = adapters
        self._gossip = Gossip(ctx, self.owners.residency, adapters.hear_residency)
        self.owners.on_residency = adapters.hear_residency
        self.gateway = Gateway(
            ctx,
            attempts,
            answers,
            PlainRequests(ctx, attempts, answers),
            ModelRequests(ctx, adapters, attempts, answers),
        )
        self.membership.on_change = self.owners.refresh
        self.far_domains.on_change = self.owners.refresh
        self._handlers = self._make_handlers()
        self.is_stopping = False
        self._is_released = False

    def start(self) -> None:
        """Start every task."""
        self.follower.start()
        self.membership.start()
        self.far_domains.start()
        self.owners.start()
        self._gossip.start()

    def is_ready(self) -> bool:
        """Tell whether this VM should get new connections."""
        return not self.is_stopping and self.follower.is_ready()

    def release(self) -> None:
        """Give up every duty, ahead of a stop; a second time does nothing."""
        if self._is_released:
            return
        self._is_released = True
        self.owners.close()
        self.far_domains.close()
        self.membership.leave()

    def dispatch(self, inbound: Inbound) -> None:
        """Handle a message of a peer without blocking."""
        handler = self._handlers.get(type(inbound.message))
        if handler is None:
            kind = type(inbound.message).__name__
            log_event("peer_message_ignored", peer=inbound.sender, kind=kind)
            return
        handler(inbound, inbound.message)

    def _make_handlers(self) -> dict[type, Callable[[Inbound, Any], None]]:
        return {
            AcquireRequest: self.owners.answer,
            DirectoryNotice: _by_sender(self.follower.hear_notice),
            DirectoryRequest: self.follower.answer,
            HandoverNotice: self._hear_handover,
            LeavingNotice: lambda inbound, _: self.membership.hear_leaving(
                inbound.sender
            ),
            RenewRequest: self.membership.answer_renewal,
            ResidencyNotice: _by_sender(self._adapters.hear_residency),
            ServingGossip: self._hear_gossip,
            UseNotice: _by_sender(self.owners.hear_use),
            ViewNotice: self._hear_view,
        }

    def _hear_view(self, inbound: Inbound, notice: ViewNotice) -> None:
        is_home = notice.group == self._ctx.cfg.vm.domain
        part = self.membership if is_home else self.far_domains
        part.hear_view(inbound.sender, notice)

    def _hear_handover(self, inbound: Inbound, notice: HandoverNotice) -> None:
        is_home = notice.group == self._ctx.cfg.vm.domain
        part = self.membership if is_home else self.far_domains
        part.receive_handover(inbound.sender, notice)

    def _hear_gossip(self, inbound: Inbound, gossip: ServingGossip) -> None:
        self._gossip.receive(gossip)
        self.follower.hear_ends(inbound.sender, gossip.ends)


def _by_sender(
    receive: Callable[[str, Any], None],
) -> Callable[[Inbound, Any], None]:
    """Return a handler that passes on the sender's id and the message."""
    return lambda inbound, message: receive(inbound.sender, message)
