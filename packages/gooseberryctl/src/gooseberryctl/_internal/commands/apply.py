"""``apply``: make a configuration file the active configuration."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from gooseberryctl._internal.base_command import BaseCommand
from gooseberryctl._internal.declarations import (
    fetch_tables,
    find_changes,
    read_declarations,
)
from gooseberryctl._internal.session import Session

MAX_OPS = 2000
"""Most operations of one change; a larger difference is sent as several changes."""


class ApplyCommand(BaseCommand):
    """Changes the active configuration to that of a file."""

    name = "apply"
    summary = "Make a configuration file active, against an expected revision."

    def parameters(self) -> list[click.Parameter]:
        """Return the file and the expected revision, such as ``diff`` shows."""
        kind = click.Path(exists=True, dir_okay=False, path_type=Path)
        return [
            click.Argument(["file"], type=kind),
            click.Option(
                ["--expect"],
                type=int,
                help="Revision that must be active; default: the current one.",
            ),
        ]

    def run(self, session: Session, **arguments: Any) -> dict[str, Any]:
        """Send the difference; it is rejected if another change was made meanwhile."""
        declared = read_declarations(arguments["file"])
        active, revision = fetch_tables(session)
        option = arguments["expect"]
        expected = revision if option is None else option
        ops = find_changes(declared, active)
        result: dict[str, Any] = {"rows": [], "revision": revision}
        for start in range(0, len(ops), MAX_OPS):
            body = {"ops": ops[start : start + MAX_OPS], "expected": expected}
            result = session.post("/operator/v1/apply", body)
            expected = int(result["revision"])
        return result
