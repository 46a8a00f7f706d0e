"""Requests from callers and the responses to them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from gooseberryrun._internal.state import RunOutcome, WorkClass


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """Completion request for an adapter version.

    ``body`` is the caller's JSON object; ``deadline`` is monotonic. ``prefix``
    identifies the beginning of the prompt, which engines may have cached.
    """

    request_id: str
    path: str
    model: str
    body: dict[str, Any]
    stream: bool
    work_class: WorkClass
    fingerprint: str
    deadline: float
    prefix: str = ""


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """Request for a service that is not a model engine; ``deadline`` is monotonic."""

    request_id: str
    service: str
    method: str
    path: str
    body: bytes
    content_type: str
    key: str
    work_class: WorkClass
    fingerprint: str
    deadline: float


@dataclass(frozen=True, slots=True)
class Response:
    """Response to a caller; ``chunks`` yields the body as it arrives.

    ``close`` is called when the caller has disconnected or the body is complete.
    """

    status: int
    content_type: str
    chunks: Iterator[bytes]
    outcome: RunOutcome = RunOutcome.RAN
    headers: dict[str, str] = field(default_factory=dict)
    close: Callable[[], None] = lambda: None


class StreamTruncatedError(Exception):
    """Raised when a streamed response ends early; its end mark was not sent."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail
