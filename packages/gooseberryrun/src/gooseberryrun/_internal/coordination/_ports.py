"""Interfaces that the transport layer implements for the tasks."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from result import Result

from gooseberryrun._internal.state import CacheEvent, FencingNumber, LogRecord, Vm

from ._errors import EngineError, LogError, PeerError, PlatformError, ServiceError
from ._messages import PeerMessage

Guard = Callable[[], bool]
"""Last check before a request is written to a socket."""


@dataclass(frozen=True, slots=True)
class LogRead:
    """Records from an offset on; ``first`` is the oldest retained offset.

    ``end`` is the offset that the next append will get.
    """

    records: list[LogRecord]
    first: int
    end: int


class Log(ABC):
    """Append-only log service of the platform."""

    @abstractmethod
    def append(
        self, stream: str, writer: str, records: list[tuple[int, dict[str, Any]]]
    ) -> Result[int, LogError]:
        """Append (sequence, plain record) pairs; return the first offset."""

    @abstractmethod
    def read(self, stream: str, start: int, wait_s: float) -> Result[LogRead, LogError]:
        """Read records from ``start`` on, waiting for one if there are none."""


class VmList(ABC):
    """Lagging list of the platform's VMs."""

    @abstractmethod
    def fetch(self) -> Result[list[Vm], PlatformError]:
        """Return the VMs that the platform lists now."""


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State that an engine reports.

    ``running`` and ``active``, the requests by adapter version, may lag; ``resident``
    does not.
    """

    incarnation: str
    resident: list[str]
    running: int
    leaving: bool
    active: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EngineCall:
    """One completion for an engine.

    ``resume_at`` is the number of events that the caller already has.
    """

    request_id: str
    path: str
    model: str
    body: dict[str, Any]
    stream: bool
    priority: int
    deadline: float
    resume_at: int = 0
    prefix: str = ""
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StreamBlock:
    """Bytes of whole server-sent events; ``done`` if the end mark was among them."""

    data: bytes
    events: int
    done: bool


class EngineStream(ABC):
    """Answer of an engine that is being read."""

    content_type: str
    incarnation: str

    @abstractmethod
    def read(self) -> Result[StreamBlock, EngineError]:
        """Return the next block; never called after a block with the end mark."""

    @abstractmethod
    def close(self) -> None:
        """Give up the connection; it is reused only after a whole answer."""


class Engines(ABC):
    """Calls to model engines."""

    @abstractmethod
    def complete(
        self, engine: Vm, call: EngineCall
    ) -> Result[EngineStream, EngineError]:
        """Start a completion and check that the answer names the model."""

    @abstractmethod
    def load(
        self, engine: Vm, model: str, fencing: FencingNumber, guard: Guard
    ) -> Result[None, EngineError]:
        """Order an engine to load an adapter version."""

    @abstractmethod
    def unload(
        self, engine: Vm, model: str, fencing: FencingNumber, guard: Guard
    ) -> Result[None, EngineError]:
        """Order an engine to evict an adapter version."""

    @abstractmethod
    def report(self, engine: Vm) -> Result[EngineReport, EngineError]:
        """Return the engine's report."""

    @abstractmethod
    def cache_events(
        self, engine: Vm, after: int
    ) -> Result[list[CacheEvent], EngineError]:
        """Return the events of the prefix cache after a number; some may be missing."""

    @abstractmethod
    def cancel(self, engine: Vm, request_id: str) -> bool:
        """Stop a request; return whether the engine no longer runs it."""

    @abstractmethod
    def close_order_connections(self, engine: Vm) -> None:
        """Drop the connections on which orders to the engine travel."""


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One request to a plain service."""

    service: str
    method: str
    path: str
    body: bytes
    content_type: str
    deadline: float
    key: str = ""
    fencing: int | None = None
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Whole answer of a plain service."""

    status: int
    body: bytes
    content_type: str


class Services(ABC):
    """Calls to plain services."""

    @abstractmethod
    def call(
        self, server: Vm, call: ServiceCall, guard: Guard
    ) -> Result[ServiceAnswer, ServiceError]:
        """Send one request, once."""

    @abstractmethod
    def lookup(
        self, server: Vm, key: str, fencing: int | None, deadline: float
    ) -> Result[ServiceAnswer | None, ServiceError]:
        """Return the answer recorded under a key, or None if there is none.

        With ``fencing`` the service refuses every later request under the key that
        carries a lower number.
        """


@dataclass(frozen=True, slots=True)
class Inbound:
    """Message from a peer; ``reply`` answers it and may be called once."""

    sender: str
    message: PeerMessage
    reply: Callable[[PeerMessage], None]


class Peers(ABC):
    """Streams to the other entry VMs."""

    @abstractmethod
    def send_to(self, vm: str, message: PeerMessage) -> None:
        """Send a message without waiting; it may be lost."""

    def send_to_all(self, vms: Iterable[str], message: PeerMessage) -> None:
        """Send one message to several VMs."""
        for vm in vms:
            self.send_to(vm, message)

    @abstractmethod
    def ask(
        self, vm: str, message: PeerMessage, deadline: float
    ) -> Result[PeerMessage, PeerError]:
        """Send a message and wait for its answer."""
