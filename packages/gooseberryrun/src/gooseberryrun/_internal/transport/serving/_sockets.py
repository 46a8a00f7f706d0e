"""Reads from green sockets that distinguish the end of a connection from a reset."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import greenlet
from eventlet.hubs import get_hub

READ_BYTES = 65536


class DeadlinePassedError(Exception):
    """The deadline of a reader passed while it waited for bytes."""


class SocketReader:
    """Reads one socket many times, perhaps under one deadline.

    Made for streams of many small events and for connections with many requests: the
    socket stays registered with the event loop between reads, and one timer covers all
    of them. A wait of a green socket would register the socket and arm a timer, and
    undo both, for every event.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._fd = sock.fd.fileno()
        self._hub = get_hub()
        self._waiter: Any = None
        self._is_registered = False
        self._timer: Any = None
        self._has_expired = False
        self._on_input: Callable[[], None] | None = None

    def set_deadline(self, seconds: float | None) -> None:
        """Set the seconds after which reads fail; None removes the limit."""
        self._has_expired = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if seconds is not None:
            self._timer = self._hub.schedule_call_global(
                max(0.0, seconds), self._expire
            )

    def receive(self) -> bytes:
        """Return the next bytes, none at the end of the connection.

        Raises ConnectionResetError on a reset, which ``GreenSocket.recv`` reports as an
        end, so that a truncated response without a length would look complete; and
        DeadlinePassedError if the deadline has passed.
        """
        self.check_deadline()
        while True:
            try:
                data: bytes = self._sock.fd.recv(READ_BYTES, socket.MSG_DONTWAIT)
                return data
            except BlockingIOError:
                self._wait()

    def watch(self, on_input: Callable[[], None]) -> None:
        """Call ``on_input`` once if there is input, or the end, while nobody reads."""
        self._on_input = on_input
        self._register()

    def end_watch(self) -> None:
        """Undo ``watch``; the socket stays registered for the next read."""
        self._on_input = None

    def check_deadline(self) -> None:
        """Raise DeadlinePassedError if the deadline has passed."""
        if self._has_expired:
            raise DeadlinePassedError

    def close(self) -> None:
        """Cancel the timer and unregister the socket, before the socket is closed."""
        self.set_deadline(None)
        self._on_input = None
        self._unregister()

    def _wait(self) -> None:
        self._register()
        self._waiter = greenlet.getcurrent()
        try:
            self._hub.switch()
        finally:
            self._waiter = None

    def _on_readable(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.switch()
            return
        # Unread bytes would wake the event loop again and again.
        self._unregister()
        on_input, self._on_input = self._on_input, None
        if on_input is not None:
            on_input()

    def _expire(self) -> None:
        self._timer = None
        self._has_expired = True
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.throw(DeadlinePassedError())

    def _register(self) -> None:
        if not self._is_registered:
            self._hub.loop.add_reader(self._fd, self._on_readable)
            self._is_registered = True

    def _unregister(self) -> None:
        if self._is_registered:
            self._is_registered = False
            self._hub.loop.remove_reader(self._fd)


def has_ended(sock: Any) -> bool:
    """Return whether the other side has closed or reset a connection.

    Bytes that arrived before the end and were not read hide it.
    """
    try:
        return not sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def end_connection(sock: Any) -> None:
    """Shut down a connection on which another green thread may be waiting."""
    try:
        sock.fd.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The other side has already closed the connection.
        return
