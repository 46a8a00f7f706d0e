"""Exchange of pressure between failure domains, and the choices that rest on it."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from gooseberryrun._internal.coordination._serving_messages import ServingGossip
from gooseberryrun._internal.coordination.serving._gossip import FANOUT
from gooseberryrun._internal.coordination.serving.crossing import Crossing, _summaries
from gooseberryrun._internal.state.serving import (
    READERS_PER_DOMAIN,
    Handling,
    Runner,
    Verdict,
)
from gooseberryrun._internal.state.serving.crossing import MAX_AGE_S

from tests.lib.crossing_fleet import MODELS, PLAIN, CrossingFleet

FREE = Verdict(Handling.FREE)


def choose_plain(fleet: CrossingFleet, vm: str, active: Any) -> Runner | None:
    plain = fleet.vms[vm].gateway._plain
    return plain._choose(active, fleet.clock.monotonic())


def choose_model(fleet: CrossingFleet, vm: str, active: Any) -> Runner | None:
    chooser = fleet.vms[vm].gateway._models.chooser
    choice = chooser.choose(active, fleet.clock.monotonic(), FREE)
    return choice.candidate.runner if choice else None


def count_domains(
    fleet: CrossingFleet, vm: str, service: str, adapter: str = ""
) -> Counter[str]:
    """Return the domains that 200 requests at a VM would go to."""
    choose = choose_plain if service == PLAIN else choose_model
    chosen = [choose(fleet, vm, a) for a in fleet.requests(service, 200, adapter)]
    return Counter(runner.domain for runner in chosen if runner is not None)


def fill_plain(fleet: CrossingFleet, **in_flight: int) -> None:
    for server in fleet.servers:
        if server.service == PLAIN:
            fleet.load(server, in_flight.get(server.domain, 1))


def fill_models(fleet: CrossingFleet, domain: str, tokens: int) -> None:
    for server in fleet.servers:
        if server.service == MODELS and server.domain == domain:
            fleet.load(server, 8, tokens)


@pytest.mark.parametrize(("domains", "vms"), [(3, 12), (3, 86), (6, 440)])
def test_every_vm_learns_the_pressure_of_all_domains(domains: int, vms: int) -> None:
    """With random contacts, some domains got the figures of others late or never."""
    fleet = CrossingFleet((1,) * domains, 1, vms)
    fleet.load_every_vm()
    fleet.gossip(4)
    for serving in fleet.vms.values():
        assert serving._gossip._crossing is not None
        known = serving._gossip._crossing.summaries_for_domain()
        assert len(known) == 2 * domains
        assert max(summary.age_s for summary in known) <= MAX_AGE_S


@pytest.mark.parametrize(("domains", "vms"), [(3, 12), (3, 86), (6, 440)])
def test_pressure_costs_no_message_and_few_bytes_between_domains(
    domains: int, vms: int
) -> None:
    """Traffic between domains is billed: only readers tell, and only their own."""
    fleet = CrossingFleet((1,) * domains, 1, vms)
    fleet.load_every_vm()
    fleet.gossip(4)
    assert Counter(sender for sender, _, _ in fleet.sent) == dict.fromkeys(
        fleet.vms, min(FANOUT, vms - 1)
    )
    told = 0
    for sender, vm, message in fleet.sent:
        assert isinstance(message, ServingGossip)
        domain = fleet.domain_of(sender)
        if fleet.domain_of(vm) != domain:
            told += bool(message.pressure)
            assert {s.domain for s in message.pressure} <= {domain}
    most = max(FANOUT - (vms // domains - 1), domains - 1)
    assert 0 < told <= READERS_PER_DOMAIN * domains * most


def test_disabled_crossing_and_a_single_domain_add_nothing() -> None:
    disabled = CrossingFleet(settings={"is_enabled": False})
    single = CrossingFleet((2,))
    for fleet in (disabled, single):
        fill_plain(fleet, d0=12)
        fleet.gossip(4)
        messages = [m for _, _, m in fleet.sent if isinstance(m, ServingGossip)]
        assert messages
        assert not any(message.pressure for message in messages)


def test_summary_looks_at_a_bounded_number_of_servers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A domain of 12,000 servers has 4,000 runners of one service."""
    fleet = CrossingFleet((1, 1), 300, 4)
    vm = fleet.in_domain("d0")[0]
    asked: Counter[str] = Counter()
    loads = fleet.contexts[vm].loads
    total = loads.total

    def counted(runner: str, now: float) -> Any:
        asked[runner] += 1
        return total(runner, now)

    monkeypatch.setattr(loads, "total", counted)
    crossing = fleet.vms[vm]._gossip._crossing
    assert crossing is not None
    crossing.step()
    assert asked.total() <= _summaries.MAX_SAMPLE + 1
    models = [s for s in crossing.summaries_for_others() if s.service == MODELS]
    assert [(s.servers, s.capacity) for s in models] == [(300, 300 * 64)]


def test_full_plain_domain_sends_a_part_elsewhere() -> None:
    fleet = CrossingFleet()
    fill_plain(fleet, d0=8, d1=1, d2=5)
    fleet.gossip(12)
    for vm in fleet.in_domain("d0"):
        found = count_domains(fleet, vm, PLAIN)
        assert 20 <= found["d1"] <= 140
        assert found["d0"] >= 40
    vm = fleet.in_domain("d1")[0]
    assert count_domains(fleet, vm, PLAIN) == {"d1": 200}


def test_shares_end_where_the_fleet_becomes_too_small_for_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against shares and reports that stay as they were at the switch."""
    fleet = CrossingFleet()
    fill_plain(fleet, d0=8, d1=1, d2=5)
    fleet.gossip(12)
    crossings = [serving._gossip._crossing for serving in fleet.vms.values()]
    found = [crossing for crossing in crossings if crossing is not None]
    assert any(crossing.is_reader for crossing in found)
    assert any(crossing._controllers for crossing in found)
    monkeypatch.setattr(Crossing, "is_enabled", False)
    for crossing in found:
        crossing.step()
    assert not any(crossing.is_reader for crossing in found)
    assert not any(crossing._controllers for crossing in found)


def test_full_domain_of_runners_sends_to_the_adapters_homes_elsewhere() -> None:
    """VMs that follow only their own runners kept requests there when they were full.

    The candidates elsewhere are two runners for each adapter, so that it stays loaded.
    """
    fleet = CrossingFleet(models=8)
    fill_models(fleet, "d0", 30000)
    fleet.gossip(20)
    vm = fleet.in_domain("d0")[0]
    far = set()
    for active in fleet.requests(MODELS, 200, "a1"):
        runner = choose_model(fleet, vm, active)
        assert runner is not None
        if runner.domain != "d0":
            far.add(runner.id)
    by_domain = Counter(runner.split("-")[1] for runner in far)
    assert far
    assert max(by_domain.values()) <= 2


def test_domain_with_few_runners_keeps_the_constant() -> None:
    """Its VMs follow all runners, so their figures are better than a summary."""
    fleet = CrossingFleet(models=2)
    fill_models(fleet, "d0", 30000)
    fleet.gossip(20)
    vm = fleet.in_domain("d0")[0]
    chooser = fleet.vms[vm].gateway._models.chooser
    active = next(fleet.requests(MODELS, 1, "a1"))
    now = fleet.clock.monotonic()
    request_id = active.metadata.request_id
    key = active.adapter_key
    eligible = chooser._eligible.find(active.service, key, request_id, now)
    assert chooser.find_departure(active, now, FREE) is None
    assert len(eligible) == 6
    for candidate in (chooser._candidate(active, r, "m/a1", now) for r in eligible):
        assert candidate.crossing_cost is None


@pytest.mark.parametrize("service", [PLAIN, MODELS])
def test_partitioned_domain_gets_no_selected_requests(service: str) -> None:
    fleet = CrossingFleet()
    fill_plain(fleet, d0=9, d1=1, d2=9)
    fill_models(fleet, "d0", 30000)
    fill_models(fleet, "d2", 30000)
    fleet.gossip(12)
    vm = fleet.in_domain("d0")[0]
    crossing = fleet.vms[vm]._gossip._crossing
    assert crossing is not None
    assert crossing._controllers[service].shares.get("d1", 0.0) > 0.0
    fleet.cut = set(fleet.in_domain("d1"))
    fleet.gossip(4)
    assert "d1" not in crossing._controllers[service].shares
    for active in fleet.requests(service, 200):
        departure = crossing.select(active)
        assert departure is None or departure.domain != "d1"


def test_frozen_reader_is_replaced_by_the_others() -> None:
    """Three VMs of a domain tell its pressure, so that one may fail."""
    fleet = CrossingFleet()
    fleet.gossip(4)
    ranked = sorted(
        fleet.in_domain("d1"), key=lambda vm: fleet.contexts[vm].reader_rank()
    )
    fleet.cut = set(ranked[: READERS_PER_DOMAIN - 1])
    fleet.gossip(5)
    for vm in fleet.in_domain("d0"):
        crossing = fleet.vms[vm]._gossip._crossing
        assert crossing is not None
        known = {summary.domain for summary in crossing.summaries_for_domain()}
        assert known == {"d0", "d1", "d2"}


def test_request_that_cannot_be_served_at_home_leaves_in_any_case() -> None:
    fleet = CrossingFleet()
    fill_plain(fleet, d0=1, d1=9, d2=9)
    fleet.gossip(6)
    vm = fleet.in_domain("d0")[0]
    tried = next(fleet.requests(PLAIN, 1))
    tried.tried.add("p-d0-0")
    tried.sends = 1
    runner = choose_plain(fleet, vm, tried)
    assert runner is not None
    assert runner.domain != "d0"
    fleet.contexts[vm].pauses.mark_down("p-d0-0", 9.0, fleet.clock.monotonic())
    assert count_domains(fleet, vm, PLAIN)["d0"] == 0
    assert count_domains(fleet, vm, PLAIN).total() == 200


def test_domain_without_servers_sends_all() -> None:
    fleet = CrossingFleet((0, 1, 1), 0)
    fill_plain(fleet, d1=2, d2=2)
    fleet.gossip(6)
    vm = fleet.in_domain("d0")[0]
    found = count_domains(fleet, vm, PLAIN)
    assert found["d1"] + found["d2"] == 200


def test_retry_is_not_selected_again() -> None:
    """A request that a domain has refused would go there by its hash each time."""
    fleet = CrossingFleet()
    fill_plain(fleet, d0=9)
    fleet.gossip(12)
    crossing = fleet.vms[fleet.in_domain("d0")[0]]._gossip._crossing
    assert crossing is not None
    selected = [a for a in fleet.requests(PLAIN, 200) if crossing.select(a)]
    assert selected
    for active in selected:
        active.sends = 1
        assert crossing.select(active) is None
        assert crossing.plain_cost(active, None, "d1") is None
