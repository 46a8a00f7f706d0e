"""Appends the origins of streams to the store until it has acknowledged them."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

import eventlet
from result import Err

from gooseberryrun._internal.state.serving import MAX_ORIGINS, StreamOrigins

from .._events import log_event
from ._context import Context
from ._store_calls import count_store_call

APPEND_DELAY_S = 0.15
"""Time for which origins are batched before they are appended."""
APPEND_RETRY_S = 1.0
"""Pause after a refused append."""
MAX_BATCH = 1000
"""Origins in one append: some 200 kB, a tenth of what the store takes in a call."""


class OriginLog:
    """Origins that the store is to keep, by the request that began the stream.

    One append runs at a time. Those of streams that can no longer be taken up are left
    out.
    """

    def __init__(self, ctx: Context, origins: StreamOrigins) -> None:
        self._ctx = ctx
        self._origins = origins
        self._unkept: dict[str, None] = {}
        self._is_due = False

    def keep(self, requests: Iterable[str]) -> None:
        """Schedule the origins of streams to be appended."""
        self._unkept.update(dict.fromkeys(requests))
        while len(self._unkept) > MAX_ORIGINS:
            del self._unkept[next(iter(self._unkept))]
        self._schedule(APPEND_DELAY_S)

    def _schedule(self, delay_s: float) -> None:
        if self._unkept and not self._is_due:
            self._is_due = True
            eventlet.spawn_after(delay_s, self.append)

    def append(self) -> None:
        """Append one batch, and schedule the next one or its repetition."""
        batch = list(itertools.islice(self._unkept, MAX_BATCH))
        is_kept = self._append(batch)
        if is_kept:
            for request in batch:
                self._unkept.pop(request, None)
        self._is_due = False
        self._schedule(APPEND_DELAY_S if is_kept else APPEND_RETRY_S)

    def _append(self, requests: list[str]) -> bool:
        """Append the origins of streams; return whether the store has them."""
        now = self._ctx.clock.monotonic()
        origins = self._origins.of_requests(requests, now)
        if not origins:
            return True
        appended = self._ctx.ports.store.append_origins(origins)
        count_store_call("append_origins", appended)
        if isinstance(appended, Err):
            why = appended.err_value.detail
            log_event("origins_unkept", level="warning", streams=len(origins), why=why)
        return not isinstance(appended, Err)
