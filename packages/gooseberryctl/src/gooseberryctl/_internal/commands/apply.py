"""``apply``: put a file of declarations in force."""

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
"""Operations in one change; larger differences take several changes in turn."""


class ApplyCommand(BaseCommand):
    """Changes the configuration to what a file declares."""

    name = "apply"
    summary = "Put a file of declarations in force, against an expected revision."

    def parameters(self) -> list[click.Parameter]:
        """Take the file and the revision that ``diff`` showed."""
        kind = click.Path(exists=True, dir_okay=False, path_type=Path)
        return [
            click.Argument(["file"], type=kind),
            click.Option(
                ["--expect"],
                type=int,
                help="Revision that must be in force; default: the one found now.",
            ),
        ]

    def run(self, session: Session, **arguments: Any) -> dict[str, Any]:
        """Send the difference; a change by somebody else meanwhile refuses it."""
        wanted = read_declarations(arguments["file"])
        found, revision = fetch_tables(session)
        given = arguments["expect"]
        expected = revision if given is None else given
        ops = find_changes(wanted, found)
        result: dict[str, Any] = {"rows": [], "revision": revision}
        for start in range(0, len(ops), MAX_OPS):
            body = {"ops": ops[start : start + MAX_OPS], "expected": expected}
            result = session.post("/operator/v1/apply", body)
            expected = int(result["revision"])
        return result
