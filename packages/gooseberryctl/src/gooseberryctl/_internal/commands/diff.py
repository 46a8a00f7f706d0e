"""``diff``: the changes that ``apply`` would make."""

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
    """Compares a configuration file with the active configuration."""

    name = "diff"
    summary = "Show what applying a configuration file would change."

    def parameters(self) -> list[click.Parameter]:
        """Return the file argument."""
        kind = click.Path(exists=True, dir_okay=False, path_type=Path)
        return [click.Argument(["file"], type=kind)]

    def run(self, session: Session, **arguments: Any) -> dict[str, Any]:
        """Return the operations and the revision that they are based on."""
        declared = read_declarations(arguments["file"])
        active, revision = fetch_tables(session)
        return {"rows": find_changes(declared, active), "revision": revision}
