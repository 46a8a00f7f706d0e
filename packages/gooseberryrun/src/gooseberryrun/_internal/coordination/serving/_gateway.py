"""Entry point of requests: decoding, routing and admission checks."""

from __future__ import annotations

from result import Err, Ok, Result

from gooseberryrun._internal.state.serving import Handling, Route, RouteTable

from .._events import bind_request, log_event
from .._metrics import REFUSALS
from ._active_request import ActiveRequest, LocalResponse, request_traits
from ._attempts import Attempts
from ._context import Context
from ._crash_guard import CrashGuard, suspect_response
from ._model_requests import ModelRequests
from ._plain_requests import PlainRequests
from ._request_ports import (
    Caller,
    CallerDisconnectedError,
    InboundRequest,
    RequestHandler,
    RequestMetadata,
    StoppingError,
)
from ._responses import ResponseWriter, stopping_response
from .accounts import UsageCaps

NOT_READY_RETRY_S = 0.5
"""Retry delay sent by a VM that has no configuration yet."""


class Gateway(RequestHandler):
    """Finds the route of a request and dispatches it to model or plain services."""

    def __init__(
        self,
        ctx: Context,
        guard: CrashGuard,
        attempts: Attempts,
        responses: ResponseWriter,
        plain: PlainRequests,
        models: ModelRequests,
        usage: UsageCaps,
    ) -> None:
        self._ctx = ctx
        self._guard = guard
        self._attempts = attempts
        self._responses = responses
        self._plain = plain
        self._models = models
        self._usage = usage

    def handle(self, request: InboundRequest, caller: Caller) -> None:
        """Serve a request, or reject it if it is malformed or has no route."""
        decoded = self._ctx.ports.codec.decode_request(request.headers)
        if isinstance(decoded, Err):
            self._reject(request, caller, LocalResponse(400, decoded.err_value), "")
            return
        metadata = decoded.ok_value
        bind_request(metadata.request_id)
        found = self._find_route(request)
        if isinstance(found, Err):
            self._reject(request, caller, found.err_value, metadata.request_id)
            return
        self._serve(
            self._make_active_request(request, metadata, caller, found.ok_value)
        )

    def _find_route(self, request: InboundRequest) -> Result[Route, LocalResponse]:
        table: RouteTable | None = self._ctx.directory.table
        if table is None:
            return Err(LocalResponse(503, "no_configuration", NOT_READY_RETRY_S))
        route = table.find(request.host, request.path)
        if route is None:
            return Err(LocalResponse(404, f"no_route_in_{table.configuration.version}"))
        return Ok(route)

    def _make_active_request(
        self,
        request: InboundRequest,
        metadata: RequestMetadata,
        caller: Caller,
        route: Route,
    ) -> ActiveRequest:
        wait_s = min(metadata.wait_s, route.timeout_s)
        deadline = min(request.read_at + wait_s, self._ctx.stop_deadline)
        version = self._ctx.directory.version_of(metadata.model, metadata.adapter)
        return ActiveRequest(
            request,
            metadata,
            caller,
            route,
            route.pick_service(metadata.stream_id),
            deadline,
            traits=request_traits(request, metadata, version),
        )

    def _serve(self, active: ActiveRequest) -> None:
        self._attempts.count_request(active.service)
        now = self._ctx.clock.monotonic()
        verdict = self._guard.judge(active, now)
        if verdict.handling is Handling.REFUSED:
            self._responses.send_local(active, suspect_response(active, verdict, now))
            return
        try:
            refusal = self._admit(active)
            if refusal is not None:
                self._responses.send_local(active, refusal)
            elif active.metadata.model:
                self._models.serve(active)
            else:
                self._plain.serve(active)
        except CallerDisconnectedError:
            if not active.is_logged:
                self._responses.log(active, 0, "caller_left")
            raise
        finally:
            self._usage.release(active)

    def _admit(self, active: ActiveRequest) -> LocalResponse | None:
        """Check a request against its account's cap; return the refusal, if any."""
        try:
            return self._usage.admit(active)
        except StoppingError:
            return stopping_response(active)

    def _reject(
        self,
        request: InboundRequest,
        caller: Caller,
        response: LocalResponse,
        request_id: str,
    ) -> None:
        REFUSALS.labels(code=response.reason.partition("_in_")[0]).inc()
        log_event(
            "request",
            request=request_id,
            host=request.host,
            path=request.path,
            status=response.status,
            reason=response.reason,
        )
        codec = self._ctx.ports.codec
        headers = codec.encode_refusal(request_id, response.retry_in_s)
        caller.respond(response.status, headers, b"")
