"""Command line of ``tools/measure``."""

from __future__ import annotations

import click

from .confirm import measure_short_run
from .decisions import measure_decisions
from .disturbances import measure_faults, measure_interactive_rates, measure_overload
from .growth import measure_growth
from .overhead import measure_overhead
from .policy import measure_policy
from .recovery import measure_recovery
from .slopes import measure_slopes


@click.group()
def main() -> None:
    """Measure on this machine, with stand-ins for engines and platform."""


@main.command()
@click.option("--count", default=2000, help="Requests for each request path.")
def overhead(count: int) -> None:
    """Measure the cost of a request through an entry VM against a direct call."""
    measure_overhead(count)


@main.command()
@click.option("--only", default="", help="Word in the name of the series.")
@click.option("--json", "as_json", is_flag=True)
def slopes(only: str, as_json: bool) -> None:
    """Measure the cost of an entry VM as each dimension of a deployment grows."""
    measure_slopes(only, as_json)


@main.command()
def growth() -> None:
    """Measure choosing a runner and a gossip message by the size of the fleet."""
    measure_growth()


@main.command()
def recovery() -> None:
    """Measure the time from a failure until the work is served again."""
    measure_recovery()


@main.command()
@click.option("--seed", default=1)
@click.option("--json", "as_json", is_flag=True)
@click.option("--faults", is_flag=True, help="Measure under faults instead.")
@click.option("--overload", is_flag=True, help="Measure under overload instead.")
@click.option(
    "--quick-rates",
    is_flag=True,
    help="Measure at other rates of interactive requests instead.",
)
def policy(
    seed: int, as_json: bool, faults: bool, overload: bool, quick_rates: bool
) -> None:
    """Measure the policy against its baselines in virtual time."""
    if faults:
        measure_faults(seed)
    elif overload:
        measure_overload(seed)
    elif quick_rates:
        measure_interactive_rates(seed)
    else:
        measure_policy(seed, as_json)


@main.command()
@click.option("--seeds", default=12, help="Seeds for each scenario and variant.")
@click.option("--jobs", default=3, help="Processes that play at the same time.")
def decisions(seeds: int, jobs: int) -> None:
    """Measure what each decision about model requests is worth, in virtual time."""
    measure_decisions(seeds, jobs)


@main.command()
@click.option("--seed", default=1)
def confirm(seed: int) -> None:
    """Run a short workload through real processes to confirm simulated results."""
    measure_short_run(seed)


if __name__ == "__main__":
    main()
