"""Writes to sockets whose other side may read slowly.

Made for many callers and runners that read slowly or not at all: what waits to be sent
is not copied, counts as buffered, and ends with a deadline.
"""

from __future__ import annotations

import socket
from collections.abc import Iterable
from typing import Any

SEND_BUFFER_BYTES = 128 << 10
"""Send buffer of a socket. The system's own choice grows to 4 MB for a reader that
stops, which is memory of the VM as well; 10 Mbit/s need 13 KB in 10 ms."""


def limit_send_buffer(sock: Any) -> None:
    """Limit what the system holds for the other side of a connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def send_now(sock: Any, parts: Iterable[bytes]) -> list[memoryview]:
    """Send what the socket accepts without blocking; return the rest, not copied."""
    left = [memoryview(part) for part in parts if part]
    if not left:
        return []
    try:
        sent = int(sock.fd.sendmsg(left, [], socket.MSG_DONTWAIT))
    except BlockingIOError:
        return left
    while left and sent >= len(left[0]):
        sent -= len(left.pop(0))
    if left:
        left[0] = left[0][sent:]
    return left


def total_size(parts: Iterable[memoryview]) -> int:
    """Return the number of bytes of some parts."""
    return sum(len(part) for part in parts)
