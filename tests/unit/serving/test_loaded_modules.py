"""In platform mode no module is loaded that only standalone mode needs."""

from __future__ import annotations

import subprocess
import sys

SCRIPT = """
import sys
import gooseberryrun.__main__
import gooseberryrun_platform.__main__
print("\\n".join(sys.modules))
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


def test_the_platforms_process_loads_no_grammar_ledger_or_scheduler() -> None:
    """Imports take most of a VM's memory and of the time to its first request."""
    command = [sys.executable, "-W", "ignore", "-c", SCRIPT]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    loaded = set(done.stdout.split())
    assert "gooseberryrun_platform._store" in loaded, done.stderr
    assert not loaded & set(STANDALONE_MODULES)
