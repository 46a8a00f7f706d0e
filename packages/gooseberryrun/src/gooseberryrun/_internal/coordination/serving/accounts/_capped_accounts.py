"""Capped accounts of the configuration in force, and the domains of their caps."""

from __future__ import annotations

import math

from gooseberryrun._internal.state.serving import RouteTable
from gooseberryrun._internal.state.serving.accounts import ClientAccount

from .._context import Context

DOMAINS_TTL_S = 1.0
"""Time for which the known domains are kept, if the settings do not name them."""


class CappedAccounts:
    """Accounts of the configuration in force by name, and the domains of their caps."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._known_domains: list[str] = []
        self._known_at = -math.inf

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 without one."""
        return self._ctx.directory.configuration_version

    def domains(self) -> list[str]:
        """Return the failure domains that caps are divided among.

        Without a list in the settings these are all that were known since the start: a
        VM that forgets a domain would divide the cap among fewer.
        """
        found = self.current_domains()
        now = self._ctx.clock.monotonic()
        if found is not self._known_domains:
            self._known_at, self._known_domains = now, found
        return found

    def current_domains(self) -> list[str]:
        """Return what ``domains`` would, without keeping it."""
        configured = self._ctx.cfg.membership.domains
        if configured:
            return configured
        now = self._ctx.clock.monotonic()
        if now - self._known_at < DOMAINS_TTL_S:
            return self._known_domains
        return sorted({*self._known_domains, *self._ctx.domains()})

    def find(self, name: str) -> ClientAccount | None:
        """Return the first account with a name, None if there is none."""
        table: RouteTable | None = self._ctx.directory.table
        accounts = table.accounts if table else None
        return None if accounts is None else accounts.find_named(name)


def has_usage_caps(ctx: Context) -> bool:
    """Return whether the configuration in force has an account with a cap."""
    table = ctx.directory.table
    accounts = (table.configuration.accounts if table else None) or ()
    return any(account.cap is not None for account in accounts)
