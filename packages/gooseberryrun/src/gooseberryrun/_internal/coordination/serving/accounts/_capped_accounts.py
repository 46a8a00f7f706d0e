"""Usage caps of the configuration in force, and the domains that they are divided to.

Nothing here is a copy that outlasts its configuration: all is looked up anew once
another one is in force.
"""

from __future__ import annotations

from gooseberryrun._internal.state.serving import RouteTable
from gooseberryrun._internal.state.serving.accounts import ClientAccount

from .._context import Context


class CappedAccounts:
    """Accounts of the configuration in force by name."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._table: RouteTable | None = None
        self._by_name: dict[str, ClientAccount] = {}

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 without one."""
        return self._ctx.directory.configuration_version

    def find(self, name: str) -> ClientAccount | None:
        """Return the first account with a name, None if there is none."""
        table = self._ctx.directory.table
        if table is not self._table:
            self._table = table
            accounts = (table.configuration.accounts if table else None) or ()
            self._by_name = {a.name: a for a in reversed(accounts)}
        return self._by_name.get(name)


def usage_domains(ctx: Context) -> list[str]:
    """Return the failure domains that caps are divided among."""
    return ctx.cfg.membership.domains or ctx.domains()


def has_usage_caps(ctx: Context) -> bool:
    """Return whether the configuration in force has an account with a cap."""
    table = ctx.directory.table
    accounts = (table.configuration.accounts if table else None) or ()
    return any(account.cap is not None for account in accounts)
