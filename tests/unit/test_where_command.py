"""``gooseberryctl where``: its output and exit codes."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import pytest
import urllib3
from click.testing import CliRunner, Result
from gooseberryctl._internal.cli import make_cli

SENT = {
    "outcome": "sent",
    "runner": "i-1",
    "expected_wait_s": 0.02,
    "selected_for": "d1",
    "rows": [{"chosen": "*", "runner": "i-1", "cost": 0.1}],
    "crossing": [
        {
            "domain": "d1",
            "wait_s": 0.01,
            "running": 2.0,
            "slots": 6,
            "waiting": 0.0,
            "share": 0.2,
            "age_s": 0.4,
        }
    ],
}
CAPPED = {
    "outcome": "refused",
    "reason": "usage_cap",
    "retry_in_s": 0.25,
    "priority": 3,
    "rows": [],
    "account_state": {
        "name": "acme",
        "is_known": True,
        "authentication": "accepted",
        "priority": 3,
        "weight": 0.5,
    },
    "cap": {
        "unit": "requests",
        "rate_per_s": 6.0,
        "burst": 6.0,
        "cost": 1.0,
        "credit": 0.0,
        "outcome": "over_cap",
        "would_ask": ["vm-1", "vm-2"],
        "retry_in_s": 0.25,
        "last_asked": {
            "vm": "vm-2",
            "domain": "d1",
            "outcome": "refused",
            "age_s": 0.1,
            "retry_in_s": 0.4,
        },
    },
}
ANSWERS: dict[str, tuple[int, Any]] = {
    "/capped": (200, CAPPED),
    "/sent": (200, SENT),
    "/refused": (200, {"outcome": "refused", "reason": "no_runner", "rows": []}),
    "/wrong": (400, {"error": "wait_s is wrong"}),
}


@dataclass(frozen=True)
class Response:
    """Answer of an entry VM."""

    status: int
    data: bytes


@pytest.fixture(name="address")
def _address(monkeypatch: pytest.MonkeyPatch) -> str:
    """Let an entry VM answer by the path in the query."""

    def request(self: Any, method: str, url: str, **kwargs: Any) -> Response:
        if self.port != 9101:
            raise urllib3.exceptions.NewConnectionError(self, "refused")
        fields = parse_qs(url.partition("?")[2])
        assert fields["part"] == ["p1"]
        status, answer = ANSWERS[fields["path"][0]]
        return Response(status, json.dumps(answer).encode())

    monkeypatch.setattr("urllib3.HTTPConnectionPool.request", request)
    return "127.0.0.1:9101"


def where(address: str, path: str, *options: str) -> Result:
    arguments = [*options, "where", "--host", "h", "--path", path, "--part", "p1"]
    return CliRunner().invoke(make_cli(), ["--server", address, *arguments])


def test_request_that_would_be_sent_ends_with_0(address: str) -> None:
    found = where(address, "/sent")
    assert found.exit_code == 0
    assert "i-1" in found.stdout
    assert "would be sent to i-1, expected wait 0.02 s" in found.stderr
    assert "selected to leave for domain d1" in found.stderr
    assert "figures 0.40 s old" in found.stderr


def test_request_that_would_be_refused_ends_with_2(address: str) -> None:
    found = where(address, "/refused", "--json")
    assert found.exit_code == 2
    assert json.loads(found.stdout)["reason"] == "no_runner"


def test_account_and_its_cap_are_shown(address: str) -> None:
    """Without them a refusal by the cap looks like one without a reason."""
    found = where(address, "/capped")
    assert found.exit_code == 2
    notes = [line.removeprefix("note: ") for line in found.stderr.splitlines()]
    assert notes[:4] == [
        "would be refused: usage_cap, again in 0.25 s",
        "account acme: accepted, priority 3, weight 0.5",
        "cap of 6.0 requests a second, burst 6.0: over_cap, again in 0.25 s; "
        "costs 1.0, credit 0.0, would ask vm-1 then vm-2",
        "allocator asked last: vm-2 of d1 0.10 s ago, refused, again in 0.4 s",
    ]
    assert (
        json.loads(where(address, "/capped", "--json").stdout)["cap"] == (CAPPED["cap"])
    )


@pytest.mark.parametrize("path", ["/wrong", ""])
def test_error_ends_with_1(address: str, path: str) -> None:
    """2 stands for a refused request, so a wrong call must not end with it."""
    assert where(address, path).exit_code == 1


def test_unreachable_vm_ends_with_1(address: str) -> None:
    assert where("127.0.0.1:1", "/sent").exit_code == 1
