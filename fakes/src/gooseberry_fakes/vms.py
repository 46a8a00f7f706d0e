"""Stand-in for the platform's VM list, which shows changes with a lag."""

from __future__ import annotations

import hashlib
import json
import time
from typing import Any

from .server import FakeRequest, FakeResponse, FakeServer


class FakeVmList(FakeServer):
    """VM list that shows all changes but the first after a lag.

    Faults: ``views`` maps the IP address of a reader to VM ids and the fields of the VM
    that are replaced for this reader, so that a test can put a relay between two VMs.
    """

    def __init__(self, address: str, port: int, lag_s: float) -> None:
        super().__init__(address, port)
        self._lag_s = lag_s
        self._history: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    def handle(self, request: FakeRequest) -> FakeResponse:
        """Return the list or, on PUT, replace it."""
        if request.method == "PUT":
            visible_at = (
                0.0 if len(self._history) == 1 else time.monotonic() + self._lag_s
            )
            self._history.append((visible_at, request.json()["vms"]))
            return FakeResponse({})
        now = time.monotonic()
        visible = [vms for visible_at, vms in self._history if visible_at <= now][-1]
        replaced = self.faults.get("views", {}).get(request.client, {})
        vms = [{**vm, **replaced.get(vm["id"], {})} for vm in visible]
        etag = hashlib.blake2b(json.dumps(vms).encode(), digest_size=8).hexdigest()
        if request.headers.get("if-none-match") == etag:
            return FakeResponse(status=304)
        return FakeResponse({"vms": vms}, headers={"ETag": etag})
