"""Log lines never wait for their reader."""

from __future__ import annotations

import os
import time

from gooseberryrun._internal.logs import LineWriter


def test_stalled_reader_loses_lines_and_delays_nothing() -> None:
    read_fd, write_fd = os.pipe()
    writer = LineWriter(write_fd, max_lines=100)
    line = "x" * 1000
    for _ in range(500):
        writer.put(line)
    # Nobody read so far, and every call has returned.
    received = b""
    writer_deadline = time.monotonic() + 10
    while b"log_lines_dropped" not in received:
        writer.put("more")
        received += os.read(read_fd, 65536)
        assert time.monotonic() < writer_deadline
    assert received.count(line.encode()) < 500
