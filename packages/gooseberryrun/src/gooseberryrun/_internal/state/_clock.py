"""Sources of time."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of monotonic and calendar time, in seconds."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds of a clock that never goes backwards; used for deadlines."""

    @abstractmethod
    def boottime(self) -> float:
        """Return monotonic seconds that also count while the VM is suspended."""

    @abstractmethod
    def unix(self) -> float:
        """Return seconds since the Unix epoch; used only for the age of records."""


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
    """Clock that is advanced by assigning to ``now``, for virtual time."""

    def __init__(self, now: float = 0.0) -> None:
        self.now = now
        self._suspended_s = 0.0

    def suspend(self, seconds: float) -> None:
        """Simulate a suspension of the VM, which only ``boottime`` counts."""
        self._suspended_s += seconds

    def monotonic(self) -> float:
        """Return ``now``."""
        return self.now

    def boottime(self) -> float:
        """Return ``now`` plus the total time of suspensions."""
        return self.now + self._suspended_s

    def unix(self) -> float:
        """Return ``now``."""
        return self.now
