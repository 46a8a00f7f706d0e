"""Command line of ``gooseberryrun``."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path

import click
from result import Err

from gooseberryrun._internal.state import load_settings

EXIT_BAD_SETTINGS = 78


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
    "--print-settings", is_flag=True, help="Print what is in force, without secrets."
)
@click.version_option(package_name="gooseberryrun")
def run(path: Path, check: bool, print_settings: bool) -> None:
    """Serve callers from this entry VM."""
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        for fault in loaded.err_value:
            click.echo(f"error: {fault}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    cfg = loaded.ok_value
    if print_settings:
        click.echo(json.dumps(cfg.model_dump(mode="json"), indent=2))
    if check or print_settings:
        return
    from gooseberryrun._internal.app import run_server

    status = run_server(cfg)
    sys.stderr.flush()
    # Streams to peers stay open; nothing is left to finish here.
    os._exit(status)
