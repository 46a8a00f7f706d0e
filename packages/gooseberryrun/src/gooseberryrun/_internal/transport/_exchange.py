"""HTTP requests as passed to the routes, and the routes' results."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from result import Result

from gooseberryrun._internal.coordination import Refusal, Response
from gooseberryrun._internal.state import RunOutcome

JSON_CONTENT_TYPE = "application/json"
RouteResult = Result[Response, Refusal]
"""Result of a route: the response, or the refusal to send instead."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Received HTTP request whose body is read on demand.

    ``headers`` have lower-case names; ``deadline`` is in monotonic time.
    """

    request_id: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    read_body: Callable[[], Result[bytes, Refusal]]
    deadline: float


def json_response(
    status: int, value: object, outcome: RunOutcome = RunOutcome.RAN
) -> Response:
    """Return a response with a JSON body."""
    return Response(
        status, JSON_CONTENT_TYPE, iter([msgspec.json.encode(value)]), outcome
    )
