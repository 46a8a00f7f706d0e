"""Callers that leave at every stage of a request: no server gets it afterwards."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.lib.platform_site import MODEL, Site, request_headers, wait_for

FREEZE_S = 0.8
REQUESTS = [
    ("GET", "/look/1", {}),
    ("POST", "/order/1", {}),
    ("POST", "/chat/1", {"X_Gooseberryrun_Model": f"{MODEL}/a1"}),
]
KINDS = ["safe", "unsafe", "stream"]


@pytest.fixture(name="site")
def _site(tmp_path: Path) -> Iterator[Site]:
    """One entry VM that grants the slots of two plain servers."""
    site = Site(tmp_path, vms=1, more_settings="[admission]\nplain_slots = true")
    try:
        site.wait_for_members()
        yield site
    finally:
        site.close()


def received(site: Site, prefix: str) -> list[str]:
    """Return the ids with a prefix that any server got."""
    servers = [*site.models, *site.plain]
    return [name for s in servers for name in s.received if name.startswith(prefix)]


@pytest.mark.parametrize(("method", "path", "headers"), REQUESTS, ids=KINDS)
def test_request_whose_caller_left_before_it_was_read(
    site: Site, method: str, path: str, headers: dict[str, str]
) -> None:
    """Guards against work for callers whose close waits behind their request."""
    vm = site.vms[0]
    status = 503
    for number in range(40):
        if status != 503:
            break
        body = b"p" if method == "POST" else None
        status, _, _ = vm.send_request(method, path, f"warm{number}", body, **headers)
        time.sleep(0.1)
    assert status == 200
    opened = [site.vms[0].connect() for _ in range(8)]
    for conn in opened:
        conn.connect()
    time.sleep(0.1)
    vm.process.send_signal(signal.SIGSTOP)
    for number, conn in enumerate(opened):
        body = b"p" if method == "POST" else None
        conn.request(method, path, body, request_headers(f"left{number}", **headers))
        conn.close()
    time.sleep(FREEZE_S)
    vm.process.send_signal(signal.SIGCONT)
    wait_for(
        lambda: vm.send_request("GET", "/look/2", f"after{time.monotonic()}")[0] == 200,
        "an answer after the freeze",
    )
    time.sleep(0.3)
    assert received(site, "left") == []
