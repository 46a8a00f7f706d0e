"""Errors that end a command, with their exit codes."""

from __future__ import annotations

import click

EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4
EXIT_UNKNOWN = 5


class RefusedError(click.ClickException):
    """The command was rejected and had no effect."""

    exit_code = EXIT_REFUSED


class UnknownOutcomeError(click.ClickException):
    """The command may or may not have taken effect."""

    exit_code = EXIT_UNKNOWN


class UnreachableError(click.ClickException):
    """No connection to any entry VM could be opened."""

    exit_code = EXIT_UNREACHABLE
