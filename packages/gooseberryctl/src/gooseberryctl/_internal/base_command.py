"""Base class of the subcommands."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any, ClassVar

import click

from .output import print_result
from .session import Session


class BaseCommand(ABC):
    """One subcommand; ``name`` and ``summary`` appear in the help.

    With ``needs_server``, running it without an entry VM or a token is a usage error.
    """

    name: ClassVar[str]
    summary: ClassVar[str]
    needs_server: ClassVar[bool] = True

    def parameters(self) -> list[click.Parameter]:
        """Return the arguments and options of the subcommand."""
        return []

    @abstractmethod
    def run(self, session: Session, **arguments: Any) -> dict[str, Any]:
        """Run the subcommand and return the result to print."""

    def exit_code(self, result: dict[str, Any]) -> int:
        """Return the exit code of a result."""
        return 0

    def to_click(self) -> click.Command:
        """Return the subcommand as a click command."""

        @click.pass_context
        def callback(context: click.Context, /, **arguments: Any) -> None:
            session: Session = context.obj
            if self.needs_server:
                _require_server(context, session)
            result = self.run(session, **arguments)
            print_result(result, session.as_json)
            context.exit(self.exit_code(result))

        return click.Command(
            self.name,
            callback=callback,
            params=self.parameters(),
            help=self.summary,
        )


def _require_server(context: click.Context, session: Session) -> None:
    """Raise a usage error if no entry VM or no token is given."""
    for option, value in (("--server", session.servers), ("--token", session.token)):
        if not value:
            raise click.UsageError(f"Missing option '{option}'.", context.parent)
