"""Entry point of requests: decoding, routing and admission checks."""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok, Result

from gooseberryrun._internal.state.serving import Handling, Route, RouteTable
from gooseberryrun._internal.state.serving.accounts import ClientAccount

from .._events import bind_request, log_event
from .._metrics import REFUSALS
from ._active_request import ActiveRequest, LocalResponse, make_active_request
from ._attempts import Attempts, check_connected
from ._context import Context
from ._crash_guard import CrashGuard, suspect_response
from ._detour import Detours
from ._model_requests import ModelRequests
from ._plain_requests import PlainRequests
from ._request_ports import (
    Caller,
    CallerDisconnectedError,
    CheckedHead,
    EarlyRefusal,
    Headers,
    InboundRequest,
    RequestHandler,
    RequestMetadata,
    StoppingError,
)
from ._responses import ResponseWriter, stopping_response
from .accounts import Authentication, Authenticator, UsageCaps

NOT_READY_RETRY_S = 0.5
"""Retry delay sent by a VM that has no configuration yet."""

BEHIND_RETRY_S = 0.3
"""Retry delay sent by a VM without a route, while peers have a newer configuration."""


@dataclass(frozen=True, slots=True)
class _GatewayHead(CheckedHead):
    """Decoded head of a request, with what ``table`` says of it.

    ``authentication`` is None if the head is malformed.
    """

    decoded: Result[RequestMetadata, str]
    table: RouteTable
    route: Route | None = None
    authentication: Authentication | None = None


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
        self._authenticator = Authenticator(ctx)
        self._guard = guard
        self._attempts = attempts
        self._responses = responses
        self._plain = plain
        self._models = models
        self._usage = usage
        self._detours = Detours(ctx, responses)

    def check_head(self, request: InboundRequest) -> EarlyRefusal | CheckedHead | None:
        """Refuse a request without a valid key before its body is read."""
        table = self._ctx.directory.table
        if table is None or table.accounts is None:
            return None
        decoded = self._ctx.ports.codec.decode_request(request.headers)
        if isinstance(decoded, Err):
            return _GatewayHead(decoded, table)
        metadata = decoded.ok_value
        route = table.find(request.host, request.path)
        checked = self._authenticator.check(table, route, metadata.credential)
        if checked.refusal is None:
            return _GatewayHead(decoded, table, route, checked)
        checked.count()
        headers = self._record_rejection(request, checked.refusal, metadata.request_id)
        return EarlyRefusal(checked.refusal.status, headers)

    def handle(self, request: InboundRequest, caller: Caller) -> None:
        """Serve a request, or reject it if it is malformed or has no route."""
        head = request.checked
        if isinstance(head, _GatewayHead):
            decoded = head.decoded
        else:
            decoded = self._ctx.ports.codec.decode_request(request.headers)
        if isinstance(decoded, Err):
            self._reject(request, caller, LocalResponse(400, decoded.err_value), "")
            return
        metadata = decoded.ok_value
        bind_request(metadata.request_id)
        found = self._find_route(request, metadata)
        if isinstance(found, Err):
            self._reject(request, caller, found.err_value, metadata.request_id)
            return
        route, account = found.ok_value
        self._serve(
            make_active_request(self._ctx, request, metadata, caller, route, account)
        )

    def _find_route(
        self, request: InboundRequest, metadata: RequestMetadata
    ) -> Result[tuple[Route, ClientAccount | None], LocalResponse]:
        """Return the request's route, and the account that sent it."""
        table: RouteTable | None = self._ctx.directory.table
        if table is None:
            return Err(LocalResponse(503, "no_configuration", NOT_READY_RETRY_S))
        route, checked = self._authenticate(request, metadata, table)
        checked.count()
        if checked.refusal is not None:
            return Err(checked.refusal)
        if route is None and self._ctx.lacks_configuration():
            return Err(LocalResponse(503, "behind", BEHIND_RETRY_S))
        if route is None:
            return Err(LocalResponse(404, f"no_route_in_{table.configuration.version}"))
        return Ok((route, checked.account))

    def _authenticate(
        self, request: InboundRequest, metadata: RequestMetadata, table: RouteTable
    ) -> tuple[Route | None, Authentication]:
        """Return the route and the check of the key by the configuration in force.

        The check of the head stands unless the configuration has changed since: only
        a request with a known key or a public route is handled after it, and for these
        it does not matter whether the configuration is confirmed.
        """
        head = request.checked
        known = head if isinstance(head, _GatewayHead) else None
        if known and known.table is table and known.authentication is not None:
            return known.route, known.authentication
        route = table.find(request.host, request.path)
        return route, self._authenticator.check(table, route, metadata.credential)

    def _serve(self, active: ActiveRequest) -> None:
        """Serve a request unless it is beyond its account's cap."""
        try:
            check_connected(active)
            if self._detours.is_needed(active):
                self._detours.serve(active)
                return
            refusal = self._admit(active)
            if refusal is not None:
                self._responses.send_local(active, refusal)
                return
            self._attempts.count_request(active.service)
            self._serve_admitted(active)
        except CallerDisconnectedError:
            if not active.is_logged:
                self._responses.log(active, 0, "caller_left")
            raise
        finally:
            self._usage.release(active)

    def _serve_admitted(self, active: ActiveRequest) -> None:
        now = self._ctx.clock.monotonic()
        verdict = self._guard.judge(active, now)
        if verdict.handling is Handling.REFUSED:
            self._responses.send_local(active, suspect_response(active, verdict, now))
        elif active.metadata.model:
            self._models.serve(active)
        else:
            self._plain.serve(active)

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
        headers = self._record_rejection(request, response, request_id)
        caller.respond(response.status, headers, b"")

    def _record_rejection(
        self, request: InboundRequest, response: LocalResponse, request_id: str
    ) -> Headers:
        """Log and count a rejection; return the headers of the response."""
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
        if response.status == 401:
            headers = [*headers, *codec.challenge]
        return headers
