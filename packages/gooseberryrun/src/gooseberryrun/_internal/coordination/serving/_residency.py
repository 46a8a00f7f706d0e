"""Which adapters each runner holds, as the owners of the runners tell."""

from __future__ import annotations

from collections.abc import Iterable

from gooseberryrun._internal.state import Clock
from gooseberryrun._internal.state.serving import RecentAdapters, Runner
from gooseberryrun._internal.state.serving.placement import HolderIndex

from .._serving_messages import ResidencyNotice

FORGET_S = 60.0
"""Age of a notice from which on that of an unregistered runner is dropped."""


class Residency:
    """Newest notice of each runner's owner, and the adapters that it held before."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._notices: dict[str, ResidencyNotice] = {}
        self._received_at: dict[str, float] = {}
        self._recent: dict[str, RecentAdapters] = {}
        self._holders = HolderIndex()

    def newest(self, runner: str) -> ResidencyNotice | None:
        """Return the newest notice of a runner, of any of its incarnations."""
        return self._notices.get(runner)

    def age_s(self, runner: str) -> float:
        """Return the age of a runner's newest notice, infinity if there is none."""
        received_at = self._received_at.get(runner, float("-inf"))
        return self._clock.monotonic() - received_at

    def update(self, notice: ResidencyNotice) -> None:
        """Store a notice unless a newer owner has sent one."""
        known = self._notices.get(notice.runner)
        if known is not None and (known.born_ms, known.fencing_token) > (
            notice.born_ms,
            notice.fencing_token,
        ):
            return
        self.record(notice)

    def record(self, notice: ResidencyNotice) -> None:
        """Store a notice and add its adapters to the recently held ones."""
        self._received_at[notice.runner] = self._clock.monotonic()
        self._notices[notice.runner] = notice
        recent = self._recent.setdefault(notice.runner, RecentAdapters())
        recent.record(notice.born_ms, notice.held)
        self._holders.replace(notice.runner, frozenset(notice.held))

    def held_recently(self, runner: Runner, adapter: str) -> bool:
        """Return whether a runner held an adapter recently and reloads it fast."""
        recent = self._recent.get(runner.id)
        return recent is not None and recent.contains(runner.born_ms, adapter)

    def some_holders(self, adapter: str, key: str, count: int) -> list[str]:
        """Return at most ``count`` runners that hold an adapter by their notices."""
        return self._holders.some(adapter, key, count)

    def runners(self) -> set[str]:
        """Return the runners of which there is a notice."""
        return set(self._notices)

    def drop_unregistered(self, registered: Iterable[str]) -> None:
        """Drop old notices of runners that are not registered any more."""
        for runner in self.runners().difference(registered):
            if self.age_s(runner) > FORGET_S:
                del self._notices[runner], self._received_at[runner]
                del self._recent[runner]
                self._holders.replace(runner, frozenset())
