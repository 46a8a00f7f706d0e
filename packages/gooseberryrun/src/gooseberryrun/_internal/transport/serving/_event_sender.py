"""Sends the events of responses to a caller, as fast as it reads them."""

from __future__ import annotations

from typing import Any

import h11
from eventlet.timeout import Timeout

from gooseberryrun._internal.coordination.serving import CallerDisconnectedError

from ._output import send_now, total_size
from ._slow_readers import SlowReader, SlowReaders
from ._sockets import end_connection, has_ended

SEND_TIMEOUT_S = 20.0
"""Time after which the connection of a caller that does not read is closed."""


class EventSender:
    """Sends h11 events on a socket, or shuts the connection down."""

    def __init__(self, sock: Any, http: h11.Connection, readers: SlowReaders) -> None:
        self._sock = sock
        self.http = http
        self._readers = readers
        self.is_ended = False

    def end(self) -> None:
        """Shut the connection down; its green thread closes the socket."""
        self.is_ended = True
        end_connection(self._sock)

    def has_lost_reader(self) -> bool:
        """Return whether the caller has closed the connection."""
        return self.is_ended or has_ended(self._sock)

    def send(self, *events: Any, is_counted: bool = False) -> None:
        """Send the bytes of some events together.

        ``is_counted`` states that they belong to a body that counts as buffered.
        """
        left = send_now(self._sock, [self.http.send(event) or b"" for event in events])
        if left:
            self._wait_for_reader(left, is_counted)

    def _wait_for_reader(self, parts: list[memoryview], is_counted: bool) -> None:
        """Send the rest as the caller reads it; end a connection that does not.

        Nothing more is read from a runner meanwhile, so the rest is all that is held.
        """
        reader = SlowReader(total_size(parts), is_counted, self.end)
        self._readers.begin(reader)
        timeout = Timeout(SEND_TIMEOUT_S)
        try:
            for part in parts:
                self._sock.sendall(part)
        except Timeout as exc:
            if exc is not timeout:
                raise
            self._readers.record_end("deadline", reader.size)
            raise CallerDisconnectedError from None
        except OSError:
            if reader.is_ended:
                raise CallerDisconnectedError from None
            raise
        finally:
            timeout.cancel()
            self._readers.finish(reader)
