"""Beliefs about which runner has a prompt prefix in its cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

MAX_PREFIXES = 4096
"""Prefixes that one table remembers; the oldest give way."""


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change of an engine's prefix cache; sequence numbers may have gaps."""

    seq: int
    prefix: str
    cached: bool


class PrefixTable:
    """Prefix by prefix, the runner that is believed to hold it.

    Beliefs are hints: a wrong one costs a prefix computed anew and nothing else.
    """

    def __init__(self) -> None:
        self._runners: OrderedDict[str, str] = OrderedDict()

    def runner(self, prefix: str) -> str | None:
        """Return the runner that is believed to hold a prefix."""
        return self._runners.get(prefix)

    def learn(self, prefix: str, runner: str, cached: bool) -> None:
        """Take one statement about a runner; an empty name is no prefix."""
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
    """What one runner's cache holds, as told by late events with gaps.

    After a gap nothing earlier is believed, for the missing events may have undone it;
    a runner that restarted begins with an empty cache.
    """

    def __init__(self) -> None:
        self._held: OrderedDict[str, None] = OrderedDict()
        self._removed: OrderedDict[str, None] = OrderedDict()
        self.seq = 0

    def reset_view(self) -> None:
        """Forget everything: the runner has restarted."""
        self._held.clear()
        self._removed.clear()
        self.seq = 0

    def apply_events(self, events: Iterable[CacheEvent]) -> None:
        """Take events in the order of their numbers; repeats are ignored."""
        for event in events:
            if event.seq <= self.seq:
                continue
            if event.seq != self.seq + 1 and self.seq:
                self._held.clear()
                self._removed.clear()
            self.seq = event.seq
            kept, other = (
                (self._held, self._removed)
                if event.cached
                else (self._removed, self._held)
            )
            other.pop(event.prefix, None)
            kept[event.prefix] = None
            kept.move_to_end(event.prefix)
            if len(kept) > MAX_PREFIXES:
                kept.popitem(last=False)

    def is_cached(self, prefix: str) -> bool | None:
        """Tell whether a prefix is cached, or None if the events do not say."""
        if prefix in self._held:
            return True
        return False if prefix in self._removed else None
