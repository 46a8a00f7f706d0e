"""Client accounts: who sent a request, and how much an account may use."""

from ._accounts import (
    AccountTable,
    ClientAccount,
    UsageCap,
    UsageUnit,
    find_shared_keys,
    key_digest,
)
from ._authentication import KeyOutcome, check_key
from ._freshness import ConfigurationFreshness

__all__ = [
    "AccountTable",
    "ClientAccount",
    "ConfigurationFreshness",
    "KeyOutcome",
    "UsageCap",
    "UsageUnit",
    "check_key",
    "find_shared_keys",
    "key_digest",
]
