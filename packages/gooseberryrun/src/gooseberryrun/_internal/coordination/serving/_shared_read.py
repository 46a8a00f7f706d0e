"""One read at a time for all green threads that need its result."""

from __future__ import annotations

from collections.abc import Callable

from eventlet.event import Event
from eventlet.timeout import Timeout

from .._tasks import spawn


class SharedRead:
    """Runs ``read`` in a green thread named ``name``, once for all that wait for it.

    ``read`` returns whether it succeeded.
    """

    def __init__(self, name: str, read: Callable[[], bool]) -> None:
        self._name = name
        self._read = read
        self._reading: Event | None = None

    def wait(self, timeout_s: float | None = None) -> bool:
        """Join the read that runs or start one; return whether it succeeded in time.

        A read that takes longer goes on for those that wait longer.
        """
        if self._reading is None:
            self._reading = Event()
            spawn(self._name, self._run)
        reading = self._reading
        with Timeout(timeout_s, False):
            return bool(reading.wait())
        return False

    def _run(self) -> None:
        is_read = False
        try:
            is_read = self._read()
        finally:
            reading, self._reading = self._reading, None
            if reading is not None:
                reading.send(is_read)
