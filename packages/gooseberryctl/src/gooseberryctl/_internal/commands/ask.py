"""``ask``: any sentence of the query and command language."""

from __future__ import annotations

from typing import Any

import click

from gooseberryctl._internal.base_command import BaseCommand
from gooseberryctl._internal.session import Session


class AskCommand(BaseCommand):
    """Sends a sentence as it was typed."""

    name = "ask"
    summary = "Send a sentence, such as: ask show loaded where in_use > 0 sort runner"

    def parameters(self) -> list[click.Parameter]:
        """Take the words of the sentence."""
        return [click.Argument(["words"], nargs=-1, required=True)]

    def run(self, session: Session, **arguments: Any) -> dict[str, Any]:
        """Send the sentence to an entry VM."""
        text = " ".join(arguments["words"])
        return session.post("/operator/v1/command", {"command": text})
