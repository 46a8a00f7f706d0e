"""Platform services over HTTP: the log and the VM list."""

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

READ_LIMIT = 500
"""Records asked for in one read."""
_JSON = {"Content-Type": "application/json"}


class HttpLog(Log):
    """Log service: ``/v1/streams/<stream>/records``."""

    def __init__(self, cfg: Settings, http: HttpClient) -> None:
        self._timeout_s = cfg.platform.timeout_s
        self._http = http
        url = urlsplit(cfg.platform.log_url)
        self._host, self._port = url.hostname or "", url.port or 80

    def append(
        self, stream: str, writer: str, records: list[tuple[int, dict[str, Any]]]
    ) -> Result[int, LogError]:
        """Append records; the error says whether they may have been appended."""
        body = {
            "writer": writer,
            "records": [{"seq": seq, "data": data} for seq, data in records],
        }
        done = self._http.request(
            self._host,
            self._port,
            "POST",
            f"/v1/streams/{stream}/records",
            body=msgspec.json.encode(body),
            headers=_JSON,
            timeout_s=self._timeout_s,
        )
        if isinstance(done, Err):
            return Err(LogError(done.err_value.sent, done.err_value.detail))
        response = done.ok_value
        if response.status == 200:
            return Ok(int(json.loads(response.data)["offset"]))
        # 429 and 503 are answers of a service that did not append.
        sent = response.status not in (429, 503)
        return Err(LogError(sent, f"log answered {response.status}"))

    def read(self, stream: str, start: int, wait_s: float) -> Result[LogRead, LogError]:
        """Read records, waiting up to ``wait_s`` for the first one."""
        path = (
            f"/v1/streams/{stream}/records?from={start}&max={READ_LIMIT}"
            f"&wait_ms={int(wait_s * 1000)}"
        )
        done = self._http.request(
            self._host, self._port, "GET", path, timeout_s=self._timeout_s + wait_s
        )
        if isinstance(done, Err):
            return Err(LogError(False, done.err_value.detail))
        if done.ok_value.status != 200:
            return Err(LogError(False, f"log answered {done.ok_value.status}"))
        return _decode_read(done.ok_value.data)


def _decode_read(body: bytes) -> Result[LogRead, LogError]:
    try:
        return Ok(msgspec.json.decode(body, type=LogRead))
    except msgspec.MsgspecError as exc:
        return Err(LogError(False, f"log answer not understood: {exc}"))


class HttpVmList(VmList):
    """VM list service: ``/v1/vms``."""

    def __init__(self, cfg: Settings, http: HttpClient) -> None:
        self._timeout_s = cfg.platform.timeout_s
        self._http = http
        url = urlsplit(cfg.platform.vm_list_url)
        self._host, self._port = url.hostname or "", url.port or 80
        self._etag = ""
        self._vms: list[Vm] = []

    def fetch(self) -> Result[list[Vm], PlatformError]:
        """Return the VMs that are listed now; the same object if nothing changed."""
        headers = {"If-None-Match": self._etag} if self._etag else {}
        done = self._http.request(
            self._host,
            self._port,
            "GET",
            "/v1/vms",
            headers=headers,
            timeout_s=self._timeout_s,
        )
        if isinstance(done, Err):
            return Err(PlatformError(done.err_value.detail))
        if done.ok_value.status == HTTPStatus.NOT_MODIFIED:
            return Ok(self._vms)
        if done.ok_value.status != HTTPStatus.OK:
            return Err(PlatformError(f"VM list answered {done.ok_value.status}"))
        try:
            listed = msgspec.json.decode(done.ok_value.data, type=dict[str, list[Vm]])
        except msgspec.MsgspecError as exc:
            return Err(PlatformError(f"VM list not understood: {exc}"))
        self._vms = listed.get("vms", [])
        self._etag = done.ok_value.headers.get("ETag", "")
        return Ok(self._vms)
