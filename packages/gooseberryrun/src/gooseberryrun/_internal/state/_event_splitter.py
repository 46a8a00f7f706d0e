"""Splitting of a stream of bytes into server-sent events."""

from __future__ import annotations

EVENT_SEPARATOR = b"\n\n"
_SEPARATORS = (EVENT_SEPARATOR, b"\r\n\r\n")
_LONGEST_SEPARATOR = max(len(separator) for separator in _SEPARATORS)
MAX_EVENT_BYTES = 1 << 18
"""Longest event that is buffered."""
MAX_EVENT_PIECES = 1024
"""Most pieces in which one event may arrive: parsing costs the same for each of them,
however short it is."""


class EventSplitter:
    """Splits pieces of a body into complete events; its work grows with their bytes."""

    def __init__(self) -> None:
        self._partial = bytearray()
        self._pieces = 0

    def feed(self, data: bytes) -> bytes:
        """Return the events that a piece completes."""
        searched = max(0, len(self._partial) - _LONGEST_SEPARATOR + 1)
        self._partial += data
        self._pieces += 1
        end = max(self._end_of_last(separator, searched) for separator in _SEPARATORS)
        if not end:
            return b""
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        self._pieces = 1 if self._partial else 0
        return complete

    def _end_of_last(self, separator: bytes, searched: int) -> int:
        """Return the end of the last separator from a position on, 0 without one."""
        found = self._partial.rfind(separator, searched)
        return 0 if found < 0 else found + len(separator)

    @property
    def exceeds_limit(self) -> bool:
        """Return whether the incomplete event is too long or in too many pieces."""
        is_long = len(self._partial) > MAX_EVENT_BYTES
        return is_long or self._pieces > MAX_EVENT_PIECES

    def remainder(self) -> bytes:
        """Return the buffered part of an incomplete event."""
        return bytes(self._partial)

    def discard(self) -> None:
        """Discard the buffered part of an event."""
        self._partial.clear()
        self._pieces = 0
