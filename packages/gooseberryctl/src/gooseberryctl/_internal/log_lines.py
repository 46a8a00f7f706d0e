"""Parser of the log files of entry VMs."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

_KEY_VALUE = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One logged event, without its level; ``time`` is the logged text."""

    time: str
    vm: str
    event: str
    fields: dict[str, str]


@dataclass(slots=True)
class LogReader:
    """Parses log lines; ``unreadable`` counts lines without a time or an event."""

    unreadable: int = 0
    _vms: dict[str, str] = field(default_factory=dict)

    def read(self, source: str, lines: Iterable[str]) -> Iterator[LogLine]:
        """Yield the events of one file.

        The VM of an event is the last word before its time, or else the VM of the
        file's latest ``started`` event, or else the name of the file.
        """
        for line in lines:
            parsed = self._parse(source, line)
            if parsed is not None:
                yield parsed

    def _parse(self, source: str, line: str) -> LogLine | None:
        prefix, marker, rest = line.rstrip("\n").partition("time=")
        pairs = {
            name: value.strip('"') for name, value in _KEY_VALUE.findall(marker + rest)
        }
        if "event" not in pairs or "time" not in pairs:
            self.unreadable += bool(line.strip())
            return None
        if pairs["event"] == "started" and "vm" in pairs:
            self._vms[source] = pairs["vm"]
        prefix_words = prefix.split()
        vm = prefix_words[-1] if prefix_words else self._vms.get(source, source)
        time = pairs.pop("time")
        event = pairs.pop("event")
        pairs.pop("level", None)
        return LogLine(time, vm, event, pairs)
