"""Memory that the bodies of all requests and responses of a process share."""

from __future__ import annotations

import eventlet

from gooseberryrun._internal.coordination import (
    BODIES_GIVEN_UP,
    BUFFERED_BYTES,
    log_event,
)

MAX_BUFFERED_BYTES = 48 << 20
"""Bytes of bodies that a process holds. Each may be copied once to be sent, and a VM of
the users has 300 MB."""
SMALL_BODY_BYTES = 64 << 10
"""Size up to which a body may use the reserved memory."""
RESERVED_SHARE = 8
"""One in so many bytes is reserved for small bodies, so that large ones for slow
servers do not keep other callers out."""
CROWDED_SHARE = 0.75
"""Share of the memory in use from which on large bodies are read more slowly."""
MAX_PAUSE_S = 1.0
"""Longest total pause of a body while the memory is crowded."""
PAUSE_S = 0.02


class BodyGivenUpError(Exception):
    """The body was the largest of those that exceeded the memory for all of them."""


class BodyBuffer:
    """Body of one message: first it is read, then it is kept until it has been sent."""

    def __init__(self, buffers: BodyBuffers) -> None:
        self._buffers = buffers
        self._data = bytearray()
        self._is_given_up = False
        self._pauses_left = round(MAX_PAUSE_S / PAUSE_S)
        self.size = 0

    def append(self, data: bytes) -> None:
        """Add bytes; raise BodyGivenUpError if there is no memory for this body."""
        if self._is_given_up:
            raise BodyGivenUpError
        self._data += data
        self.size += len(data)
        self._buffers.make_room(len(data))
        self._slow_sender_down()

    def _slow_sender_down(self) -> None:
        """Pause before the next read, so that the sender's connection fills up."""
        while self._pauses_left and self._buffers.is_crowded_for(self):
            self._pauses_left -= 1
            eventlet.sleep(PAUSE_S)

    def complete(self) -> bytes:
        """Return the body; its bytes count until it is released.

        Raises BodyGivenUpError if there was no memory for it.
        """
        if self._is_given_up:
            raise BodyGivenUpError
        self._buffers.complete(self)
        body = bytes(self._data)
        self._data.clear()
        return body

    def give_up(self) -> None:
        """Free the bytes of a body that is being read; the next one raises."""
        self._is_given_up = True
        self._data.clear()
        self.release()

    def release(self) -> None:
        """Free the bytes; idempotent."""
        self._buffers.remove(self)
        self.size = 0


class BodyBuffers:
    """Buffers of all bodies; the largest that is being read yields if they are full."""

    def __init__(self) -> None:
        self._open: dict[BodyBuffer, None] = {}
        self.held_bytes = 0
        BUFFERED_BYTES.set_function(lambda: self.held_bytes)

    def open(self) -> BodyBuffer:
        """Return the buffer of a body that is about to be read."""
        buffer = BodyBuffer(self)
        self._open[buffer] = None
        return buffer

    def has_room(self, size: int) -> bool:
        """Return whether a body of a known size fits."""
        return self.held_bytes + size <= _limit(size)

    def is_crowded_for(self, buffer: BodyBuffer) -> bool:
        """Return whether a body has to wait; the one opened first need not."""
        if buffer.size <= SMALL_BODY_BYTES or buffer is next(iter(self._open), None):
            return False
        return self.held_bytes > CROWDED_SHARE * MAX_BUFFERED_BYTES

    def make_room(self, added: int) -> None:
        """Count added bytes; give up the largest open body while there are too many."""
        self.held_bytes += added
        while self._open and self.held_bytes > _limit(SMALL_BODY_BYTES + 1):
            largest = max(self._open, key=lambda buffer: buffer.size)
            # The reserve is kept from several bodies; the only one may use it.
            limit = _limit(largest.size if len(self._open) > 1 else 0)
            if self.held_bytes <= limit:
                return
            BODIES_GIVEN_UP.inc()
            log_event(
                "body_given_up",
                level="warning",
                size=largest.size,
                held=self.held_bytes,
                open_bodies=len(self._open),
            )
            largest.give_up()

    def complete(self, buffer: BodyBuffer) -> None:
        """Record that a body is read to its end and is not given up any more."""
        self._open.pop(buffer, None)

    def remove(self, buffer: BodyBuffer) -> None:
        """Remove a buffer with its bytes."""
        self._open.pop(buffer, None)
        self.held_bytes -= buffer.size


def _limit(size: int) -> int:
    """Return the memory that all bodies may take for one of a size to be read."""
    if size <= SMALL_BODY_BYTES:
        return MAX_BUFFERED_BYTES
    return MAX_BUFFERED_BYTES - MAX_BUFFERED_BYTES // RESERVED_SHARE
