"""Client accounts: decoding, lookup of keys, and what a runner gets of them."""

from __future__ import annotations

import hashlib
import hmac
import json
from typing import Any

import msgspec
import pytest
from gooseberryrun._internal.coordination._serving_messages import (
    DirectoryReply,
    ServingGossip,
)
from gooseberryrun._internal.coordination.serving import InboundRequest, end_to_end
from gooseberryrun._internal.coordination.serving._directory_log import DirectoryLog
from gooseberryrun._internal.coordination.serving._directory_peers import DirectoryPeers
from gooseberryrun._internal.coordination.serving._topic_reads import TopicReads
from gooseberryrun._internal.state import ManualClock
from gooseberryrun._internal.state.serving import DirectoryRecord, RouteTable, Topic
from gooseberryrun._internal.state.serving.accounts import (
    AccountTable,
    ClientAccount,
    ConfigurationFreshness,
    KeyOutcome,
    UsageCap,
    UsageUnit,
    check_key,
    find_shared_keys,
    key_digest,
)
from gooseberryrun._internal.state.serving.accounts._freshness import (
    CONFIRMATION_TTL_S,
    MAX_TICK_GAP_S,
    RESUME_S,
)
from gooseberryrun.serving import ForwardingMetadata, Position, RequestMetadata
from gooseberryrun_platform._entries import decode_config_record
from gooseberryrun_platform._headers import PlatformHeaders
from result import Ok

from tests.lib.fleet import GroupStore, make_vm
from tests.lib.origins import make_request
from tests.lib.platform_site import make_config

ID = ("X-Gooseberryrun-Request-Id", "9c41")
CODEC = PlatformHeaders()
KEY = "gk-4f9c2e77a1"


def account(name: str, *keys: str, priority: int | None = None) -> ClientAccount:
    """Return an account with these keys and no cap."""
    return ClientAccount(name, tuple(key_digest(key) for key in keys), priority, None)


def decode(config: dict[str, Any]) -> DirectoryRecord:
    """Return the record of a configuration that an operator wrote."""
    return decode_config_record(Position(0, 3), "config", json.dumps(config).encode())


def decode_headers(*headers: tuple[str, str]) -> RequestMetadata:
    """Return the metadata of a request with these headers and an id."""
    decoded = CODEC.decode_request([ID, *headers])
    assert isinstance(decoded, Ok)
    return decoded.ok_value


def test_key_is_found_by_its_digest_alone() -> None:
    table = AccountTable((account("a", KEY, "gk-2"), account("b", "gk-3")))
    found = [table.find(key) for key in (KEY, "gk-2", "gk-3")]
    assert [owner.name for owner in found if owner] == ["a", "a", "b"]
    digest = hashlib.sha256(KEY.encode())
    wrong = ["", KEY[:-1], KEY + "x", KEY.upper(), "k" * 4000, digest.hexdigest()]
    wrong.append(digest.digest().decode("latin-1"))
    assert [table.find(key) for key in wrong] == [None] * len(wrong)


def test_lookup_ends_with_a_comparison_in_constant_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a lookup that tells by its time how much of a key is right."""
    compared: list[tuple[bytes, bytes]] = []
    real = hmac.compare_digest

    def compare(known: bytes, presented: bytes) -> bool:
        compared.append((known, presented))
        return real(known, presented)

    monkeypatch.setattr(hmac, "compare_digest", compare)
    assert AccountTable((account("a", KEY),)).find(KEY)
    assert compared == [(key_digest(KEY), key_digest(KEY))]


def test_account_without_keys_or_with_an_empty_one_cannot_be_used() -> None:
    """An empty key must not let requests in that present none."""
    record = decode(
        make_config()
        | {
            "tenants": [
                {"name": "a", "api_keys": []},
                {"name": "b", "api_keys": [""]},
            ]
        }
    )
    assert record.configuration is not None
    table = RouteTable(record.configuration).accounts
    assert table is not None
    assert table.find("") is None


def test_key_of_two_accounts_belongs_to_the_first() -> None:
    accounts = (account("a", KEY), account("b", "gk-2", KEY), account("c", KEY, KEY))
    found = AccountTable(accounts).find(KEY)
    assert found is accounts[0]
    assert find_shared_keys(accounts) == [("a", "b"), ("a", "c")]
    assert find_shared_keys((account("a", KEY, KEY),)) == []


@pytest.mark.parametrize(
    ("credential", "is_public", "is_confirmed", "outcome"),
    [
        (KEY, False, True, KeyOutcome.ACCEPTED),
        (KEY, False, False, KeyOutcome.ACCEPTED),
        (KEY, True, False, KeyOutcome.ACCEPTED),
        ("other", False, True, KeyOutcome.UNKNOWN),
        ("other", False, False, KeyOutcome.UNCONFIRMED),
        ("other", True, False, KeyOutcome.PUBLIC),
        ("", True, True, KeyOutcome.PUBLIC),
        ("", False, True, KeyOutcome.MISSING),
        ("", False, False, KeyOutcome.MISSING),
    ],
)
def test_outcome_of_a_key(
    credential: str, is_public: bool, is_confirmed: bool, outcome: KeyOutcome
) -> None:
    table = AccountTable((account("a", KEY),))
    found, owner = check_key(table, credential, is_public, is_confirmed)
    assert found is outcome
    assert (owner is not None) is (credential == KEY)


def test_cost_in_either_unit() -> None:
    tokens = UsageCap(UsageUnit.TOKENS, 4200.0, 4200.0, 900)
    requests = UsageCap(UsageUnit.REQUESTS, 5.0, 5.0, 900)
    assert tokens.cost(2300, 100, has_count=True) == 2400
    assert tokens.cost(0, 0, has_count=True) == 0
    assert tokens.cost(0, 0, has_count=False) == 900
    assert requests.cost(2300, 100, has_count=True) == 1


def test_accounts_are_decoded() -> None:
    config = make_config()
    config["routes"][0]["public"] = True
    config["tenants"] = [
        {
            "name": "Société",
            "api_keys": [KEY, "gk-2"],
            "priority": 0,
            "unit": "token_stream",
            "plain_tokens": 900,
            "rate_per_s": 4200,
            "burst": 4200,
        },
        {"name": "b", "api_keys": [], "unit": "requests", "rate_per_s": 2.5},
        {"name": "c", "api_keys": ["k"], "rate_per_s": 0, "burst": 7},
    ]
    decoded = decode(config).configuration
    assert decoded is not None
    assert [route.is_public for route in decoded.routes] == [True, False, False, False]
    cap = UsageCap(UsageUnit.TOKENS, 4200, 4200, 900)
    first = ClientAccount("Société", (key_digest(KEY), key_digest("gk-2")), 0, cap)
    second = ClientAccount("b", (), None, UsageCap(UsageUnit.REQUESTS, 2.5, 0, 0))
    third = ClientAccount("c", (key_digest("k"),), None, None)
    assert decoded.accounts == (first, second, third)


def test_configuration_without_accounts_has_none() -> None:
    decoded = decode(make_config() | {"tenants": None}).configuration
    assert decoded is not None
    assert decoded.accounts is None
    assert decoded == decode(make_config()).configuration
    assert RouteTable(decoded).accounts is None


def test_empty_list_of_accounts_leaves_no_key_valid() -> None:
    """After the last key was taken away no request needed a key (review/10)."""
    decoded = decode(make_config() | {"tenants": []}).configuration
    assert decoded is not None
    assert decoded.accounts == ()
    table = RouteTable(decoded).accounts
    assert table is not None
    assert table.find(KEY) is None
    assert table.find("") is None


@pytest.mark.parametrize("tenants", [None, []])
def test_peers_and_snapshots_tell_an_empty_list_of_accounts_from_none(
    tenants: list[Any] | None,
) -> None:
    """A VM that learns the configuration from a peer has to refuse the same keys."""
    record = decode(make_config() | {"tenants": tenants})
    encoded = msgspec.msgpack.encode(record)
    assert msgspec.msgpack.decode(encoded, type=DirectoryRecord) == record


@pytest.mark.parametrize(
    "change",
    [
        {"name": 4},
        {"name": ""},
        {"name": "a\r\nX-Evil: 1"},
        {"api_keys": KEY},
        {"api_keys": [KEY, 4]},
        {"priority": -1},
        {"priority": "high"},
        {"unit": "bytes"},
        {"rate_per_s": -1},
        {"burst": -0.5},
        {"plain_tokens": -1},
        {"plain_tokens": "many"},
    ],
)
def test_malformed_accounts_make_the_configuration_unreadable(
    change: dict[str, Any],
) -> None:
    """The configuration before it stays in force, and no key is in the reason."""
    tenant = {"name": "a", "api_keys": [KEY]} | change
    record = decode(make_config() | {"tenants": [tenant]})
    assert record.configuration is None
    assert record.unreadable
    assert KEY not in record.unreadable


def test_text_that_is_no_unicode_makes_the_configuration_unreadable() -> None:
    """Guards against a record that ends the task that reads the store."""
    for text in ('"\\ud800"', '"\\udc80"'):
        data = json.dumps(make_config() | {"tenants": [{"name": "a"}]}).encode()
        data = data.replace(
            b'"name": "a"', b'"name": "a", "api_keys": [%s]' % text.encode()
        )
        record = decode_config_record(Position(0, 3), "config", data)
        assert record.unreadable or record.configuration is not None


def test_no_key_is_in_what_a_vm_keeps_sends_or_prints() -> None:
    """A key in a record for other VMs or in a repr could reach their logs."""
    record = decode(make_config() | {"tenants": [{"name": "a", "api_keys": [KEY]}]})
    reply = DirectoryReply(Topic.CONFIGURATION, Position(0, 4), [record])
    sent = msgspec.msgpack.encode(reply)
    assert KEY.encode() not in sent
    received = msgspec.msgpack.decode(sent, type=DirectoryReply).records[0]
    assert received == record
    metadata = decode_headers(("Authorization", f"Token {KEY}"))
    assert metadata.credential == KEY
    header = [("Authorization", f"Token {KEY}")]
    request = InboundRequest("GET", "/", "h", header, b"", 0.0)
    printed = repr([record, metadata, request, record.configuration])
    assert KEY not in printed
    assert key_digest(KEY).hex() not in printed
    assert repr(key_digest(KEY))[2:-1] not in printed


@pytest.mark.parametrize(
    ("values", "credential"),
    [
        ([f"Token {KEY}"], KEY),
        ([f"tOKEN   {KEY} "], KEY),
        ([KEY], ""),
        ([f"Bearer {KEY}"], ""),
        ([f"Token{KEY}"], ""),
        (["Token"], ""),
        (["Token "], ""),
        ([""], ""),
        ([], ""),
        ([f"Token {KEY}", f"Token {KEY}"], ""),
        (["Token caf\u00c3\u00a9"], "café"),
    ],
)
def test_credential_of_a_request(values: list[str], credential: str) -> None:
    for name in ("Authorization", "AUTHORIZATION", "authorization"):
        found = decode_headers(*((name, value) for value in values))
        assert found.credential == credential


def test_key_that_is_no_text_is_unknown() -> None:
    """Guards against an exception in place of an answer with 401."""
    found = decode_headers(("Authorization", "Token \xff\xfe")).credential
    assert found
    assert AccountTable((account("a", KEY),)).find(found) is None


def test_token_count_is_told_from_none() -> None:
    counted = decode_headers(("X-Gooseberryrun-Token-Count", "0,0"))
    assert counted.has_token_count
    assert not decode_headers().has_token_count


GIVEN = [
    ID,
    ("Authorization", f"Token {KEY}"),
    ("X-GooseberryRun-TENANT", "evil"),
    ("x-gooseberryrun-tenant", "evil too"),
    ("X-Other", "kept"),
]
SET = [
    ("x-gooseberryrun-expect-instance", "i-1"),
    ("x-gooseberryrun-deadline-ms", "1500"),
]


@pytest.mark.parametrize(
    ("name", "added"),
    [
        ("a", [("x-gooseberryrun-tenant", "a")]),
        ("é", [("x-gooseberryrun-tenant", "Ã©")]),
        ("", []),
    ],
)
def test_runner_gets_the_name_and_never_the_key(
    name: str, added: list[tuple[str, str]]
) -> None:
    forwarding = ForwardingMetadata("i-1", 1.5, account=name)
    sent = CODEC.encode_request(end_to_end(GIVEN), forwarding)
    assert sent == [ID, ("X-Other", "kept"), *SET, *added]


def test_without_accounts_headers_are_forwarded_as_before() -> None:
    sent = CODEC.encode_request(end_to_end(GIVEN), ForwardingMetadata("i-1", 1.5))
    assert sent == [*GIVEN, *SET]


def test_name_is_set_although_the_caller_calls_it_a_header_of_the_connection() -> None:
    given = [*GIVEN, ("Connection", "x-gooseberryrun-tenant")]
    forwarding = ForwardingMetadata("i-1", 1.5, account="a")
    sent = CODEC.encode_request(end_to_end(given), forwarding)
    assert ("x-gooseberryrun-tenant", "a") in sent


def test_confirmation_expires() -> None:
    freshness = ConfigurationFreshness(0.0)
    assert not freshness.is_confirmed(0.1)
    freshness.record_read(0.0, 1.0)
    freshness.tick(1.0)
    assert freshness.is_confirmed(2.0)
    for now in (2.0, 3.0, 4.0):
        freshness.tick(now)
    assert freshness.is_confirmed(1.0 + CONFIRMATION_TTL_S)
    assert not freshness.is_confirmed(1.1 + CONFIRMATION_TTL_S)
    freshness.record_peer(4.0)
    assert freshness.is_confirmed(4.5)


def test_what_was_sent_before_a_suspension_confirms_nothing() -> None:
    """A key added meanwhile would get 401 from a VM that has just resumed."""
    freshness = ConfigurationFreshness(0.0)
    freshness.tick(1.0)
    freshness.record_read(0.0, 1.0)
    resumed_at = 1.0 + MAX_TICK_GAP_S + 0.1
    assert not freshness.is_confirmed(resumed_at)
    freshness.record_peer(resumed_at)
    assert not freshness.is_confirmed(resumed_at)
    freshness.tick(resumed_at)
    assert not freshness.is_confirmed(resumed_at)
    freshness.record_peer(resumed_at + 0.01)
    freshness.record_read(1.5, resumed_at + 0.01)
    assert not freshness.is_confirmed(resumed_at + 0.02)
    freshness.record_peer(resumed_at + RESUME_S)
    assert freshness.is_confirmed(resumed_at + RESUME_S)


def gossip(end: Position, can_reach_store: bool = True) -> ServingGossip:
    """Return what a peer tells that has read the configurations up to ``end``."""
    ends = {Topic.CONFIGURATION: end, Topic.RUNNERS: Position()}
    return ServingGossip("vm-001", can_reach_store, ends, {}, [])


@pytest.mark.parametrize(
    ("heard", "is_confirmed"),
    [
        (gossip(Position(0, 4)), True),
        (gossip(Position(0, 4), can_reach_store=False), False),
        (gossip(Position(0, 3)), False),
        (gossip(Position(0, 5)), False),
        (gossip(Position(1, 4)), False),
    ],
)
@pytest.mark.usefixtures("nothing_scheduled")
def test_peer_that_reaches_the_store_confirms_the_configuration(
    store: GroupStore, heard: ServingGossip, is_confirmed: bool
) -> None:
    """Most VMs of a large domain do not read the store and know it from peers only."""
    clock = ManualClock(10.0)
    ctx, _ = make_vm(store.groups["d0"][0], store, [], clock)
    record = DirectoryRecord(
        Topic.CONFIGURATION, Position(0, 3), "other", unreadable="x"
    )
    ctx.directory.receive(Topic.CONFIGURATION, [record], Position(0, 4), 10.0)
    ctx.freshness.tick(clock.boottime())
    peers = DirectoryPeers(ctx, DirectoryLog(), TopicReads(ctx))
    peers.fetch_missing("vm-001", heard)
    assert ctx.freshness.is_confirmed(clock.boottime()) is is_confirmed
    clock.suspend(2.0)
    assert not ctx.freshness.is_confirmed(clock.boottime())


def test_account_priority_comes_before_the_routes() -> None:
    """It decides waiting at an owner and the urgency that a runner gets."""
    active = make_request("r1")
    route = active.route.priority
    assert active.priority == route
    active.account = account("a")
    assert active.priority == route
    active.account = account("b", priority=route + 2)
    assert active.priority == route + 2
    active.account = account("c", priority=0)
    assert active.priority == 0
