"""Views of a group that a VM has adopted, and what they have assigned to it."""

from __future__ import annotations

import msgspec

from ._recorded_views import RecordedView
from ._views import Assignable, Member, View

MAX_ADOPTED_VIEWS = 32
"""Adopted views that are kept; successive views with the same members count as one."""


class _AdoptedView(msgspec.Struct, frozen=True):
    """View with the time of its adoption.

    ``first_generation`` is the generation of the first in a run of views with the same
    members. The view of the predecessor, the previous process on this VM, allows no
    orders. Before one that ``is_after_gap`` the group had views that this VM missed.
    """

    view: View
    first_generation: int
    at: float
    is_predecessor: bool = False
    is_after_gap: bool = False


class Assignment(msgspec.Struct, frozen=True):
    """Time and generation from which on a runner is assigned to this VM."""

    since: float
    generation: int


class AdoptedViews:
    """Views that this VM has adopted, oldest first; the last one is in force."""

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._adopted: list[_AdoptedView] = []
        self._owners: dict[str, Member | None] = {}

    @property
    def view(self) -> View:
        """Return the view in force on this VM."""
        return self._adopted[-1].view if self._adopted else View(0, ())

    def has_adopted(self) -> bool:
        """Return whether a view was adopted since the start of this process."""
        return bool(self._adopted) and not self._adopted[-1].is_predecessor

    def clear(self) -> None:
        """Forget all views."""
        self._adopted.clear()
        self._owners.clear()

    def resume_predecessor(self, record: RecordedView, now: float) -> None:
        """Put the views of the previous process on this VM before all others.

        A peer may have sent a view before the store was read.
        """
        newest = record.view
        if self._adopted and not self._adopted[0].view.continues(newest):
            self._adopted[0] = msgspec.structs.replace(
                self._adopted[0], is_after_gap=True
            )
        earlier = [View(0, members) for members in record.earlier]
        views = [*earlier, newest]
        self._adopted[:0] = [
            _AdoptedView(view, 0, now, is_predecessor=True) for view in views
        ]
        self._owners.clear()

    def adopt(self, view: View, now: float, is_after_gap: bool = False) -> None:
        """Put a view in force, with a gap if there were others since the last one."""
        last = self._adopted[-1] if self._adopted else None
        is_same = last is not None and last.view.members == view.members
        if last and is_same and not last.is_predecessor and not is_after_gap:
            self._adopted[-1] = msgspec.structs.replace(last, view=view)
        else:
            adopted = _AdoptedView(
                view, view.generation, now, is_after_gap=is_after_gap
            )
            self._adopted.append(adopted)
            del self._adopted[:-MAX_ADOPTED_VIEWS]
        self._owners.clear()

    def owner_of(self, runner: Assignable) -> Member | None:
        """Return the member that the view in force assigns a runner to."""
        if runner.id not in self._owners:
            self._owners[runner.id] = self.view.owner_of(runner)
        return self._owners[runner.id]

    def generation_at(self, at: float) -> int:
        """Return the first generation of the view in force at a time, 0 if none was."""
        earlier = [a.first_generation for a in self._adopted if a.at <= at]
        return earlier[-1] if earlier else 0

    def is_resumed(self, runner: Assignable) -> bool:
        """Return whether every view since the predecessor's assigns the runner here."""
        assigned = [
            self._assigns(adopted.view, runner) and not adopted.is_after_gap
            for adopted in self._adopted
        ]
        return all(assigned) and self._adopted[0].is_predecessor

    def assignment(self, runner: Assignable) -> Assignment | None:
        """Return since when the runner has been assigned to this VM without a break."""
        owner = self.owner_of(runner)
        if owner is None or owner.vm != self._vm:
            return None
        if self._adopted[-1].is_predecessor:
            return None
        first = len(self._adopted) - 1
        while first > 0 and not self._adopted[first].is_after_gap:
            earlier = self._adopted[first - 1]
            if earlier.is_predecessor or not self._assigns(earlier.view, runner):
                break
            first -= 1
        begun = self._adopted[first]
        return Assignment(begun.at, begun.first_generation)

    def _assigns(self, view: View, runner: Assignable) -> bool:
        """Return whether a view assigns the runner to this VM."""
        owner = view.owner_of(runner)
        return owner is not None and owner.vm == self._vm
