"""Callers that leave at every stage of a request: no server gets it afterwards."""

from __future__ import annotations

import http.client
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.lib.platform_site import MODEL, Site, request_headers, wait_for

FREEZE_S = 0.8
WORK_S = 1.5
LEAVE_AFTER_S = 0.4
SLOTS = 6
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


def begin(
    site: Site, method: str, path: str, request_id: str, **headers: str
) -> http.client.HTTPConnection:
    """Send a request; return its connection without waiting for an answer."""
    conn = site.vms[0].connect()
    body = b"p" if method == "POST" else None
    conn.request(method, path, body, request_headers(request_id, **headers))
    return conn


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


@pytest.mark.parametrize(("method", "path", "headers"), REQUESTS[:2], ids=KINDS[:2])
def test_request_whose_caller_left_while_it_waited_for_a_slot(
    site: Site, method: str, path: str, headers: dict[str, str]
) -> None:
    """Guards against orders that are sent long after their callers have gone."""
    for server in site.plain:
        server.work_s = WORK_S
    busy = [begin(site, "GET", "/look/1", f"busy{n}") for n in range(SLOTS * 2 + 4)]
    wait_for(
        lambda: len(received(site, "busy")) >= 2 * SLOTS, "all slots taken", within_s=5
    )
    waiting = [begin(site, method, path, f"left{n}", **headers) for n in range(6)]
    time.sleep(LEAVE_AFTER_S)
    in_time = received(site, "left")
    for conn in waiting:
        conn.close()
    time.sleep(2 * WORK_S)
    assert set(received(site, "left")) <= set(in_time)
    for conn in busy:
        conn.close()


def test_order_that_a_server_has_got_goes_on_without_its_caller(site: Site) -> None:
    """Guards against orders that are broken off once they may have run."""
    for server in site.plain:
        server.work_s = 0.6
    conn = begin(site, "POST", "/order/1", "sent")
    wait_for(lambda: received(site, "sent"), "the order at a server")
    conn.close()
    log = site.vms[0].log
    wait_for(
        lambda: "event=attempt request=sent" in log.read_text(), "the server's answer"
    )
    line = next(
        line
        for line in log.read_text().splitlines()
        if "event=attempt request=sent" in line
    )
    assert "outcome=200" in line
