"""HTTP clients for the platform's log and VM list."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import Any
from urllib.parse import urlsplit

import msgspec
from result import Err, Ok, Result

from gooseberryrun._internal.coordination import (
    Log,
    LogError,
    LogRead,
    PlatformError,
    VmList,
)
from gooseberryrun._internal.state import Settings, Vm

from ._http_client import HttpClient

MAX_READ_RECORDS = 500
"""Maximum number of records requested in one read."""
_JSON_HEADERS = {"Content-Type": "application/json"}


class HttpLog(Log):
    """Client of the log service (``/v1/streams/<stream>/records``)."""

    def __init__(self, cfg: Settings, http: HttpClient) -> None:
        self._timeout_s = cfg.platform.timeout_s
        self._http = http
        url = urlsplit(cfg.platform.log_url)
        self._host, self._port = url.hostname or "", url.port or 80

    def append(
        self, stream: str, writer: str, records: list[tuple[int, dict[str, Any]]]
    ) -> Result[int, LogError]:
        """Append records; ``sent`` of the error: they may have been appended."""
        body = {
            "writer": writer,
            "records": [{"seq": seq, "data": data} for seq, data in records],
        }
        exchange = self._http.request(
            self._host,
            self._port,
            "POST",
            f"/v1/streams/{stream}/records",
            body=msgspec.json.encode(body),
            headers=_JSON_HEADERS,
            timeout_s=self._timeout_s,
        )
        if isinstance(exchange, Err):
            return Err(LogError(exchange.err_value.sent, exchange.err_value.detail))
        response = exchange.ok_value
        if response.status == 200:
            return Ok(int(json.loads(response.data)["offset"]))
        # With 429 and 503 the service has not appended anything.
        sent = response.status not in (429, 503)
        return Err(LogError(sent, f"the log responded with status {response.status}"))

    def read(self, stream: str, start: int, wait_s: float) -> Result[LogRead, LogError]:
        """Read records, waiting up to ``wait_s`` for the first one."""
        path = (
            f"/v1/streams/{stream}/records?from={start}&max={MAX_READ_RECORDS}"
            f"&wait_ms={int(wait_s * 1000)}"
        )
        exchange = self._http.request(
            self._host, self._port, "GET", path, timeout_s=self._timeout_s + wait_s
        )
        if isinstance(exchange, Err):
            return Err(LogError(False, exchange.err_value.detail))
        if exchange.ok_value.status != 200:
            return Err(
                LogError(
                    False, f"the log responded with status {exchange.ok_value.status}"
                )
            )
        return _decode_log_read(exchange.ok_value.data)


def _decode_log_read(body: bytes) -> Result[LogRead, LogError]:
    try:
        return Ok(msgspec.json.decode(body, type=LogRead))
    except msgspec.MsgspecError as exc:
        return Err(LogError(False, f"malformed log response: {exc}"))


class HttpVmList(VmList):
    """Client of the VM list service (``/v1/vms``)."""

    def __init__(self, cfg: Settings, http: HttpClient) -> None:
        self._timeout_s = cfg.platform.timeout_s
        self._http = http
        url = urlsplit(cfg.platform.vm_list_url)
        self._host, self._port = url.hostname or "", url.port or 80
        self._etag = ""
        self._vms: list[Vm] = []

    def fetch(self) -> Result[list[Vm], PlatformError]:
        """Return the listed VMs; the same object if the list is unchanged."""
        headers = {"If-None-Match": self._etag} if self._etag else {}
        exchange = self._http.request(
            self._host,
            self._port,
            "GET",
            "/v1/vms",
            headers=headers,
            timeout_s=self._timeout_s,
        )
        if isinstance(exchange, Err):
            return Err(PlatformError(exchange.err_value.detail))
        if exchange.ok_value.status == HTTPStatus.NOT_MODIFIED:
            return Ok(self._vms)
        if exchange.ok_value.status != HTTPStatus.OK:
            return Err(
                PlatformError(
                    f"the VM list responded with status {exchange.ok_value.status}"
                )
            )
        try:
            decoded = msgspec.json.decode(
                exchange.ok_value.data, type=dict[str, list[Vm]]
            )
        except msgspec.MsgspecError as exc:
            return Err(PlatformError(f"malformed VM list: {exc}"))
        self._vms = decoded.get("vms", [])
        self._etag = exchange.ok_value.headers.get("ETag", "")
        return Ok(self._vms)
