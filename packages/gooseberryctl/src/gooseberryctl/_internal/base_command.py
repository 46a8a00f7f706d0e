"""Base class of the commands."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any, ClassVar

import click

from .output import print_result
from .session import Session


class BaseCommand(ABC):
    """One command of the line; ``name`` and ``summary`` appear in the help.

    One that ``needs_server`` is refused without an entry VM and a token.
    """

    name: ClassVar[str]
    summary: ClassVar[str]
    needs_server: ClassVar[bool] = True

    def parameters(self) -> list[click.Parameter]:
        """Return the arguments and options of the command."""
        return []

    @abstractmethod
    def run(self, session: Session, **arguments: Any) -> dict[str, Any]:
        """Carry out the command and return the result to print."""

    def to_click(self) -> click.Command:
        """Return the command in the form that click dispatches."""

        @click.pass_context
        def callback(context: click.Context, /, **arguments: Any) -> None:
            session: Session = context.obj
            if self.needs_server:
                _require_server(context, session)
            print_result(self.run(session, **arguments), session.as_json)

        return click.Command(
            self.name,
            callback=callback,
            params=self.parameters(),
            help=self.summary,
        )


def _require_server(context: click.Context, session: Session) -> None:
    """End with a usage error if the command cannot reach any entry VM."""
    for option, given in (("--server", session.servers), ("--token", session.token)):
        if not given:
            raise click.UsageError(f"Missing option '{option}'.", context.parent)
