"""Views of a group in the order in which the store has recorded them."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ._epochs import Position
from ._views import Member, View

MAX_EARLIER_VIEWS = 6
"""Earlier views that a record names; with more of them nothing is resumed by it."""


class RecordedView(msgspec.Struct, frozen=True):
    """Record of a view that is to be put in force.

    ``earlier`` are the members of the views by which others may still own something:
    from the last settled one on, oldest first, without repetitions. When a view has
    been in force for a lease, it is recorded once more without them, as settled.
    """

    view: View
    earlier: tuple[tuple[Member, ...], ...] = ()

    @staticmethod
    def listed(members: Iterable[Member]) -> RecordedView:
        """Return what stands for a record of members that are only listed."""
        return RecordedView(View(0, tuple(members)))

    def next(self, generation: int, members: Iterable[Member]) -> RecordedView:
        """Return the record of the members listed at a newer generation."""
        view = View(generation, tuple(members), self.view.generation)
        if not self.view.generation:
            return RecordedView(view)
        earlier = tuple(dict.fromkeys((*self.earlier, self.view.members)))
        if len(earlier) > MAX_EARLIER_VIEWS:
            # A view without members assigns nothing to anybody.
            earlier = ((),)
        return RecordedView(view, earlier)

    def settled(self) -> RecordedView:
        """Return the record of the view when it has been in force for a lease."""
        return RecordedView(self.view)


class ViewRecords(msgspec.Struct, frozen=True):
    """Recorded views of a group; ``end`` is where the next one is recorded."""

    records: list[RecordedView]
    end: Position


class RecordedViews:
    """What a VM has read of the recorded views of a group.

    Of each generation the first recorded view counts, and none that comes after one of
    a newer generation, so that all VMs that read the records use the same views.
    """

    def __init__(self) -> None:
        self.newest = RecordedView(View(0, ()))
        self.end: Position | None = None

    def read(self, read: ViewRecords) -> list[View]:
        """Add records from ``end`` on; return the views that count, oldest first."""
        if self.end is None or self.end.epoch != read.end.epoch:
            self.newest = RecordedView(View(0, ()))
        counted = []
        for record in read.records:
            if record.view.generation > self.newest.view.generation:
                self.newest = record
                counted.append(record.view)
            elif record == self.newest.settled():
                self.newest = record
        self.end = read.end
        return counted
