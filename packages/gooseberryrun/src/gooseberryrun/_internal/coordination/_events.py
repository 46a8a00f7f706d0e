"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import json
from contextvars import ContextVar

from absl import logging
from opentelemetry import trace

MAX_VALUE_LENGTH = 2000
"""Length in characters at which logged values are truncated."""

_bound_request: ContextVar[str] = ContextVar("request_id", default="")


def bind_request(request_id: str) -> None:
    """Add the request's id to all further log lines of this green thread."""
    _bound_request.set(request_id)


def log_event(event: str, level: str = "info", **fields: object) -> None:
    """Log one event; values with spaces, quotes or "=" are escaped as JSON strings.

    The ids of the current trace and of the green thread's request are added.
    """
    request_id = _bound_request.get()
    if request_id:
        fields.setdefault("request", request_id)
    parts = [f"event={event}"]
    context = trace.get_current_span().get_span_context()
    if context.is_valid:
        parts.append(f"trace_id={context.trace_id:032x}")
    parts += [f"{key}={_format_value(value)}" for key, value in fields.items()]
    logging.log(_LEVELS[level], "%s", " ".join(parts))


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)[:MAX_VALUE_LENGTH]
    if text and text.isprintable() and not set(text) & {" ", '"', "="}:
        return text
    return json.dumps(text)


_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
