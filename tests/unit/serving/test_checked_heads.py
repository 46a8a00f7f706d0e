"""Requests whose head was checked before their body came."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest
from gooseberryrun._internal.coordination.serving import (
    CheckedHead,
    EarlyRefusal,
    InboundRequest,
)
from gooseberryrun._internal.state.serving.accounts import (
    AccountTable,
    ClientAccount,
    key_digest,
)

from tests.lib.account_fleet import ACCOUNTS, PUBLIC, AccountFleet
from tests.lib.crossing_fleet import PLAIN

pytestmark = pytest.mark.usefixtures("nothing_scheduled")
VM = "vm-000"
KEY = "gk-free-1"
FREE = ACCOUNTS[KEY]
OTHERS = tuple(account for account in ACCOUNTS.values() if account is not FREE)
Accounts = tuple[ClientAccount, ...]


@pytest.fixture(name="fleet")
def _fleet(log: list[str]) -> AccountFleet:
    fleet = AccountFleet()
    log.clear()
    return fleet


def check(fleet: AccountFleet, request: InboundRequest) -> InboundRequest:
    """Return a request with the check of its head, as the server passes it on."""
    checked = fleet.vms[VM].gateway.check_head(request)
    assert not isinstance(checked, EarlyRefusal)
    return replace(request, body=b"body", checked=checked)


def end_of(log: list[str], request_id: str) -> str:
    """Return the log line of a request's end, without its id."""
    found = [x for x in log if "event=request " in x and f"request={request_id} " in x]
    assert len(found) == 1
    return found[0].replace(request_id, "ID")


def test_head_is_decoded_and_its_key_looked_up_once(
    fleet: AccountFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each request with a body cost a second decoding and a second SHA-256."""
    found: list[str] = []
    find = AccountTable.find

    def count(table: AccountTable, key: str) -> ClientAccount | None:
        found.append(key)
        return find(table, key)

    monkeypatch.setattr(AccountTable, "find", count)
    fleet.codec.decoded = 0
    request = check(fleet, fleet.inbound("r1", KEY))
    assert fleet.handle(VM, request) == 200
    assert (fleet.codec.decoded, found) == (1, [KEY])


def revoke(_: Accounts) -> Accounts:
    return OTHERS


def move(_: Accounts) -> Accounts:
    return (replace(FREE, key_digests=()), ClientAccount("b", FREE.key_digests))


def raise_priority(_: Accounts) -> Accounts:
    return (replace(FREE, priority=7), *OTHERS)


def cap(_: Accounts) -> Accounts:
    capped = ACCOUNTS["gk-capped-3"]
    return (replace(capped, name="free", key_digests=FREE.key_digests),)


def end_accounts(_: Accounts) -> Accounts:
    return ()


def keep(accounts: Accounts) -> Accounts:
    return accounts


@pytest.mark.parametrize(
    ("key", "path"),
    [
        (KEY, PLAIN),
        (KEY, PUBLIC),
        (KEY, "nowhere"),
        ("", PUBLIC),
        ("gk-new-4", PUBLIC),
    ],
)
@pytest.mark.parametrize("is_confirmed", [True, False])
@pytest.mark.parametrize(
    "change", [revoke, move, raise_priority, cap, end_accounts, keep]
)
def test_configuration_that_changes_with_the_body_decides_as_without_a_check(
    fleet: AccountFleet,
    log: list[str],
    change: Callable[[Accounts], Accounts],
    is_confirmed: bool,
    key: str,
    path: str,
) -> None:
    """A key that is revoked while the body comes must not be served by the old check.

    The cases are all that are not refused by their head.
    """
    checked = fleet.vms[VM].gateway.check_head(fleet.inbound("r1", key, path))
    assert not isinstance(checked, EarlyRefusal)
    if not is_confirmed:
        fleet.clock.now += 3.5
    ctx = fleet.contexts[VM]
    fleet.configure(ctx, change(fleet.accounts), 2)
    statuses = []
    for request_id, head in (("r1", checked), ("r2", None)):
        request = fleet.inbound(request_id, key, path, b"body")
        statuses.append(fleet.handle(VM, replace(request, checked=head)))
    assert statuses[0] == statuses[1]
    assert end_of(log, "r1") == end_of(log, "r2")


def test_key_that_moves_is_served_as_the_new_accounts(
    fleet: AccountFleet, log: list[str]
) -> None:
    request = check(fleet, fleet.inbound("r1", KEY))
    fleet.configure(fleet.contexts[VM], move(fleet.accounts), 2)
    assert fleet.handle(VM, request) == 200
    assert "account=b" in end_of(log, "r1")


def test_revoked_key_is_refused_after_its_body_came(
    fleet: AccountFleet, log: list[str]
) -> None:
    request = check(fleet, fleet.inbound("r1", KEY))
    fleet.configure(fleet.contexts[VM], OTHERS, 2)
    assert fleet.handle(VM, request) == 401
    assert "reason=unknown_key" in end_of(log, "r1")
    assert not fleet.requests_port.sent


def test_check_of_a_head_shows_no_key(fleet: AccountFleet) -> None:
    """A request's ``repr`` may end in a log line or an error."""
    request = check(fleet, fleet.inbound("r1", KEY))
    assert isinstance(request.checked, CheckedHead)
    for text in (repr(request), repr(request.checked)):
        assert KEY not in text
        assert key_digest(KEY).hex() not in text
        assert repr(key_digest(KEY)) not in text
