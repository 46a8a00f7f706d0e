"""OpenTelemetry spans and the W3C trace context."""

from __future__ import annotations

from contextlib import AbstractContextManager

from opentelemetry import trace
from opentelemetry.trace import Span
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from ._events import add_trace_fields

_PROPAGATOR = TraceContextTextMapPropagator()
_TRACER_NAME = "gooseberryrun"


def _trace_fields() -> str:
    """Return the log field of the current trace, empty without one."""
    context = trace.get_current_span().get_span_context()
    return f"trace_id={context.trace_id:032x}" if context.is_valid else ""


add_trace_fields(_trace_fields)


def start_span(name: str, traceparent: str = "") -> AbstractContextManager[Span]:
    """Start a span as the current one, under a remote parent if one is given."""
    context = None
    if traceparent:
        context = _PROPAGATOR.extract({"traceparent": traceparent})
    return trace.get_tracer(_TRACER_NAME).start_as_current_span(name, context=context)


def current_traceparent() -> str:
    """Return the current span as a ``traceparent`` header, or an empty string."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier)
    return carrier.get("traceparent", "")
