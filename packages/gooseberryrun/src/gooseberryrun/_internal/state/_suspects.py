"""Requests that were in flight on runners when these crashed."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class _Suspicion:
    """Crashes of one request: monotonic times by runner and incarnation."""

    crashes: dict[tuple[str, str], float] = field(default_factory=dict)


class SuspectState:
    """Crashes by request fingerprint; each is valid for ``ttl_s`` seconds."""

    def __init__(self, crashes_to_refuse: int, ttl_s: float) -> None:
        self._crashes_to_refuse = crashes_to_refuse
        self._ttl_s = ttl_s
        self._by_fingerprint: dict[str, _Suspicion] = {}

    def record_crash(
        self, runner: str, incarnation: str, fingerprints: list[str], now: float
    ) -> list[str]:
        """Record a crash for each fingerprint in flight.

        Returns the fingerprints for which this crash was not yet recorded.
        """
        fresh = []
        for fingerprint in fingerprints:
            suspicion = self._by_fingerprint.setdefault(fingerprint, _Suspicion())
            if (runner, incarnation) not in suspicion.crashes:
                suspicion.crashes[(runner, incarnation)] = now
                fresh.append(fingerprint)
        return fresh

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Return the number of unexpired crashes with the request in flight."""
        suspicion = self._by_fingerprint.get(fingerprint)
        if suspicion is None:
            return 0
        return sum(now - at < self._ttl_s for at in suspicion.crashes.values())

    def crashed_runners(self, fingerprint: str) -> set[str]:
        """Return the runners that crashed with the request in flight."""
        suspicion = self._by_fingerprint.get(fingerprint)
        if suspicion is None:
            return set()
        return {runner for runner, _ in suspicion.crashes}

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Return whether the request must run apart from other suspects."""
        return self.crash_count(fingerprint, now) > 0

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Return whether the request has reached the number of crashes to refuse it."""
        return self.crash_count(fingerprint, now) >= self._crashes_to_refuse

    def refused(self, now: float) -> list[str]:
        """Return the fingerprints of the refused requests."""
        return [fp for fp in self._by_fingerprint if self.is_refused(fp, now)]

    def expire(self, now: float) -> None:
        """Remove the fingerprints of which every crash is older than ``ttl_s``."""
        expired = [fp for fp in self._by_fingerprint if not self.is_suspect(fp, now)]
        for fingerprint in expired:
            del self._by_fingerprint[fingerprint]
