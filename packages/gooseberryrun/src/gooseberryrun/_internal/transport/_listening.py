"""Binding of listening sockets whose port may still be in use for a moment."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import TypeVar

import eventlet

from gooseberryrun._internal.coordination import log_event
from gooseberryrun._internal.state import Clock

T = TypeVar("T")

BIND_TIMEOUT_S = 5.0
"""Time for which a port in use is retried: the previous process on the VM may still be
closing, or an outgoing connection may have been given the port."""
BIND_RETRY_S = 0.1


def bind(address: str, clock: Clock, listen: Callable[[], T]) -> T:
    """Return what ``listen`` returns; retry while the address is in use.

    Raises the ``OSError`` of the last attempt.
    """
    deadline = clock.monotonic() + BIND_TIMEOUT_S
    is_logged = False
    while True:
        try:
            return listen()
        except OSError as exc:
            if exc.errno != errno.EADDRINUSE or clock.monotonic() >= deadline:
                raise
            if not is_logged:
                log_event("address_in_use", level="warning", address=address)
                is_logged = True
        eventlet.sleep(BIND_RETRY_S)
