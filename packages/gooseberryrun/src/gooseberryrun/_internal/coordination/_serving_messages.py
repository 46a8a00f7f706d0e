"""Messages between entry VMs that serve by routes."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import (
    DirectoryRecord,
    Member,
    RunnerView,
    Topic,
    View,
)

from ._message_base import Message


class AcquireRequest(Message, frozen=True, array_like=True):
    """Asks the owner of a runner to have an adapter ready there.

    ``adapter`` is ``model/adapter``; version 0 takes any. ``target_s`` is the time
    until the first event is late. ``is_missing`` says that the runner has just
    answered that it lacks the adapter.
    """

    runner: str
    adapter: str
    version: int
    left_s: float
    target_s: float
    priority: int
    request_id: str
    is_missing: bool


class UseNotice(Message, frozen=True, array_like=True):
    """How many requests of the sender are on an adapter of a runner now."""

    runner: str
    adapter: str
    count: int


class ViewNotice(Message, frozen=True, array_like=True):
    """View of a failure domain's group that was read from the store, passed on."""

    group: str
    view: View


class HandoverNotice(Message, frozen=True, array_like=True):
    """The sender gives no more orders to these runners, by the view of a generation.

    The member to which that view deals them may, once it acts by it. All of them
    belong to the failure domain of the group.
    """

    group: str
    runners: list[str]
    generation: int


class LeavingNotice(Message, frozen=True, array_like=True):
    """The sender is leaving its domain's group, or has just left it."""


class RenewRequest(Message, frozen=True, array_like=True):
    """Asks a member to renew the sender's membership, which cannot reach the store."""

    group: str
    member: Member
    generation: int


class RenewAnswer(Message, frozen=True, array_like=True):
    """Generation that the store told the member that was asked, -1 without one."""

    generation: int


class ResidencyNotice(Message, frozen=True, array_like=True):
    """Adapters that a runner holds, as its owner knows them.

    ``idle`` places could take another adapter at once, ``waiting`` requests wait for
    an adapter; while they do, a place becomes free every ``turn_s``.
    """

    runner: str
    born_ms: int
    fencing_token: int
    held: dict[str, int]
    idle: int
    waiting: int
    turn_s: float


class AcquireAnswer(Message, frozen=True, array_like=True):
    """Answer of the owner: the version held, or why there is none.

    ``residency`` and ``load`` are what the owner knows of the runner now, for VMs that
    are not told its changes; a VM that does not own the runner leaves them out.
    """

    version: int
    reason: str = ""
    retry_in_s: float = 0.0
    residency: ResidencyNotice | None = None
    load: RunnerView | None = None


class CrashReport(Message, frozen=True, array_like=True):
    """A runner crashed while it worked on a request with this content."""

    content: str
    runner: str
    born_ms: int


class ServingGossip(Message, frozen=True, array_like=True):
    """What an entry VM tells the others at intervals.

    ``has_store`` says that its last call to renew its membership was answered.
    """

    vm: str
    has_store: bool
    ends: dict[Topic, int]
    views: dict[str, RunnerView]
    residency: list[ResidencyNotice]
    crashes: list[CrashReport]


class DirectoryRequest(Message, frozen=True, array_like=True):
    """Asks a peer for the records of a topic from an offset on."""

    topic: Topic
    offset: int


class DirectoryNotice(Message, frozen=True, array_like=True):
    """Sent by a VM that reads the store to the others of its failure domain.

    ``records`` are those from offset ``start`` up to ``end``; there are none if the
    notice only says that the reading goes on. ``is_after_outage`` says that entries may
    have lapsed while the store was away and may come back.
    """

    topic: Topic
    start: int
    end: int
    records: list[DirectoryRecord]
    is_after_outage: bool


class DirectoryReply(Message, frozen=True, array_like=True):
    """Records that a peer has read, and where its reading ended."""

    topic: Topic
    end: int
    records: list[DirectoryRecord]


ServingMessage = (
    AcquireRequest
    | AcquireAnswer
    | UseNotice
    | ViewNotice
    | HandoverNotice
    | LeavingNotice
    | RenewRequest
    | RenewAnswer
    | ResidencyNotice
    | ServingGossip
    | DirectoryNotice
    | DirectoryRequest
    | DirectoryReply
)
