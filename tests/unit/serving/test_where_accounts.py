"""Explanations of requests of client accounts: they agree with what is done."""

from __future__ import annotations

import json
import re
from collections import deque
from collections.abc import Mapping
from typing import Any

import pytest
from gooseberryrun._internal.coordination._serving_messages import (
    SlotRequest,
    UsageRequest,
)
from gooseberryrun._internal.coordination.serving.where import WhereQuery, parse_query
from gooseberryrun._internal.state._serving_settings import AdmissionSettings
from gooseberryrun._internal.state.serving.accounts import key_digest
from gooseberryrun._internal.state.serving.admission import SlotClaim

from tests.lib.account_fleet import (
    ACCOUNTS,
    CAP,
    KEYS,
    PUBLIC,
    AccountFleet,
    metric_values,
)
from tests.lib.crossing_fleet import PLAIN

WAITING = 6
"""Requests that wait for a slot: the next one would wait for too long to stay."""

pytestmark = pytest.mark.usefixtures("nothing_scheduled")


@pytest.fixture(name="fleet")
def _fleet(log: list[str]) -> AccountFleet:
    fleet = AccountFleet()
    log.clear()
    fleet.sent.clear()
    return fleet


def explain(
    fleet: AccountFleet, vm: str, request_id: str, account: str, path: str = PLAIN
) -> dict[str, Any]:
    query = WhereQuery("h", f"/{path}/1", request_id, account, wait_s=5.0)
    return fleet.vms[vm].explainer.explain(query)


def field(log: list[str], event: str, request_id: str, name: str) -> str:
    """Return a field of the only line of an event of a request."""
    found = [
        line
        for line in log
        if line.startswith(f"event={event} ") and f"request={request_id} " in line
    ]
    assert len(found) == 1, (event, found)
    match = re.search(rf"\b{name}=(\S+)", found[0])
    assert match is not None, found[0]
    return match[1]


def flood(fleet: AccountFleet, vm: str, name: str = "capped") -> int:
    """Let requests of an account come until one is refused; return their number."""
    count = 0
    while fleet.request(vm, f"f{vm}-{count}", KEYS[name]) == 200:
        count += 1
        assert count < 100
    return count


def owner(fleet: AccountFleet, account: str = "capped") -> str:
    """Return the allocator of an account in the first failure domain."""
    found = fleet.vms["vm-000"].gateway._usage.order.allocator(account, "d0")
    assert found is not None
    return found


def other(fleet: AccountFleet, vm: str) -> str:
    """Return another VM of the same failure domain."""
    return next(v for v in fleet.in_domain(fleet.domain_of(vm)) if v != vm)


@pytest.mark.parametrize(
    ("account", "path", "status", "reason"),
    [
        ("free", PLAIN, 200, ""),
        ("urgent", PLAIN, 200, ""),
        ("capped", PLAIN, 200, ""),
        ("", PUBLIC, 200, ""),
        ("free", PUBLIC, 200, ""),
        ("", PLAIN, 401, "no_key"),
        ("unknown", PLAIN, 401, "unknown_key"),
        ("", "nowhere", 401, "no_key"),
    ],
)
def test_explanation_agrees_with_the_next_requests_decision(
    fleet: AccountFleet,
    log: list[str],
    account: str,
    path: str,
    status: int,
    reason: str,
) -> None:
    """An explanation that does not know accounts calls a refused request served."""
    key = KEYS.get(account, account and "gk-wrong")
    vm = other(fleet, owner(fleet))
    explained = explain(fleet, vm, "r1", account, path)
    assert fleet.request(vm, "r1", key, path) == status
    if status == 200:
        assert explained["outcome"] == "sent"
        assert field(log, "attempt", "r1", "runner") == explained["runner"]
        asked = [m for _, _, m in fleet.sent if isinstance(m, SlotRequest)]
        assert {m.priority for m in asked} <= {explained["priority"]}
    else:
        assert (explained["outcome"], explained["reason"]) == ("refused", reason)
        assert field(log, "request", "r1", "reason") == reason


def test_key_that_may_be_newer_is_explained_as_unconfirmed(
    fleet: AccountFleet, log: list[str]
) -> None:
    fleet.clock.now += 10.0
    explained = explain(fleet, "vm-000", "r1", "unknown")
    assert fleet.request("vm-000", "r1", "gk-wrong") == 503
    reason = field(log, "request", "r1", "reason")
    assert (explained["reason"], explained["retry_in_s"]) == (reason, 0.5)


def test_priority_of_the_account_is_shown(fleet: AccountFleet) -> None:
    """The route's priority does not decide for an account that has its own."""
    shown = {name: explain(fleet, "vm-000", "r1", name)["priority"] for name in KEYS}
    assert shown == {"free": 0, "urgent": 0, "capped": 3}
    states = {name: explain(fleet, "vm-000", "r1", name) for name in KEYS}
    priorities = {n: s["account_state"]["priority"] for n, s in states.items()}
    assert priorities == {"free": None, "urgent": 0, "capped": 3}
    assert states["free"]["cap"] is None


def test_weight_of_the_account_is_shown(fleet: AccountFleet) -> None:
    """Guards against weights in the settings that cannot be checked at a VM."""
    ctx = fleet.vms["vm-000"]._ctx
    admission = AdmissionSettings(weights={"urgent": 2.5})
    ctx.cfg = ctx.cfg.model_copy(update={"admission": admission})
    states = [explain(fleet, "vm-000", "r1", n)["account_state"] for n in KEYS]
    weights = {state["name"]: state["weight"] for state in states}
    assert weights == {"free": 1.0, "urgent": 2.5, "capped": 1.0}


@pytest.mark.parametrize("is_allocator", [True, False])
def test_request_over_the_cap_is_explained(
    fleet: AccountFleet, log: list[str], is_allocator: bool
) -> None:
    """The state of a cap is known from the last answers, also at another VM."""
    vm = owner(fleet) if is_allocator else other(fleet, owner(fleet))
    assert flood(fleet, vm) >= CAP.burst / 2
    explained = explain(fleet, vm, "over", "capped")
    assert (explained["outcome"], explained["reason"]) == ("refused", "usage_cap")
    assert explained["cap"]["outcome"] == "over_cap"
    assert explained["cap"]["last_asked"]["outcome"] == "refused"
    fleet.sent.clear()
    assert fleet.request(vm, "over", KEYS["capped"]) == 429
    assert field(log, "usage_refused", "over", "why") == "over_cap"
    asked = [to for _, to, m in fleet.sent if isinstance(m, UsageRequest)]
    assert asked == [v for v in explained["cap"]["would_ask"] if v != vm]
    retry_in_s = float(field(log, "usage_refused", "over", "retry_in_s"))
    assert 0.0 < explained["retry_in_s"] <= retry_in_s + 1e-3


@pytest.mark.parametrize("is_allocator", [True, False])
def test_request_is_explained_as_admitted_once_there_is_room(
    fleet: AccountFleet, is_allocator: bool
) -> None:
    """A refusal that was told does not stand for longer than its time."""
    vm = owner(fleet) if is_allocator else other(fleet, owner(fleet))
    flood(fleet, vm)
    fleet.advance(4.0)
    explained = explain(fleet, vm, "later", "capped")
    assert explained["outcome"] == "sent"
    assert explained["cap"]["outcome"] == ("granted" if is_allocator else "asks")
    assert fleet.request(vm, "later", KEYS["capped"]) == 200


def test_credit_is_shown_and_used(fleet: AccountFleet) -> None:
    vm = other(fleet, owner(fleet))
    usage = fleet.vms[vm].gateway._usage
    fleet.request(vm, "r1", KEYS["capped"])
    known = usage.known_usage("capped")
    assert known is not None
    known.credit.add(1.0, fleet.clock.boottime())
    explained = explain(fleet, vm, "r2", "capped")["cap"]
    assert (explained["credit"], explained["outcome"]) == (1.0, "credit")
    fleet.sent.clear()
    assert fleet.request(vm, "r2", KEYS["capped"]) == 200
    assert not any(isinstance(m, UsageRequest) for _, _, m in fleet.sent)


def test_vm_without_an_allocator_says_so(fleet: AccountFleet, log: list[str]) -> None:
    """Such a VM refuses by its own part of the margin, whatever the cap."""
    vm = other(fleet, owner(fleet))
    fleet.cut = set(fleet.vms) - {vm}
    fleet.request(vm, "r1", KEYS["capped"])
    explained = explain(fleet, vm, "r2", "capped")
    assert fleet.request(vm, "r2", KEYS["capped"]) == 429
    assert explained["cap"]["outcome"] == field(log, "usage_refused", "r2", "why")
    assert explained["cap"]["outcome"] == "no_allocator"
    assert explained["cap"]["would_ask"] == []
    assert explained["cap"]["last_asked"]["outcome"] == "unanswered"
    assert explained["reason"] == field(log, "request", "r2", "reason")


def fill(fleet: AccountFleet, server: Any) -> None:
    """Take every slot of a server, and let some requests wait there."""
    granter = fleet.contexts["vm-000"].owner_of(server)
    assert granter is not None
    slots = fleet.vms[granter.vm]._slots
    for active in fleet.requests(PLAIN, 8):
        assert slots.take(active, server)
    queue = slots.granter.queue(server.id)
    assert queue is not None
    now = fleet.clock.now
    for number in range(WAITING):
        claim = SlotClaim("x", number, f"x{number}", "free", 0, now + 5.0, now + 9.0)
        queue.ask(claim, now)


def test_slot_waits_are_shown_as_they_were_told(
    fleet: AccountFleet, log: list[str]
) -> None:
    """Guards against waits that are shown without their age, or not as told."""
    vm = "vm-000"
    full = {s.id: s for s in fleet.servers if s.service == PLAIN}
    first = explain(fleet, vm, "n1", "free")["runner"]
    fill(fleet, full[first])
    fleet.request(vm, "n1", KEYS["free"])
    lines = [x for x in log if "event=slot " in x and "request=n1 " in x]
    told = next(line for line in lines if f"server={first} " in line)
    expected = re.search(r"expected_s=(\S+) .*outcome=(\S+)", told)
    assert expected is not None
    fleet.advance(0.004)
    explained = explain(fleet, vm, "n2", "free")
    rows = {row["runner"]: row for row in explained["rows"]}
    assert rows[first]["slot_told_s"] == pytest.approx(float(expected[1]), abs=1e-4)
    assert rows[first]["slot_outcome"] == expected[2] == "busy"
    assert rows[first]["slot_age_s"] == 0.004
    assert rows[first]["slot_wait_s"] == pytest.approx(
        max(0.0, float(expected[1]) - 0.004), abs=1e-4
    )
    assert rows[first]["turn_wait_s"] >= rows[first]["slot_wait_s"]
    fleet.request(vm, "n2", KEYS["free"])
    lines = [x for x in log if "event=slot " in x and "request=n2 " in x]
    assert f"server={explained['runner']} " in lines[0]


def test_granting_vm_shows_its_queue(fleet: AccountFleet) -> None:
    server = next(s for s in fleet.servers if s.service == PLAIN)
    granter = fleet.contexts["vm-000"].owner_of(server)
    assert granter is not None
    fill(fleet, server)
    rows = explain(fleet, granter.vm, "r1", "free")["rows"]
    row = next(row for row in rows if row["runner"] == server.id)
    assert (row["slots_granted"], row["slots_waiting"]) == ("8/8", WAITING)
    assert row["slot_granter"] == granter.vm


def state_of(found: Any) -> Any:
    """Return the values of an object and of all that it consists of."""
    if isinstance(found, Mapping):
        return [(key, state_of(value)) for key, value in found.items()]
    if isinstance(found, list | tuple | deque):
        return [state_of(value) for value in found]
    if not type(found).__module__.startswith("gooseberryrun"):
        return found
    names = [*getattr(found, "__dict__", {}), *getattr(type(found), "__slots__", ())]
    return [(name, state_of(getattr(found, name))) for name in names]


def decision_state(fleet: AccountFleet, vm: str) -> Any:
    """Return what decides on accounts, caps and slots at a VM."""
    serving = fleet.vms[vm]
    usage, slots = serving.gateway._usage, serving._slots
    ctx = fleet.contexts[vm]
    return state_of(
        {
            "usage": usage._usage,
            "silent": usage._peers._silent_until,
            "domains": usage._accounts._known_domains,
            "domains_at": usage._accounts._known_at,
            "allocators": serving._allocators._allocators,
            "tokens": ctx.ownership._tokens,
            "waits": slots._waits,
            "told": slots._told,
            "slot_silent": slots._granters._silent_until,
            "queues": slots.granter._queues,
            "timers": slots.granter._timers,
            "loads": ctx.loads.own_views(fleet.clock.monotonic()),
            "freshness": ctx.freshness,
        }
    )


@pytest.mark.parametrize("is_used", [True, False])
@pytest.mark.parametrize("is_allocator", [True, False])
def test_asking_changes_no_state(
    fleet: AccountFleet, log: list[str], is_used: bool, is_allocator: bool
) -> None:
    """A query that took credit or counted demand would cost the account usage."""
    vm = owner(fleet) if is_allocator else other(fleet, owner(fleet))
    if is_used:
        flood(fleet, vm)
        fleet.request(vm, "r1", KEYS["free"])
        fleet.advance(0.3)
        known = fleet.vms[vm].gateway._usage.known_usage("capped")
        assert known is not None
        known.credit.add(1.0, fleet.clock.boottime())
    before = decision_state(fleet, vm), metric_values(), fleet.codec.decoded
    log.clear()
    fleet.sent.clear()
    for account in [*KEYS, "", "unknown"]:
        for path in (PLAIN, PUBLIC, "nowhere"):
            for number in range(5):
                explain(fleet, vm, f"r{number}", account, path)
    assert (decision_state(fleet, vm), metric_values(), fleet.codec.decoded) == before
    assert (log, fleet.sent, fleet.clock.now > 0.0) == ([], [], True)


def test_no_key_is_taken_or_shown(fleet: AccountFleet, log: list[str]) -> None:
    """An operator who gives a key by mistake must not find it in an output or log."""
    fields = {"host": ["h"], "path": ["/plain/1"]}
    assert parse_query({**fields, "key": ["gk-free-1"]}).is_err()
    shown = ""
    for vm in fleet.vms:
        for account in [*KEYS, *ACCOUNTS]:
            shown += json.dumps(explain(fleet, vm, "r1", account))
            shown += repr(fleet.vms[vm].explainer.explain)
    for key in ACCOUNTS:
        assert key not in shown
        assert key_digest(key).hex() not in shown
        assert not any(key in line for line in log)
    assert explain(fleet, "vm-000", "r1", "gk-free-1")["reason"] == "unknown_key"


def test_configuration_without_accounts_shows_none() -> None:
    fleet = AccountFleet(accounts=())
    explained = explain(fleet, "vm-000", "r1", "any")
    assert explained["outcome"] == "sent"
    assert (explained["account_state"], explained["cap"]) == (None, None)
    assert "slot_wait_s" not in explained["rows"][0]
