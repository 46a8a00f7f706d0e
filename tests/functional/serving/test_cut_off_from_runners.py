"""A VM that has lost its paths to all runners, beside one that has them."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.lib.platform_site import MODEL, EntryVm, Site, request_headers, wait_for

ADAPTER = {"X_Gooseberryrun_Model": f"{MODEL}/a1"}
KINDS = {
    "safe": ("GET", "/look/1", {}),
    "unsafe": ("POST", "/order/1", {}),
    "stream": ("POST", "/chat/1", ADAPTER),
}
WHOLE_STREAM = b"".join(f"id: {n}\ndata: {n}\n\n".encode() for n in range(1, 11))


class CutSite:
    """Two VMs, the first of which is cut off while the marker exists."""

    def __init__(self, folder: Path) -> None:
        self.marker = folder / "cut"
        self.site = Site(folder, vms=2, cut_marker=self.marker)
        self.site.wait_for_members()
        self.numbers = 0

    @property
    def vm(self) -> EntryVm:
        return self.site.vms[0]

    def send(self, kind: str, prefix: str = "r") -> tuple[int, bytes, str]:
        """Send a request of a kind to the first VM; return its id as well."""
        method, path, headers = KINDS[kind]
        self.numbers += 1
        name = f"{prefix}{self.numbers}"
        body = b"p" if method == "POST" else None
        status, data, _ = self.vm.send_request(method, path, name, body, **headers)
        return status, data, name

    def send_until_served(self, kind: str) -> str:
        """Send requests until one is served; return its id."""

        def try_once() -> str:
            status, _, name = self.send(kind)
            return name if status == 200 else ""

        found: str = wait_for(try_once, f"a served {kind} request")
        return found

    def cut_off(self, how: str) -> None:
        """Cut the first VM off, and wait until it knows."""
        self.marker.write_text(how, encoding="utf-8")
        wait_for(lambda: self.send("unsafe", "x") and self.knows(), "the cut noticed")

    def knows(self) -> bool:
        return "event=runners_cut_off" in self.vm.log.read_text()

    def receivers(self, name: str) -> list[str]:
        """Return the servers that got a request."""
        servers = [*self.site.models, *self.site.plain]
        return [server.id for server in servers if name in server.ran]


@pytest.fixture(name="at")
def _at(tmp_path: Path) -> Iterator[CutSite]:
    at = CutSite(tmp_path)
    try:
        for kind in KINDS:
            at.send_until_served(kind)
        yield at
    finally:
        at.site.close()


@pytest.mark.parametrize("how", ["refused", "silent"])
def test_requests_of_all_kinds_are_served_through_another_vm(
    at: CutSite, how: str
) -> None:
    """Guards against a VM whose callers are all refused while others are served."""
    at.cut_off(how)
    for kind in KINDS:
        for _ in range(3):
            status, body, name = at.send(kind)
            assert status == 200
            assert len(at.receivers(name)) == 1
            assert body == WHOLE_STREAM if kind == "stream" else body
    log = at.vm.log.read_text()
    assert "event=detour" in log
    assert "internal_error" not in log
    at.marker.unlink()
    wait_for(lambda: "event=runners_reached" in at.vm.log.read_text(), "the end")
    status, _, name = at.send("safe", "back")
    assert status == 200
    assert f"event=detour request={name}" not in at.vm.log.read_text()


def test_relayed_request_takes_one_hop(at: CutSite) -> None:
    """Guards against requests that VMs send to each other in a circle."""
    at.cut_off("refused")
    headers = {"X_Gooseberryrun_Relay": "internal"}
    status, _, _ = at.vm.send_request("GET", "/look/1", "second-hop", None, **headers)
    assert status == 503
    assert "event=detour request=second-hop" not in at.vm.log.read_text()


def test_secret_of_the_vms_reaches_no_server(at: CutSite) -> None:
    """Guards against callers and servers that learn or forge the mark of a hop."""
    at.cut_off("refused")
    headers = {"X_Gooseberryrun_Relay": "guessed"}
    status, _, _ = at.vm.send_request("GET", "/look/1", "forged", None, **headers)
    assert status == 200
    received = [s.received["forged"] for s in at.site.plain if "forged" in s.received]
    assert len(received) == 1
    assert not [n for n, _ in received[0] if n == "x-gooseberryrun-relay"]


def test_server_learns_over_the_hop_that_a_caller_left(at: CutSite) -> None:
    """Guards against work that goes on for a caller of another VM."""
    at.cut_off("refused")
    for runner in at.site.models:
        runner.event_pause_s = 0.2
    conn = at.vm.connect()
    conn.request("POST", "/chat/1", b"p", request_headers("gone", **ADAPTER))
    conn.getresponse().read(4)
    conn.close()
    wait_for(
        lambda: any("gone" in runner.abandoned for runner in at.site.models),
        "the runner's connection closed",
        within_s=2.0,
    )


def test_order_that_was_sent_is_not_sent_again(at: CutSite) -> None:
    """Guards against an order that runs twice when the other VM ends."""
    at.cut_off("refused")
    for server in at.site.plain:
        server.work_s = 1.5
    conn = at.vm.connect()
    conn.request("POST", "/order/1", b"p", request_headers("once"))
    wait_for(lambda: at.receivers("once"), "the order at a server")
    at.site.vms[1].kill()
    assert conn.getresponse().status == 502
    time.sleep(0.5)
    assert len(at.receivers("once")) == 1


def test_without_another_vm_requests_are_refused_at_once(at: CutSite) -> None:
    """Guards against callers that wait for a VM that nobody can help."""
    at.cut_off("refused")
    at.site.vms[1].kill()
    time.sleep(2.0)
    began_at = time.monotonic()
    status, _, name = at.send("unsafe", "alone")
    assert status == 503
    assert time.monotonic() - began_at < 1.0
    assert at.receivers(name) == []


def test_runners_of_a_vm_that_is_cut_off_get_another_owner(at: CutSite) -> None:
    """Guards against runners whose owner cannot order anything."""
    at.cut_off("refused")
    log = at.vm.log
    wait_for(lambda: "event=member_stepped_back" in log.read_text(), "the step back")
    other = at.site.vms[1].log
    wait_for(lambda: other.read_text().count("event=runner_owned") >= 2, "other owner")
    at.marker.unlink()
    wait_for(lambda: log.read_text().count("event=member_settled") >= 1, "its return")
