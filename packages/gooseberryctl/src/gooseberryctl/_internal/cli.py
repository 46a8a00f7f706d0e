"""Command line of ``gooseberryctl``."""

from __future__ import annotations

import click

from .commands import COMMANDS
from .session import Session


@click.pass_context
def _create_session(
    context: click.Context, server: tuple[str, ...], token: str, as_json: bool
) -> None:
    servers = tuple(address for value in server for address in value.split(","))
    context.obj = Session(servers, token, as_json)


def make_cli() -> click.Group:
    """Return the command group with every registered command."""
    options: list[click.Parameter] = [
        click.Option(
            ["--server"],
            multiple=True,
            envvar="GOOSEBERRYCTL_SERVER",
            help="address:port of an entry VM; several are tried in turn.",
        ),
        click.Option(
            ["--token"],
            default="",
            envvar="GOOSEBERRYCTL_TOKEN",
            help="Operator token; better given by the environment.",
        ),
        click.Option(
            ["--json", "as_json"], is_flag=True, help="Print JSON for programs."
        ),
    ]
    group = click.Group(
        "gooseberryctl",
        callback=_create_session,
        params=options,
        help="Query and command gooseberryrun from any entry VM.",
    )
    for command in COMMANDS:
        group.add_command(command().to_click())
    return group
