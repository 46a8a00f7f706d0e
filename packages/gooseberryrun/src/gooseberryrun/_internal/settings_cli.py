"""What the commands that start an entry VM do with their settings."""

from __future__ import annotations

import json
import sys
from typing import TypeVar

import click
from result import Err, Result

from gooseberryrun._internal.state import NodeSettings

EXIT_BAD_SETTINGS = 78
S = TypeVar("S", bound=NodeSettings)


def handle_settings_options(
    loaded: Result[S, list[str]], check: bool, print_settings: bool
) -> S | None:
    """Return the settings to serve by; None if they were only to be looked at.

    Faults end the process with ``EXIT_BAD_SETTINGS``, a line for each.
    """
    if isinstance(loaded, Err):
        for fault in loaded.err_value:
            click.echo(f"error: {fault}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    cfg = loaded.ok_value
    if print_settings:
        click.echo(json.dumps(cfg.model_dump(mode="json"), indent=2))
    return None if check or print_settings else cfg
