"""Non-blocking log output on standard output, with a bounded queue."""

from __future__ import annotations

import logging as stdlib_logging
import time
from collections import deque
from typing import Any

from absl import flags, logging
from eventlet import patcher

from gooseberryrun._internal.coordination import LOG_LINES_DROPPED, write_lines_to

MAX_QUEUED_LINES = 20000
"""Lines queued while the reader of standard output is slow; more are dropped."""
BATCH_INTERVAL_S = 0.05
"""Time for which lines are collected before they are written together; each wake-up
of the writer thread delays the other threads."""
MAX_WRITE_LINES = 500
TIME_FORMAT = "%Y-%m-%dT%H:%M:%S"
STANDARD_OUTPUT = 1

_os: Any = patcher.original("os")
_threading: Any = patcher.original("threading")
_time: Any = patcher.original("time")


class LineWriter:
    """Writes lines in its own thread, so that a stalled reader never blocks callers."""

    def __init__(self, fd: int, max_lines: int = MAX_QUEUED_LINES) -> None:
        self._fd = fd
        self._max_lines = max_lines
        self._lines: deque[bytes] = deque()
        self._ready = _threading.Semaphore(0)
        self._is_notified = False
        self._dropped = 0
        thread = _threading.Thread(target=self._write_all, daemon=True)
        thread.start()

    def put(self, line: str) -> None:
        """Queue a line, or drop and count it if the queue is full."""
        if len(self._lines) >= self._max_lines:
            self._dropped += 1
            LOG_LINES_DROPPED.inc()
            return
        self._lines.append(line.encode() + b"\n")
        if not self._is_notified:
            self._is_notified = True
            self._ready.release()

    def flush(self, deadline: float) -> None:
        """Wait until the queue is written or the monotonic ``deadline`` has passed."""
        while self._lines and time.monotonic() < deadline:
            time.sleep(0.01)

    def _write_all(self) -> None:
        while True:
            self._ready.acquire()
            _time.sleep(BATCH_INTERVAL_S)
            # Cleared before writing: lines queued from here on wake the thread again.
            self._is_notified = False
            while self._lines:
                self._write_batch()

    def _write_batch(self) -> None:
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
                data = data[_os.write(self._fd, data) :]
            except BlockingIOError:
                _time.sleep(0.01)
            except OSError:
                # The reader has closed the pipe, so the error cannot be reported.
                return


class _LineHandler(stdlib_logging.Handler):
    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self._writer = writer

    def emit(self, record: stdlib_logging.LogRecord) -> None:
        self._writer.put(self.format(record))


def start_stdout_logging() -> LineWriter:
    """Direct the log of this process to standard output."""
    _skip_unused_fields()
    flags.FLAGS(["gooseberryrun"])
    logging.set_verbosity(logging.INFO)
    writer = LineWriter(STANDARD_OUTPUT)
    handler = _LineHandler(writer)
    handler.setFormatter(make_log_formatter())
    absl_logger = logging.get_absl_logger()
    absl_logger.propagate = False
    absl_logger.handlers[:] = [handler]
    write_lines_to(_EventLines(writer).write)
    return writer


class _EventLines:
    """Writes events as the formatter of log lines does."""

    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer
        self._second = -1.0
        self._time = ""

    def write(self, level: str, text: str) -> None:
        """Write the text of one event; the time is formatted once a second."""
        second, fraction = divmod(time.time(), 1.0)
        if second != self._second:
            self._second = second
            self._time = time.strftime(TIME_FORMAT, time.gmtime(second))
        milliseconds = int(fraction * 1000)
        stamp = f"time={self._time}.{milliseconds:03d}Z"
        self._writer.put(f"{stamp} level={level.upper()} {text}")


def _skip_unused_fields() -> None:
    """Record neither caller, thread nor process of a line, which no line contains.

    They are half of the cost of a line; the documentation of ``logging`` names these
    switches under "Optimization".
    """
    switches: Any = stdlib_logging
    switches._srcfile = None
    switches.logThreads = False
    switches.logProcesses = False
    switches.logMultiprocessing = False
    switches.logAsyncioTasks = False


def make_log_formatter() -> stdlib_logging.Formatter:
    """Return the formatter of log lines: time in UTC, level and message."""
    stdlib_logging.Formatter.converter = time.gmtime
    return stdlib_logging.Formatter(
        "time=%(asctime)s.%(msecs)03dZ level=%(levelname)s %(message)s",
        datefmt=TIME_FORMAT,
    )
