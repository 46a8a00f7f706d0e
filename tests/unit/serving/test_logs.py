"""Writing a log line never blocks, however slow the reader of the output is."""

from __future__ import annotations

import os
import re
import subprocess
import sys
import threading
import time

import pytest
from gooseberryrun._internal import logs
from gooseberryrun._internal.logs import LineWriter


def test_stalled_reader_loses_lines_and_delays_nothing() -> None:
    read_fd, write_fd = os.pipe()
    writer = LineWriter(write_fd, max_lines=100)
    line = "x" * 1000
    for _ in range(500):
        writer.put(line)
    # Nothing was read from the pipe so far, and no call has blocked.
    received = b""
    writer_deadline = time.monotonic() + 10
    while b"log_lines_dropped" not in received:
        writer.put("more")
        received += os.read(read_fd, 65536)
        assert time.monotonic() < writer_deadline
    assert received.count(line.encode()) < 500


class BlockedSleep:
    """Stands in for ``time``; its sleeps last until ``released`` is set."""

    def __init__(self) -> None:
        self.released = threading.Event()

    def sleep(self, _seconds: float) -> None:
        self.released.wait(30)


def test_lines_of_a_moment_are_written_together(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each wake-up of the writer thread takes processor time from requests."""
    read_end, write_end = os.pipe()
    blocked = BlockedSleep()
    monkeypatch.setattr(logs, "_time", blocked)
    writer = LineWriter(write_end)
    for number in range(100):
        writer.put(f"event=e number={number}")
    blocked.released.set()
    # All lines arrive in one read, since one write put them into the pipe.
    received = os.read(read_end, 65536)
    assert received.splitlines()[99:] == [b"event=e number=99"]


PROGRAM = """
import sys
import time
import gooseberryrun.__main__
from gooseberryrun._internal.coordination import log_event
from gooseberryrun._internal.logs import start_stdout_logging

writer = start_stdout_logging()
for number in range(3):
    log_event("request", number=number)
    writer.flush(time.monotonic() + 5)
    assert not writer._lines, "the writer has ended"
"""


def _run_writer(stdout: int) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-W", "ignore", "-c", PROGRAM]
    return subprocess.run(
        command, stdout=stdout, stderr=subprocess.PIPE, text=True, timeout=60
    )


def test_lines_have_time_level_and_event() -> None:
    """Guards against fields that are missing since they are no longer recorded."""
    lines = _run_writer(subprocess.PIPE).stdout.splitlines()
    pattern = r"time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=INFO event=request "
    assert len(lines) == 3
    assert all(re.match(pattern + f"number={n}$", line) for n, line in enumerate(lines))


def test_writer_survives_an_output_that_cannot_be_polled() -> None:
    """Guards against a writer thread that ends on ``/dev/null``, which epoll refuses.

    Eventlet's write waits for the output in an event loop of the writer's thread.
    """
    run = _run_writer(subprocess.DEVNULL)
    assert "Traceback" not in run.stderr, run.stderr
