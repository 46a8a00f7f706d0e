"""Explanations of choices: they agree with the choices and change nothing."""

from __future__ import annotations

from typing import Any

import pytest
from gooseberryrun._internal.coordination.serving import parse_query
from gooseberryrun._internal.coordination.serving.where import WhereQuery
from gooseberryrun._internal.state.serving import Handling, Verdict
from result import Err, Ok

from tests.lib.crossing_fleet import MODELS, PLAIN, CrossingFleet


@pytest.fixture(name="fleet")
def _fleet() -> CrossingFleet:
    """VMs whose domain d0 is full and sends a part of its requests elsewhere."""
    fleet = CrossingFleet()
    for server in fleet.servers:
        is_full = server.domain == "d0"
        if server.service == PLAIN:
            fleet.load(server, 8 if is_full else 1)
        elif is_full:
            fleet.load(server, 8, 30000)
    fleet.gossip(12)
    return fleet


def explain(fleet: CrossingFleet, vm: str, active: Any) -> dict[str, Any]:
    metadata = active.metadata
    query = WhereQuery(
        "h",
        f"/{active.service}/1",
        metadata.request_id,
        model=metadata.model,
        adapter=metadata.adapter,
        prompt_tokens=metadata.prompt_tokens,
    )
    return fleet.vms[vm].explainer.explain(query)


def choose(fleet: CrossingFleet, vm: str, active: Any) -> str:
    gateway = fleet.vms[vm].gateway
    now = fleet.clock.monotonic()
    if active.service == PLAIN:
        runner = gateway._plain._choose(active, now)
        return runner.id if runner else ""
    choice = gateway._models.chooser.choose(active, now, Verdict(Handling.FREE))
    return choice.candidate.runner.id if choice else ""


@pytest.mark.parametrize(("service", "adapter"), [(PLAIN, ""), (MODELS, "a1")])
def test_explanation_agrees_with_the_choice(
    fleet: CrossingFleet, service: str, adapter: str
) -> None:
    """An explanation by separate code would drift from what is done."""
    vm = fleet.in_domain("d0")[0]
    domains = set()
    for active in fleet.requests(service, 60, adapter):
        explained = explain(fleet, vm, active)
        assert explained["runner"] == choose(fleet, vm, active)
        chosen = [row for row in explained["rows"] if row["chosen"]]
        assert [row["runner"] for row in chosen] == [explained["runner"]]
        domains.add(chosen[0]["domain"])
        if service == MODELS:
            assert chosen[0]["cost"] == min(row["cost"] for row in explained["rows"])
    assert len(domains) > 1


def test_explanations_change_nothing(
    fleet: CrossingFleet, capsys: pytest.CaptureFixture[str]
) -> None:
    """Counting explained requests would shift the mix of classes and the loads."""
    vm = fleet.in_domain("d0")[0]
    crossing = fleet.vms[vm]._gossip._crossing
    assert crossing is not None
    before = fleet.contexts[vm].loads.own_views(fleet.clock.monotonic())
    fleet.sent.clear()
    capsys.readouterr()
    for active in [*fleet.requests(PLAIN, 20), *fleet.requests(MODELS, 20, "a1")]:
        explain(fleet, vm, active)
    assert not any(mix._weights for mix in crossing._mixes.values())
    assert fleet.contexts[vm].loads.own_views(fleet.clock.monotonic()) == before
    assert fleet.sent == []
    assert "event=" not in capsys.readouterr().out


def test_explanation_shows_figures_of_all_domains(fleet: CrossingFleet) -> None:
    vm = fleet.in_domain("d0")[0]
    explained = explain(fleet, vm, next(fleet.requests(PLAIN, 1)))
    by_domain = {row["domain"]: row for row in explained["crossing"]}
    assert by_domain.keys() == {"d0", "d1", "d2"}
    assert by_domain["d0"]["wait_s"] > by_domain["d1"]["wait_s"]
    assert by_domain["d1"]["share"] > 0.0
    assert all(row["age_s"] <= 1.5 for row in by_domain.values())


def test_refusals_are_explained(fleet: CrossingFleet) -> None:
    vm = fleet.in_domain("d0")[0]
    explainer = fleet.vms[vm].explainer
    assert explainer.explain(WhereQuery("h", "/none"))["reason"] == "no_route"
    unknown = explainer.explain(WhereQuery("h", f"/{MODELS}", model="other"))
    assert (unknown["outcome"], unknown["reason"]) == ("refused", "no_runner")
    for server in fleet.servers:
        if server.service == MODELS:
            fleet.load(server, 40, 9_000_000)
    busy = explainer.explain(
        WhereQuery("h", f"/{MODELS}", model="m", prompt_tokens=2400, wait_s=5.0)
    )
    assert (busy["outcome"], busy["reason"]) == ("refused", "overload")


def test_query_is_checked() -> None:
    assert isinstance(parse_query({"host": ["h"]}), Err)
    assert isinstance(parse_query({"host": ["h"], "path": ["x"]}), Err)
    full = {"host": ["h"], "path": ["/x"]}
    assert parse_query(full) == Ok(WhereQuery("h", "/x"))
    assert parse_query({**full, "key": ["secret"]}) == Err("unknown fields: key")
    assert isinstance(parse_query({**full, "wait_s": ["-1"]}), Err)
    assert isinstance(parse_query({**full, "prompt_tokens": ["many"]}), Err)
    parts = parse_query({**full, "part": ["a", "b"]}).unwrap().parts
    assert parts == ("a", "b")
