"""The policy under faults, under overload and at other rates of interactive work."""

from __future__ import annotations

import gooseberryrun._internal.state as state

from .policy import run_baselines, run_current_policy
from .simulation import Fault, InteractiveLimits, SimulationResult
from .workload import SCENARIOS, OfferedLoad, Scenario, make_arrivals

FAULTS = {
    "none": (),
    "a runner lost for 2 minutes": (Fault(60.0, 180.0, runner=0),),
    "3 of 10 loads fail for 5 minutes": (Fault(60.0, 360.0, load_failures=0.3),),
    "store 4 times slower for 5 minutes": (Fault(60.0, 360.0, store_factor=4.0),),
}
SHORT_SHIFT_INTERVAL_S = 300.0
INTERACTIVE_RATES_PER_S = (0.0, 0.3, 0.75, 1.5)
OVERLOAD_RATES_PER_S = (2.0, 4.0, 8.0, 16.0, 32.0)
OVERLOAD_FACTORS = (1.0, 2.0, 5.0)
OVERLOAD_HORIZON_S = 300.0


def measure_faults(seed: int) -> None:
    """Print the measures under each fault, and under faster popularity shifts."""
    for scenario in SCENARIOS:
        arrivals = make_arrivals(seed)
        for name, faults in FAULTS.items():
            _print_row(scenario, name, run_current_policy(scenario, arrivals, faults))
        shifted = make_arrivals(
            seed, OfferedLoad(shift_interval_s=SHORT_SHIFT_INTERVAL_S)
        )
        _print_row(
            scenario,
            "popularity shifts twice as often",
            run_current_policy(scenario, shifted),
        )


def measure_interactive_rates(seed: int) -> None:
    """Print the measures of policy and baselines at other interactive rates."""
    for scenario in SCENARIOS:
        for rate in INTERACTIVE_RATES_PER_S:
            arrivals = make_arrivals(seed, OfferedLoad(interactive_per_s=rate))
            _print_row(
                scenario, f"{rate} quick/s", run_current_policy(scenario, arrivals)
            )
            for name, result in run_baselines(scenario, arrivals).items():
                _print_row(scenario, f"  {name}", result)


def measure_overload(seed: int) -> None:
    """Print the goodput at multiples of the best one at ``OVERLOAD_RATES_PER_S``.

    Only interactive work is offered.
    """
    for scenario in SCENARIOS:
        peak = max(
            _measure_goodput(scenario, seed, rate) for rate in OVERLOAD_RATES_PER_S
        )
        print(f"{scenario.name}: peak goodput {peak:.2f} requests/s")
        for factor in OVERLOAD_FACTORS:
            result = _run_overload(scenario, seed, peak * factor)
            goodput = result.served_in_horizon / OVERLOAD_HORIZON_S
            print(
                f"  offered {factor:.0f} x: goodput {goodput:.2f} "
                f"({goodput / peak:.2f} of the peak), "
                f"p99 wait {result.interactive_p99_s():.1f} s, refused at once "
                f"{result.refused_on_arrival}, after the wait "
                f"{result.refused_after_wait}"
            )


def _measure_goodput(scenario: Scenario, seed: int, rate: float) -> float:
    result = _run_overload(scenario, seed, rate)
    return result.served_in_horizon / OVERLOAD_HORIZON_S


def _run_overload(scenario: Scenario, seed: int, rate: float) -> SimulationResult:
    limits = state.LimitSettings()
    load = OfferedLoad(
        backlog=0,
        interactive_per_s=rate,
        background_per_s=0.0,
        shift_interval_s=OVERLOAD_HORIZON_S,
        horizon_s=OVERLOAD_HORIZON_S,
    )
    bounds = InteractiveLimits(
        limits.queue_per_runner, limits.grant_wait_s, OVERLOAD_HORIZON_S
    )
    return run_current_policy(scenario, make_arrivals(seed, load), limits=bounds)


def _print_row(scenario: Scenario, name: str, result: SimulationResult) -> None:
    print(
        f"{scenario.name:9} {name:36} stall {result.load_stall_s:9.0f} s  "
        f"fill {result.batch_fill():.3f}  "
        f"quick p99 {result.interactive_p99_s():6.2f} s  "
        f"longest patient wait {result.longest_background_wait_s:6.0f} s"
    )
