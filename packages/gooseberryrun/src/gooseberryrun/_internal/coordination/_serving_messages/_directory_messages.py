"""Messages that spread what VMs know: gossip, the directory, streams' origins."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import (
    DirectoryRecord,
    Position,
    RateLimit,
    RunnerView,
    StreamOrigin,
    Topic,
)
from gooseberryrun._internal.state.serving.crossing import PressureSummary
from gooseberryrun._internal.state.serving.placement import RunnerWeight

from .._message_base import Message
from ._runner_messages import ResidencyNotice


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
    ``weights`` are a bounded number of weights of runners, the changed ones first.
    ``reaches_runners`` is set if a runner has answered the sender lately,
    ``misses_runners`` if it could not connect to some and to none since; ``callers`` is
    where it listens for callers, as ``HOST:PORT``. ``brittle`` are the refusals a
    second that brittle runners bear, each with the age of the statement in seconds.
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
    weights: dict[str, RunnerWeight] = {}
    reaches_runners: bool = False
    misses_runners: bool = False
    callers: str = ""
    brittle: dict[str, tuple[float, RateLimit]] = {}


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
