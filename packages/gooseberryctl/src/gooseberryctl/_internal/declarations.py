"""Configuration files in TOML, and their difference from the running configuration.

Tables are ``adapters``, ``rules`` and ``services``; each key is a table of its fields::

    [adapters."fold-crane@2"]
    [rules."service/orders/bookings"]
    class = "once"
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import click

from .session import Session

TABLES = ("adapters", "rules", "services")
Tables = dict[str, dict[str, dict[str, Any]]]


def read_declarations(path: Path) -> Tables:
    """Read a configuration file.

    Raises `click.UsageError` if it cannot be read or has unknown tables or values that
    are not tables.
    """
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise click.UsageError(f"{path}: {exc}") from exc
    for table, entries in raw.items():
        if table not in TABLES:
            known = ", ".join(TABLES)
            raise click.UsageError(f"{path}: {table}: unknown table; use {known}")
        for key, value in entries.items():
            if not isinstance(value, dict):
                raise click.UsageError(f"{path}: {table}.{key}: must be a table")
    return {table: raw.get(table, {}) for table in TABLES}


def fetch_tables(session: Session) -> tuple[Tables, int]:
    """Return the active tables and their lowest revision."""
    tables: Tables = {}
    revisions = set()
    for table in TABLES:
        command = {"command": f"show {table}"}
        result = session.post("/operator/v1/command", command)
        revisions.add(int(result["revision"]))
        rows = [dict(row) for row in result["rows"]]
        tables[table] = {str(row.pop("key")): row for row in rows}
    # Against the lowest revision, an apply is rejected if the configuration changed
    # between the queries.
    return tables, min(revisions)


def find_changes(declared: Tables, active: Tables) -> list[dict[str, Any]]:
    """Return the operations that turn ``active`` into ``declared``."""
    ops: list[dict[str, Any]] = []
    for table in TABLES:
        for key, value in sorted(declared[table].items()):
            if active[table].get(key) != value:
                ops.append({"op": "put", "table": table, "key": key, "value": value})
        for key in sorted(set(active[table]) - set(declared[table])):
            ops.append({"op": "remove", "table": table, "key": key})
    return ops
