"""Model of one engine in virtual time: a batch whose prompts are prefilled in pieces.

Prompts are prefilled in order of arrival, up to ``chunk_tokens`` in each step of the
batch; every running stream waits meanwhile. A stream sends an event each ``stride``
tokens.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Rates of an engine; attention costs ``pair_s`` a pair of a prompt's tokens."""

    step_s: float = 0.005
    slot_s: float = 0.00001
    token_s: float = 1 / 38400
    pair_s: float = 1e-9
    chunk_tokens: int = 4096
    stride: int = 5

    def scaled(self, factor: float) -> EngineSpeed:
        """Return an engine that reads ``factor`` times the tokens in the same time."""
        return EngineSpeed(
            self.step_s,
            self.slot_s,
            self.token_s / factor,
            self.pair_s / factor**2,
            max(1, int(self.chunk_tokens * factor)),
            self.stride,
        )


@dataclass(slots=True)
class ModelStream:
    """One request at the engine; its events are timed as the engine sends them."""

    id: str
    prompt_tokens: int
    output_tokens: int
    sent_at: float
    read_tokens: int = 0
    made_tokens: int = 0
    first_at: float = math.inf
    last_at: float = math.inf
    longest_pause_s: float = 0.0
    is_done: bool = False

    def record_event(self, now: float) -> None:
        """Record an event sent now."""
        if self.first_at == math.inf:
            self.first_at = now
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self.last_at)
        self.last_at = now


@dataclass(slots=True)
class EngineModel:
    """Engine that is advanced step by step; ``now`` is the end of its last step."""

    speed: EngineSpeed
    now: float = 0.0
    running: list[ModelStream] = field(default_factory=list)
    reading: deque[ModelStream] = field(default_factory=deque)

    @property
    def is_idle(self) -> bool:
        """Return whether the engine has nothing to do."""
        return not self.running and not self.reading

    def add(self, stream: ModelStream) -> None:
        """Start a request."""
        self.reading.append(stream)

    def step(self) -> list[ModelStream]:
        """Advance by one step of the batch; return the streams that sent an event."""
        speed = self.speed
        streams = list(self.running)
        took_s = speed.step_s + speed.slot_s * len(streams)
        took_s += self._prefill()
        self.now += took_s
        return [stream for stream in streams if self._make_token(stream)]

    def _prefill(self) -> float:
        """Prefill the next pieces of prompts; return the seconds that it takes."""
        left = self.speed.chunk_tokens
        took_s = 0.0
        while self.reading and left:
            stream = self.reading[0]
            piece = min(left, stream.prompt_tokens - stream.read_tokens)
            pairs = piece * (stream.read_tokens + piece / 2)
            took_s += piece * self.speed.token_s + pairs * self.speed.pair_s
            stream.read_tokens += piece
            left -= piece
            if stream.read_tokens >= stream.prompt_tokens:
                self.running.append(self.reading.popleft())
        return took_s

    def _make_token(self, stream: ModelStream) -> bool:
        """Make one token of a stream; return whether it completes an event."""
        stream.made_tokens += 1
        is_last = stream.made_tokens >= stream.output_tokens
        if not is_last and stream.made_tokens % self.speed.stride:
            return False
        stream.record_event(self.now)
        if is_last:
            stream.is_done = True
            self.running.remove(stream)
        return True
