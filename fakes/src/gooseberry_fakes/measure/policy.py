"""Comparison of the policy with baselines on a seeded workload, in virtual time."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import gooseberryrun._internal.coordination as coordination
import gooseberryrun._internal.state as state

from .bounds import bound_load_stall_s
from .earlier_policies import FirstPolicy, SecondPolicy
from .simulation import (
    Fault,
    HashChooser,
    InteractiveLimits,
    LeastLoadedChooser,
    PlacementChooser,
    RunnerChooser,
    Simulation,
    SimulationResult,
)
from .workload import SCENARIOS, Arrival, OfferedLoad, Scenario, make_arrivals

ChooserFactory = Callable[[list[coordination.RunnerScheduler]], RunnerChooser]
PolicyFactory = Callable[[], coordination.Policy]


def make_settings(scenario: Scenario) -> state.Settings:
    """Return an entry VM's settings with a scenario's weights and store rate."""
    return state.Settings.model_validate(
        {
            "vm": {"id": "vm-0", "domain": "d", "address": "127.0.0.1"},
            "peer": {"secret": "s"},
            "operator": {"token": "t"},
            "platform": {"log_url": "u", "store_url": "u", "vm_list_url": "u"},
            "policy": {
                "load_stall_weight": scenario.load_stall_weight,
                "batch_efficiency_weight": scenario.batch_efficiency_weight,
                "store_loads_per_s": scenario.store_rate,
            },
        }
    )


def run_current_policy(
    scenario: Scenario,
    arrivals: list[Arrival],
    faults: tuple[Fault, ...] = (),
    limits: InteractiveLimits | None = None,
) -> SimulationResult:
    """Simulate the policy and placement of the product."""
    cfg = make_settings(scenario)

    def make_policy() -> coordination.Policy:
        return coordination.make_policy(cfg.policy)

    def make_chooser(schedulers: list[coordination.RunnerScheduler]) -> RunnerChooser:
        return PlacementChooser(schedulers, cfg)

    return Simulation(scenario, make_policy, make_chooser, faults, limits).run(arrivals)


def run_baselines(
    scenario: Scenario, arrivals: list[Arrival]
) -> dict[str, SimulationResult]:
    """Simulate FIFO with LRU under two choosers, and the earlier policies."""
    baselines: dict[str, tuple[PolicyFactory, ChooserFactory]] = {
        "fifo_least_loaded": (coordination.FifoLruPolicy, LeastLoadedChooser),
        "fifo_by_hash": (coordination.FifoLruPolicy, HashChooser),
        "first_version": (lambda: FirstPolicy(scenario), HashChooser),
        "second_version": (lambda: SecondPolicy(scenario), HashChooser),
    }
    return {
        name: Simulation(scenario, make, choose, reserves_permit=False).run(arrivals)
        for name, (make, choose) in baselines.items()
    }


def measure_scenario(scenario: Scenario, seed: int) -> dict[str, Any]:
    """Return the measures of a deployment under the policy and the baselines.

    Keys that end in ``_rival`` hold the better result of FIFO with LRU under its two
    choosers, taken for each measure separately.
    """
    arrivals = make_arrivals(seed)
    current = run_current_policy(scenario, arrivals)
    baselines = run_baselines(scenario, arrivals)
    fifo_results = [
        result for name, result in baselines.items() if name.startswith("fifo")
    ]
    without_backlog = run_current_policy(
        scenario, make_arrivals(seed, OfferedLoad(backlog=0))
    )
    measures: dict[str, Any] = {
        "load_stall_s": round(current.load_stall_s, 1),
        "load_stall_s_rival": round(min(fifo.load_stall_s for fifo in fifo_results), 1),
        "load_stall_s_bound": round(bound_load_stall_s(scenario, arrivals), 1),
        "batch_fill": round(current.batch_fill(), 3),
        "batch_fill_rival": round(max(fifo.batch_fill() for fifo in fifo_results), 3),
        "quick_p99_s": round(current.interactive_p99_s(), 2),
        "quick_p99_s_rival": round(
            min(fifo.interactive_p99_s() for fifo in fifo_results), 2
        ),
        "quick_p99_idle_s": round(without_backlog.interactive_p99_s(), 2),
        "last_patient_s": round(current.last_background_s, 1),
        "longest_patient_wait_s": round(current.longest_background_wait_s, 1),
        "loads": current.loads,
        "served": current.served,
    }
    for name in ("first_version", "second_version"):
        measures[f"load_stall_s_{name}"] = round(baselines[name].load_stall_s, 1)
        measures[f"batch_fill_{name}"] = round(baselines[name].batch_fill(), 3)
        measures[f"quick_p99_s_{name}"] = round(baselines[name].interactive_p99_s(), 2)
    measures["seed"] = seed
    return measures


def measure_policy(seed: int, as_json: bool) -> None:
    """Print the measures of every scenario, as a table or as JSON."""
    measures = {
        scenario.name: measure_scenario(scenario, seed) for scenario in SCENARIOS
    }
    if as_json:
        print(json.dumps(measures))
        return
    print(f"{'':30}" + "".join(f"{name:>14}" for name in measures))
    for key in measures["papillon"]:
        print(
            f"{key:30}" + "".join(f"{column[key]:>14}" for column in measures.values())
        )
