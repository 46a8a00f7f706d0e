"""The policy against its rivals on a seeded Monday morning, in virtual time."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import gooseberryrun._internal.coordination as coordination
import gooseberryrun._internal.state as state

from .bounds import bound_load_stall_s
from .earlier_policies import FirstPolicy, SecondPolicy
from .simulation import (
    ByHash,
    Chooser,
    Fault,
    LeastLoaded,
    Limits,
    Placed,
    Score,
    Simulation,
)
from .workload import SCENARIOS, Arrival, Load, Scenario, make_arrivals

MakeChooser = Callable[[list[coordination.RunnerScheduler]], Chooser]
MakePolicy = Callable[[], coordination.Policy]


def make_settings(scenario: Scenario) -> state.Settings:
    """Return the settings of a deployment: only the weights and the store differ."""
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


def run_ours(
    scenario: Scenario,
    arrivals: list[Arrival],
    faults: tuple[Fault, ...] = (),
    limits: Limits | None = None,
) -> Score:
    """Run the decisions that ship."""
    cfg = make_settings(scenario)

    def make_policy() -> coordination.Policy:
        return coordination.make_policy(cfg.policy)

    def place(books: list[coordination.RunnerScheduler]) -> Chooser:
        return Placed(books, cfg)

    return Simulation(scenario, make_policy, place, faults, limits).run(arrivals)


def run_rivals(scenario: Scenario, arrivals: list[Arrival]) -> dict[str, Score]:
    """Run FIFO with LRU under both placements, and the earlier versions."""
    rivals: dict[str, tuple[MakePolicy, MakeChooser]] = {
        "fifo_least_loaded": (coordination.FifoLruPolicy, LeastLoaded),
        "fifo_by_hash": (coordination.FifoLruPolicy, ByHash),
        "first_version": (lambda: FirstPolicy(scenario), ByHash),
        "second_version": (lambda: SecondPolicy(scenario), ByHash),
    }
    return {
        name: Simulation(scenario, make, choose, keeps_permit=False).run(arrivals)
        for name, (make, choose) in rivals.items()
    }


def measure_scenario(scenario: Scenario, seed: int) -> dict[str, Any]:
    """Return the measures of a deployment under the policy and its rivals.

    The rival is FIFO with LRU; of its two placements the better counts, measure by
    measure.
    """
    arrivals = make_arrivals(seed)
    ours = run_ours(scenario, arrivals)
    rivals = run_rivals(scenario, arrivals)
    plain = [score for name, score in rivals.items() if name.startswith("fifo")]
    quiet = run_ours(scenario, make_arrivals(seed, Load(backlog=0)))
    found: dict[str, Any] = {
        "load_stall_s": round(ours.load_stall_s, 1),
        "load_stall_s_rival": round(min(one.load_stall_s for one in plain), 1),
        "load_stall_s_bound": round(bound_load_stall_s(scenario, arrivals), 1),
        "batch_fill": round(ours.batch_fill(), 3),
        "batch_fill_rival": round(max(one.batch_fill() for one in plain), 3),
        "quick_p99_s": round(ours.quick_p99_s(), 2),
        "quick_p99_s_rival": round(min(one.quick_p99_s() for one in plain), 2),
        "quick_p99_idle_s": round(quiet.quick_p99_s(), 2),
        "last_patient_s": round(ours.last_patient_s, 1),
        "longest_patient_wait_s": round(ours.longest_patient_wait_s, 1),
        "loads": ours.loads,
        "served": ours.served,
    }
    for name in ("first_version", "second_version"):
        found[f"load_stall_s_{name}"] = round(rivals[name].load_stall_s, 1)
        found[f"batch_fill_{name}"] = round(rivals[name].batch_fill(), 3)
        found[f"quick_p99_s_{name}"] = round(rivals[name].quick_p99_s(), 2)
    found["seed"] = seed
    return found


def measure_policy(seed: int, as_json: bool) -> None:
    """Print both deployments' measures."""
    found = {one.name: measure_scenario(one, seed) for one in SCENARIOS}
    if as_json:
        print(json.dumps(found))
        return
    print(f"{'':30}" + "".join(f"{name:>14}" for name in found))
    for key in found["papillon"]:
        print(f"{key:30}" + "".join(f"{one[key]:>14}" for one in found.values()))
