"""Interfaces that the coordination layer uses and the transport layer implements."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from result import Result

from gooseberryrun._internal.state import CacheEvent, FencingNumber, LogRecord, Vm

from ._errors import EngineError, LogError, PeerError, PlatformError, ServiceError
from ._messages import PeerMessage

SendCheck = Callable[[], bool]
"""Check made just before a request is written to a socket; False stops it."""


class LogRead(msgspec.Struct, frozen=True):
    """Records from an offset on; ``first`` is the oldest retained offset.

    ``end`` is the offset that the next append will be given.
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
        """Read records from ``start`` on; wait up to ``wait_s`` if there are none."""


class VmList(ABC):
    """List of the platform's VMs, which may be out of date."""

    @abstractmethod
    def fetch(self) -> Result[list[Vm], PlatformError]:
        """Return the VMs that the platform lists now."""


class EngineReport(msgspec.Struct, frozen=True):
    """State that an engine reports.

    ``resident`` lists the loaded adapter versions and is current; ``running`` and
    ``active``, the number of requests by adapter version, may be out of date.
    """

    incarnation: str
    resident: list[str]
    running: int
    leaving: bool
    active: dict[str, int] = msgspec.field(default_factory=dict)


class EngineCall(msgspec.Struct, frozen=True):
    """One completion for an engine.

    ``resume_at`` is the number of stream events that the caller has received already.
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
    headers: dict[str, str] = msgspec.field(default_factory=dict)


class StreamBlock(msgspec.Struct, frozen=True):
    """Bytes of complete server-sent events; ``done`` if the end mark was among them."""

    data: bytes
    events: int
    done: bool


class EngineStream(ABC):
    """Response of an engine, read block by block."""

    content_type: str
    incarnation: str

    @abstractmethod
    def read(self) -> Result[StreamBlock, EngineError]:
        """Return the next block; not to be called after the block with the end mark."""

    @abstractmethod
    def close(self) -> None:
        """Release the connection; it is reused only after a complete response."""


class Engines(ABC):
    """Calls to model engines."""

    @abstractmethod
    def complete(
        self, engine: Vm, call: EngineCall
    ) -> Result[EngineStream, EngineError]:
        """Start a completion; check that the response is from the requested model."""

    @abstractmethod
    def load(
        self, engine: Vm, model: str, fencing: FencingNumber, send_check: SendCheck
    ) -> Result[None, EngineError]:
        """Order an engine to load an adapter version."""

    @abstractmethod
    def unload(
        self, engine: Vm, model: str, fencing: FencingNumber, send_check: SendCheck
    ) -> Result[None, EngineError]:
        """Order an engine to evict an adapter version."""

    @abstractmethod
    def report(self, engine: Vm) -> Result[EngineReport, EngineError]:
        """Return the engine's report."""

    @abstractmethod
    def cache_events(
        self, engine: Vm, after: int
    ) -> Result[list[CacheEvent], EngineError]:
        """Return prefix cache events after sequence number ``after``; may have gaps."""

    @abstractmethod
    def cancel(self, engine: Vm, request_id: str) -> bool:
        """Cancel a request; return whether the engine no longer executes it."""

    @abstractmethod
    def close_order_connections(self, engine: Vm) -> None:
        """Close the connections that carry orders to the engine."""


class ServiceCall(msgspec.Struct, frozen=True):
    """One request to a service."""

    service: str
    method: str
    path: str
    body: bytes
    content_type: str
    deadline: float
    key: str = ""
    fencing: int | None = None
    headers: dict[str, str] = msgspec.field(default_factory=dict)


class ServiceResponse(msgspec.Struct, frozen=True):
    """Complete response of a service."""

    status: int
    body: bytes
    content_type: str


class Services(ABC):
    """Calls to services other than model engines."""

    @abstractmethod
    def call(
        self, server: Vm, call: ServiceCall, send_check: SendCheck
    ) -> Result[ServiceResponse, ServiceError]:
        """Send one request, without retries."""

    @abstractmethod
    def lookup(
        self, server: Vm, key: str, fencing: int | None, deadline: float
    ) -> Result[ServiceResponse | None, ServiceError]:
        """Return the response recorded under a key, or None if there is none.

        With ``fencing``, the service rejects all later requests under the key that
        carry a lower number.
        """


class InboundMessage(msgspec.Struct, frozen=True):
    """Message from a peer; ``reply`` sends a reply and may be called once."""

    sender: str
    message: PeerMessage
    reply: Callable[[PeerMessage], None]


class Peers(ABC):
    """Message streams to the other entry VMs."""

    @abstractmethod
    def send_to(self, vm: str, message: PeerMessage) -> None:
        """Queue a message for a VM without waiting; it may be lost."""

    def send_to_all(self, vms: Iterable[str], message: PeerMessage) -> None:
        """Queue one message for several VMs."""
        for vm in vms:
            self.send_to(vm, message)

    @abstractmethod
    def request_from(
        self, vm: str, message: PeerMessage, deadline: float
    ) -> Result[PeerMessage, PeerError]:
        """Send a message and wait for the reply until the deadline."""
