"""The policy under faults, under overload, and with other shares of quick work."""

from __future__ import annotations

import gooseberryrun._internal.state as state

from .policy import run_ours, run_rivals
from .simulation import Fault, Limits, Score
from .workload import SCENARIOS, Load, Scenario, make_arrivals

FAULTS = {
    "none": (),
    "a runner lost for 2 minutes": (Fault(60.0, 180.0, runner=0),),
    "3 of 10 loads fail for 5 minutes": (Fault(60.0, 360.0, load_failures=0.3),),
    "store 4 times slower for 5 minutes": (Fault(60.0, 360.0, store_factor=4.0),),
}
EARLY_SHIFT_S = 300.0
QUICK_RATES_PER_S = (0.0, 0.3, 0.75, 1.5)
OVERLOAD_RATES_PER_S = (2.0, 4.0, 8.0, 16.0, 32.0)
OVERLOAD_FACTORS = (1.0, 2.0, 5.0)
OVERLOAD_HORIZON_S = 300.0


def measure_faults(seed: int) -> None:
    """Print both measures under each fault, next to the undisturbed ones."""
    for scenario in SCENARIOS:
        arrivals = make_arrivals(seed)
        for name, faults in FAULTS.items():
            _print_row(scenario, name, run_ours(scenario, arrivals, faults))
        shifted = make_arrivals(seed, Load(shift_s=EARLY_SHIFT_S))
        _print_row(
            scenario, "popularity shifts twice as often", run_ours(scenario, shifted)
        )


def measure_quick_rates(seed: int) -> None:
    """Print both measures for other rates of quick completions, with the rivals'."""
    for scenario in SCENARIOS:
        for rate in QUICK_RATES_PER_S:
            arrivals = make_arrivals(seed, Load(quick_per_s=rate))
            _print_row(scenario, f"{rate} quick/s", run_ours(scenario, arrivals))
            for name, score in run_rivals(scenario, arrivals).items():
                _print_row(scenario, f"  {name}", score)


def measure_overload(seed: int) -> None:
    """Print the goodput of quick work at multiples of what the runners can do."""
    for scenario in SCENARIOS:
        peak = max(_goodput(scenario, seed, rate) for rate in OVERLOAD_RATES_PER_S)
        print(f"{scenario.name}: peak goodput {peak:.2f} requests/s")
        for factor in OVERLOAD_FACTORS:
            score = _overload(scenario, seed, peak * factor)
            goodput = score.served_in_horizon / OVERLOAD_HORIZON_S
            print(
                f"  offered {factor:.0f} x: goodput {goodput:.2f} "
                f"({goodput / peak:.2f} of the peak), "
                f"p99 wait {score.quick_p99_s():.1f} s, refused at once "
                f"{score.refused_at_once}, after the wait {score.refused_late}"
            )


def _goodput(scenario: Scenario, seed: int, rate: float) -> float:
    score = _overload(scenario, seed, rate)
    return score.served_in_horizon / OVERLOAD_HORIZON_S


def _overload(scenario: Scenario, seed: int, rate: float) -> Score:
    limits = state.LimitSettings()
    load = Load(
        backlog=0,
        quick_per_s=rate,
        patient_per_s=0.0,
        shift_s=OVERLOAD_HORIZON_S,
        horizon_s=OVERLOAD_HORIZON_S,
    )
    bounds = Limits(limits.queue_per_runner, limits.grant_wait_s, OVERLOAD_HORIZON_S)
    return run_ours(scenario, make_arrivals(seed, load), limits=bounds)


def _print_row(scenario: Scenario, name: str, score: Score) -> None:
    print(
        f"{scenario.name:9} {name:36} stall {score.load_stall_s:9.0f} s  "
        f"fill {score.batch_fill():.3f}  quick p99 {score.quick_p99_s():6.2f} s  "
        f"longest patient wait {score.longest_patient_wait_s:6.0f} s"
    )
