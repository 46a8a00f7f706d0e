"""Error bodies for callers: RFC 9457 problem details plus an ``outcome``."""

from __future__ import annotations

import json
from http import HTTPStatus

from gooseberryrun._internal.coordination import Refusal

PROBLEM_CONTENT_TYPE = "application/problem+json"


def status_phrase(status: int) -> str:
    """Return the standard phrase of a status, which a server may have made up."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def encode_problem(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON body of a refusal.

    Its ``outcome`` is ``ran``, ``not_run`` or ``unknown``.
    """
    body = {
        "type": f"urn:gooseberryrun:{refusal.code}",
        "title": status_phrase(refusal.status),
        "status": refusal.status,
        "detail": refusal.detail,
        "outcome": str(refusal.outcome),
        "request_id": request_id,
    }
    return json.dumps(body).encode()
