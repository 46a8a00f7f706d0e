"""Memory that the bodies of all requests and responses of a process share."""

from __future__ import annotations

from gooseberryrun._internal.coordination import (
    BODIES_GIVEN_UP,
    BUFFERED_BYTES,
    log_event,
)

MAX_BUFFERED_BYTES = 48 << 20
"""Bytes of bodies that a process holds. Each may be copied once to be sent, and a VM of
the users has 300 MB."""


class BodyGivenUpError(Exception):
    """The body was the largest of those that exceeded the memory for all of them."""


class BodyBuffer:
    """Body of one message: first it is read, then it is kept until it has been sent."""

    def __init__(self, buffers: BodyBuffers) -> None:
        self._buffers = buffers
        self._data = bytearray()
        self._is_given_up = False
        self.size = 0

    def append(self, data: bytes) -> None:
        """Add bytes; raise BodyGivenUpError if there is no memory for this body."""
        if self._is_given_up:
            raise BodyGivenUpError
        self._data += data
        self.size += len(data)
        self._buffers.make_room(len(data))

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
        self._open: set[BodyBuffer] = set()
        self.held_bytes = 0
        BUFFERED_BYTES.set_function(lambda: self.held_bytes)

    def open(self) -> BodyBuffer:
        """Return the buffer of a body that is about to be read."""
        buffer = BodyBuffer(self)
        self._open.add(buffer)
        return buffer

    def has_room(self, size: int) -> bool:
        """Return whether a body of a known size fits."""
        return self.held_bytes + size <= MAX_BUFFERED_BYTES

    def make_room(self, added: int) -> None:
        """Count added bytes; give up the largest open body while there are too many."""
        self.held_bytes += added
        while self.held_bytes > MAX_BUFFERED_BYTES and self._open:
            largest = max(self._open, key=lambda buffer: buffer.size)
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
        self._open.discard(buffer)

    def remove(self, buffer: BodyBuffer) -> None:
        """Remove a buffer with its bytes."""
        self._open.discard(buffer)
        self.held_bytes -= buffer.size
