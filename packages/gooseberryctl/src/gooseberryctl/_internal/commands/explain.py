"""``explain``: the story of one request, from the logs of the entry VMs."""

from __future__ import annotations

from typing import Any, ClassVar, TextIO

import click

from gooseberryctl._internal.base_command import BaseCommand
from gooseberryctl._internal.log_lines import LogLine, LogReader
from gooseberryctl._internal.session import Session

BELIEF_EVENTS = frozenset(
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
"""Events that change what is believed of a runner."""
VM_EVENTS = frozenset(
    {
        "store_lost",
        "store_regained",
        "membership_lost",
        "membership_regained",
        "stop_requested",
        "started",
        "view_adopted",
    }
)
"""Events that change what a VM can do."""
MAX_CONTEXT = 40
"""Lines of context that are shown, the newest ones."""


class ExplainCommand(BaseCommand):
    """Finds the lines of a request and what was believed when they were written."""

    name = "explain"
    summary = "Tell the story of a request from log files; - reads standard input."
    needs_server: ClassVar[bool] = False

    def parameters(self) -> list[click.Parameter]:
        """Take the id of the request and the logs of any number of VMs."""
        return [
            click.Argument(["request_id"]),
            click.Argument(["logs"], nargs=-1, required=True, type=click.File("r")),
        ]

    def run(self, session: Session, **arguments: Any) -> dict[str, Any]:
        """Return the lines in the order of their times."""
        reader = LogReader()
        lines = _read_all(reader, arguments["logs"])
        story = [x for x in lines if x.fields.get("request") == arguments["request_id"]]
        shown = sorted([*story, *_context(lines, story)], key=lambda line: line.time)
        notes = (
            [f"{reader.unreadable} lines were no events"] if reader.unreadable else []
        )
        if not story:
            notes.append("no line names this request")
        return {"rows": [_row(line) for line in shown], "notes": notes}


def _read_all(reader: LogReader, logs: tuple[TextIO, ...]) -> list[LogLine]:
    return [line for log in logs for line in reader.read(log.name, log)]


def _context(lines: list[LogLine], story: list[LogLine]) -> list[LogLine]:
    """Return what was learnt of the story's runners and VMs up to its end."""
    if not story:
        return []
    runners = {line.fields["runner"] for line in story if "runner" in line.fields}
    vms = {line.vm for line in story}
    end = max(line.time for line in story)
    found = [
        line
        for line in lines
        if line.time <= end and line.vm in vms and _concerns(line, runners)
    ]
    return sorted(found, key=lambda line: line.time)[-MAX_CONTEXT:]


def _concerns(line: LogLine, runners: set[str]) -> bool:
    if line.event in VM_EVENTS:
        return True
    named = line.fields.get("runner") or line.fields.get("key", "")
    return line.event in BELIEF_EVENTS and named in runners


def _row(line: LogLine) -> dict[str, str]:
    details = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return {
        "time": line.time,
        "vm": line.vm,
        "event": line.event,
        "details": details,
    }
