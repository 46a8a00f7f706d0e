"""Printing of command results as a table or as JSON."""

from __future__ import annotations

import json
from typing import Any

import click
from tabulate import tabulate


def print_result(result: dict[str, Any], as_json: bool) -> None:
    """Print a result as one JSON object, or its rows as a table.

    With a table, missing VMs, notes and the revision go to standard error.
    """
    if as_json:
        click.echo(json.dumps(result, indent=2, sort_keys=True))
        return
    rows = result.get("rows", [])
    if rows:
        click.echo(tabulate(rows, headers="keys", tablefmt="plain"))
    else:
        click.echo("(no rows)")
    for vm in result.get("missing", []):
        click.echo(f"missing: {vm} did not answer", err=True)
    for note in result.get("notes", []):
        click.echo(f"note: {note}", err=True)
    if "revision" not in result:
        return
    click.echo(
        f"revision {result.get('revision')}, knowledge at most "
        f"{result.get('age_s', 0.0):.1f} s old",
        err=True,
    )
