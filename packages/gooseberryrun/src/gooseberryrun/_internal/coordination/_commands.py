"""Operator commands and their results."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from gooseberryrun._internal.state import ConfigOp, RunOutcome

Row = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Condition:
    """Comparison of a column with a value; ``op`` is =, !=, <, > or ~ (contains)."""

    column: str
    op: str
    value: str


@dataclass(frozen=True, slots=True)
class Show:
    """Query of one section of the operator view."""

    section: str
    conditions: list[Condition] = field(default_factory=list)
    sort: str = ""
    descending: bool = False
    limit: int = 0


@dataclass(frozen=True, slots=True)
class Change:
    """Change of the configuration; ``expected`` is the revision it is based on."""

    ops: list[ConfigOp]
    expected: int | None = None


@dataclass(frozen=True, slots=True)
class Stop:
    """Graceful shutdown of an entry VM."""

    vm: str


@dataclass(frozen=True, slots=True)
class Settle:
    """Outcome that an operator found for a request whose outcome is unknown."""

    key: str
    outcome: RunOutcome


Command = Show | Change | Stop | Settle


@dataclass(frozen=True, slots=True)
class CommandResult:
    """Rows that a command returns.

    ``missing`` names the VMs whose state is not included; ``age_s`` is the age of the
    oldest state that is.
    """

    rows: list[Row]
    missing: list[str] = field(default_factory=list)
    age_s: float = 0.0
    revision: int = -1


@dataclass(frozen=True, slots=True)
class CommandError:
    """Failed command; ``outcome`` is ``not_run`` if it certainly had no effect."""

    code: str
    detail: str
    outcome: RunOutcome = RunOutcome.NOT_RUN


def _compare(condition: Condition, row: Row) -> bool:
    value = row.get(condition.column)
    if condition.op == "~":
        return condition.value in str(value)
    if condition.op in ("<", ">"):
        try:
            left, right = float(str(value)), float(condition.value)
        except ValueError:
            return False
        return left < right if condition.op == "<" else left > right
    return (str(value) == condition.value) is (condition.op == "=")


def select_rows(show: Show, rows: list[Row]) -> list[Row]:
    """Apply the conditions, sort order and limit of a query to rows."""
    picked = [row for row in rows if all(_compare(c, row) for c in show.conditions)]
    if show.sort:
        key: Callable[[Row], Any] = _sort_key(show.sort)
        picked.sort(key=key, reverse=show.descending)
    return picked[: show.limit] if show.limit else picked


def _sort_key(column: str) -> Callable[[Row], tuple[int, float, str]]:
    def key(row: Row) -> tuple[int, float, str]:
        value = row.get(column)
        if isinstance(value, int | float):
            return (0, float(value), "")
        return (1, 0.0, str(value))

    return key
