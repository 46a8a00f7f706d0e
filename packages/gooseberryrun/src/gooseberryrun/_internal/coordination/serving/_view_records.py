"""Records of a group's views in the store: reading, adding and settling them."""

from __future__ import annotations

from collections.abc import Iterable

import eventlet
from result import Err, Result

from gooseberryrun._internal.state.serving import (
    Member,
    OwnershipState,
    Position,
    RecordedView,
    RecordedViews,
    View,
    ViewRecords,
)

from .._events import log_event
from .._tasks import run_protected
from ._context import Context
from ._store_port import StoreFault


class ViewRecordAccess:
    """Reads and adds the recorded views of one group."""

    def __init__(self, ctx: Context, group: str, ownership: OwnershipState) -> None:
        self._ctx = ctx
        self._group = group
        self._ownership = ownership
        self._known = RecordedViews()
        self._is_closed = False

    @property
    def newest(self) -> RecordedView:
        """Return the newest record that was read."""
        return self._known.newest

    def close(self) -> None:
        """Record nothing more."""
        self._is_closed = True

    def fetch(self) -> list[View] | None:
        """Return the views that were recorded since the last read, None if unread."""
        read = self._ctx.ports.store.read_views(self._group, self._known.end)
        if isinstance(read, Err):
            log_event("views_unread", level="warning", why=read.err_value.detail)
            return None
        return self._known.read(read.ok_value)

    def record_next(
        self, generation: int, members: Iterable[Member]
    ) -> View | bool | None:
        """Record the members of a newer generation and return the view.

        Returns False if others have recorded one since, None if that is not known. The
        members may have been listed before the newest view was read.
        """
        if self._known.end is None:
            return None
        if generation <= self._known.newest.view.generation:
            return False
        record = self._known.newest.next(generation, members)
        recorded = self._record(record, self._known.end)
        if not recorded:
            return recorded
        self.schedule_settling(record)
        return record.view

    def _record(self, record: RecordedView, end: Position) -> bool | None:
        view = record.view
        recorded = self._ctx.ports.store.record_view(self._group, record, end)
        log_event(
            "view_recorded",
            group=self._group,
            generation=view.generation,
            previous=view.previous_generation,
            members=len(view.members),
            earlier=len(record.earlier),
            outcome=_describe(recorded),
        )
        if isinstance(recorded, Err):
            return None
        if recorded.ok_value:
            self._known.read(ViewRecords([record], end.next()))
        return recorded.ok_value

    def schedule_settling(self, record: RecordedView) -> None:
        """Record a view as settled when it has been in force for a lease."""
        if not record.earlier:
            return
        eventlet.spawn_after(
            self._ctx.cfg.membership.lease_s,
            run_protected,
            "view_settling",
            lambda: self._settle(record),
        )

    def _settle(self, record: RecordedView) -> None:
        end = self._known.end
        generation = self._ownership.view.generation
        is_newest = generation == record.view.generation
        if end is None or self._is_closed or not is_newest:
            return
        if self._known.newest == record:
            self._record(record.settled(), end)


def _describe(recorded: Result[bool, StoreFault]) -> str:
    """Return the outcome of an attempt to record a view, for the log."""
    if isinstance(recorded, Err):
        return recorded.err_value.detail
    return "recorded" if recorded.ok_value else "outrun"
