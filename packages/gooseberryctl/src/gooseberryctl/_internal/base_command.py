"""Base class of the commands."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any, ClassVar

import click

from .output import print_result
from .session import Session


class BaseCommand(ABC):
    """One command of the line; ``name`` and ``summary`` appear in the help."""

    name: ClassVar[str]
    summary: ClassVar[str]

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
            print_result(self.run(session, **arguments), session.as_json)

        return click.Command(
            self.name,
            callback=callback,
            params=self.parameters(),
            help=self.summary,
        )
