"""Stand-in for the platform's lagging VM list."""

from __future__ import annotations

import hashlib
import json
import time
from typing import Any

from .server import FakeRequest, FakeResponse, FakeServer


class FakeVmList(FakeServer):
    """List that shows changes after a lag.

    ``views`` in the faults maps a reader's IP number to addresses that replace those
    of the list, so that a test can put a relay between two VMs.
    """

    def __init__(self, address: str, port: int, lag_s: float) -> None:
        super().__init__(address, port)
        self._lag_s = lag_s
        self._history: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    def handle(self, request: FakeRequest) -> FakeResponse:
        """Return the list, or replace it."""
        if request.method == "PUT":
            at = 0.0 if len(self._history) == 1 else time.monotonic() + self._lag_s
            self._history.append((at, request.json()["vms"]))
            return FakeResponse({})
        now = time.monotonic()
        shown = [vms for at, vms in self._history if at <= now][-1]
        view = self.faults.get("views", {}).get(request.client, {})
        vms = [{**vm, **view.get(vm["id"], {})} for vm in shown]
        etag = hashlib.blake2b(json.dumps(vms).encode(), digest_size=8).hexdigest()
        if request.headers.get("if-none-match") == etag:
            return FakeResponse(status=304)
        return FakeResponse({"vms": vms}, headers={"ETag": etag})
