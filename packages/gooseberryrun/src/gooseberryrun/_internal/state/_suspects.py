"""Requests suspected of crashing the runners that execute them."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class _Suspicion:
    crashes: dict[tuple[str, str], float] = field(default_factory=dict)


class SuspectState:
    """Crashes by request fingerprint, forgotten after a bounded time."""

    def __init__(self, crashes_to_refuse: int, ttl_s: float) -> None:
        self._limit = crashes_to_refuse
        self._ttl_s = ttl_s
        self._by_fingerprint: dict[str, _Suspicion] = {}

    def record_crash(
        self, runner: str, incarnation: str, fingerprints: list[str], now: float
    ) -> list[str]:
        """Count one crash once for each fingerprint; return the new suspects."""
        fresh = []
        for fingerprint in fingerprints:
            suspicion = self._by_fingerprint.setdefault(fingerprint, _Suspicion())
            if (runner, incarnation) not in suspicion.crashes:
                suspicion.crashes[(runner, incarnation)] = now
                fresh.append(fingerprint)
        return fresh

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Return how many crashes within the time limit saw the request."""
        suspicion = self._by_fingerprint.get(fingerprint)
        if suspicion is None:
            return 0
        return sum(now - at < self._ttl_s for at in suspicion.crashes.values())

    def crashed_runners(self, fingerprint: str) -> set[str]:
        """Return the runners that crashed while they executed the request."""
        suspicion = self._by_fingerprint.get(fingerprint)
        if suspicion is None:
            return set()
        return {runner for runner, _ in suspicion.crashes}

    def is_suspect(self, fingerprint: str, now: float) -> bool:
        """Tell whether the request must run apart from other suspects."""
        return self.crash_count(fingerprint, now) > 0

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Tell whether the request was present at too many crashes."""
        return self.crash_count(fingerprint, now) >= self._limit

    def refused(self, now: float) -> list[str]:
        """Return the fingerprints that are refused."""
        return [fp for fp in self._by_fingerprint if self.is_refused(fp, now)]

    def expire(self, now: float) -> None:
        """Forget suspicions older than the time limit."""
        old = [fp for fp in self._by_fingerprint if not self.is_suspect(fp, now)]
        for fingerprint in old:
            del self._by_fingerprint[fingerprint]
