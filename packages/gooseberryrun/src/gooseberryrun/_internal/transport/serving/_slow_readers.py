"""Callers that do not read their answers as fast as these come.

Made for hundreds of callers that read slowly or not at all: what waits for them takes
at most half of the memory for bodies, and the one that has waited longest yields.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from gooseberryrun._internal.coordination import SLOW_CALLERS_ENDED, log_event

from ._body_buffers import MAX_BUFFERED_BYTES, BodyBuffers

MAX_WAITING_BYTES = MAX_BUFFERED_BYTES // 2
"""Bytes that wait for slow callers; the other half is left to all other bodies."""


class SlowReader(msgspec.Struct, eq=False):
    """Caller that has not read ``size`` bytes; ``end`` ends its connection.

    ``is_counted`` is set if the bytes belong to a body that is buffered until then.
    """

    size: int
    is_counted: bool
    end: Callable[[], None]
    is_ended: bool = False


class SlowReaders:
    """All callers of a process for which bytes wait, the longest waiting first."""

    def __init__(self, buffers: BodyBuffers) -> None:
        self._buffers = buffers
        self._waiting: dict[SlowReader, None] = {}
        self.waiting_bytes = 0

    def begin(self, reader: SlowReader) -> None:
        """Count a caller's bytes; end others while there are too many."""
        while self._waiting and self.waiting_bytes + reader.size > MAX_WAITING_BYTES:
            longest = next(iter(self._waiting))
            self.finish(longest)
            longest.is_ended = True
            self.record_end("memory", longest.size)
            longest.end()
        self._waiting[reader] = None
        self.waiting_bytes += reader.size
        if not reader.is_counted:
            self._buffers.held_bytes += reader.size

    def finish(self, reader: SlowReader) -> None:
        """Remove a caller that has read its bytes or is ended; idempotent."""
        if reader not in self._waiting:
            return
        del self._waiting[reader]
        self.waiting_bytes -= reader.size
        if not reader.is_counted:
            self._buffers.held_bytes -= reader.size

    @staticmethod
    def record_end(why: str, size: int) -> None:
        """Log and count the end of a caller's connection."""
        SLOW_CALLERS_ENDED.labels(why=why).inc()
        log_event("caller_too_slow", level="warning", why=why, size=size)
