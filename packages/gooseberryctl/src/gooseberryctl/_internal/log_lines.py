"""Log lines of entry VMs, read from files."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event: when and where it happened, and its fields."""

    time: str
    vm: str
    event: str
    fields: dict[str, str]


@dataclass(slots=True)
class LogReader:
    """Parses lines, counting those that are no event."""

    unreadable: int = 0
    _vms: dict[str, str] = field(default_factory=dict)

    def read(self, source: str, lines: Iterable[str]) -> Iterator[LogLine]:
        """Yield the events of one file.

        A VM is named by what stands before the time, by the file's line of its start,
        or else by the file.
        """
        for line in lines:
            parsed = self._parse(source, line)
            if parsed is not None:
                yield parsed

    def _parse(self, source: str, line: str) -> LogLine | None:
        prefix, marker, rest = line.rstrip("\n").partition("time=")
        pairs = {name: value.strip('"') for name, value in _PAIR.findall(marker + rest)}
        if "event" not in pairs or "time" not in pairs:
            self.unreadable += bool(line.strip())
            return None
        if pairs["event"] == "started" and "vm" in pairs:
            self._vms[source] = pairs["vm"]
        label = prefix.split()
        vm = label[-1] if label else self._vms.get(source, source)
        time = pairs.pop("time")
        event = pairs.pop("event")
        pairs.pop("level", None)
        return LogLine(time, vm, event, pairs)
