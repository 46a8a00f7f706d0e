"""The rules that the soak of client accounts checks: each finds what breaks it."""

from __future__ import annotations

import pytest

from tests.lib.account_ledger import AccountLedger, Call, Run

KEY = "gk-4f9c2e77a1"
NAME = ("x-gooseberryrun-tenant", "acme")
CAPPED_NAME = ("x-gooseberryrun-tenant", "capped")


@pytest.fixture(name="ledger")
def _ledger() -> AccountLedger:
    """Return a ledger: a key is added at 10 s, moved at 20 s and revoked at 30 s."""
    ledger = AccountLedger({"capped": (2.0, 2.0)}, ("acme",))
    ledger.record_keys({"acme": [KEY]}, 10.0)
    ledger.record_keys({"globex": [KEY]}, 20.0)
    ledger.record_keys({}, 30.0)
    return ledger


def call(at: float, status: int = 200, request_id: str = "r1") -> Call:
    return Call(request_id, "usual", KEY, at, at + 0.1, status)


@pytest.mark.parametrize(
    ("at", "owners"),
    [
        (5.0, {None}),
        (12.0, {None, "acme"}),
        (15.0, {"acme"}),
        (21.0, {"acme", "globex"}),
        (25.0, {"globex"}),
        (32.0, {"globex", None}),
        (33.5, {None}),
    ],
)
def test_change_of_a_key_may_take_three_seconds(
    ledger: AccountLedger, at: float, owners: set[str | None]
) -> None:
    assert ledger.possible_owners(call(at)) == owners


def test_calls_that_keep_all_rules_break_none(ledger: AccountLedger) -> None:
    for number, (at, status) in enumerate([(5.0, 401), (15.0, 200), (40.0, 401)]):
        ledger.record_call(call(at, status, f"r{number}"))
    ledger.runs.append(Run(15.0, "r1", [NAME]))
    assert ledger.broken_rules() == []


@pytest.mark.parametrize(
    "headers",
    [[NAME, ("authorization", "Token x")], [NAME, ("x-other", f"Token {KEY}")]],
)
def test_key_at_a_server_is_found(
    ledger: AccountLedger, headers: list[tuple[str, str]]
) -> None:
    ledger.record_call(call(15.0))
    ledger.runs.append(Run(15.0, "r1", headers))
    assert ledger.broken_rules() == ["r1: a server got the key"]


@pytest.mark.parametrize(
    "headers", [[], [NAME, NAME], [("x-gooseberryrun-tenant", "globex")]]
)
def test_wrong_account_at_a_server_is_found(
    ledger: AccountLedger, headers: list[tuple[str, str]]
) -> None:
    """A missing, a repeated and another account's name."""
    ledger.record_call(call(15.0))
    ledger.runs.append(Run(15.0, "r1", headers))
    assert len(ledger.broken_rules()) == 1


@pytest.mark.parametrize(("at", "status"), [(25.0, 401), (40.0, 200), (25.0, 429)])
def test_wrong_status_is_found(ledger: AccountLedger, at: float, status: int) -> None:
    """A known key refused, a revoked one served, and a refusal without a cap."""
    ledger.record_call(call(at, status))
    assert len(ledger.broken_rules()) == 1


@pytest.mark.parametrize(("runs", "is_broken"), [(19, False), (20, True)])
def test_exceeded_cap_is_found(
    ledger: AccountLedger, runs: int, is_broken: bool
) -> None:
    """(2 x 8 + 2) x 1.1 = 19.8 requests may run in a window."""
    for number in range(runs):
        ledger.runs.append(Run(50.0 + number * 0.3, f"c{number}", [CAPPED_NAME]))
    assert bool(ledger.broken_rules()) is is_broken


@pytest.mark.parametrize(("refused", "is_broken"), [(5, False), (6, True)])
def test_starved_account_is_found(
    ledger: AccountLedger, refused: int, is_broken: bool
) -> None:
    for number in range(100):
        ledger.record_call(call(15.0, 503 if number < refused else 200, f"r{number}"))
    assert bool(ledger.broken_rules()) is is_broken
