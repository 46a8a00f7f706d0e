"""Whether a request may be served by the API key that it carries.

Made for requests that come at any time while configurations change: each decision uses
the configuration in force, and a VM that may lack a newer one rejects no key as wrong.
"""

from __future__ import annotations

from enum import StrEnum

from ._accounts import AccountTable, ClientAccount


class KeyOutcome(StrEnum):
    """Result of the check of a request's API key."""

    ACCEPTED = "accepted"
    """The key belongs to an account."""
    PUBLIC = "public"
    """The route is public, and no account has the key."""
    MISSING = "missing"
    """There is no key, or not exactly one of the expected scheme."""
    UNKNOWN = "unknown"
    """No account has the key."""
    UNCONFIRMED = "unconfirmed"
    """No account has the key, but the configuration may be out of date."""


def check_key(
    table: AccountTable, credential: str, is_public: bool, is_confirmed: bool
) -> tuple[KeyOutcome, ClientAccount | None]:
    """Return the outcome, and the account if the key belongs to one.

    ``is_confirmed`` states that the configuration was the newest one lately.
    """
    account = table.find(credential)
    if account is not None:
        return KeyOutcome.ACCEPTED, account
    if is_public:
        return KeyOutcome.PUBLIC, None
    if not credential:
        return KeyOutcome.MISSING, None
    return KeyOutcome.UNKNOWN if is_confirmed else KeyOutcome.UNCONFIRMED, None
