"""Server-sent events of a runner on their way to a caller."""

from __future__ import annotations

MAX_EVENT_BYTES = 1 << 20
"""Longest event that is waited for."""


class EventBuffer:
    """Cuts a body into whole events and remembers the id of the last one."""

    def __init__(self) -> None:
        self._rest = b""
        self.last_id = ""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are complete with ``data``."""
        joined = self._rest + data
        end = joined.rfind(b"\n\n")
        if end < 0:
            self._rest = joined
            return b""
        whole, self._rest = joined[: end + 2], joined[end + 2 :]
        self._note_id(whole)
        return whole

    @property
    def exceeds_limit(self) -> bool:
        """Tell whether an event has begun that is longer than any should be."""
        return len(self._rest) > MAX_EVENT_BYTES

    def remainder(self) -> bytes:
        """Return the beginning of an event that is not complete."""
        return self._rest

    def discard_partial(self) -> None:
        """Drop the beginning of an event whose runner is gone."""
        self._rest = b""

    def _note_id(self, whole: bytes) -> None:
        at = whole.rfind(b"\nid:")
        if at >= 0:
            line = whole[at + 4 :].partition(b"\n")[0]
        elif whole.startswith(b"id:"):
            line = whole[3:].partition(b"\n")[0]
        else:
            return
        self.last_id = line.strip().decode("latin-1")
