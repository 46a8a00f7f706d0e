"""Timeout of orders, adapted to the response times of a runner."""

from __future__ import annotations

GAIN = 0.125
"""Weight of a new sample in the smoothed response time (RFC 6298)."""
VARIATION_GAIN = 0.25
"""Weight of a new sample in the mean deviation (RFC 6298)."""
DEVIATIONS = 4.0
"""Mean deviations that the timeout is above the smoothed time (RFC 6298)."""
MIN_TIMEOUT_S = 0.025
"""Shortest timeout: ten response times within a failure domain."""
MAX_TIMEOUT_S = 0.1
"""Longest timeout, also used before the first sample."""


class ResponseTimes:
    """Timeout of one runner's orders, from its response times.

    Orders to a runner are given one after another, so an order without a response
    delays every request that waits for an adapter there until the timeout.
    """

    def __init__(self) -> None:
        self._smoothed_s: float | None = None
        self._deviation_s = 0.0

    def record(self, took_s: float) -> None:
        """Record the response time of an order."""
        if self._smoothed_s is None:
            self._smoothed_s = took_s
            self._deviation_s = took_s / 2
            return
        error_s = took_s - self._smoothed_s
        self._deviation_s += VARIATION_GAIN * (abs(error_s) - self._deviation_s)
        self._smoothed_s += GAIN * error_s

    @property
    def timeout_s(self) -> float:
        """Return the timeout of the next order."""
        if self._smoothed_s is None:
            return MAX_TIMEOUT_S
        timeout_s = self._smoothed_s + DEVIATIONS * self._deviation_s
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, timeout_s))
