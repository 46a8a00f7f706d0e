"""HTTP server for callers, operators and health checks."""

from __future__ import annotations

import logging as stdlib_logging
import re
import socket
import time
import uuid
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import eventlet
import eventlet.wsgi
import msgspec
from eventlet.timeout import Timeout
from prometheus_client import generate_latest
from result import Err, Ok, Result

from gooseberryrun._internal.coordination import (
    REFUSALS,
    REQUESTS,
    Node,
    Refusal,
    Response,
    StreamTruncatedError,
    bind_request,
    current_traceparent,
    log_event,
    start_span,
)
from gooseberryrun._internal.protocol import (
    COMPLETION_PATHS,
    PROBLEM_CONTENT_TYPE,
    bad_request,
    encode_problem,
    status_phrase,
)
from gooseberryrun._internal.state import InvariantError, RunOutcome, Settings

from ._caller_routes import CallerRoutes
from ._exchange import HttpRequest, RouteResult, json_response
from ._operator_routes import OperatorRoutes

_SERVICE_PATH = re.compile(r"^/services/([A-Za-z0-9_-]{1,64})(/.*)?$")
_JOB_PATH = re.compile(r"^/v1/jobs/([A-Za-z0-9-]{1,64})$")
_REQUEST_ID = re.compile(r"^[A-Za-z0-9_.:-]{1,128}$")


class HttpServer:
    """Dispatches HTTP requests; errors are problem details with an outcome."""

    def __init__(self, cfg: Settings, node: Node) -> None:
        self._cfg = cfg
        self._node = node
        self._caller_routes = CallerRoutes(node)
        self._operator_routes = OperatorRoutes(cfg, node)

    def serve(self) -> None:
        """Listen and serve requests in a new green thread."""
        address = (str(self._cfg.vm.address), self._cfg.http.port)
        sock = eventlet.listen(address, backlog=1024)
        # Inherited by accepted sockets. Head and body are separate writes; without this
        # option the second one waits for the peer's delayed acknowledgement (40 ms).
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        quiet_logger = stdlib_logging.getLogger("eventlet.wsgi.quiet")
        quiet_logger.propagate = False
        quiet_logger.addHandler(stdlib_logging.NullHandler())
        eventlet.spawn(
            eventlet.wsgi.server,
            sock,
            self._handle_wsgi,
            log=quiet_logger,
            log_output=False,
            max_size=self._cfg.http.max_connections,
            socket_timeout=max(
                self._cfg.http.read_timeout_s, self._cfg.limits.request_timeout_s
            ),
            debug=False,
        )

    def _handle_wsgi(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        environ["eventlet.minimum_write_chunk_size"] = 0
        request = self._to_request(environ)
        started_at = time.monotonic()
        bind_request(request.request_id)
        self._node.open_requests += 1
        with start_span("entry.request", request.headers.get("traceparent", "")):
            traceparent = current_traceparent()
            routed = self._handle(request)
            response = self._to_response(request, routed)
        headers = [
            ("Content-Type", response.content_type),
            ("X-Request-Id", request.request_id),
            ("X-Outcome", str(response.outcome)),
            *response.headers.items(),
        ]
        if traceparent:
            headers.append(("traceparent", traceparent))
        if isinstance(routed, Err) or self._node.stopping:
            headers.append(("Connection", "close"))
        phrase = status_phrase(response.status)
        start_response(f"{response.status} {phrase}", headers)
        return _ResponseBody(
            response,
            lambda detail: self._record_end(request, response, started_at, detail),
        )

    def _record_end(
        self,
        request: HttpRequest,
        response: Response,
        started_at: float,
        truncation_detail: str,
    ) -> None:
        self._node.open_requests -= 1
        route = _route_label(request.path)
        REQUESTS.labels(route=route, status=str(response.status)).inc()
        if not self._cfg.http.log_requests:
            return
        log_event(
            "request",
            request=request.request_id,
            method=request.method,
            path=request.path,
            status=response.status,
            outcome=response.outcome,
            seconds=time.monotonic() - started_at,
            cut=truncation_detail or "no",
        )

    def _to_request(self, environ: dict[str, Any]) -> HttpRequest:
        headers = {
            name[5:].replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        headers["content-type"] = environ.get("CONTENT_TYPE") or ""
        given_id = headers.get("x-request-id", "")
        request_id = given_id if _REQUEST_ID.match(given_id) else uuid.uuid4().hex
        deadline = time.monotonic() + self._cfg.limits.request_timeout_s
        return HttpRequest(
            request_id=request_id,
            method=environ["REQUEST_METHOD"],
            path=environ.get("PATH_INFO", "/"),
            query=environ.get("QUERY_STRING", ""),
            headers=headers,
            read_body=lambda: self._read_body(environ),
            deadline=deadline,
        )

    def _read_body(self, environ: dict[str, Any]) -> Result[bytes, Refusal]:
        limit = self._cfg.http.max_body_bytes
        too_large = bad_request(
            f"the body is larger than {limit} bytes", "body_too_large", 413
        )
        length = environ.get("CONTENT_LENGTH") or ""
        if length.isdigit() and int(length) > limit:
            return Err(too_large)
        body: bytes | None = None
        try:
            with Timeout(self._cfg.http.read_timeout_s, False):
                body = environ["wsgi.input"].read(limit + 1)
        except (OSError, ValueError) as exc:
            return Err(bad_request(f"the body could not be read: {exc}"))
        if body is None:
            # The WSGI server reads the rest of the body before it closes the
            # connection; a slow sender would occupy it until the socket timeout.
            environ["eventlet.input"].get_socket().shutdown(socket.SHUT_RD)
            return Err(
                bad_request("the body was not received in time", "slow_sender", 408)
            )
        if length.isdigit() and len(body) < int(length):
            return Err(bad_request("the body is shorter than its Content-Length"))
        return Err(too_large) if len(body) > limit else Ok(body)

    def _handle(self, request: HttpRequest) -> RouteResult:
        try:
            return self._route(request)
        except InvariantError:
            raise
        except Exception as exc:
            log_event(
                "internal_error",
                level="error",
                task="http",
                id=request.request_id,
                detail=repr(exc),
            )
            detail = "internal error"
            return Err(Refusal(500, "internal", detail, RunOutcome.UNKNOWN))

    def _to_response(self, request: HttpRequest, routed: RouteResult) -> Response:
        if not isinstance(routed, Err):
            return routed.ok_value
        refusal = routed.err_value
        REFUSALS.labels(code=refusal.code).inc()
        body = encode_problem(refusal, request.request_id)
        headers = {}
        if refusal.retry_after_s is not None:
            headers["Retry-After"] = str(max(1, round(refusal.retry_after_s)))
        return Response(
            refusal.status, PROBLEM_CONTENT_TYPE, iter([body]), refusal.outcome, headers
        )

    def _route(self, request: HttpRequest) -> RouteResult:
        if request.method == "GET" and request.path in _PROBES:
            return _PROBES[request.path](self)
        if not self._node.replica.is_ready():
            detail = "this entry VM has not read the configuration yet"
            return Err(Refusal(503, "not_ready", detail, retry_after_s=1.0))
        if request.path in COMPLETION_PATHS and request.method == "POST":
            return self._caller_routes.complete(request)
        job = _JOB_PATH.match(request.path)
        if job is not None and request.method == "GET":
            return self._caller_routes.get_job(job.group(1))
        service = _SERVICE_PATH.match(request.path)
        if service is not None:
            return self._caller_routes.call_service(
                request, service.group(1), service.group(2)
            )
        if request.path.startswith("/operator/v1/"):
            return self._operator_routes.handle(request)
        if request.path == "/v1/models" and request.method == "GET":
            return self._caller_routes.list_models()
        return Err(Refusal(404, "no_such_path", "there is no such path"))

    def _healthy(self) -> RouteResult:
        return Ok(json_response(200, {"status": "alive", "boot": self._node.boot}))

    def _ready(self) -> RouteResult:
        if self._node.is_ready():
            return Ok(json_response(200, {"status": "ready"}))
        status = "stopping" if self._node.stopping else "starting"
        return Ok(json_response(503, {"status": status}))

    def _metrics(self) -> RouteResult:
        return Ok(Response(200, "text/plain; version=0.0.4", iter([generate_latest()])))


_PROBES: dict[str, Callable[[HttpServer], RouteResult]] = {
    "/healthz": HttpServer._healthy,
    "/readyz": HttpServer._ready,
    "/metrics": HttpServer._metrics,
}


class _ResponseBody:
    """Body of a response; calls ``on_end`` when it ends or the caller disconnects."""

    def __init__(self, response: Response, on_end: Callable[[str], None]) -> None:
        self._response = response
        self._on_end = on_end
        self._truncation_detail = ""

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield from self._response.chunks
        except StreamTruncatedError as exc:
            self._truncation_detail = exc.detail
            error = {"error": {"message": exc.detail, "outcome": "unknown"}}
            yield b"data: " + msgspec.json.encode(error) + b"\n\n"
            raise

    def close(self) -> None:
        """Close the response; the WSGI server always calls this."""
        self._response.close()
        self._on_end(self._truncation_detail)


def _route_label(path: str) -> str:
    """Return the metric label of a path; limits the number of label values."""
    for prefix in ("/v1/completions", "/v1/chat", "/v1/jobs", "/services", "/operator"):
        if path.startswith(prefix):
            return prefix
    return "other"
