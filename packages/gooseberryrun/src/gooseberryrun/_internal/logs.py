"""Log lines on standard output, bounded and never blocking."""

from __future__ import annotations

import logging as stdlib_logging
import os
import time
from collections import deque
from typing import Any

from absl import flags, logging
from eventlet import patcher

from gooseberryrun._internal.coordination import LOG_LINES_DROPPED

MAX_QUEUED_LINES = 20000
"""Lines kept while the reader of standard output is slow; later ones are dropped."""
GATHER_S = 0.05
"""Time for which lines are gathered before they are written together: each wake-up of
the writing thread holds the others up."""
MAX_WRITE_LINES = 500
STANDARD_OUTPUT = 1

_threading: Any = patcher.original("threading")
_time: Any = patcher.original("time")


class LineWriter:
    """Writes lines in a thread of its own, so that a stalled reader delays nothing."""

    def __init__(self, fd: int, max_lines: int = MAX_QUEUED_LINES) -> None:
        self._fd = fd
        self._max_lines = max_lines
        self._lines: deque[bytes] = deque()
        self._ready = _threading.Semaphore(0)
        self._is_awake = False
        self._dropped = 0
        thread = _threading.Thread(target=self._write_all, daemon=True)
        thread.start()

    def put(self, line: str) -> None:
        """Queue a line, or drop and count it if too many wait."""
        if len(self._lines) >= self._max_lines:
            self._dropped += 1
            LOG_LINES_DROPPED.inc()
            return
        self._lines.append(line.encode() + b"\n")
        if not self._is_awake:
            self._is_awake = True
            self._ready.release()

    def flush(self, deadline: float) -> None:
        """Wait until the queue is written or the deadline has passed."""
        while self._lines and time.monotonic() < deadline:
            time.sleep(0.01)

    def _write_all(self) -> None:
        while True:
            self._ready.acquire()
            _time.sleep(GATHER_S)
            # Lines that come from now on wake the thread again.
            self._is_awake = False
            while self._lines:
                self._write_some()

    def _write_some(self) -> None:
        dropped, self._dropped = self._dropped, 0
        if dropped:
            self._write(f"event=log_lines_dropped count={dropped}\n".encode())
        count = min(len(self._lines), MAX_WRITE_LINES)
        self._write(b"".join(self._lines[number] for number in range(count)))
        for _ in range(count):
            self._lines.popleft()

    def _write(self, data: bytes) -> None:
        while data:
            try:
                data = data[os.write(self._fd, data) :]
            except BlockingIOError:
                _time.sleep(0.01)
            except OSError:
                # Nobody reads any more, so there is nowhere to report it.
                return


class _LineHandler(stdlib_logging.Handler):
    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self._writer = writer

    def emit(self, record: stdlib_logging.LogRecord) -> None:
        self._writer.put(self.format(record))


def start_stdout_logs() -> LineWriter:
    """Send the log of this process to standard output."""
    flags.FLAGS(["gooseberryrun"])
    logging.set_verbosity(logging.INFO)
    writer = LineWriter(STANDARD_OUTPUT)
    handler = _LineHandler(writer)
    handler.setFormatter(line_format())
    absl_logger = logging.get_absl_logger()
    absl_logger.propagate = False
    absl_logger.handlers[:] = [handler]
    return writer


def line_format() -> stdlib_logging.Formatter:
    """Return the format of every log line."""
    stdlib_logging.Formatter.converter = time.gmtime
    return stdlib_logging.Formatter(
        "time=%(asctime)s.%(msecs)03dZ level=%(levelname)s %(message)s",
        datefmt="%Y-%m-%dT%H:%M:%S",
    )
