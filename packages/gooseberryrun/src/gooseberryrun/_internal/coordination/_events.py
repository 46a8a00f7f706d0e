"""Structured logs: one line of key=value pairs for each event."""

from __future__ import annotations

import json
from collections.abc import Callable
from contextvars import ContextVar

from absl import logging

MAX_VALUE_LENGTH = 2000
"""Length in characters at which logged values are truncated."""

_bound_request: ContextVar[str] = ContextVar("request_id", default="")
_trace_fields: list[Callable[[], str]] = []
_line_writers: list[Callable[[str, str], None]] = []


def add_trace_fields(fields: Callable[[], str]) -> None:
    """Add what a function returns to each line, if anything: the current trace.

    The mode that traces requests registers it, so that the other one does not load a
    tracing library and ask it for each line.
    """
    if fields not in _trace_fields:
        _trace_fields.append(fields)


def write_lines_to(write: Callable[[str, str], None]) -> None:
    """Pass the level and text of events to a function instead of the log library.

    The library creates and formats a record for each line, which takes longer than the
    line itself. Events of level ``debug`` are left out.
    """
    _line_writers[:] = [write]


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
    for trace_fields in _trace_fields:
        parts += filter(None, [trace_fields()])
    parts += [f"{key}={_format_value(value)}" for key, value in fields.items()]
    if not _line_writers:
        logging.log(_LEVELS[level], "%s", " ".join(parts))
    elif level != "debug":
        _line_writers[0](level, " ".join(parts))


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)[:MAX_VALUE_LENGTH]
    is_plain = not (" " in text or '"' in text or "=" in text)
    if text and is_plain and text.isprintable():
        return text
    return json.dumps(text)


_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
