"""Messages between entry VMs.

Times are sent as remaining seconds, because monotonic clocks are not shared; the
receiver converts them to deadlines on arrival.
"""

from __future__ import annotations

from typing import Any

import msgspec

from gooseberryrun._internal.state import FencingNumber

from ._message_base import Message
from ._serving_messages import ServingMessage


class LeavingNotice(Message, frozen=True, array_like=True):
    """Notice that a VM is leaving, valid for ``left_s`` more seconds.

    Only direct sources restart the time, so that a notice expires once they no longer
    report it. ``boot`` is empty for backend servers.
    """

    vm: str
    boot: str
    left_s: float


class LeaseRequest(Message, frozen=True, array_like=True):
    """Runners for which an owner requests a vote, with their fencing numbers.

    ``fencing`` is None where the list of ``epoch`` was sent before.
    """

    epoch: int
    fencing: dict[str, FencingNumber] | None


class Heartbeat(Message, frozen=True, array_like=True):
    """Heartbeat of an entry VM to a voter of its failure domain; renews its leases."""

    vm: str
    boot: str
    seq: int
    leaving: bool
    lease: LeaseRequest
    notices: list[LeavingNotice] = msgspec.field(default_factory=list)


class HeartbeatAck(Message, frozen=True, array_like=True):
    """Reply to a heartbeat.

    ``refused`` lists runners for which the vote was refused, ``unresponsive`` the VMs
    of the domain from which the voter receives no messages. ``unknown_epoch`` requests
    the full list of runners.
    """

    vm: str
    boot: str
    seq: int
    refused: list[str]
    unresponsive: list[str]
    unknown_epoch: bool = False
    leaving: bool = False
    notices: list[LeavingNotice] = msgspec.field(default_factory=list)


class Gossip(Message, frozen=True, array_like=True):
    """Soft state sent to a few random VMs of any failure domain."""

    vm: str
    boot: str
    leaving: bool
    notices: list[LeavingNotice]
    next_offsets: dict[str, int]


class LeaseRelease(Message, frozen=True, array_like=True):
    """Runners that an owner releases before the votes for it expire."""

    vm: str
    boot: str
    runners: list[str]


class OwnerNotice(Message, frozen=True, array_like=True):
    """Best known owner of a runner."""

    runner: str
    vm: str
    boot: str
    fencing: FencingNumber


class GrantRequest(Message, frozen=True, array_like=True):
    """Request to the owner of a runner for permission to send one request to it.

    ``wait_s`` is how long the request may wait in the queue.
    """

    request_id: str
    runner: str
    model: str
    vm: str
    boot: str
    work_class: str
    fingerprint: str
    suspect: bool
    wait_s: float
    traceparent: str = ""
    prefix: str = ""


class GrantAnswer(Message, frozen=True, array_like=True):
    """Reply of an owner to a grant request.

    ``decision`` is ``granted``, ``refused`` or ``not_owner``; ``lease_s``
    is the lease from the time of the grant, ``waited_s`` after the request arrived.
    ``queued`` and ``running`` give the runner's load for later placements,
    ``incarnation`` changes with each restart of it. ``cached`` is whether the runner
    holds the request's prefix, if that is known.
    """

    decision: str
    runner: str
    grant_id: str = ""
    fencing: FencingNumber = FencingNumber()
    lease_s: float = 0.0
    waited_s: float = 0.0
    reason: str = ""
    queued: int = 0
    running: int = 0
    load_wait_s: float = 0.0
    incarnation: str = ""
    owner: OwnerNotice | None = None
    cached: bool | None = None


class GrantEnd(Message, frozen=True, array_like=True):
    """Grants that are no longer in use.

    ``not_resident`` reports that the engine lacked the adapter of one of them.
    """

    runner: str
    grant_ids: list[str]
    not_resident: bool = False


class GrantUse(Message, frozen=True, array_like=True):
    """One grant that an entry VM is using."""

    runner: str
    grant_id: str
    request_id: str
    model: str
    vm: str
    boot: str
    work_class: str
    fingerprint: str
    suspect: bool


class UseRenewal(Message, frozen=True, array_like=True):
    """Extends all grants of a VM; ``counts`` gives their number by runner.

    Its size does not grow with the grants. A count that differs from the owner's
    shows that a message was lost.
    """

    vm: str
    boot: str
    counts: dict[str, int]


class UseRenewed(Message, frozen=True, array_like=True):
    """Acknowledges a renewal for the runners on which the lease is in force."""

    vm: str
    boot: str
    runners: list[str]


class UseQuery(Message, frozen=True, array_like=True):
    """Request to every VM for the grants that it uses on runners of a new owner."""

    runners: list[str]
    notices: list[OwnerNotice]


class UseReport(Message, frozen=True, array_like=True):
    """Every grant that ``vm`` uses on ``runners``."""

    vm: str
    boot: str
    runners: list[str]
    uses: list[GrantUse]


class Handover(Message, frozen=True, array_like=True):
    """Grants of a runner, sent by the previous owner to the new one."""

    runner: str
    uses: list[GrantUse]


class StorePermitRequest(Message, frozen=True, array_like=True):
    """Request to a permit issuer of the store budget for a permit for one load.

    ``domain_share`` selects the issuer of the domain, which grants from the domain's
    share of the rate. ``urgent`` is set if interactive work waits for a load.
    """

    runner: str
    domain_share: bool = False
    urgent: bool = True


class StorePermit(Message, frozen=True, array_like=True):
    """Permit for one load, or the seconds to wait before the next request."""

    granted: bool
    retry_s: float


class StorePermitEnd(Message, frozen=True, array_like=True):
    """Reports that a permitted load has ended."""

    runner: str


class RecordsRequest(Message, frozen=True, array_like=True):
    """Request to a peer for the records of a stream from an offset on."""

    stream: str
    next_offset: int


class PlainRecord(Message, frozen=True, array_like=True):
    """Log record as peers exchange it."""

    offset: int
    writer: str
    seq: int
    data: dict[str, Any]


class RecordsReply(Message, frozen=True, array_like=True):
    """Records of a stream, or a snapshot where they are no longer retained."""

    stream: str
    records: list[PlainRecord]
    synced: bool
    snapshot: dict[str, Any] | None = None


class CrashNotice(Message, frozen=True, array_like=True):
    """Requests in flight on a runner that crashed."""

    runner: str
    incarnation: str
    fingerprints: list[str]


class CrashClearedNotice(Message, frozen=True, array_like=True):
    """Fingerprints that a response has cleared of the crashes before it."""

    fingerprints: list[str]


class OutcomeQuery(Message, frozen=True, array_like=True):
    """Request to the holder of a key for its known outcome."""

    key: str


class OutcomeReply(Message, frozen=True, array_like=True):
    """Outcome of a key as its holder knows it; empty while the request runs."""

    key: str
    outcome: str = ""
    status: int = 0
    body: str = ""
    content_type: str = ""


class StatusQuery(Message, frozen=True, array_like=True):
    """Request to a VM for a section of its operator view."""

    section: str


class StatusReply(Message, frozen=True, array_like=True):
    """Rows of a section of the operator view."""

    vm: str
    rows: list[dict[str, Any]]


class StopNotice(Message, frozen=True, array_like=True):
    """Operator's order to a VM to shut down gracefully."""

    by: str


class Confirm(Message, frozen=True, array_like=True):
    """Query whether a configuration revision is in force."""

    revision: int


class Confirmed(Message, frozen=True, array_like=True):
    """Revision in force at a VM and the age of that information in seconds."""

    vm: str
    revision: int
    age_s: float


class Ping(Message, frozen=True, array_like=True):
    """Probes a link on which replies are overdue."""


PeerMessage = (
    Ping
    | Heartbeat
    | HeartbeatAck
    | Gossip
    | LeaseRelease
    | OwnerNotice
    | GrantRequest
    | GrantAnswer
    | GrantEnd
    | UseRenewal
    | UseRenewed
    | UseQuery
    | UseReport
    | Handover
    | StorePermitRequest
    | StorePermit
    | StorePermitEnd
    | RecordsRequest
    | RecordsReply
    | CrashNotice
    | CrashClearedNotice
    | OutcomeQuery
    | OutcomeReply
    | StatusQuery
    | StatusReply
    | StopNotice
    | Confirm
    | Confirmed
    | ServingMessage
)
