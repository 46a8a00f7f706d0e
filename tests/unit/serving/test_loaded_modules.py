"""In platform mode no module is loaded that only standalone mode needs."""

from __future__ import annotations

import subprocess
import sys

SCRIPT = """
import dataclasses
import sys
made = []
make = dataclasses._process_class
def count(cls, *args):
    made.append(cls)
    return make(cls, *args)
dataclasses._process_class = count
import gooseberryrun.__main__
import gooseberryrun_platform.__main__
print("\\n".join(sys.modules))
print("data_classes", len(made))
"""
STANDALONE_MODULES = [
    "lark",
    "gooseberryrun._internal.app",
    "gooseberryrun._internal.protocol._language",
    "gooseberryrun._internal.coordination._leases",
    "gooseberryrun._internal.coordination._once",
    "gooseberryrun._internal.coordination._scheduler",
    "gooseberryrun._internal.state._ledger",
    "gooseberryrun._internal.transport._http_server",
]


HEAVY_LIBRARIES = ["opentelemetry", "pydantic", "lark"]
MOST_DATA_CLASSES = 60


def _load() -> list[str]:
    """Return what a process prints that loads the modules of platform mode."""
    command = [sys.executable, "-W", "ignore", "-c", SCRIPT]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert "gooseberryrun_platform._store" in done.stdout, done.stderr
    return done.stdout.split()


def test_the_platforms_process_loads_no_grammar_ledger_or_scheduler() -> None:
    """Imports take most of a VM's memory and of the time to its first request."""
    assert not set(_load()) & set(STANDALONE_MODULES)


def test_the_platforms_process_loads_no_library_for_one_small_thing() -> None:
    """Guards against a third of the processor time of a start.

    pydantic took a sixth of it to validate the settings, and opentelemetry was loaded,
    and asked for each log line, in a mode that traces nothing.
    """
    assert not set(_load()) & set(HEAVY_LIBRARIES)


def test_few_classes_are_compiled_at_the_start() -> None:
    """Guards against data classes, each of which compiles its methods for 1 ms.

    There were 197, now there are 55; structs take a thirtieth of that.
    """
    count = int(_load()[-1])
    assert count <= MOST_DATA_CLASSES
