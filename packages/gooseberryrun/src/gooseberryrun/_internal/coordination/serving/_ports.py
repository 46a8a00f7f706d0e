"""Interfaces of serving by routes to the world outside."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, StrEnum

from result import Result

from gooseberryrun._internal.state.serving import (
    DirectoryRecord,
    HeldModel,
    Member,
    Runner,
    Topic,
)

Headers = list[tuple[str, str]]

# The operators' store.


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
    """Part of a topic; ``end`` is the offset to read from next."""

    records: list[DirectoryRecord]
    end: int


class ControlStore(ABC):
    """The operators' store: configuration, runners' registry and membership."""

    @abstractmethod
    def read_snapshot(self, topic: Topic) -> Result[Records, StoreFault]:
        """Read the newest record of every key."""

    @abstractmethod
    def read_changes(
        self, topic: Topic, offset: int, wait_s: float
    ) -> Result[Records, StoreFault]:
        """Wait for records from an offset on; none come if ``wait_s`` passes."""

    @abstractmethod
    def renew(
        self, group: str, member: Member, generation: int
    ) -> Result[int, StoreFault]:
        """Let a member join a group or stay in it; return the generation.

        Each failure domain has a group, which owns its runners.
        """

    @abstractmethod
    def leave(self, group: str, member: Member) -> Result[None, StoreFault]:
        """Take a member out of a group."""

    @abstractmethod
    def members(self, group: str) -> Result[list[Member], StoreFault]:
        """Read who is in a group."""


# Requests of callers.


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Part of a prompt that other requests may share."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What the headers of a request say, decoded.

    ``wait_s`` is how long the caller waits. ``adapter`` is empty for the model itself.
    """

    request_id: str
    wait_s: float
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt: tuple[PromptPart, ...] = ()
    last_event_id: str = ""


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """Request of a caller, read as a whole."""

    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    read_at: float

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """What the system says to a runner beside the caller's own headers."""

    runner: str
    left_s: float
    urgency: int | None = None
    adapter_version: int = 0
    last_event_id: str = ""


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the headers of a runner's answer say, decoded.

    ``is_not_run`` states that the runner has not run the request and never will;
    ``is_misdirected`` that it is not the expected one or lacks what was asked for.
    """

    request_id: str
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    is_encoded: bool


class HeaderCodec(ABC):
    """Decodes and encodes the headers that concern the system."""

    @abstractmethod
    def decode_request(self, headers: Headers) -> Result[RequestMetadata, str]:
        """Return what a request says, or why it is malformed."""

    @abstractmethod
    def encode_request(
        self, headers: Headers, forwarding: ForwardingMetadata
    ) -> Headers:
        """Return the headers for a runner; those of one connection are gone."""

    @abstractmethod
    def decode_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return what a runner's answer says."""

    @abstractmethod
    def encode_refusal(self, request_id: str, retry_in_s: float | None) -> Headers:
        """Return the headers of an answer of the system's own."""


class Caller(ABC):
    """Connection of a caller during one request."""

    @abstractmethod
    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""

    @abstractmethod
    def start(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed answer."""

    @abstractmethod
    def send(self, data: bytes) -> None:
        """Send a piece of a streamed answer at once."""

    @abstractmethod
    def finish(self) -> None:
        """Complete a streamed answer."""

    @abstractmethod
    def abort(self) -> None:
        """Break the answer off so that it does not look complete."""

    @abstractmethod
    def continue_after_disconnect(self) -> None:
        """Let the request go on although its caller may leave."""


class RequestHandler(ABC):
    """Serves whole requests."""

    @abstractmethod
    def handle(self, request: InboundRequest, caller: Caller) -> None:
        """Answer a request; raises CallerLeftError through."""


class CallerDisconnectedError(Exception):
    """Raised in the green thread of a request whose caller closed the connection."""


# Runners.


class AttemptFailure(Enum):
    """How far a failed attempt got."""

    NOT_SENT = "not_sent"
    """Nothing reached the runner."""
    SENT = "sent"
    """The runner may have run the request."""
    INVALID_RESPONSE = "spoiled"
    """The runner answered with something that is no answer to this request."""
    LATE = "late"
    """The deadline of the attempt passed; the runner may have run the request."""


@dataclass(frozen=True, slots=True)
class AttemptFault:
    """Failed attempt at a runner."""

    failure: AttemptFailure
    detail: str


class RunnerResponse(ABC):
    """Answer of a runner, its head read."""

    status: int
    headers: Headers
    metadata: ResponseMetadata

    @abstractmethod
    def read_all(self, deadline: float) -> Result[bytes, AttemptFault]:
        """Read the rest of the body."""

    @abstractmethod
    def body_chunks(self, deadline: float) -> Iterator[Result[bytes, AttemptFault]]:
        """Yield the body as it comes; an error is the last item."""

    @abstractmethod
    def close(self) -> None:
        """Give the connection back, or close it if the answer was not read whole."""


@dataclass(frozen=True, slots=True)
class OutboundRequest:
    """Request for a runner; one that is not repeatable may run once only."""

    method: str
    target: str
    headers: Headers
    body: bytes
    request_id: str
    is_repeatable: bool


class RunnerRequests(ABC):
    """Sends requests to runners."""

    @abstractmethod
    def send(
        self, runner: Runner, request: OutboundRequest, deadline: float
    ) -> Result[RunnerResponse, AttemptFault]:
        """Send a request once and wait for the head of its answer."""

    @abstractmethod
    def refuses_connections(self, runner: Runner) -> bool:
        """Tell whether the runner's address refuses connections now."""


# Orders to runners.


@dataclass(frozen=True, slots=True)
class RunnerReport:
    """A model runner's report on itself, some hundred milliseconds old.

    ``coming`` has the adapters on their way, by ``model/adapter`` with versions.
    """

    models: tuple[HeldModel, ...]
    coming: dict[str, int]
    is_busy: bool
    order_seq: int
    in_flight: int
    queued: int


class OrderOp(StrEnum):
    """Kinds of orders."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class RunnerOrder:
    """Order to a runner, guarded by a fencing token and the expected order count."""

    op: OrderOp
    model: str
    adapter: str
    version: int
    expected_seq: int
    fencing_token: int


class OrderOutcome(StrEnum):
    """Answer of a runner to an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    UNKNOWN = "unknown"


class RunnerControl(ABC):
    """Reads reports of runners and gives them orders."""

    @abstractmethod
    def read_report(self, runner: Runner) -> Result[RunnerReport, str]:
        """Read a runner's report."""

    @abstractmethod
    def send_order(
        self, runner: Runner, order: RunnerOrder, timeout_s: float
    ) -> OrderOutcome:
        """Give an order once and wait for its answer at most this long."""


@dataclass(frozen=True, slots=True)
class Ports:
    """Everything that serving needs from outside."""

    store: ControlStore
    codec: HeaderCodec
    requests: RunnerRequests
    control: RunnerControl
