"""Responses of urllib3's connections whose sender may never end them."""

from __future__ import annotations

import http.client
import io
from typing import Any

import eventlet

LAST_STATUS = 599
"""Highest status that HTTP has (RFC 9110, section 15)."""
READS_PER_TURN = 2
"""Reads of at most 8 KB before control returns to the event loop: a socket that always
has bytes never blocks, and would starve other green threads and timeouts."""


class EndlessResponseError(OSError):
    """The response is longer than any that the receiver expects."""


class _BoundedReader(io.RawIOBase):
    """Raw reader of a socket that lets others run and reads ``max_bytes`` at most."""

    def __init__(self, raw: Any, max_bytes: int) -> None:
        self._raw = raw
        self._left = max_bytes
        self._reads = 0

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read bytes; raise EndlessResponseError beyond the limit."""
        self._reads += 1
        if self._reads % READS_PER_TURN == 0:
            eventlet.sleep(0)
        count: int | None = self._raw.readinto(buffer)
        self._left -= count or 0
        if self._left < 0:
            raise EndlessResponseError("the response is too long")
        return count

    def close(self) -> None:
        """Close the raw reader."""
        super().close()
        self._raw.close()


class BoundedResponse(http.client.HTTPResponse):
    """Response that is given up beyond ``max_bytes``, with its head and framing."""

    max_bytes = 32 << 20

    def __init__(self, sock: Any, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        reader = _BoundedReader(self.fp.detach(), self.max_bytes)
        self.fp = io.BufferedReader(reader)

    def begin(self) -> None:
        """Read the head; raise BadStatusLine if its status is none of HTTP's.

        The base class raises it for one below 100 and for another major version.
        """
        super().begin()
        if self.status > LAST_STATUS:
            self.close()
            raise http.client.BadStatusLine(f"status {self.status}")
