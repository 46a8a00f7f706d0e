"""Sources of time."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of monotonic and calendar time, in seconds."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back; used for deadlines."""

    @abstractmethod
    def boottime(self) -> float:
        """Return monotonic seconds that also count while the VM is suspended."""

    @abstractmethod
    def unix(self) -> float:
        """Return seconds since the Unix epoch; used for ageing records only."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return ``time.monotonic()``."""
        return time.monotonic()

    def boottime(self) -> float:
        """Return the time of ``CLOCK_BOOTTIME``."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix(self) -> float:
        """Return ``time.time()``."""
        return time.time()


class ManualClock(Clock):
    """Clock that moves only when told, for virtual time."""

    def __init__(self, now: float = 0.0) -> None:
        self.now = now
        self._suspended_s = 0.0

    def suspend(self, seconds: float) -> None:
        """Let time pass that only the clocks that count suspension show."""
        self._suspended_s += seconds

    def monotonic(self) -> float:
        """Return the time that was set."""
        return self.now

    def boottime(self) -> float:
        """Return the time that was set, with the time of suspensions."""
        return self.now + self._suspended_s

    def unix(self) -> float:
        """Return the time that was set."""
        return self.now
