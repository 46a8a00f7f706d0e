"""Reads from the store where streams of all VMs began."""

from __future__ import annotations

import eventlet
from result import Err

from gooseberryrun._internal.state.serving import Position, StreamOrigin, StreamOrigins

from .._events import log_event
from .._tasks import spawn_until_done
from ._context import Context
from ._shared_read import SharedRead
from ._store_calls import count_store_call

RETRY_S = 0.5


class OriginReader:
    """Adds origins to those that this VM knows, and their versions to its directory.

    Until ``is_informed`` an unknown stream means nothing, since the store was not read.
    """

    def __init__(self, ctx: Context, origins: StreamOrigins) -> None:
        self._ctx = ctx
        self._origins = origins
        self._read_until = Position()
        self._shared_read = SharedRead("origins_read", self._read_new)
        self.is_informed = False

    def start(self) -> None:
        """Learn in a green thread what VMs have kept."""
        spawn_until_done("origins_recovery", self._recover)

    def _recover(self) -> None:
        while not self.is_informed and not self.read():
            eventlet.sleep(RETRY_S)

    def read(self) -> bool:
        """Record what the store has kept since the last read; return whether it did."""
        return self._shared_read.wait()

    def _read_new(self) -> bool:
        read = self._ctx.ports.store.read_origins(self._read_until)
        count_store_call("read_origins", read)
        if isinstance(read, Err):
            log_event("origins_unread", level="warning", why=read.err_value.detail)
            return False
        self._read_until = read.ok_value.end
        self.record(read.ok_value.origins)
        self.is_informed = True
        return True

    def record(self, origins: list[StreamOrigin]) -> None:
        """Record where streams of other VMs began."""
        now = self._ctx.clock.monotonic()
        for origin in origins:
            self._origins.record(origin, now)
            self._ctx.directory.software.record_seen(
                origin.service, origin.software, now
            )
