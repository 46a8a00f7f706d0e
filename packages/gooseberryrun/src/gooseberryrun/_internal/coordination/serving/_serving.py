"""All tasks of an entry VM that serves by routes, wired together."""

from __future__ import annotations

from .._events import log_event
from .._ports import Inbound
from .._serving_messages import (
    AcquireRequest,
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
        self.is_stopping = False
        self._is_released = False

    def start(self) -> None:
        """Start every task."""
        self.follower.start()
        self.membership.start()
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
        self.membership.leave()

    def dispatch(self, inbound: Inbound) -> None:
        """Handle a message of a peer without blocking."""
        message = inbound.message
        if isinstance(message, UseNotice):
            self.owners.hear_use(inbound.sender, message)
        elif isinstance(message, ViewNotice):
            self.membership.hear_view(inbound.sender, message)
        elif isinstance(message, HandoverNotice):
            self.membership.hear_handover(inbound.sender, message)
        elif isinstance(message, LeavingNotice):
            self.membership.hear_leaving(inbound.sender)
        elif isinstance(message, ResidencyNotice):
            self._adapters.hear_residency(inbound.sender, message)
        elif isinstance(message, RenewRequest):
            self.membership.answer_renewal(inbound, message)
        elif isinstance(message, AcquireRequest):
            self.owners.answer(inbound, message)
        elif isinstance(message, ServingGossip):
            self._gossip.hear(message)
            self.follower.hear_ends(inbound.sender, message.ends)
        elif isinstance(message, DirectoryRequest):
            self.follower.answer(inbound, message)
        else:
            kind = type(message).__name__
            log_event("peer_message_ignored", peer=inbound.sender, kind=kind)
