"""Bounds that all connections of a process share."""

from __future__ import annotations

from gooseberryrun._internal.state import Clock

from ._body_buffers import BodyBuffers
from ._input_work import SharedPieces
from ._slow_readers import SlowReaders


class InputBounds:
    """Bounds of the work and memory that the input of all connections may cost."""

    def __init__(self, clock: Clock) -> None:
        self.pieces = SharedPieces(clock)
        self.buffers = BodyBuffers()
        self.slow_readers = SlowReaders(self.buffers)
