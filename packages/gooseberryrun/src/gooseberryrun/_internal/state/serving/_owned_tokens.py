"""Fencing tokens of what a VM owns, and the times since which it alone owned it."""

from __future__ import annotations

import msgspec


class _Owned(msgspec.Struct, frozen=True):
    """Fencing token, and the ``boottime`` since which no other VM was the owner."""

    token: int
    since: float


class OwnedTokens:
    """Fencing tokens by the ids of the runners and allocations that a VM owns."""

    def __init__(self) -> None:
        self._owned: dict[str, _Owned] = {}

    def __contains__(self, key: str) -> bool:
        return key in self._owned

    def ids(self) -> list[str]:
        """Return the ids of all that is owned."""
        return list(self._owned)

    def take(self, key: str, token: int, since: float) -> None:
        """Record an acquisition; no other VM has been the owner from ``since`` on."""
        self._owned[key] = _Owned(token, since)

    def token(self, key: str) -> int | None:
        """Return the token, None without ownership."""
        owned = self._owned.get(key)
        return owned.token if owned else None

    def since(self, key: str) -> float | None:
        """Return the time since which no other VM was the owner, None if not owned."""
        owned = self._owned.get(key)
        return owned.since if owned else None

    def drop(self, key: str) -> None:
        """Give up the ownership of one."""
        self._owned.pop(key, None)

    def clear(self) -> None:
        """Give up all ownership."""
        self._owned.clear()
