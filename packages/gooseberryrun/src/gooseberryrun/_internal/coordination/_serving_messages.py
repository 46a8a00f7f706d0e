"""Messages between entry VMs that serve by routes."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import (
    DirectoryRecord,
    Member,
    Position,
    PrefillLoad,
    RateLimit,
    RunnerView,
    StreamOrigin,
    Topic,
    Trait,
    Turn,
    View,
)
from gooseberryrun._internal.state.serving.admission import UsageShares
from gooseberryrun._internal.state.serving.crossing import PressureSummary

from ._message_base import Message


class AcquireRequest(Message, frozen=True, array_like=True):
    """Request to the owner of a runner to make an adapter ready there.

    ``adapter`` is ``model/adapter``; version 0 accepts any. The first event is late
    after ``target_s``. ``is_missing`` is set if the runner has just responded that it
    lacks the adapter. With ``prefill_tokens``, the request also asks for a grant to
    start a long prompt, which a PrefillNotice returns. ``account`` is empty without
    accounts. ``is_early`` is set if its caller repeats it before the time named by a
    refusal.
    """

    runner: str
    adapter: str
    version: int
    left_s: float
    target_s: float
    priority: int
    request_id: str
    is_missing: bool
    prefill_tokens: int = 0
    account: str = ""
    is_early: bool = False


class PrefillNotice(Message, frozen=True, array_like=True):
    """Returns the grant of a long prompt, or withdraws the request for one.

    ``took_s`` is the time from the attempt to its first event, negative without one.
    """

    runner: str
    request_id: str
    took_s: float


class UseNotice(Message, frozen=True, array_like=True):
    """Number of the sender's requests that currently use an adapter of a runner.

    ``account`` is that of a request that begins to use it, of a ``priority`` and with
    ``tokens`` in its prompt; empty without accounts and at the end of a use.
    """

    runner: str
    adapter: str
    count: int
    account: str = ""
    priority: int = 0
    tokens: int = 0


class ViewNotice(Message, frozen=True, array_like=True):
    """Forwarded view of a failure domain's group, as read from the store."""

    group: str
    view: View


class HandoverNotice(Message, frozen=True, array_like=True):
    """Transfers ownership of runners according to the view of a generation.

    The sender sends no more orders to them. The member to which that view assigns a
    runner may send orders once the view is in force there. All runners belong to the
    failure domain of the group.
    """

    group: str
    runners: list[str]
    generation: int


class LeavingNotice(Message, frozen=True, array_like=True):
    """The sender is leaving its domain's group or has just left it.

    ``asked_at`` is the time of the recipient's last question that a sender without the
    store answers with this notice; it last renewed ``renewal_age_s`` ago.
    """

    asked_at: float | None = None
    renewal_age_s: float = 0.0


class StoreStatusRequest(Message, frozen=True, array_like=True):
    """Question of a VM without the store whether the recipient reaches it.

    ``asked_at`` is seconds on the sender's clock, which the answer repeats.
    """

    asked_at: float


class StoreStatusAnswer(Message, frozen=True, array_like=True):
    """Whether the sender reaches the store, as of after ``asked_at``.

    It has read the registry of runners up to ``registry_end``.
    """

    asked_at: float
    can_reach_store: bool
    registry_end: Position = Position()


class RenewRequest(Message, frozen=True, array_like=True):
    """Request to a member to renew for the sender, which cannot reach the store."""

    group: str
    member: Member
    generation: int


class RenewAnswer(Message, frozen=True, array_like=True):
    """Generation that the store returned for a relayed renewal, -1 if it failed."""

    generation: int


class ResidencyNotice(Message, frozen=True, array_like=True):
    """Adapters that a runner holds according to its owner, with versions.

    ``idle`` slots can take another adapter at once, and ``waiting`` adapters wait for
    one; each of them has to wait ``mean_slot_wait_s`` longer than the one before.
    ``prefill`` is the load of prompts as of the sending of the notice. The owner has no
    entry of an incarnation that ``is_undeclared``. ``kv_total`` are the tokens that fit
    the runner's memory, 0 if it does not tell. ``shares`` is what the accounts use of
    the runner, empty without accounts.
    """

    runner: str
    born_ms: int
    fencing_token: int
    held: dict[str, int]
    idle: int
    waiting: int
    mean_slot_wait_s: float
    prefill: PrefillLoad = PrefillLoad()
    is_undeclared: bool = False
    kv_total: int = 0
    shares: UsageShares = UsageShares()


class AcquireAnswer(Message, frozen=True, array_like=True):
    """Reply of the owner: the version held, or the reason why there is none.

    ``residency`` and ``load`` are the runner's current state, for VMs that do not
    receive its updates; a VM that does not own the runner omits them.
    """

    version: int
    reason: str = ""
    retry_in_s: float = 0.0
    residency: ResidencyNotice | None = None
    load: RunnerView | None = None


class CrashReport(Message, frozen=True, array_like=True):
    """A runner crashed ``age_s`` ago before it answered requests with these traits.

    ``is_begun`` is set if it had started the response of such a request.
    """

    runner: str
    born_ms: int
    traits: list[Trait]
    age_s: float
    is_begun: bool


class AnswerReport(Message, frozen=True, array_like=True):
    """A runner began to answer requests with these traits ``age_s`` ago."""

    traits: list[Trait]
    age_s: float


class EvidenceNotice(Message, frozen=True, array_like=True):
    """Crashes of runners, and answers that speak against what these are blamed on.

    ``cleared`` are crashes after which the traits were answered.
    """

    crashes: list[CrashReport]
    answers: list[AnswerReport]
    cleared: list[CrashReport] = []


class EvidenceRequest(Message, frozen=True, array_like=True):
    """Request to a peer for an EvidenceNotice with all that it knows.

    ``known`` are the suspicions of the sender; the reply also says which of them are
    cleared.
    """

    known: EvidenceNotice = EvidenceNotice([], [])


class TurnRequest(Message, frozen=True, array_like=True):
    """Request for a turn at a runner that limits its requests.

    The turn has to come within ``max_wait_s``. ``limit`` is the limit that the sender
    knows, as the runner stated it ``age_s`` ago.
    """

    runner: str
    request_id: str
    max_wait_s: float
    limit: RateLimit
    age_s: float


class TurnAnswer(Message, frozen=True, array_like=True):
    """Turn granted or refused, and the newest limit known to the VM that grants."""

    turn: Turn
    limit: RateLimit
    age_s: float


class SlotRequest(Message, frozen=True, array_like=True):
    """Request for a slot of a plain server.

    ``ticket`` identifies it among those of the sender. Its response is late after
    ``due_s``, and its attempt ends within ``left_s``. It does not wait if it would wait
    for more than ``max_wait_s``. ``is_early`` is set if its caller repeats it before
    the time named by a refusal.
    """

    server: str
    ticket: int
    request_id: str
    account: str
    priority: int
    due_s: float
    left_s: float
    max_wait_s: float
    is_early: bool = False


class SlotAnswer(Message, frozen=True, array_like=True):
    """Decision about a request for a slot, as a ``SlotOutcome``, or its later result.

    ``wait_s`` is the wait that the account's next request would have, ``retry_in_s``
    the time after which a refused one may come again.
    """

    outcome: str
    wait_s: float
    retry_in_s: float = 0.0


class SlotNotice(Message, frozen=True, array_like=True):
    """Result of a request that waited for a slot of a plain server."""

    server: str
    ticket: int
    answer: SlotAnswer


class SlotRelease(Message, frozen=True, array_like=True):
    """Returns a slot of a plain server, or withdraws the request for one.

    ``is_answered`` is set if the server answered, so that the time is a measure of it.
    """

    server: str
    ticket: int
    is_answered: bool


class UsageRequest(Message, frozen=True, array_like=True):
    """Request to the allocator of an account in a failure domain to grant usage.

    ``cost`` and ``demand_per_s``, the sender's own demand, are in the ``unit`` of the
    account's cap by the sender's configuration.
    """

    account: str
    domain: str
    unit: str
    cost: float
    demand_per_s: float
    configuration_version: int


class UsageAnswer(Message, frozen=True, array_like=True):
    """Usage granted, or the time in which the account's next request can be served.

    A VM that is not the allocator, or does not know the account's cap, says so.
    """

    granted: float
    retry_in_s: float
    is_allocator: bool


class OriginsNotice(Message, frozen=True, array_like=True):
    """Software versions of the runners that streams of the sender were sent to.

    The receiver appends them to the store if ``is_to_keep`` is set.
    """

    origins: list[StreamOrigin]
    is_to_keep: bool


class OriginRequest(Message, frozen=True, array_like=True):
    """Request for the software version that began a stream of a service.

    ``request`` is the id of the request that brought the stream's first event.
    """

    request: str
    service: str


class OriginAnswer(Message, frozen=True, array_like=True):
    """Software version that began a stream, None if the sender does not know it.

    ``is_mixed`` is set if several versions serve the service or did so lately. Without
    a version it proves nothing if it is not set: the sender may be out of touch.
    """

    software: str | None
    is_mixed: bool


class ServingGossip(Message, frozen=True, array_like=True):
    """Status and load figures that an entry VM sends to others at intervals.

    ``can_reach_store`` is set if its last membership renewal succeeded.
    ``evidence_digest`` differs between VMs that blame crashes on different traits; it
    is 0 if there are none. ``limits`` are the rate limits that runners stated lately,
    each with its age in seconds, ``leaving`` the incarnations of runners that said that
    they leave, by runner. ``configuration_version`` is that of the configuration in
    force, which a restored store may have lost. ``counted_vms`` is the largest number
    of VMs that the sender has known lately. ``pressure`` are recent summaries: of all
    failure domains to a VM of the own one, to others those of the own domain.
    """

    vm: str
    can_reach_store: bool
    ends: dict[Topic, Position]
    views: dict[str, RunnerView]
    residency: list[ResidencyNotice]
    evidence_digest: int = 0
    limits: dict[str, tuple[float, RateLimit]] = {}
    leaving: dict[str, int] = {}
    configuration_version: int = 0
    counted_vms: int = 0
    pressure: list[PressureSummary] = []


class DirectoryRequest(Message, frozen=True, array_like=True):
    """Request to a peer for the records of a topic from a position on."""

    topic: Topic
    start: Position


class DirectoryNotice(Message, frozen=True, array_like=True):
    """Sent by a VM that reads the store to the others of its failure domain.

    ``records`` are those from position ``start`` up to ``end``, empty in a keepalive.
    ``is_after_outage`` is set while entries that expired during a store outage may
    return.
    """

    topic: Topic
    start: Position
    end: Position
    records: list[DirectoryRecord]
    is_after_outage: bool


class DirectoryReply(Message, frozen=True, array_like=True):
    """Records that a peer has read, and the position up to which it has read.

    ``is_snapshot`` is set if they are all that it knows: it cannot name each runner
    that was removed since the position asked for.
    """

    topic: Topic
    end: Position
    records: list[DirectoryRecord]
    is_snapshot: bool = False


ServingMessage = (
    AcquireRequest
    | AcquireAnswer
    | UseNotice
    | PrefillNotice
    | ViewNotice
    | HandoverNotice
    | LeavingNotice
    | StoreStatusRequest
    | StoreStatusAnswer
    | RenewRequest
    | RenewAnswer
    | ResidencyNotice
    | ServingGossip
    | DirectoryNotice
    | DirectoryRequest
    | DirectoryReply
    | EvidenceNotice
    | EvidenceRequest
    | TurnRequest
    | TurnAnswer
    | SlotRequest
    | SlotAnswer
    | SlotNotice
    | SlotRelease
    | UsageRequest
    | UsageAnswer
    | OriginsNotice
    | OriginRequest
    | OriginAnswer
)
