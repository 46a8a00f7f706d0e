"""Command line of ``tools/measure``."""

from __future__ import annotations

import click

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
def recovery() -> None:
    """Measure the time from a failure until work flows again."""
    measure_recovery()


@main.command()
@click.option("--seed", default=1)
@click.option("--json", "as_json", is_flag=True)
def policy(seed: int, as_json: bool) -> None:
    """Measure the policy against its rival in virtual time."""
    measure_policy(seed, as_json)


if __name__ == "__main__":
    main()
