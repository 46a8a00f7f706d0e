"""HTTP client for services other than model engines."""

from __future__ import annotations

import time
from http import HTTPStatus
from urllib.parse import quote

from result import Err, Ok, Result

from gooseberryrun._internal.coordination import (
    SendCheck,
    ServiceCall,
    ServiceError,
    ServiceResponse,
    Services,
)
from gooseberryrun._internal.state import Vm

from ._engine_client import FENCING_HEADER
from ._http_client import HttpClient

KEY_HEADER = "Idempotency-Key"


class HttpServices(Services):
    """Calls to services other than model engines."""

    def __init__(self, http_client: HttpClient) -> None:
        self._http = http_client

    def call(
        self, server: Vm, call: ServiceCall, send_check: SendCheck
    ) -> Result[ServiceResponse, ServiceError]:
        """Send one request; a request with a key uses a new connection."""
        headers = dict(call.headers)
        if call.content_type:
            headers["Content-Type"] = call.content_type
        if call.key:
            headers[KEY_HEADER] = call.key
        if call.fencing is not None:
            headers[FENCING_HEADER] = str(call.fencing)
        exchange = self._http.request(
            server.address,
            server.port,
            call.method,
            call.path,
            body=call.body or None,
            headers=headers,
            timeout_s=call.deadline - time.monotonic(),
            send_check=send_check,
            new_connection=bool(call.key),
        )
        if isinstance(exchange, Err):
            return Err(ServiceError(exchange.err_value.sent, exchange.err_value.detail))
        response = exchange.ok_value
        # A failed or fenced call may have had effects; the caller looks up its key.
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return Err(ServiceError(True, f"status {response.status}"))
        if response.status == HTTPStatus.PRECONDITION_FAILED and call.key:
            return Err(ServiceError(True, "the service refused the fencing number"))
        content_type = response.headers.get("Content-Type", "")
        return Ok(ServiceResponse(response.status, response.data, content_type))

    def lookup(
        self, server: Vm, key: str, fencing: int | None, deadline: float
    ) -> Result[ServiceResponse | None, ServiceError]:
        """Return the response that a service recorded under a key, or None."""
        headers = {} if fencing is None else {FENCING_HEADER: str(fencing)}
        exchange = self._http.request(
            server.address,
            server.port,
            "GET",
            f"/keys/{quote(key, safe='')}",
            headers=headers,
            timeout_s=deadline - time.monotonic(),
        )
        if isinstance(exchange, Err):
            return Err(ServiceError(False, exchange.err_value.detail))
        response = exchange.ok_value
        if response.status == HTTPStatus.NOT_FOUND:
            return Ok(None)
        if response.status != HTTPStatus.OK:
            return Err(ServiceError(False, f"status {response.status}"))
        status = int(response.headers.get("X-Recorded-Status", "200"))
        content_type = response.headers.get("Content-Type", "")
        return Ok(ServiceResponse(status, response.data, content_type))
