"""Times of a stream's events as its caller gets them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StreamTiming:
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


class StreamHistory:
    """What the latest streams of a service were like, as this VM relayed them.

    Some engines prefill in pieces so small that long prompts never make streams pause
    for too long: there prompts need not wait for one another.
    """

    WEIGHT = 0.05
    """Weight of the newest stream in the means."""
    NEAR_PAUSE = 0.8
    """Share of the longest allowed pause from which a pause counts as long."""
    MIN_LONG_SHARE = 0.02
    """Share of streams with long pauses above which prompts have to be admitted."""

    def __init__(self) -> None:
        self.token_s = 0.01
        self._long_share = 0.05

    @property
    def has_long_pauses(self) -> bool:
        """Return whether streams make pauses near the longest allowed one or beyond."""
        return self._long_share > self.MIN_LONG_SHARE

    def record(self, timing: StreamTiming, tokens: int, max_pause_s: float) -> None:
        """Record a complete stream of a request for that many tokens."""
        if tokens <= 0 or timing.first_at is None or timing.last_at is None:
            return
        sample_s = (timing.last_at - timing.first_at) / tokens
        self.token_s += self.WEIGHT * (sample_s - self.token_s)
        is_long = 0 < self.NEAR_PAUSE * max_pause_s < timing.longest_pause_s
        self._long_share += self.WEIGHT * (is_long - self._long_share)
