"""Bounds that all connections of a process share."""

from __future__ import annotations

from gooseberryrun._internal.state import Clock

from ._input_work import SharedPieces


class InputBounds:
    """Bounds of the work that the input of all connections together may cost."""

    def __init__(self, clock: Clock) -> None:
        self.pieces = SharedPieces(clock)
