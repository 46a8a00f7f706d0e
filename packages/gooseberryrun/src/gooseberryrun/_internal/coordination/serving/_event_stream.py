"""Splitting of a runner's response body into server-sent events."""

from __future__ import annotations

MAX_EVENT_BYTES = 1 << 20
"""Longest event that is buffered."""


class EventBuffer:
    """Splits a body into complete events and stores the id of the last one."""

    def __init__(self) -> None:
        self._partial = b""
        self.last_id = ""

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes."""
        buffered = self._partial + data
        end = buffered.rfind(b"\n\n")
        if end < 0:
            self._partial = buffered
            return b""
        complete, self._partial = buffered[: end + 2], buffered[end + 2 :]
        self._update_last_id(complete)
        return complete

    @property
    def exceeds_limit(self) -> bool:
        """Return whether the incomplete event is longer than ``MAX_EVENT_BYTES``."""
        return len(self._partial) > MAX_EVENT_BYTES

    def remainder(self) -> bytes:
        """Return the buffered part of an incomplete event."""
        return self._partial

    def discard_partial(self) -> None:
        """Discard the buffered part of an event whose runner failed."""
        self._partial = b""

    def _update_last_id(self, complete: bytes) -> None:
        at = complete.rfind(b"\nid:")
        if at >= 0:
            line = complete[at + 4 :].partition(b"\n")[0]
        elif complete.startswith(b"id:"):
            line = complete[3:].partition(b"\n")[0]
        else:
            return
        self.last_id = line.strip().decode("latin-1")
