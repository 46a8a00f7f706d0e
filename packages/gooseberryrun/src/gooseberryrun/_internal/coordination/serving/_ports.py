"""Interfaces of serving by routes to the store, the callers and the runners."""

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
    RunnerStatement,
    Suspicion,
    Topic,
)

Headers = list[tuple[str, str]]


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


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Part of a prompt that may be shared with other requests."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Decoded headers of a request.

    ``wait_s`` is the time the caller waits for a response. ``adapter`` is empty for the
    base model.
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
    """Complete request of a caller."""

    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    read_at: float

    @property
    def path(self) -> str:
        """Return the target without its query string."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """Metadata added to the caller's headers of a request to a runner."""

    runner: str
    left_s: float
    urgency: int | None = None
    adapter_version: int = 0
    last_event_id: str = ""


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Decoded headers of a runner's response.

    ``is_not_run`` means that the runner has not run the request and never will;
    ``is_misdirected`` that it is not the expected runner or lacks the adapter version.
    ``statement`` is what the runner says of itself.
    """

    request_id: str
    is_signed: bool
    is_not_run: bool
    is_misdirected: bool
    is_encoded: bool
    statement: RunnerStatement = RunnerStatement()


class HeaderCodec(ABC):
    """Decodes and encodes the platform's own headers."""

    @abstractmethod
    def decode_request(self, headers: Headers) -> Result[RequestMetadata, str]:
        """Return a request's metadata, or the reason why it is malformed."""

    @abstractmethod
    def encode_request(
        self, headers: Headers, forwarding: ForwardingMetadata
    ) -> Headers:
        """Return the headers for a runner; hop-by-hop headers are already removed."""

    @abstractmethod
    def decode_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return the metadata of a runner's response."""

    @abstractmethod
    def encode_refusal(self, request_id: str, retry_in_s: float | None) -> Headers:
        """Return the headers of a locally generated response."""


class Caller(ABC):
    """Caller's side of one request: sends the response, or aborts it."""

    @abstractmethod
    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""

    @abstractmethod
    def start(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed response."""

    @abstractmethod
    def send(self, data: bytes) -> None:
        """Send a chunk of a streamed response immediately."""

    @abstractmethod
    def finish(self) -> None:
        """Complete a streamed response."""

    @abstractmethod
    def abort(self) -> None:
        """Abort the response so that it does not look complete."""

    @abstractmethod
    def continue_after_disconnect(self) -> None:
        """Let the request continue even if the caller disconnects."""


class RequestHandler(ABC):
    """Serves complete requests."""

    @abstractmethod
    def handle(self, request: InboundRequest, caller: Caller) -> None:
        """Serve a request; CallerDisconnectedError propagates."""


class CallerDisconnectedError(Exception):
    """Raised in the green thread of a request whose caller closed the connection."""


class AttemptFailure(Enum):
    """Stage or cause of a failed attempt."""

    NOT_SENT = "not_sent"
    """Nothing reached the runner."""
    SENT = "sent"
    """The runner may have run the request."""
    INVALID_RESPONSE = "spoiled"
    """The runner's response is malformed, unsigned or too long."""
    LATE = "late"
    """The attempt's deadline passed; the runner may have run the request."""


@dataclass(frozen=True, slots=True)
class AttemptFault:
    """Failed attempt at a runner."""

    failure: AttemptFailure
    detail: str


class RunnerResponse(ABC):
    """Response of a runner whose head has been read.

    ``ends_with_connection`` is set if it has no framing of its own, so that only the
    close of the connection ends it.
    """

    status: int
    headers: Headers
    metadata: ResponseMetadata
    ends_with_connection: bool

    @abstractmethod
    def read_all(self, deadline: float) -> Result[bytes, AttemptFault]:
        """Read the rest of the body."""

    @abstractmethod
    def body_chunks(self, deadline: float) -> Iterator[Result[bytes, AttemptFault]]:
        """Yield the body as it arrives; an error is the last item."""

    @abstractmethod
    def close(self) -> None:
        """Return the connection to the pool, or close it if the body is unread."""


@dataclass(frozen=True, slots=True)
class OutboundRequest:
    """Request to a runner; unless ``is_idempotent`` it may run only once."""

    method: str
    target: str
    headers: Headers
    body: bytes
    request_id: str
    is_idempotent: bool


class RunnerRequests(ABC):
    """Sends requests to runners."""

    @abstractmethod
    def send(
        self, runner: Runner, request: OutboundRequest, deadline: float
    ) -> Result[RunnerResponse, AttemptFault]:
        """Send a request once and wait for the head of the response."""

    @abstractmethod
    def refuses_connections(self, runner: Runner) -> bool:
        """Return whether the runner's address refuses connections now."""


@dataclass(frozen=True, slots=True)
class RunnerReport:
    """Self-reported state of a model runner, some hundred milliseconds old.

    ``loading`` maps each adapter being loaded, as ``model/adapter``, to its version.
    """

    models: tuple[HeldModel, ...]
    loading: dict[str, int]
    is_busy: bool
    order_seq: int
    in_flight: int
    queued: int


class OrderOp(StrEnum):
    """Kind of an order."""

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
    """Outcome of an order; ``UNKNOWN`` if the runner did not respond."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    UNKNOWN = "unknown"


class RunnerControl(ABC):
    """Reads reports of runners and sends them orders."""

    @abstractmethod
    def read_report(self, runner: Runner) -> Result[RunnerReport, str]:
        """Read a runner's report."""

    @abstractmethod
    def send_order(
        self, runner: Runner, order: RunnerOrder, timeout_s: float
    ) -> OrderOutcome:
        """Send an order once and wait up to ``timeout_s`` for the response."""


@dataclass(frozen=True, slots=True)
class Ports:
    """External services used by serving."""

    store: ControlStore
    codec: HeaderCodec
    requests: RunnerRequests
    control: RunnerControl
