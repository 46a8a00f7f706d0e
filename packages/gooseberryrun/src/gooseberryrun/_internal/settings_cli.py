"""Settings options shared by the commands that start an entry VM."""

from __future__ import annotations

import json
import sys
from typing import TypeVar

import click
from result import Err, Result

from gooseberryrun._internal.state import NodeSettings

EXIT_BAD_SETTINGS = 78
SettingsT = TypeVar("SettingsT", bound=NodeSettings)


def handle_settings_options(
    loaded: Result[SettingsT, list[str]], check: bool, print_settings: bool
) -> SettingsT | None:
    """Return the settings, or None if they were only to be checked or printed.

    Invalid settings end the process with ``EXIT_BAD_SETTINGS``, after one line on
    standard error for each invalid setting.
    """
    if isinstance(loaded, Err):
        for error in loaded.err_value:
            click.echo(f"error: {error}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    cfg = loaded.ok_value
    if print_settings:
        click.echo(json.dumps(cfg.model_dump(), indent=2))
    return None if check or print_settings else cfg
