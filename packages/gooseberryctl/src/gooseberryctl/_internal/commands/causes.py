"""``causes``: how the model requests of some logs ended, and why."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, ClassVar, TextIO

import click

from gooseberryctl._internal.base_command import BaseCommand
from gooseberryctl._internal.log_lines import LogReader
from gooseberryctl._internal.request_causes import Cause, CauseReader, RequestOutcome
from gooseberryctl._internal.session import Session

GROUPS = ("route", "vm", "window")


class CausesCommand(BaseCommand):
    """Counts the causes for which model requests were late, refused or failed."""

    name = "causes"
    summary = "Count why model requests were late or lost; - reads standard input."
    needs_server: ClassVar[bool] = False

    def parameters(self) -> list[click.Parameter]:
        """Return what to group by and the log files of any number of VMs."""
        return [
            click.Option(
                ["--by"],
                type=click.Choice(GROUPS),
                default="route",
                help="What a row of the table stands for.",
            ),
            click.Option(
                ["--window-s"],
                type=click.FloatRange(min=0.1),
                default=2.0,
                help="Length of a window in seconds.",
            ),
            click.Argument(["logs"], nargs=-1, required=True, type=click.File("r")),
        ]

    def run(self, session: Session, **arguments: Any) -> dict[str, Any]:
        """Return a row of counts for each group."""
        reader, causes = LogReader(), CauseReader()
        outcomes = _read_outcomes(reader, causes, arguments["logs"])
        key = _grouping(arguments["by"], arguments["window_s"])
        counts: dict[str | float, Counter[Cause]] = {}
        for outcome in outcomes:
            counts.setdefault(key(outcome), Counter())[outcome.cause] += 1
        rows = [_row(arguments["by"], group, counts[group]) for group in sorted(counts)]
        return {"rows": rows, "notes": _notes(reader, causes)}


def _read_outcomes(
    reader: LogReader, causes: CauseReader, logs: tuple[TextIO, ...]
) -> list[RequestOutcome]:
    lines = [line for log in logs for line in reader.read(log.name, log)]
    return list(causes.read(sorted(lines, key=lambda line: line.time)))


def _grouping(by: str, window_s: float) -> Callable[[RequestOutcome], str | float]:
    """Return the function that gives the group of an outcome."""
    if by == "window":
        return lambda outcome: outcome.second // window_s * window_s
    return lambda outcome: outcome.route if by == "route" else outcome.vm


def _row(by: str, group: str | float, counts: Counter[Cause]) -> dict[str, Any]:
    row: dict[str, Any] = {by: group, "requests": counts.total()}
    return row | {cause.value: counts[cause] for cause in Cause}


def _notes(reader: LogReader, causes: CauseReader) -> list[str]:
    notes = []
    if reader.unreadable:
        notes.append(f"{reader.unreadable} lines were no events")
    if causes.incomplete:
        notes.append(f"{causes.incomplete} lines lack figures")
    return notes
