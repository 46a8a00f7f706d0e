"""Writing a log line never blocks, however slow the reader of the output is."""

from __future__ import annotations

import os
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
