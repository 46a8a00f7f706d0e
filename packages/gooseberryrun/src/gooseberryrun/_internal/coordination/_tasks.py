"""Green threads that survive bugs, and tasks with mailboxes."""

from __future__ import annotations

import os
import traceback
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Generic, TypeVar

import eventlet
from eventlet.queue import LightQueue

from gooseberryrun._internal.state import InvariantError

from ._events import log_event
from ._metrics import INTERNAL_ERRORS

EXIT_BROKEN_INVARIANT = 70
"""Exit status of a process that a broken invariant stops."""
RESTART_PAUSE_S = 0.5
"""Pause before a green thread that a bug ended is restarted."""

M = TypeVar("M")


def run_protected(name: str, function: Callable[[], None]) -> bool:
    """Run a function; log an unexpected exception and return False.

    A broken invariant stops the process.
    """
    try:
        function()
        return True
    except InvariantError as exc:
        log_event("invariant_broken", level="error", task=name, detail=str(exc))
        os._exit(EXIT_BROKEN_INVARIANT)
    except Exception:
        INTERNAL_ERRORS.labels(task=name).inc()
        log_event(
            "internal_error", level="error", task=name, detail=traceback.format_exc()
        )
    return False


def spawn(name: str, function: Callable[[], None]) -> None:
    """Run a function in a new green thread."""
    eventlet.spawn(run_protected, name, function)


def spawn_until_done(name: str, function: Callable[[], None]) -> None:
    """Run a function in a new green thread; restart it after a bug until it returns."""

    def loop() -> None:
        while not run_protected(name, function):
            eventlet.sleep(RESTART_PAUSE_S)

    eventlet.spawn(loop)


def spawn_periodic(name: str, interval_s: float, function: Callable[[], None]) -> None:
    """Run a function in a new green thread, with pauses of ``interval_s`` seconds."""

    def loop() -> None:
        while True:
            run_protected(name, function)
            eventlet.sleep(interval_s)

    eventlet.spawn(loop)


class Task(ABC, Generic[M]):
    """Green thread that owns its state and handles one message at a time."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._mailbox = LightQueue()

    def start(self) -> None:
        """Start handling messages."""
        eventlet.spawn(self._run)

    def post(self, message: M) -> None:
        """Put a message into the mailbox; never blocks."""
        self._mailbox.put_nowait(message)

    def _run(self) -> None:
        while True:
            self._handle_next()

    def _handle_next(self) -> None:
        message = self._mailbox.get()
        run_protected(self._name, lambda: self.handle(message))

    @abstractmethod
    def handle(self, message: M) -> None:
        """Handle one message."""
