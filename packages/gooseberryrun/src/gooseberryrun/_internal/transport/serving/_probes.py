"""HTTP server for readiness probes, metrics and explanations of choices."""

from __future__ import annotations

import logging as stdlib_logging
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import eventlet
import eventlet.wsgi
import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from result import Err, Result

from gooseberryrun._internal.state import Clock

from .._listening import bind

METRICS_PATH = "/metrics"
WHERE_PATH = "/where"
Explain = Callable[[dict[str, list[str]]], Result[dict[str, Any], str]]
"""Function of the fields of a query string; an error says which one is wrong."""


class ProbeServer:
    """WSGI server of the readiness path and of the metrics.

    With ``explain``, it also explains where the request that a query string describes
    would be sent.
    """

    def __init__(
        self,
        clock: Clock,
        readiness_path: str,
        is_ready: Callable[[], bool],
        explain: Explain | None = None,
    ) -> None:
        self._clock = clock
        self._explain = explain
        self._readiness_path = readiness_path
        self._is_ready = is_ready

    def serve(self, host: str, port: int) -> None:
        """Listen in a separate green thread."""
        discard_logger = stdlib_logging.getLogger("eventlet.wsgi.quiet")
        discard_logger.propagate = False
        discard_logger.addHandler(stdlib_logging.NullHandler())
        listener = bind(
            f"{host}:{port}", self._clock, lambda: eventlet.listen((host, port))
        )
        eventlet.spawn(
            eventlet.wsgi.server,
            listener,
            self._application,
            log=discard_logger,
            log_output=False,
            debug=False,
        )

    def _application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        path = environ.get("PATH_INFO", "")
        if path == self._readiness_path:
            status = "200 OK" if self._is_ready() else "503 Service Unavailable"
            start_response(status, [("Content-Length", "0")])
            return [b""]
        if path == METRICS_PATH:
            body = generate_latest()
            start_response("200 OK", [("Content-Type", CONTENT_TYPE_LATEST)])
            return [body]
        if path == WHERE_PATH and self._explain is not None:
            fields = parse_qs(environ.get("QUERY_STRING", ""))
            explained = self._explain(fields)
            headers = [("Content-Type", "application/json")]
            if isinstance(explained, Err):
                start_response("400 Bad Request", headers)
                return [msgspec.json.encode({"error": explained.err_value})]
            start_response("200 OK", headers)
            return [msgspec.json.encode(explained.ok_value)]
        start_response("404 Not Found", [("Content-Length", "0")])
        return [b""]
