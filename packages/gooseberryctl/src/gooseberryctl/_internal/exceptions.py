"""Errors that end a command, with their exit codes."""

from __future__ import annotations

import click

EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4
EXIT_UNKNOWN = 5


class RefusedError(click.ClickException):
    """The system refused the command; it had no effect."""

    exit_code = EXIT_REFUSED


class UnknownOutcomeError(click.ClickException):
    """The command may or may not have taken effect."""

    exit_code = EXIT_UNKNOWN


class UnreachableError(click.ClickException):
    """No entry VM answered."""

    exit_code = EXIT_UNREACHABLE
