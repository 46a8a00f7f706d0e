"""Command line of ``tools/measure``."""

from __future__ import annotations

import click

from .overhead import measure_overhead


@click.group()
def main() -> None:
    """Measure on this machine, with small stand-ins."""


@main.command()
@click.option("--count", default=2000, help="Requests for each way.")
def overhead(count: int) -> None:
    """Measure the cost of one entry VM against the engine alone."""
    measure_overhead(count)


if __name__ == "__main__":
    main()
