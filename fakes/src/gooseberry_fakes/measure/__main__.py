"""Command line of ``tools/measure``."""

from __future__ import annotations

import click

from .confirm import measure_confirm
from .disturbances import measure_faults, measure_overload, measure_quick_rates
from .growth import measure_growth
from .overhead import measure_overhead
from .policy import measure_policy
from .recovery import measure_recovery
from .slopes import measure_slopes


@click.group()
def main() -> None:
    """Measure on this machine, with small stand-ins."""


@main.command()
@click.option("--count", default=2000, help="Requests for each way.")
def overhead(count: int) -> None:
    """Measure the cost of one entry VM against the engine alone."""
    measure_overhead(count)


@main.command()
@click.option("--only", default="", help="Word in the name of the series.")
@click.option("--json", "as_json", is_flag=True)
def slopes(only: str, as_json: bool) -> None:
    """Measure the cost of a node against the sizes that will grow."""
    measure_slopes(only, as_json)


@main.command()
def growth() -> None:
    """Measure a choice of a runner and a message against the size of the fleet."""
    measure_growth()


@main.command()
def recovery() -> None:
    """Measure the time from a failure until work flows again."""
    measure_recovery()


@main.command()
@click.option("--seed", default=1)
@click.option("--json", "as_json", is_flag=True)
@click.option("--faults", is_flag=True, help="Under faults instead.")
@click.option("--overload", is_flag=True, help="Under overload instead.")
@click.option("--quick-rates", is_flag=True, help="With other quick rates instead.")
def policy(
    seed: int, as_json: bool, faults: bool, overload: bool, quick_rates: bool
) -> None:
    """Measure the policy against its rivals in virtual time."""
    if faults:
        measure_faults(seed)
    elif overload:
        measure_overload(seed)
    elif quick_rates:
        measure_quick_rates(seed)
    else:
        measure_policy(seed, as_json)


@main.command()
@click.option("--seed", default=1)
def confirm(seed: int) -> None:
    """Run a short Monday through real processes, to confirm the order of results."""
    measure_confirm(seed)


if __name__ == "__main__":
    main()
