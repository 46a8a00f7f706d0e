"""Times of a stream's events as its caller gets them."""

from __future__ import annotations

import msgspec


class StreamTiming(msgspec.Struct):
    """First event and longest pause of one stream; times are monotonic seconds."""

    first_at: float | None = None
    last_at: float | None = None
    longest_pause_s: float = 0.0

    def record_event(self, now: float) -> None:
        """Record that one or more events have just been relayed."""
        if self.last_at is None:
            self.first_at = now
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_at)
        self.last_at = now

    def step_s(self, tokens: int) -> float:
        """Return the mean time between two of a stream's tokens, 0 if not known."""
        if tokens <= 0 or self.first_at is None or self.last_at is None:
            return 0.0
        return (self.last_at - self.first_at) / tokens


class StreamPace:
    """Mean time of a stream for each token that its request asked for."""

    WEIGHT = 0.05
    """Weight of the newest stream in the mean."""

    def __init__(self) -> None:
        self.token_s = 0.01

    def record(self, timing: StreamTiming, tokens: int) -> None:
        """Record a complete stream."""
        if tokens <= 0 or timing.first_at is None or timing.last_at is None:
            return
        self.token_s += self.WEIGHT * (timing.step_s(tokens) - self.token_s)
