"""Interface of serving by routes to the operators' store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from result import Result

from gooseberryrun._internal.state.serving import (
    DirectoryRecord,
    Member,
    Suspicion,
    Topic,
)


class StoreFaultKind(StrEnum):
    """Why a call to the store gave no result."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    EXPIRED = "expired"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class StoreFault:
    """Failed call to the store."""

    kind: StoreFaultKind
    detail: str


@dataclass(frozen=True, slots=True)
class Records:
    """Records of a topic; ``end`` is the next offset to read from."""

    records: list[DirectoryRecord]
    end: int


class ControlStore(ABC):
    """The operators' store: configuration, registry of runners and group membership."""

    @abstractmethod
    def read_snapshot(self, topic: Topic) -> Result[Records, StoreFault]:
        """Read the newest record of each key."""

    @abstractmethod
    def read_changes(
        self, topic: Topic, offset: int, wait_s: float
    ) -> Result[Records, StoreFault]:
        """Wait up to ``wait_s`` for records from an offset on; there may be none."""

    @abstractmethod
    def renew(
        self, group: str, member: Member, generation: int
    ) -> Result[int, StoreFault]:
        """Add a member to a group or keep it there; return the group's generation.

        Each failure domain has a group, which owns the domain's runners.
        """

    @abstractmethod
    def leave(self, group: str, member: Member) -> Result[None, StoreFault]:
        """Remove a member from a group."""

    @abstractmethod
    def members(self, group: str) -> Result[list[Member], StoreFault]:
        """Read the members of a group."""

    @abstractmethod
    def read_suspicions(self) -> Result[list[Suspicion], StoreFault]:
        """Read the traits of requests that are suspected of crashing runners."""

    @abstractmethod
    def write_suspicions(self, suspicions: list[Suspicion]) -> Result[None, StoreFault]:
        """Keep suspicions beyond the life of VMs; remove those without crashes."""
