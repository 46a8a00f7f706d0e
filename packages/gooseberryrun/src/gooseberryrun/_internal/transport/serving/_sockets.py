"""Reading from green sockets without losing the difference between end and reset."""

from __future__ import annotations

import socket
from typing import Any

import greenlet
from eventlet.hubs import get_hub, trampoline

READ_BYTES = 65536


class DeadlinePassedError(Exception):
    """The deadline of a reader passed while it waited for bytes."""


class SocketReader:
    """Reads one socket many times under one deadline.

    Answers streams of many small events: the socket stays registered with the event
    loop from one read to the next, and one timer serves all of them, where a wait of
    the green socket registers, arms a timer and takes both back for each event.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._fd = sock.fd.fileno()
        self._hub = get_hub()
        self._waiter: Any = None
        self._is_registered = False
        self._timer: Any = None

    def set_deadline(self, seconds: float | None) -> None:
        """Fail reads that wait once these seconds have passed; None waits for ever."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if seconds is not None:
            self._timer = self._hub.schedule_call_global(
                max(0.0, seconds), self._expire
            )

    def receive(self) -> bytes:
        """Return the bytes that come next, none at the end of the connection.

        Raises ConnectionResetError on a reset and DeadlinePassedError.
        """
        while True:
            try:
                data: bytes = self._sock.fd.recv(READ_BYTES, socket.MSG_DONTWAIT)
                return data
            except BlockingIOError:
                self._wait()

    def close(self) -> None:
        """Stop waiting; call it before the socket is closed."""
        self.set_deadline(None)
        self._unregister()

    def _wait(self) -> None:
        if not self._is_registered:
            self._hub.loop.add_reader(self._fd, self._on_readable)
            self._is_registered = True
        self._waiter = greenlet.getcurrent()
        try:
            self._hub.switch()
        finally:
            self._waiter = None

    def _on_readable(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is None:
            # Bytes that nobody waits for would wake the loop again and again.
            self._unregister()
        else:
            waiter.switch()

    def _expire(self) -> None:
        self._timer = None
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.throw(DeadlinePassedError())

    def _unregister(self) -> None:
        if self._is_registered:
            self._is_registered = False
            self._hub.loop.remove_reader(self._fd)


def receive(sock: Any) -> bytes:
    """Return the bytes that come next, none at the end of the connection.

    Raises ConnectionResetError on a reset, which ``GreenSocket.recv`` reports as an
    end; an answer without a length would then look complete.
    """
    while True:
        try:
            data: bytes = sock.fd.recv(READ_BYTES, socket.MSG_DONTWAIT)
            return data
        except BlockingIOError:
            trampoline(sock.fd, read=True)


def end_connection(sock: Any) -> None:
    """End a connection on which another green thread may be waiting."""
    try:
        sock.fd.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The other side has ended it already.
        return
