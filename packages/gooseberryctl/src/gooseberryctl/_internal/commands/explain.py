"""``explain``: the log lines of one request, with those of its runners and VMs."""

from __future__ import annotations

from typing import Any, ClassVar, TextIO

import click

from gooseberryctl._internal.base_command import BaseCommand
from gooseberryctl._internal.log_lines import LogLine, LogReader
from gooseberryctl._internal.session import Session

STATEMENT_EVENTS = frozenset(
    {
        "runner_limit",
        "runner_leaving",
        "runner_pause",
        "runner_pause_ended",
    }
)
"""Events that tell what a runner said of itself in a response."""
LIMITED_REASON = "runners_limited"
"""Reason of a request that was refused for what all its runners had said."""
RUNNER_EVENTS = STATEMENT_EVENTS | frozenset(
    {
        "record_applied",
        "runner_owned",
        "runner_released",
        "runner_gone",
        "crash_seen",
        "report_unread",
        "handed_over",
        "handover_heard",
    }
)
"""Events that change what a VM knows about a runner."""
VM_EVENTS = frozenset(
    {
        "store_lost",
        "store_regained",
        "membership_lost",
        "membership_regained",
        "store_epoch",
        "records_expired",
        "record_rolled_back",
        "software_mixed",
        "software_uniform",
        "stop_requested",
        "requests_ended",
        "started",
        "view_adopted",
    }
)
"""Events that change the state of a VM or what it can reach."""
MAX_CONTEXT_LINES = 40
"""Most lines of context shown; the newest are kept."""


class ExplainCommand(BaseCommand):
    """Shows the log lines of a request and the events that preceded them."""

    name = "explain"
    summary = "Show the log lines of a request in context; - reads standard input."
    needs_server: ClassVar[bool] = False

    def parameters(self) -> list[click.Parameter]:
        """Return the id of the request and the log files of any number of VMs."""
        return [
            click.Argument(["request_id"]),
            click.Argument(["logs"], nargs=-1, required=True, type=click.File("r")),
        ]

    def run(self, session: Session, **arguments: Any) -> dict[str, Any]:
        """Return the lines of the request and its context, ordered by time."""
        reader = LogReader()
        lines = _read_all(reader, arguments["logs"])
        matches = [
            x for x in lines if x.fields.get("request") == arguments["request_id"]
        ]
        shown = sorted(
            [*matches, *_context(lines, matches)], key=lambda line: line.time
        )
        notes = (
            [f"{reader.unreadable} lines were no events"] if reader.unreadable else []
        )
        if not matches:
            notes.append("no line names this request")
        return {"rows": [_row(line) for line in shown], "notes": notes}


def _read_all(reader: LogReader, logs: tuple[TextIO, ...]) -> list[LogLine]:
    return [line for log in logs for line in reader.read(log.name, log)]


def _context(lines: list[LogLine], matches: list[LogLine]) -> list[LogLine]:
    """Return the events of the matches' runners and VMs up to the last match."""
    if not matches:
        return []
    runners = {line.fields["runner"] for line in matches if "runner" in line.fields}
    vms = {line.vm for line in matches}
    is_limited = any(m.fields.get("reason") == LIMITED_REASON for m in matches)
    end = max(line.time for line in matches)
    found = [
        line
        for line in lines
        if line.time <= end
        and line.vm in vms
        and _is_context(line, runners, is_limited)
    ]
    return sorted(found, key=lambda line: line.time)[-MAX_CONTEXT_LINES:]


def _is_context(line: LogLine, runners: set[str], is_limited: bool) -> bool:
    if line.event in VM_EVENTS:
        return True
    if is_limited and line.event in STATEMENT_EVENTS:
        return True
    runner = line.fields.get("runner") or line.fields.get("key", "")
    return line.event in RUNNER_EVENTS and runner in runners


def _row(line: LogLine) -> dict[str, str]:
    details = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return {
        "time": line.time,
        "vm": line.vm,
        "event": line.event,
        "details": details,
    }
