"""``ask``: any statement of the query and command language."""

from __future__ import annotations

from typing import Any

import click

from gooseberryctl._internal.base_command import BaseCommand
from gooseberryctl._internal.session import Session


class AskCommand(BaseCommand):
    """Sends a statement unparsed."""

    name = "ask"
    summary = "Send a statement, such as: ask show loaded where in_use > 0 sort runner"

    def parameters(self) -> list[click.Parameter]:
        """Return the words of the statement."""
        return [click.Argument(["words"], nargs=-1, required=True)]

    def run(self, session: Session, **arguments: Any) -> dict[str, Any]:
        """Send the statement to an entry VM and return its result."""
        text = " ".join(arguments["words"])
        return session.post("/operator/v1/command", {"command": text})
