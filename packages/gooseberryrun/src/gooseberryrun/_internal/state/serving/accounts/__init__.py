"""Client accounts: who sent a request, and how much an account may use."""

from ._accounts import AccountTable, ClientAccount, UsageCap, UsageUnit, key_digest

__all__ = ["AccountTable", "ClientAccount", "UsageCap", "UsageUnit", "key_digest"]
