"""Authentication of requests by the accounts of the configuration in force."""

from __future__ import annotations

import msgspec

from gooseberryrun._internal.state.serving import Route, RouteTable
from gooseberryrun._internal.state.serving.accounts import (
    ClientAccount,
    KeyOutcome,
    check_key,
    key_outcome,
)

from ..._metrics import AUTHENTICATIONS
from .._active_request import ActiveRequest, LocalResponse
from .._context import Context

UNCONFIRMED_RETRY_S = 0.5
"""Retry delay sent by a VM that may lack a newer key."""
_REFUSALS = {
    KeyOutcome.MISSING: LocalResponse(401, "no_key"),
    KeyOutcome.UNKNOWN: LocalResponse(401, "unknown_key"),
    KeyOutcome.UNCONFIRMED: LocalResponse(503, "unconfirmed_key", UNCONFIRMED_RETRY_S),
}


class Authentication(msgspec.Struct, frozen=True):
    """Account of a request, or the refusal; ``outcome`` is None without accounts."""

    outcome: KeyOutcome | None = None
    account: ClientAccount | None = None
    refusal: LocalResponse | None = None

    def count(self) -> None:
        """Count the outcome; each request is counted once."""
        if self.outcome is not None:
            AUTHENTICATIONS.labels(outcome=self.outcome).inc()


class Authenticator:
    """Looks the key of each request up in the configuration in force."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx

    def check(
        self, table: RouteTable, route: Route | None, credential: str
    ) -> Authentication:
        """Check a request's key; one without a route needs a key as well."""
        if table.accounts is None:
            return Authentication()
        is_confirmed = self._ctx.freshness.is_confirmed(self._ctx.clock.boottime())
        outcome, account = check_key(
            table.accounts, credential, _is_public(route), is_confirmed
        )
        return Authentication(outcome, account, _REFUSALS.get(outcome))

    def explain(
        self, table: RouteTable, route: Route | None, name: str
    ) -> Authentication:
        """Return the check of a request with a key of an account, without the key.

        An empty name stands for a request without a key.
        """
        if table.accounts is None:
            return Authentication()
        account = table.accounts.find_named(name) if name else None
        is_confirmed = self._ctx.freshness.is_confirmed(self._ctx.clock.boottime())
        is_known = account is not None
        outcome = key_outcome(bool(name), is_known, _is_public(route), is_confirmed)
        return Authentication(outcome, account, _REFUSALS.get(outcome))


def _is_public(route: Route | None) -> bool:
    return route is not None and route.is_public


def forwarded_account(ctx: Context, active: ActiveRequest) -> str | None:
    """Return the account's name for a runner, empty without one.

    None stands for a configuration without accounts.
    """
    if active.account is not None:
        return active.account.name
    table = ctx.directory.table
    return "" if table is not None and table.accounts is not None else None
