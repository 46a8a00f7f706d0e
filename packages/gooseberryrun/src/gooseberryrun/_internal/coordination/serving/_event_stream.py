"""Events of a runner's response body."""

from __future__ import annotations

from gooseberryrun._internal.state import EventSplitter


class EventBuffer:
    """Splits a body into complete events and stores the id of the last one."""

    def __init__(self) -> None:
        self._splitter = EventSplitter()
        self.last_id = ""

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes."""
        complete = self._splitter.feed(data)
        if complete:
            self._update_last_id(complete)
        return complete

    @property
    def exceeds_limit(self) -> bool:
        """Return whether the incomplete event is too long or in too many pieces."""
        return self._splitter.exceeds_limit

    def remainder(self) -> bytes:
        """Return the buffered part of an incomplete event."""
        return self._splitter.remainder()

    def discard_partial(self) -> None:
        """Discard the buffered part of an event whose runner failed."""
        self._splitter.discard()

    def _update_last_id(self, complete: bytes) -> None:
        at = complete.rfind(b"\nid:")
        if at >= 0:
            line = complete[at + 4 :].partition(b"\n")[0]
        elif complete.startswith(b"id:"):
            line = complete[3:].partition(b"\n")[0]
        else:
            return
        self.last_id = line.strip().decode("latin-1")
