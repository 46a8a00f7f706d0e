"""``diff``: what a file of declarations would change."""

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


class DiffCommand(BaseCommand):
    """Compares declarations with the configuration in force."""

    name = "diff"
    summary = "Show what a file of declarations would change."

    def parameters(self) -> list[click.Parameter]:
        """Take the file."""
        kind = click.Path(exists=True, dir_okay=False, path_type=Path)
        return [click.Argument(["file"], type=kind)]

    def run(self, session: Session, **arguments: Any) -> dict[str, Any]:
        """Return the operations and the revision they were computed against."""
        wanted = read_declarations(arguments["file"])
        found, revision = fetch_tables(session)
        return {"rows": find_changes(wanted, found), "revision": revision}
