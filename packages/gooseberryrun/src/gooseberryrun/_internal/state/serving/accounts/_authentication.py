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
    is_known = account is not None
    return key_outcome(bool(credential), is_known, is_public, is_confirmed), account


def key_outcome(
    has_key: bool, is_known: bool, is_public: bool, is_confirmed: bool
) -> KeyOutcome:
    """Return the outcome for a key, by whether an account has it."""
    if is_known:
        return KeyOutcome.ACCEPTED
    if is_public:
        return KeyOutcome.PUBLIC
    if not has_key:
        return KeyOutcome.MISSING
    return KeyOutcome.UNKNOWN if is_confirmed else KeyOutcome.UNCONFIRMED
