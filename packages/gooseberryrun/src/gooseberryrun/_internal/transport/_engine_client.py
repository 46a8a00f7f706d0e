"""HTTP client for model engines."""

from __future__ import annotations

import http.client
import json
import time
from http import HTTPStatus

import msgspec
import urllib3
from result import Err, Ok, Result

from gooseberryrun._internal.coordination import (
    EngineCall,
    EngineError,
    EngineFault,
    EngineReport,
    Engines,
    EngineStream,
    SendCheck,
    StreamBlock,
)
from gooseberryrun._internal.protocol import EventChecker, check_response_model
from gooseberryrun._internal.state import CacheEvent, FencingNumber, Settings, Vm

from ._http_client import HttpClient, HttpFailure, describe_error

READ_CHUNK_BYTES = 65536
MAX_COMPLETE_BYTES = 16 << 20
"""Longest response that is not a stream."""
BOOT_HEADER = "X-Engine-Boot"
FENCING_HEADER = "Fencing-Number"
REPORT_TIMEOUT_S = 1.0
_JSON_HEADERS = {"Content-Type": "application/json"}


class _CacheEvents(msgspec.Struct):
    events: list[CacheEvent]


class HttpEngineStream(EngineStream):
    """Response of an engine, streamed or complete."""

    def __init__(
        self, response: urllib3.BaseHTTPResponse, call: EngineCall, incarnation: str
    ) -> None:
        self.content_type = response.headers.get("Content-Type", "application/json")
        self.incarnation = incarnation
        self._response = response
        self._model = call.model
        self._checker = EventChecker(call.model) if call.stream else None
        self._complete = False

    def read(self) -> Result[StreamBlock, EngineError]:
        """Return the next block of complete events, or the complete response."""
        try:
            if self._checker is None:
                return self._read_complete()
            return self._read_events(self._checker)
        except (
            urllib3.exceptions.HTTPError,
            OSError,
            http.client.HTTPException,
        ) as exc:
            return Err(EngineError(EngineFault.BROKEN, describe_error(exc)))

    def _read_complete(self) -> Result[StreamBlock, EngineError]:
        body = self._response.read(MAX_COMPLETE_BYTES + 1)
        if len(body) > MAX_COMPLETE_BYTES:
            return Err(EngineError(EngineFault.BROKEN, "the response is too long"))
        mismatch = check_response_model(body, self._model)
        if mismatch is not None:
            return Err(mismatch)
        self._complete = True
        return Ok(StreamBlock(body, 1, True))

    def _read_events(self, checker: EventChecker) -> Result[StreamBlock, EngineError]:
        while True:
            data = self._response.read1(READ_CHUNK_BYTES)
            if not data:
                return Err(
                    EngineError(
                        EngineFault.BROKEN, "the stream ended without its end mark"
                    )
                )
            block = checker.feed(data)
            if isinstance(block, Err) or block.ok_value.data:
                self._complete = not isinstance(block, Err) and block.ok_value.done
                return block

    def close(self) -> None:
        """Release the connection to its pool after a complete response, or close it."""
        if self._complete:
            self._response.drain_conn()
            self._response.release_conn()
        else:
            self._response.close()


class HttpEngines(Engines):
    """Calls to model engines; orders use separate connections."""

    def __init__(self, cfg: Settings, http_client: HttpClient) -> None:
        self._cfg = cfg
        self._http = http_client
        self._order_http_client = HttpClient(cfg)

    def complete(
        self, engine: Vm, call: EngineCall
    ) -> Result[EngineStream, EngineError]:
        """Start a completion."""
        body = {
            **call.body,
            "model": call.model,
            "stream": call.stream,
            "priority": call.priority,
            "request_id": call.request_id,
        }
        body.pop("background", None)
        if call.prefix:
            body["prefix_id"] = call.prefix
        if call.resume_at:
            body["resume_at"] = call.resume_at
        exchange = self._http.request(
            engine.address,
            engine.port,
            "POST",
            call.path,
            body=msgspec.json.encode(body),
            headers={**_JSON_HEADERS, **call.headers},
            timeout_s=call.deadline - time.monotonic(),
            preload=False,
        )
        if isinstance(exchange, Err):
            return Err(_to_engine_error(exchange.err_value))
        response = exchange.ok_value
        incarnation = response.headers.get(BOOT_HEADER, "")
        if response.status == HTTPStatus.OK:
            return Ok(HttpEngineStream(response, call, incarnation))
        return Err(_read_error(response))

    def load(
        self, engine: Vm, model: str, fencing: FencingNumber, send_check: SendCheck
    ) -> Result[None, EngineError]:
        """Order the engine to load an adapter version and wait until it has."""
        body = {"lora_name": model, "lora_path": model}
        path = "/v1/load_lora_adapter"
        return self._send_order(engine, path, body, fencing, send_check)

    def unload(
        self, engine: Vm, model: str, fencing: FencingNumber, send_check: SendCheck
    ) -> Result[None, EngineError]:
        """Order the engine to evict an adapter version and wait until it has."""
        path = "/v1/unload_lora_adapter"
        return self._send_order(engine, path, {"lora_name": model}, fencing, send_check)

    def _send_order(
        self,
        engine: Vm,
        path: str,
        body: dict[str, str],
        fencing: FencingNumber,
        send_check: SendCheck,
    ) -> Result[None, EngineError]:
        exchange = self._order_http_client.request(
            engine.address,
            engine.port,
            "POST",
            path,
            body=msgspec.json.encode(body),
            headers={**_JSON_HEADERS, FENCING_HEADER: str(fencing)},
            timeout_s=self._cfg.policy.load_timeout_s,
            send_check=send_check,
        )
        if isinstance(exchange, Err):
            return Err(_to_engine_error(exchange.err_value))
        if exchange.ok_value.status == HTTPStatus.OK:
            return Ok(None)
        return Err(_read_error(exchange.ok_value))

    def report(self, engine: Vm) -> Result[EngineReport, EngineError]:
        """Return the engine's report."""
        exchange = self._http.request(
            engine.address, engine.port, "GET", "/load", timeout_s=REPORT_TIMEOUT_S
        )
        if isinstance(exchange, Err):
            return Err(_to_engine_error(exchange.err_value))
        if exchange.ok_value.status != HTTPStatus.OK:
            return Err(_read_error(exchange.ok_value))
        try:
            return Ok(msgspec.json.decode(exchange.ok_value.data, type=EngineReport))
        except msgspec.MsgspecError as exc:
            return Err(EngineError(EngineFault.BROKEN, str(exc)))

    def cache_events(
        self, engine: Vm, after: int
    ) -> Result[list[CacheEvent], EngineError]:
        """Return prefix cache events after sequence number ``after``."""
        path = f"/v1/cache_events?after={after}"
        exchange = self._http.request(
            engine.address, engine.port, "GET", path, timeout_s=REPORT_TIMEOUT_S
        )
        if isinstance(exchange, Err):
            return Err(_to_engine_error(exchange.err_value))
        if exchange.ok_value.status != HTTPStatus.OK:
            return Err(_read_error(exchange.ok_value))
        try:
            events = msgspec.json.decode(exchange.ok_value.data, type=_CacheEvents)
        except msgspec.MsgspecError as exc:
            return Err(EngineError(EngineFault.BROKEN, str(exc)))
        return Ok(events.events)

    def cancel(self, engine: Vm, request_id: str) -> bool:
        """Cancel a request; true if the engine is unreachable or no longer has it."""
        exchange = self._http.request(
            engine.address,
            engine.port,
            "POST",
            f"/v1/requests/{request_id}/cancel",
            timeout_s=REPORT_TIMEOUT_S,
        )
        if isinstance(exchange, Err):
            failure = exchange.err_value
            return not failure.sent and not failure.timed_out
        return exchange.ok_value.status in (HTTPStatus.OK, HTTPStatus.NOT_FOUND)

    def close_order_connections(self, engine: Vm) -> None:
        """Close the connections that carry orders to the engine."""
        self._order_http_client.close(engine.address, engine.port)


def _to_engine_error(failure: HttpFailure) -> EngineError:
    if failure.refused_by_check:
        return EngineError(EngineFault.LEASE_EXPIRED, failure.detail)
    if not failure.sent and failure.timed_out:
        return EngineError(EngineFault.UNREACHABLE, failure.detail)
    if not failure.sent:
        return EngineError(EngineFault.NOT_SENT, failure.detail)
    if failure.timed_out:
        return EngineError(EngineFault.TIMEOUT, failure.detail)
    return EngineError(EngineFault.BROKEN, failure.detail)


_FAULT_BY_STATUS: dict[int, EngineFault] = {
    HTTPStatus.NOT_FOUND: EngineFault.NOT_RESIDENT,
    HTTPStatus.PRECONDITION_FAILED: EngineFault.STALE_FENCING,
}


def _read_error(response: urllib3.BaseHTTPResponse) -> EngineError:
    """Decode the error response of an engine."""
    try:
        detail = str(json.loads(response.data).get("error", ""))
    except (ValueError, AttributeError, urllib3.exceptions.HTTPError):
        detail = ""
    fault = _FAULT_BY_STATUS.get(response.status, EngineFault.REJECTED)
    return EngineError(fault, detail or f"status {response.status}", response.status)
