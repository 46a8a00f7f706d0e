"""Interface of serving by routes to the operators' store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import StrEnum

import msgspec
from result import Result

from gooseberryrun._internal.state.serving import (
    DirectoryRecord,
    Member,
    Position,
    RecordedView,
    StreamOrigin,
    Suspicion,
    Topic,
    ViewRecords,
)


class StoreFaultKind(StrEnum):
    """Why a call to the store gave no result."""

    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    """There was no response in time; the connection may have gone silent."""
    INTERRUPTED = "interrupted"
    """The wait for records was ended from within."""
    REFUSED = "refused"
    EXPIRED = "expired"
    """The store does not have the records that were asked for."""
    OTHER_EPOCH = "other_epoch"
    """The position that was asked for, or the response, is of another epoch."""
    CONFLICT = "conflict"
    """The condition of a write did not hold."""
    MALFORMED = "malformed"


class StoreFault(msgspec.Struct, frozen=True):
    """Failed call to the store.

    ``first`` is the first offset that the store has, if it has not those asked for.
    """

    kind: StoreFaultKind
    detail: str
    first: int | None = None


class Records(msgspec.Struct, frozen=True):
    """Records of a topic; ``end`` is the next position to read from."""

    records: list[DirectoryRecord]
    end: Position


class Origins(msgspec.Struct, frozen=True):
    """Origins of streams; ``end`` is the next position to read from."""

    origins: list[StreamOrigin]
    end: Position


class ControlStore(ABC):
    """The operators' store: configuration, registry of runners and group membership."""

    @abstractmethod
    def read_snapshot(self, topic: Topic) -> Result[Records, StoreFault]:
        """Read the newest record of each key."""

    @abstractmethod
    def read_changes(
        self, topic: Topic, start: Position, wait_s: float
    ) -> Result[Records, StoreFault]:
        """Wait up to ``wait_s`` for records from a position on; there may be none."""

    @abstractmethod
    def interrupt_reads(self) -> int:
        """End the reads that wait for records, and forget idle connections.

        Both may be on connections that have gone silent. Returns the number of reads.
        """

    @abstractmethod
    def renew(
        self, group: str, member: Member, generation: int
    ) -> Result[int, StoreFault]:
        """Add a member to a group or keep it there; return the group's generation.

        Each failure domain has a group, which owns the domain's runners. Generations
        rise also when the store comes back from an older copy.
        """

    @abstractmethod
    def leave(self, group: str, member: Member) -> Result[None, StoreFault]:
        """Remove a member from a group."""

    @abstractmethod
    def members(self, group: str) -> Result[list[Member], StoreFault]:
        """Read the members of a group, at times not all of them."""

    @abstractmethod
    def begin_generation(self, group: str, member: Member) -> Result[None, StoreFault]:
        """Let the group have another generation without a change of its members."""

    @abstractmethod
    def read_views(
        self, group: str, start: Position | None
    ) -> Result[ViewRecords, StoreFault]:
        """Read the recorded views of a group from a position on.

        Without a position, or one that the store has no longer, read the newest view.
        """

    @abstractmethod
    def record_view(
        self, group: str, record: RecordedView, end: Position
    ) -> Result[bool, StoreFault]:
        """Record a view if the records end there; return False if they do not."""

    @abstractmethod
    def read_suspicions(self) -> Result[list[Suspicion], StoreFault]:
        """Read the traits of requests that are suspected of crashing runners."""

    @abstractmethod
    def write_suspicions(self, suspicions: list[Suspicion]) -> Result[None, StoreFault]:
        """Keep suspicions beyond the life of VMs; remove those without crashes."""

    @abstractmethod
    def append_origins(self, origins: list[StreamOrigin]) -> Result[None, StoreFault]:
        """Keep for some seconds where streams began."""

    @abstractmethod
    def read_origins(self, start: Position) -> Result[Origins, StoreFault]:
        """Read the origins from a position on, all that are kept if it is unknown."""
