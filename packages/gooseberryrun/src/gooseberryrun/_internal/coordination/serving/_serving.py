"""Wiring of all tasks of an entry VM that serves by routes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .._events import log_event
from .._ports import InboundMessage
from .._serving_messages import (
    AcquireRequest,
    DirectoryNotice,
    DirectoryRequest,
    EvidenceNotice,
    EvidenceRequest,
    HandoverNotice,
    LeavingNotice,
    OriginRequest,
    OriginsNotice,
    PrefillNotice,
    RenewRequest,
    ResidencyNotice,
    ServingGossip,
    SlotNotice,
    SlotRelease,
    SlotRequest,
    StoreStatusAnswer,
    StoreStatusRequest,
    TurnRequest,
    UsageRequest,
    UseNotice,
    ViewNotice,
)
from ._adapters import Adapters
from ._attempts import Attempts
from ._availability import Availability
from ._context import Context
from ._crash_guard import CrashGuard
from ._follower import DirectoryFollower
from ._gateway import Gateway
from ._gossip import Gossip
from ._membership import Membership
from ._model_requests import ModelRequests
from ._origins import OriginKeeper
from ._owner import OwnedRunners
from ._plain_requests import PlainRequests
from ._reach import Reach
from ._registry_check import RegistryCheck
from ._remote_domains import RemoteDomains
from ._responses import ResponseWriter
from ._statements import record_gossip
from ._sweep import Sweep
from ._turns import Turns
from .accounts import CapForecaster, CappedAccounts, UsageAllocators, UsageCaps
from .admission import PlainSlots
from .crossing import Crossing
from .where import WhereExplainer


class Serving:
    """All tasks of one entry VM."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self.follower = DirectoryFollower(ctx)
        self._sweep = Sweep(ctx)
        self.membership = Membership(ctx)
        self.remote_domains = RemoteDomains(ctx)
        self.reach = Reach(ctx)
        self.owned_runners = OwnedRunners(ctx)
        self.guard = CrashGuard(ctx)
        self._turns = Turns(ctx)
        self._slots = PlainSlots(ctx)
        availability = Availability(ctx, self._turns)
        attempts = Attempts(ctx, self.guard)
        responses = ResponseWriter(ctx)
        accounts = CappedAccounts(ctx)
        self._allocators = UsageAllocators(ctx, accounts)
        usage = UsageCaps(ctx, self._allocators, accounts)
        registry = RegistryCheck(ctx, self.follower.read_registry)
        self._origins = OriginKeeper(ctx, registry)
        adapters = Adapters(ctx, self.owned_runners, self.membership)
        self._adapters = adapters
        crossing = Crossing(ctx, adapters, self._turns)
        self._gossip = Gossip(
            ctx,
            self.owned_runners.residency,
            adapters.handle_residency_notice,
            crossing,
        )
        self.owned_runners.residency_listener = adapters.handle_residency_notice
        plain = PlainRequests(
            ctx,
            self._turns,
            self._slots,
            availability,
            attempts,
            responses,
            crossing,
            usage,
        )
        models = ModelRequests(
            ctx,
            self.guard,
            adapters,
            self._turns,
            availability,
            attempts,
            responses,
            self._origins,
            crossing,
            usage,
        )
        self.explainer = WhereExplainer(
            ctx,
            models.chooser,
            plain,
            crossing,
            self._slots,
            CapForecaster(ctx, usage, self._allocators),
        )
        self.gateway = Gateway(
            ctx,
            self.guard,
            attempts,
            responses,
            plain,
            models,
            usage,
        )
        self.membership.on_change = self.owned_runners.refresh
        self.membership.renewals.on_regained = self.follower.catch_up
        self.follower.on_snapshot = self.owned_runners.refresh
        self.follower.on_epoch = self._keep_again
        self.remote_domains.on_change = self.owned_runners.refresh
        self._handlers = self._make_handlers()
        self.is_stopping = False
        self._is_released = False

    def start(self) -> None:
        """Start every task."""
        self.follower.start()
        self._sweep.start()
        self.membership.start()
        self.reach.start()
        self.remote_domains.start()
        self.owned_runners.start()
        self._gossip.start()
        self.guard.start()
        self._origins.start()

    def _keep_again(self) -> None:
        """Write again what only this system has written to the store."""
        self.guard.keep_again()
        self._origins.keep_again()

    def is_ready(self) -> bool:
        """Return whether the balancer should send this VM new connections."""
        is_informed = self.follower.is_ready() and self.guard.is_informed
        return not self.is_stopping and is_informed

    def release(self) -> None:
        """Release all runners and leave all groups before a stop; idempotent."""
        if self._is_released:
            return
        self._is_released = True
        self.owned_runners.close()
        self._slots.granter.close()
        self.remote_domains.close()
        self.membership.leave()

    def dispatch(self, inbound: InboundMessage) -> None:
        """Dispatch a peer's message to its handler without blocking."""
        handler = self._handlers.get(type(inbound.message))
        if handler is None:
            kind = type(inbound.message).__name__
            log_event("peer_message_ignored", peer=inbound.sender, kind=kind)
            return
        handler(inbound, inbound.message)

    def _make_handlers(self) -> dict[type, Callable[[InboundMessage, Any], None]]:
        return {
            AcquireRequest: self.owned_runners.handle_acquire_request,
            DirectoryNotice: _by_sender(self.follower.notices.handle_directory_notice),
            DirectoryRequest: self.follower.peers.handle_directory_request,
            EvidenceNotice: _by_sender(self.guard.handle_evidence_notice),
            EvidenceRequest: self.guard.handle_evidence_request,
            HandoverNotice: self._handle_handover_notice,
            LeavingNotice: _by_sender(self.membership.handle_leaving_notice),
            OriginRequest: self._origins.handle_origin_request,
            OriginsNotice: _by_sender(self._origins.handle_origins_notice),
            PrefillNotice: lambda _, notice: self.owned_runners.handle_prefill_notice(
                notice
            ),
            RenewRequest: self.membership.renewals.handle_request,
            ResidencyNotice: _by_sender(self._adapters.handle_residency_notice),
            ServingGossip: self._handle_gossip,
            SlotNotice: lambda _, notice: self._slots.handle_slot_notice(notice),
            SlotRelease: _by_sender(self._slots.granter.handle_slot_release),
            SlotRequest: self._slots.granter.handle_slot_request,
            StoreStatusAnswer: self.membership.extension.handle_answer,
            StoreStatusRequest: self.membership.extension.handle_request,
            TurnRequest: self._turns.handle_turn_request,
            UsageRequest: self._allocators.handle_usage_request,
            UseNotice: _by_sender(self.owned_runners.handle_use_notice),
            ViewNotice: self._handle_view_notice,
        }

    def _handle_view_notice(self, inbound: InboundMessage, notice: ViewNotice) -> None:
        is_own_domain = notice.group == self._ctx.cfg.vm.domain
        component = self.membership if is_own_domain else self.remote_domains
        component.handle_view_notice(inbound.sender, notice)

    def _handle_handover_notice(
        self, inbound: InboundMessage, notice: HandoverNotice
    ) -> None:
        is_own_domain = notice.group == self._ctx.cfg.vm.domain
        component = self.membership if is_own_domain else self.remote_domains
        component.handle_handover_notice(inbound.sender, notice)

    def _handle_gossip(self, inbound: InboundMessage, gossip: ServingGossip) -> None:
        self._gossip.receive(gossip)
        record_gossip(self._ctx, inbound.sender, gossip)
        self.guard.compare(inbound.sender, gossip.evidence_digest)
        self.follower.peers.fetch_missing(inbound.sender, gossip)


def _by_sender(
    handle: Callable[[str, Any], None],
) -> Callable[[InboundMessage, Any], None]:
    """Adapt a handler that takes the sender's id and the message."""
    return lambda inbound, message: handle(inbound.sender, message)
