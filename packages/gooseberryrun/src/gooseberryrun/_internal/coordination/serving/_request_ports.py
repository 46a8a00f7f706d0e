"""Interfaces of serving by routes to callers and to runners that serve requests."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum

import msgspec
from result import Result

from gooseberryrun._internal.state.serving import Runner, RunnerStatement

Headers = list[tuple[str, str]]
MAX_ID_CHARS = 128
"""Characters of a request's id by which its stream is remembered."""


class PromptPart(msgspec.Struct, frozen=True):
    """Part of a prompt that may be shared with other requests."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Decoded headers of a request.

    ``wait_s`` is the time the caller waits for a response. ``adapter`` is empty for the
    base model. A request that takes up a broken stream has the id of the stream's last
    event and ``resumes``, the id of the request that brought its first one.
    ``credential`` is the API key, empty without exactly one of the expected scheme; it
    is never logged. Without ``has_token_count`` the caller stated no token counts.
    ``relay_secret`` is the secret of the VM that has sent a request on for its caller.
    """

    request_id: str
    wait_s: float
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt: tuple[PromptPart, ...] = ()
    last_event_id: str = ""
    resumes: str = ""
    credential: str = field(default="", repr=False)
    has_token_count: bool = False
    relay_secret: str = field(default="", repr=False)

    @property
    def stream_id(self) -> str:
        """Return the id of the request that begins or began the stream, cut if long."""
        is_taken_up = bool(self.last_event_id and self.resumes)
        return (self.resumes if is_taken_up else self.request_id)[:MAX_ID_CHARS]


class CheckedHead:
    """What the handler of a request has found by its head, for use with the body."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """Complete request of a caller; ``checked`` is what its head was found to be."""

    method: str
    target: str
    host: str
    headers: Headers = field(repr=False)
    body: bytes
    read_at: float
    checked: CheckedHead | None = field(default=None, repr=False)

    @property
    def path(self) -> str:
        """Return the target without its query string."""
        return self.target.partition("?")[0]


class ForwardingMetadata(msgspec.Struct, frozen=True):
    """Metadata added to the caller's headers of a request to a runner.

    ``account`` is None where the configuration has no accounts: the caller's headers
    stay as they are. Otherwise its credential and account headers are dropped, and the
    account's name is set unless it is empty.
    """

    runner: str
    left_s: float
    urgency: int | None = None
    adapter_version: int = 0
    last_event_id: str = ""
    account: str | None = None


class ResponseMetadata(msgspec.Struct, frozen=True):
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
    """Decodes and encodes the platform's own headers.

    ``challenge`` are the headers of a response with status 401.
    """

    challenge: Headers = []

    @abstractmethod
    def decode_request(self, headers: Headers) -> Result[RequestMetadata, str]:
        """Return a request's metadata, or the reason why it is malformed."""

    @abstractmethod
    def encode_request(
        self, headers: Headers, forwarding: ForwardingMetadata
    ) -> Headers:
        """Return the headers for a runner; hop-by-hop headers are already removed."""

    @abstractmethod
    def encode_relayed(self, headers: Headers, left_s: float, secret: str) -> Headers:
        """Return the headers for another VM that serves the request instead."""

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

    @abstractmethod
    def end_after_disconnect(self) -> None:
        """Let the request end again if the caller disconnects, or already has."""

    @abstractmethod
    def has_left(self) -> bool:
        """Return whether the caller has disconnected, noticed until now or not."""


class EarlyRefusal(msgspec.Struct, frozen=True):
    """Response without a body to a request whose own body need not be read."""

    status: int
    headers: Headers


class RequestHandler(ABC):
    """Serves complete requests."""

    def check_head(self, request: InboundRequest) -> EarlyRefusal | CheckedHead | None:
        """Check a request whose body has not been read; return its refusal, if any.

        ``request`` has an empty body. What is not refused here is handled later, with
        the result as ``checked`` of the complete request.
        """
        return None

    @abstractmethod
    def handle(self, request: InboundRequest, caller: Caller) -> None:
        """Serve a request; CallerDisconnectedError propagates."""


class RequestInterruptedError(Exception):
    """Raised in the green thread of a request that ends before its response."""


class CallerDisconnectedError(RequestInterruptedError):
    """The caller closed the connection."""


class StoppingError(RequestInterruptedError):
    """The process has to exit; the caller still gets a response."""


class AttemptFailure(Enum):
    """Stage or cause of a failed attempt."""

    NOT_SENT = "not_sent"
    """Nothing reached the runner."""
    WITHDRAWN = "withdrawn"
    """Nothing was sent, since the request may no longer be sent now."""
    SENT = "sent"
    """The runner may have run the request."""
    INVALID_RESPONSE = "spoiled"
    """The runner's response is malformed, unsigned or too long."""
    LATE = "late"
    """The attempt's deadline passed; the runner may have run the request."""

    @property
    def is_not_run(self) -> bool:
        """Return whether the runner has certainly not run the request."""
        return self in (AttemptFailure.NOT_SENT, AttemptFailure.WITHDRAWN)


class AttemptFault(msgspec.Struct, frozen=True):
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
    def release(self) -> None:
        """Return the connection of a body that is read, which is still buffered."""

    @abstractmethod
    def close(self) -> None:
        """Return the connection to the pool, or close it if the body is unread."""


@dataclass(frozen=True, slots=True)
class OutboundRequest:
    """Request to a runner; unless ``is_idempotent`` it may run only once.

    ``may_send`` is asked once more after a connection was opened, which takes time.
    """

    method: str
    target: str
    headers: Headers = field(repr=False)
    body: bytes
    request_id: str
    is_idempotent: bool
    may_send: Callable[[], bool] | None = None


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

    @abstractmethod
    def watch(self, on_connection: Callable[[Runner, bool], None]) -> None:
        """Call a function with the result of each attempt to open a connection."""

    @abstractmethod
    def probe(self, runner: Runner) -> None:
        """Open a connection to a runner, for the sake of its result."""

    @abstractmethod
    def close_idle(self) -> None:
        """Close all connections on which there is no request."""
