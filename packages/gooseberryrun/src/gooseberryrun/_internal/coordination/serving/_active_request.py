"""State of one request while this VM serves it."""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from enum import Enum

import msgspec
import xxhash

from gooseberryrun._internal.state.serving import (
    MAX_PARTS,
    Permit,
    Route,
    ServingPolicy,
    StreamTiming,
    Trait,
    TraitKind,
    Verdict,
    adapter_key,
)
from gooseberryrun._internal.state.serving.accounts import ClientAccount, UsagePermit
from gooseberryrun._internal.state.serving.admission import SlotSearch

from ._context import Context
from ._request_ports import Caller, InboundRequest, RequestMetadata


class ActiveRequest(msgspec.Struct):
    """Request with its route and the attempts made so far.

    The final response is due at ``deadline``. ``may_have_run`` is set once a runner
    may have started the request and has not proved otherwise. ``missing_on`` is the
    runner that last responded that it lacks the adapter. ``has_grant`` is set while the
    owner of a runner counts the prompt as being read there; ``ungranted`` are runners
    that gave it no grant or no turn in time, ``permit`` is its turn at one. ``traits``
    are what it shares with other requests and might crash runners, ``verdict`` what was
    last made of them. ``is_begun`` and ``answered_at`` are of the present attempt:
    whether its response has started, and the time of its first event. Once a stream has
    begun, it goes on only at runners of ``required_software``. ``is_in_flight`` is set
    from the send of an attempt until the head of its response or its failure.
    ``account`` is the client account that sent it, None without a key or accounts;
    ``usage_permit`` allows the next send of a request whose account has a cap.
    ``slots`` is its search for a slot where plain servers' slots are granted.
    ``is_early`` is set if its caller repeats it before the time named by a refusal,
    ``is_relayed`` if another VM sent it, which is cut off from the runners.
    """

    request: InboundRequest
    metadata: RequestMetadata
    caller: Caller
    route: Route
    service: str
    deadline: float
    attempts: int = 0
    sends: int = 0
    may_have_run: bool = False
    is_logged: bool = False
    tried: set[str] = msgspec.field(default_factory=set)
    missing_on: str = ""
    unloadable: set[str] = msgspec.field(default_factory=set)
    ungranted: set[str] = msgspec.field(default_factory=set)
    has_grant: bool = False
    permit: Permit | None = None
    timing: StreamTiming = msgspec.field(default_factory=StreamTiming)
    traits: tuple[Trait, ...] = ()
    verdict: Verdict | None = None
    is_begun: bool = False
    answered_at: float | None = None
    is_answer_recorded: bool = False
    required_software: str | None = None
    is_in_flight: bool = False
    account: ClientAccount | None = None
    slots: SlotSearch | None = None
    usage_permit: UsagePermit | None = None
    is_early: bool = False
    is_relayed: bool = False

    @property
    def adapter_key(self) -> str:
        """Return the key of the request's model and adapter."""
        return adapter_key(self.metadata.model, self.metadata.adapter)

    @property
    def account_name(self) -> str:
        """Return the name of the account, empty without one."""
        return self.account.name if self.account else ""

    @property
    def priority(self) -> int:
        """Return the account's priority, the route's if the account has none."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority

    @property
    def held_tokens(self) -> int:
        """Return the tokens that a runner has to hold for the request at most."""
        return self.metadata.prompt_tokens + self.metadata.output_tokens

    @property
    def takes_up_stream(self) -> bool:
        """Return whether the request goes on with a stream that broke off."""
        return bool(self.metadata.last_event_id) and self.route.resumable

    def begin_attempt(self) -> None:
        """Reset what is known of the response of the previous attempt."""
        self.is_begun = False
        self.answered_at = None
        self.is_answer_recorded = False

    def longest_wait_s(self, policy: ServingPolicy, now: float) -> float:
        """Return the longest acceptable wait for the response to begin."""
        left_s = policy.max_wait_share * (self.deadline - now)
        return min(left_s, policy.max_wait_per_target * self.route.target_latency_s)

    @property
    def may_retry(self) -> bool:
        """Return whether the request may be sent again."""
        if not self.may_have_run:
            return True
        return self.route.is_idempotent and self.attempts < self.route.max_attempts


def request_traits(
    request: InboundRequest, metadata: RequestMetadata, adapter_version: int
) -> tuple[Trait, ...]:
    """Return the traits of a request: its content, its adapter and its shared parts.

    The last part of a prompt belongs to the request or its session alone.
    """
    traits = [Trait(TraitKind.CONTENT, _content_hash(request, metadata))]
    if metadata.adapter:
        key = adapter_key(metadata.model, metadata.adapter)
        traits.append(Trait(TraitKind.ADAPTER, f"{key}@{adapter_version}"))
    shared = metadata.prompt[:-1][:MAX_PARTS]
    traits += [Trait(TraitKind.PART, part.id) for part in shared]
    return tuple(traits)


def _content_hash(request: InboundRequest, metadata: RequestMetadata) -> str:
    """Return a hash of a request's method, target, model and body."""
    text = f"{request.method} {request.target}\n"
    text += f"{metadata.model}/{metadata.adapter}\n"
    return xxhash.xxh3_128_hexdigest(text.encode() + request.body)


class Round(Enum):
    """Result of a round that ended without a local response."""

    DONE = "done"
    """The caller has received a runner's response."""
    AGAIN = "again"
    """Another runner may be tried."""


@dataclass(frozen=True, slots=True)
class LocalResponse:
    """Response generated by this VM instead of a runner.

    ``retry_in_s`` is the retry delay sent to the caller. It is a little more or less
    for each caller, only more if ``is_earliest``: the request would fail before.
    """

    status: int
    reason: str
    retry_in_s: float | None = None
    is_earliest: bool = False


def make_active_request(
    ctx: Context,
    request: InboundRequest,
    metadata: RequestMetadata,
    caller: Caller,
    route: Route,
    account: ClientAccount | None,
) -> ActiveRequest:
    """Return a request as it is served from now on, by its route and account."""
    wait_s = min(metadata.wait_s, route.timeout_s)
    version = ctx.directory.version_of(metadata.model, metadata.adapter)
    return ActiveRequest(
        request,
        metadata,
        caller,
        route,
        route.pick_service(metadata.stream_id),
        min(request.read_at + wait_s, ctx.stop_deadline),
        traits=request_traits(request, metadata, version),
        account=account,
        is_relayed=_is_of_vm(metadata.relay_secret, ctx),
        is_early=account is not None
        and ctx.refused.is_early(account.name, metadata.request_id, request.read_at),
    )


def _is_of_vm(secret: str, ctx: Context) -> bool:
    """Return whether a request bears the secret of the VMs."""
    own = ctx.cfg.peer.secret.get_secret_value()
    return bool(secret) and hmac.compare_digest(secret.encode(), own.encode())
