"""Which runners have a prompt prefix in their caches, as far as reported."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

MAX_PREFIXES = 4096
"""Prefixes that one table holds; the oldest are removed first."""


class CacheEvent(msgspec.Struct, frozen=True):
    """Change of an engine's prefix cache; sequence numbers may have gaps.

    ``cached`` is whether the prefix was added or evicted.
    """

    seq: int
    prefix: str
    cached: bool


class PrefixTable:
    """Runner that last reported each prefix as cached.

    Entries are hints: a wrong one only means that the prefix is computed again.
    """

    def __init__(self) -> None:
        self._runners: OrderedDict[str, str] = OrderedDict()

    def runner(self, prefix: str) -> str | None:
        """Return the runner that probably has the prefix cached, if any."""
        return self._runners.get(prefix)

    def record_report(self, prefix: str, runner: str, cached: bool) -> None:
        """Record one report of a runner; an empty prefix is ignored."""
        if not prefix:
            return
        if cached:
            self._runners[prefix] = runner
            self._runners.move_to_end(prefix)
            if len(self._runners) > MAX_PREFIXES:
                self._runners.popitem(last=False)
        elif self._runners.get(prefix) == runner:
            del self._runners[prefix]


class PrefixCacheView:
    """Content of one runner's prefix cache, rebuilt from delayed events with gaps.

    A gap discards all earlier state, since the missing events may have reverted it.
    """

    def __init__(self) -> None:
        self._cached: OrderedDict[str, None] = OrderedDict()
        self._evicted: OrderedDict[str, None] = OrderedDict()
        self.seq = 0

    def reset_view(self) -> None:
        """Discard all state: a restarted runner has an empty cache and new numbers."""
        self._cached.clear()
        self._evicted.clear()
        self.seq = 0

    def apply_events(self, events: Iterable[CacheEvent]) -> None:
        """Apply events in the order of their numbers; repeated events are ignored."""
        for event in events:
            if event.seq <= self.seq:
                continue
            if event.seq != self.seq + 1 and self.seq:
                self._cached.clear()
                self._evicted.clear()
            self.seq = event.seq
            target, other = (
                (self._cached, self._evicted)
                if event.cached
                else (self._evicted, self._cached)
            )
            other.pop(event.prefix, None)
            target[event.prefix] = None
            target.move_to_end(event.prefix)
            if len(target) > MAX_PREFIXES:
                target.popitem(last=False)

    def is_cached(self, prefix: str) -> bool | None:
        """Return whether a prefix is cached; None if not known since a gap."""
        if prefix in self._cached:
            return True
        return False if prefix in self._evicted else None
