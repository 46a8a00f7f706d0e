"""Command line of ``gooseberryrun`` in standalone mode."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from gooseberryrun._internal.settings_cli import handle_settings_options
from gooseberryrun._internal.state import load_settings


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(dir_okay=False, path_type=Path),
    help="TOML file with the settings of this entry VM.",
)
@click.option("--check", is_flag=True, help="Validate the settings and exit.")
@click.option(
    "--print-settings", is_flag=True, help="Print the settings, secrets masked."
)
@click.version_option(package_name="gooseberryrun")
def run(path: Path, check: bool, print_settings: bool) -> None:
    """Serve callers from this entry VM."""
    cfg = handle_settings_options(load_settings(path), check, print_settings)
    if cfg is None:
        return
    from gooseberryrun._internal.app import run_standalone_server

    status = run_standalone_server(cfg)
    sys.stderr.flush()
    # Streams to peers are still open, but nothing is left to finish: exit at once.
    os._exit(status)
