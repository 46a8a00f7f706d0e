"""Waits for slots as the VMs that grant them last told, kept to be shown."""

from __future__ import annotations

from dataclasses import dataclass

TOLD_TTL_S = 30.0
"""Age from which on a told wait is dropped."""


@dataclass(frozen=True, slots=True)
class ToldWait:
    """Result of a request for a slot, and the wait of the account's next one."""

    outcome: str
    wait_s: float
    told_at: float


class ToldWaits:
    """Last answers by server and account; choices do not depend on them."""

    def __init__(self) -> None:
        self._told: dict[tuple[str, str], ToldWait] = {}

    def record(self, server: str, account: str, told: ToldWait) -> None:
        """Record an answer, and drop those that are too old."""
        self._told.pop((server, account), None)
        self._told[(server, account)] = told
        oldest_at = told.told_at - TOLD_TTL_S
        while self._told[first := next(iter(self._told))].told_at < oldest_at:
            del self._told[first]

    def find(self, server: str, account: str) -> ToldWait | None:
        """Return the last answer about a server to an account's request."""
        return self._told.get((server, account))
