"""Pressure of failure domains, and the shares of requests that leave them."""

from __future__ import annotations

import dataclasses
import math

import pytest
from gooseberryrun._internal.state.serving import (
    Candidate,
    PrefillLoad,
    Runner,
    RunnerView,
    ServingPolicy,
    choose_model_runner,
    choose_plain_server,
)
from gooseberryrun._internal.state.serving.crossing import (
    MAX_AGE_S,
    ClassMix,
    CrossingPrice,
    PlainLoad,
    PressureSummary,
    PressureTable,
    ServerLoad,
    ShareController,
    ShareLimits,
    SmoothedCounts,
    model_wait_s,
    pick_domain,
    plain_crossing_cost,
    summarise,
    summarise_plain,
)

PRICE_S = 0.03
LIMITS = ShareLimits(max_share=0.6, target_s=0.3)


def make_summary(
    domain: str,
    wait_s: float,
    demand: float = 6.0,
    capacity: int = 12,
    age_s: float = 0.0,
) -> PressureSummary:
    return PressureSummary(domain, "s", 1, capacity, demand, 0.0, wait_s, age_s)


def step_often(
    controller: ShareController, own: PressureSummary, other: PressureSummary
) -> float:
    for _ in range(30):
        controller.step(own, [other], PRICE_S, LIMITS)
    return controller.shares.get(other.domain, 0.0)


def test_usual_request_has_the_price_of_the_former_constant() -> None:
    assert CrossingPrice(7e-6).total_s() == pytest.approx(0.03, abs=0.001)


def test_crossing_starts_only_if_callers_gain_by_it() -> None:
    """Bytes between domains cost; a short wait at home harms nobody."""
    busy, idle = make_summary("a", 0.2), make_summary("b", 0.01)
    assert step_often(ShareController(), busy, idle) > 0.3
    patient = ShareLimits(max_share=0.6, target_s=1.5)
    comfortable = ShareController()
    for _ in range(30):
        comfortable.step(make_summary("a", 0.12), [idle], PRICE_S, patient)
    assert comfortable.shares == {}
    as_busy = make_summary("b", 0.18)
    assert step_often(ShareController(), busy, as_busy) == 0.0


def test_shares_stay_within_their_limit() -> None:
    controller = ShareController()
    others = [make_summary("b", 0.0), make_summary("c", 0.0)]
    for _ in range(50):
        controller.step(make_summary("a", 1.0), others, PRICE_S, LIMITS)
    assert sum(controller.shares.values()) == pytest.approx(LIMITS.max_share)


@pytest.mark.parametrize("age_s", [MAX_AGE_S + 0.01, 10.0])
def test_no_requests_are_sent_on_old_figures(age_s: float) -> None:
    """A partitioned domain, or one whose readers are gone, gets nothing."""
    controller = ShareController()
    busy, idle = make_summary("a", 0.2), make_summary("b", 0.01)
    assert step_often(controller, busy, idle) > 0.0
    table = PressureTable()
    assert table.update(idle, 5.0)
    found = table.find("s", "b", 5.0 + age_s)
    assert found is None
    controller.step(busy, [], PRICE_S, LIMITS)
    assert controller.shares == {}


def test_domain_without_servers_gets_nothing() -> None:
    controller = ShareController()
    gone = make_summary("b", 0.0, demand=0.0, capacity=0)
    assert step_often(controller, make_summary("a", 0.5), gone) == 0.0


def test_without_own_figures_no_share_applies() -> None:
    controller = ShareController()
    step_often(controller, make_summary("a", 0.5), make_summary("b", 0.0))
    controller.step(None, [make_summary("b", 0.0)], PRICE_S, LIMITS)
    assert controller.shares == {}


def test_share_falls_at_once_when_the_other_domain_fills() -> None:
    """A share that fell as slowly as it rose would overfill that domain for seconds."""
    controller = ShareController()
    busy = make_summary("a", 0.2)
    before = step_often(controller, busy, make_summary("b", 0.01))
    controller.step(busy, [make_summary("b", 0.3)], PRICE_S, LIMITS)
    assert controller.shares["b"] <= before / 2
    full = make_summary("b", 0.05, demand=12.0)
    step_often(controller, busy, make_summary("b", 0.01))
    controller.step(busy, [full], PRICE_S, LIMITS)
    assert controller.shares["b"] <= LIMITS.max_share / 2


def test_one_step_claims_only_idle_capacity() -> None:
    """A domain of 100 slots offered its demand to one with a single idle slot."""
    controller = ShareController()
    own = make_summary("a", 1.0, demand=100.0, capacity=100)
    other = make_summary("b", 0.0, demand=11.0, capacity=12)
    controller.step(own, [other], PRICE_S, LIMITS)
    assert controller.shares.get("b", 0.0) * 100.0 <= 1.0


@pytest.mark.parametrize("lag", [0, 1, 2, 3])
def test_shares_settle_with_delayed_figures(lag: int) -> None:
    """Two overloaded domains that see the same idle one must not swing together."""
    controllers = {name: ShareController() for name in "ab"}
    history: list[dict[str, float]] = []
    totals = []
    for _ in range(80):
        sent = {name: c.shares.get("c", 0.0) for name, c in controllers.items()}
        load = {name: 10.0 * (1 - share) for name, share in sent.items()}
        load["c"] = 2.0 + 10.0 * sum(sent.values())
        history.append(load)
        seen = history[max(0, len(history) - 1 - lag)]
        found = {
            name: make_summary(name, 0.03 * demand, demand, 14, 0.5 * lag)
            for name, demand in seen.items()
        }
        for name, controller in controllers.items():
            controller.step(found[name], [found["c"]], PRICE_S, LIMITS)
        totals.append(sum(sent.values()))
    late = totals[-20:]
    assert min(late) > 0.2
    assert max(late) - min(late) < 0.1


def test_change_is_reported_with_its_inputs_once() -> None:
    controller = ShareController()
    busy, idle = make_summary("a", 1.0), make_summary("b", 0.0)
    reported = []
    for _ in range(30):
        reported += controller.step(busy, [idle], PRICE_S, LIMITS)
    assert 3 < len(reported) < 15
    assert all(abs(c.share - c.previous) > 0.05 for c in reported)
    assert reported[0].own == busy
    ended = controller.step(busy, [], PRICE_S, LIMITS)
    assert [(c.domain, c.share, c.other) for c in ended] == [("b", 0.0, None)]
    assert controller.step(busy, [], PRICE_S, LIMITS) == []


def test_selected_part_of_the_requests_equals_the_share() -> None:
    mix = ClassMix()
    shares = {"b": 0.1, "c": 0.3}
    picked = [pick_domain(f"r{n}", 0, shares, mix) for n in range(4000)]
    assert picked.count("b") == pytest.approx(400, abs=60)
    assert picked.count("c") == pytest.approx(1200, abs=100)
    assert picked[0] == pick_domain("r0", 0, shares, mix)
    assert pick_domain("r0", 0, {}, mix) is None


def test_most_urgent_class_leaves_first() -> None:
    mix = ClassMix()
    for n in range(400):
        mix.record(n % 2)
    assert mix.leaving(0, 0.3) == pytest.approx(0.6, abs=0.02)
    assert mix.leaving(1, 0.3) == 0.0
    assert mix.leaving(0, 0.6) == 1.0
    assert mix.leaving(1, 0.6) == pytest.approx(0.2, abs=0.03)


def test_wait_rises_with_the_load_of_plain_servers() -> None:
    waits = [
        summarise_plain("a", "s", [PlainLoad(6, n, 200)], 1.0).wait_s
        for n in range(1, 13)
    ]
    assert waits == sorted(waits)
    assert waits[0] < 0.001
    assert waits[11] > 0.05


def test_load_is_scaled_by_the_vms_that_were_heard() -> None:
    """A reader of 147 VMs hears some 30 of them within the life of a figure."""
    part = summarise_plain("a", "s", [PlainLoad(60, 10, 100)], 0.25)
    whole = summarise_plain("a", "s", [PlainLoad(60, 40, 400)], 1.0)
    assert part == whole


@pytest.mark.parametrize("servers", [[], [PlainLoad(6, 0, 0)], [PlainLoad(6, 0, 50)]])
def test_summary_of_idle_or_missing_servers_has_no_wait(
    servers: list[PlainLoad],
) -> None:
    found = summarise_plain("a", "s", servers, 1.0)
    assert found.wait_s == 0.0
    assert found.servers == len(servers)


def test_waits_of_model_runners_weigh_by_their_slots() -> None:
    found = summarise("a", "s", [ServerLoad(60, 70, 2, 0.4), ServerLoad(20, 5, 0, 0.0)])
    assert (found.capacity, found.running, found.waiting) == (80, 65.0, 12.0)
    assert found.wait_s == pytest.approx(0.3)
    assert found.idle == 3.0


def test_single_counts_are_averaged() -> None:
    """Momentary counts at 6 slots made shares jump by 0.3 between two figures."""
    counts = SmoothedCounts()
    assert counts.update({"x": 2}) == {"x": 2.0}
    assert counts.update({"x": 6, "y": 4}) == {"x": 4.0, "y": 4.0}
    assert counts.update({"y": 4}) == {"y": 4.0}


def make_figure(
    domain: str, wait_s: float, maker: str, made_at: float, age_s: float = 0.0
) -> PressureSummary:
    return PressureSummary(domain, "s", 1, 6, 1.0, 0.0, wait_s, age_s, maker, made_at)


def test_table_keeps_the_newest_figure_of_each_domain() -> None:
    """Summaries of three readers arrive by several ways, in any order."""
    table = PressureTable()
    assert table.update(make_figure("a", 0.2, "v1", 70.0, age_s=0.1), 10.0)
    assert not table.update(make_figure("a", 0.9, "v2", 3.0, age_s=0.5), 10.1)
    assert table.update(make_figure("b", 0.3, "v3", 3.0), 10.2)
    found = table.find("s", "a", 10.4)
    assert found is not None
    assert found.wait_s == 0.2
    assert found.age_s == pytest.approx(0.5)
    assert [s.domain for s in table.recent(10.4)] == ["a", "b"]
    assert [s.domain for s in table.recent(10.4, "b")] == ["b"]
    assert [s.domain for s in table.recent(11.6)] == ["b"]


def test_figure_passed_back_and_forth_does_not_look_newer() -> None:
    """Each hop takes time that the age does not count, so a figure never expired."""
    table = PressureTable()
    assert table.update(make_figure("a", 0.2, "v1", 70.0, age_s=0.1), 10.0)
    assert not table.update(make_figure("a", 0.2, "v1", 70.0, age_s=0.3), 10.9)
    assert table.find("s", "a", 11.5) is None


def test_figures_received_after_a_suspension_are_replaced() -> None:
    """A resumed VM reads frames of before it was suspended, with the ages of then."""
    table = PressureTable()
    assert table.update(make_figure("a", 0.0, "v1", 70.0, age_s=0.1), 20.0)
    assert table.update(make_figure("a", 0.5, "v1", 79.0, age_s=0.4), 20.0)
    found = table.find("s", "a", 20.0)
    assert found is not None
    assert found.wait_s == 0.5


def test_clock_of_a_restarted_vm_may_begin_anew() -> None:
    table = PressureTable()
    assert table.update(make_figure("a", 0.2, "v1", 70.0), 10.0)
    assert not table.update(make_figure("a", 0.3, "v1", 1.0), 11.0)
    table.recent(16.0)
    assert table.update(make_figure("a", 0.3, "v1", 6.0), 16.0)


@pytest.mark.parametrize("wrong", [math.nan, math.inf, -1.0])
def test_figures_that_cannot_be_used_are_ignored(wrong: float) -> None:
    table = PressureTable()
    assert not table.update(make_figure("a", wrong, "v1", 1.0), 10.0)
    assert not table.update(make_figure("a", 0.1, "v1", 1.0, age_s=wrong), 10.0)
    assert table.recent(10.0) == []


def make_candidate(
    runner: str, domain: str, in_flight: int, cost: float | None = None
) -> Candidate:
    entry = Runner(runner, "s", "h", 1, domain, 6, False, 1, 0, ())
    view = RunnerView(in_flight, 0, 10, 0, 1.0)
    return Candidate(entry, view, domain == "a", crossing_cost=cost)


def test_without_figures_the_constants_apply() -> None:
    near, far = make_candidate("x", "a", 3), make_candidate("y", "b", 1)
    assert plain_crossing_cost("b", None, ()) is None
    choice = choose_plain_server([near, far], "r")
    assert choice is not None
    assert choice.candidate is near
    assert choose_plain_server([make_candidate("x", "a", 5), far], "r") is not None
    fuller = choose_plain_server([make_candidate("x", "a", 5), far], "r")
    assert fuller is not None
    assert fuller.candidate is far


def test_selected_request_leaves_and_another_one_stays() -> None:
    near = make_candidate("x", "a", 5)
    leave = plain_crossing_cost("b", "b", {"b"})
    stay = plain_crossing_cost("b", None, {"b"})
    leaving = choose_plain_server([near, make_candidate("y", "b", 4, leave)], "r")
    staying = choose_plain_server([near, make_candidate("y", "b", 1, stay)], "r")
    assert leaving is not None
    assert staying is not None
    assert leaving.candidate.runner.id == "y"
    assert staying.candidate.runner.id == "x"


def test_request_without_a_server_at_home_leaves_at_any_cost() -> None:
    stay = plain_crossing_cost("b", None, {"b"})
    choice = choose_plain_server([make_candidate("y", "b", 6, stay)], "r")
    assert choice is not None


def test_wait_at_a_model_runner_contains_prompts_and_places() -> None:
    idle = make_candidate("x", "a", 0)
    policy = ServingPolicy()
    assert model_wait_s(idle, policy) == 0.0
    reading = dataclasses.replace(idle, prefill=PrefillLoad(running_s=0.3))
    assert model_wait_s(reading, policy) == pytest.approx(0.3)
    queued = dataclasses.replace(
        reading, available_slots=0, waiting=4, slot_wait_s=0.05
    )
    assert model_wait_s(queued, policy) == pytest.approx(0.5)


def test_runner_elsewhere_costs_the_price_of_a_crossing() -> None:
    near = dataclasses.replace(
        make_candidate("x", "a", 0), prefill=PrefillLoad(running_s=0.05)
    )
    far = make_candidate("y", "b", 0, 0.2)
    choice = choose_model_runner([near, far], "m/", 0, ServingPolicy())
    assert choice is not None
    assert choice.candidate is near
    cheap = dataclasses.replace(far, crossing_cost=0.01)
    choice = choose_model_runner([near, cheap], "m/", 0, ServingPolicy())
    assert choice is not None
    assert choice.candidate is cheap
