"""Client accounts of a configuration, and the lookup of an API key.

Made for up to 1,000 accounts with a few keys each, and one lookup per request: a lookup
costs one SHA-256 of the presented key whatever the number of accounts.
"""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec


class UsageUnit(StrEnum):
    """What an account's cap counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class UsageCap(msgspec.Struct, frozen=True):
    """Limit on an account's usage of all entry VMs together.

    ``rate_per_s`` and ``burst`` are in units; ``plain_tokens`` are the tokens of a
    request that states no count.
    """

    unit: UsageUnit
    rate_per_s: float
    burst: float
    plain_tokens: int

    def cost(self, prompt_tokens: int, output_tokens: int, has_count: bool) -> float:
        """Return what a request counts, in units."""
        if self.unit is UsageUnit.REQUESTS:
            return 1.0
        return float(prompt_tokens + output_tokens if has_count else self.plain_tokens)


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """Customer with API keys, of which only the SHA-256 digests are kept.

    ``priority`` takes precedence over the route's; 0 is the highest. Without ``cap``
    the usage is not limited.
    """

    name: str
    key_digests: tuple[bytes, ...] = field(repr=False)
    priority: int | None = None
    cap: UsageCap | None = None


class AccountTable:
    """Accounts of one configuration by the digests of their keys, and by name.

    A key of several accounts belongs to the first of them in the list, and so does a
    name.
    """

    def __init__(self, accounts: tuple[ClientAccount, ...]) -> None:
        self._by_name = {account.name: account for account in reversed(accounts)}
        self._by_digest: dict[bytes, tuple[bytes, ClientAccount]] = {}
        for account in accounts:
            for digest in account.key_digests:
                self._by_digest.setdefault(digest, (digest, account))

    def find(self, key: str) -> ClientAccount | None:
        """Return the account that a presented key belongs to, None without one."""
        digest = key_digest(key)
        known, account = self._by_digest.get(digest, (b"", None))
        return account if key and hmac.compare_digest(known, digest) else None

    def find_named(self, name: str) -> ClientAccount | None:
        """Return the account with a name, None without one."""
        return self._by_name.get(name)


def find_shared_keys(accounts: tuple[ClientAccount, ...]) -> list[tuple[str, str]]:
    """Return the names of accounts that share a key, the one it belongs to first."""
    owners: dict[bytes, ClientAccount] = {}
    found: dict[tuple[str, str], None] = {}
    for account in accounts:
        for digest in account.key_digests:
            owner = owners.setdefault(digest, account)
            if owner is not account:
                found[owner.name, account.name] = None
    return list(found)


def key_digest(key: str) -> bytes:
    """Return the SHA-256 digest of an API key.

    Bytes of a header that are no UTF-8 are surrogate escapes in the text.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()
