"""Reading from green sockets without losing the difference between end and reset."""

from __future__ import annotations

import socket
from typing import Any

from eventlet.hubs import trampoline

READ_BYTES = 65536


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
