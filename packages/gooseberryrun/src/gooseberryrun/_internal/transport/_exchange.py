"""One HTTP request as the routes see it, and answers made for it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from result import Result

from gooseberryrun._internal.coordination import Answer, Refusal
from gooseberryrun._internal.state import RunOutcome

JSON_CONTENT_TYPE = "application/json"
Reply = Result[Answer, Refusal]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """HTTP request as this server sees it."""

    request_id: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    read_body: Callable[[], Result[bytes, Refusal]]
    deadline: float


def json_answer(
    status: int, value: object, outcome: RunOutcome = RunOutcome.RAN
) -> Answer:
    """Return an answer with a JSON body."""
    return Answer(
        status, JSON_CONTENT_TYPE, iter([msgspec.json.encode(value)]), outcome
    )
