"""Runners that leave, whatever their entries in the registry say."""

from __future__ import annotations

import dataclasses
from typing import Any

import msgspec

from ._epochs import Position
from ._runners import Runner

MAX_LEAVING = 1000
"""Runners that said that they leave and are remembered, also once removed, since an
entry may return after an outage of the store."""
MAX_REMOVALS = 1000
"""Removals that are remembered, in case the store comes back from an older copy."""
DOUBT_S = 15.0
"""Time for which an entry that was removed before the store was restored is not used:
much longer than a runner that ended takes to be removed again."""


class _Removal(msgspec.Struct, frozen=True):
    """Removal of an incarnation, at a position of the registry."""

    born_ms: int
    position: Position


class _Doubt(msgspec.Struct, frozen=True):
    """Incarnation whose entry may be a copy of one that was removed."""

    born_ms: int
    deadline: float


class LeavingRunners:
    """Incarnations that said that they leave, or whose entries were removed.

    A runner that leaves never takes new work again in that incarnation. One whose entry
    was removed may be back, unless the entry is only that of a restored copy.
    """

    def __init__(self) -> None:
        self._stated: dict[str, int] = {}
        self._removals: dict[str, _Removal] = {}
        self._doubts: dict[str, _Doubt] = {}

    def record_leaving(self, runner_id: str, born_ms: int) -> bool:
        """Record that an incarnation leaves; return whether that is new."""
        if self._stated.get(runner_id, -1) >= born_ms:
            return False
        self._stated.pop(runner_id, None)
        self._stated[runner_id] = born_ms
        _drop_oldest(self._stated, MAX_LEAVING)
        return True

    def stated(self) -> dict[str, int]:
        """Return the incarnations that said that they leave, by runner."""
        return self._stated

    def record_removal(self, runner: Runner, position: Position) -> None:
        """Record that the entry of a runner was removed."""
        self._removals.pop(runner.id, None)
        self._removals[runner.id] = _Removal(runner.born_ms, position)
        _drop_oldest(self._removals, MAX_REMOVALS)

    def check_entry(
        self, runner: Runner, position: Position, copied_until: Position, now: float
    ) -> None:
        """Doubt an entry that may be a copy of one that was removed before.

        Entries of the epoch from ``copied_until`` on were written after the restore.
        """
        removal = self._removals.get(runner.id)
        if removal is None or runner.born_ms > removal.born_ms:
            return
        is_copied = removal.position.epoch < position.epoch and position < copied_until
        if is_copied:
            self._doubts.setdefault(runner.id, _Doubt(runner.born_ms, now + DOUBT_S))
            return
        del self._removals[runner.id]
        self._doubts.pop(runner.id, None)

    def with_state(self, runner: Runner) -> Runner:
        """Return a runner as draining if it leaves or its entry is doubted."""
        is_leaving = runner.born_ms <= self._stated.get(runner.id, -1)
        doubt = self._doubts.get(runner.id)
        is_doubted = doubt is not None and runner.born_ms <= doubt.born_ms
        if not is_leaving and not is_doubted:
            return runner
        return dataclasses.replace(runner, draining=True)

    def end_doubts(self, now: float) -> list[str]:
        """Return the runners whose entries are doubted no longer."""
        ended = [key for key, doubt in self._doubts.items() if now >= doubt.deadline]
        for runner_id in ended:
            del self._doubts[runner_id]
            self._removals.pop(runner_id, None)
        return ended


def _drop_oldest(kept: dict[str, Any], most: int) -> None:
    """Drop the entries that were added first, until ``most`` are left."""
    while len(kept) > most:
        del kept[next(iter(kept))]
