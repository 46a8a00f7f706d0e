"""Cause of each model request's outcome, from the log lines of its entry VM."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from enum import StrEnum

from .log_lines import LogLine


class Cause(StrEnum):
    """How a request ended; a late one by the longest part of its first event."""

    IN_TIME = "in_time"
    PAUSED = "paused"
    """A pause between two events was too long."""
    SLOT = "slot"
    """Late, mostly for an adapter: its slot and its load."""
    PROMPT = "prompt"
    """Late, mostly since long prompts before its own were read."""
    RUNNER = "runner"
    """Late, mostly at the runner."""
    REFUSED = "refused"
    LEFT = "left"
    """The caller closed the connection before the end."""
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """One model request; ``second`` is its end since the first line of the logs."""

    request: str
    vm: str
    route: str
    second: float
    cause: Cause
    detail: str


@dataclass(slots=True)
class _Waits:
    """Waits of one request so far, in seconds."""

    adapter_s: float = 0.0
    prompt_s: float = 0.0


@dataclass(slots=True)
class CauseReader:
    """Derives outcomes; ``incomplete`` counts lines whose figures are unusable."""

    incomplete: int = 0
    _waits: dict[str, _Waits] = field(default_factory=lambda: defaultdict(_Waits))

    def read(self, lines: Iterable[LogLine]) -> Iterator[RequestOutcome]:
        """Yield the outcome of each model request, given lines in order of time."""
        start: datetime | None = None
        for line in lines:
            try:
                at = datetime.fromisoformat(line.time)
                start = start or at
                outcome = self._read_line(line, (at - start).total_seconds())
            except (KeyError, ValueError):
                self.incomplete += 1
                continue
            if outcome is not None:
                yield outcome

    def _read_line(self, line: LogLine, second: float) -> RequestOutcome | None:
        request = line.fields.get("request", "")
        if line.event == "adapter_wait":
            self._waits[request].adapter_s += float(line.fields["took_s"])
        elif line.event == "prompt_admitted":
            self._waits[request].prompt_s += float(line.fields["ready_s"])
        elif line.event == "request" and "prompt_tokens" in line.fields:
            waits = self._waits.pop(request, _Waits())
            cause = _find_cause(line.fields, waits)
            detail = "" if cause is Cause.IN_TIME else line.fields["reason"]
            route = line.fields["route"]
            return RequestOutcome(request, line.vm, route, second, cause, detail)
        return None


def _find_cause(fields: dict[str, str], waits: _Waits) -> Cause:
    status = int(fields["status"])
    if status == 503:
        return Cause.REFUSED
    if status != 200:
        return Cause.LEFT if fields["reason"] == "caller_left" else Cause.FAILED
    first_event_s = float(fields["first_event_s"])
    if first_event_s > float(fields["target_s"]):
        return _find_delay(first_event_s, waits)
    max_pause_s = float(fields["max_pause_s"])
    is_paused = 0 < max_pause_s < float(fields["longest_pause_s"])
    return Cause.PAUSED if is_paused else Cause.IN_TIME


def _find_delay(first_event_s: float, waits: _Waits) -> Cause:
    """Return the longest part of the time to the first event."""
    parts = {
        Cause.SLOT: waits.adapter_s - waits.prompt_s,
        Cause.PROMPT: waits.prompt_s,
        Cause.RUNNER: first_event_s - waits.adapter_s,
    }
    return max(parts, key=lambda cause: parts[cause])
