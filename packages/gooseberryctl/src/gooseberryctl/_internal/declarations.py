"""Declarations of the configuration, kept in version control as TOML.

Tables are ``adapters``, ``rules`` and ``services``; each key holds its value::

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
    """Read a file of declarations."""
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
    """Return the tables in force and their revision."""
    tables: Tables = {}
    revisions = set()
    for table in TABLES:
        command = {"command": f"show {table}"}
        result = session.post("/operator/v1/command", command)
        revisions.add(int(result["revision"]))
        rows = [dict(row) for row in result["rows"]]
        tables[table] = {str(row.pop("key")): row for row in rows}
    # The smallest revision makes a change that slipped in between fail the apply.
    return tables, min(revisions)


def find_changes(wanted: Tables, found: Tables) -> list[dict[str, Any]]:
    """Return the operations that turn ``found`` into ``wanted``."""
    ops: list[dict[str, Any]] = []
    for table in TABLES:
        for key, value in sorted(wanted[table].items()):
            if found[table].get(key) != value:
                ops.append({"op": "put", "table": table, "key": key, "value": value})
        for key in sorted(set(found[table]) - set(wanted[table])):
            ops.append({"op": "remove", "table": table, "key": key})
    return ops
