"""Admission of long prompts to a model runner.

Made for loads in which several VMs send long prompts to one runner within a fraction of
a second. A runner prefills prompts in pieces between the tokens of its streams, so all
of these pause together: one prompt at a time delays each of them a little, several at
once delay all of them by more than their callers bear. Waiting prompts also start no
later in sum, since the runner prefills them one after another anyway.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from .placement import SpeedEstimate, SpeedEstimator

USABLE_PAUSE_SHARE = 0.85
"""Share of the longest allowed pause that prompts may fill; the rest is left to the
tokens of the streams themselves and to short prompts."""
SMALL_PROMPT_SHARE = 0.25
"""Share of the usable pause up to which a prompt needs no grant."""
BREAKS_WINDOW_S = 6.0
"""Time constant of the rate of prompts that make streams pause for too long."""
MIN_SPEED_TOKENS = 500
"""Shortest prompt whose reading time is a sample of a runner's speed."""
GRANT_MARGIN_S = 0.5
"""Time beyond the expected one after which an unreturned grant lapses."""
GRANT_FACTOR = 3.0
"""Multiple of the expected prefill time after which an unreturned grant lapses."""


class PrefillPace(msgspec.Struct, frozen=True, array_like=True):
    """Observed speed of a runner: seconds to the first event for a prompt token."""

    token_s: float = 1 / 15000

    def prefill_s(self, tokens: int) -> float:
        """Return the time to the first event of a prompt that is prefilled alone."""
        return tokens * self.token_s

    def breaks_streams(self, tokens: int, max_pause_s: float) -> bool:
        """Return whether a prompt alone makes streams pause for too long."""
        usable_s = USABLE_PAUSE_SHARE * max_pause_s
        return usable_s > 0 and self.prefill_s(tokens) > usable_s

    def needs_grant(self, tokens: int, max_pause_s: float) -> bool:
        """Return whether a prompt is long enough to make streams pause noticeably.

        ``max_pause_s`` is the longest allowed pause, 0 if none is declared.
        """
        usable_s = USABLE_PAUSE_SHARE * max_pause_s
        return usable_s > 0 and self.prefill_s(tokens) > SMALL_PROMPT_SHARE * usable_s


class PrefillLoad(msgspec.Struct, frozen=True, array_like=True):
    """Pace of a runner and the prefill work before a prompt that arrives now.

    ``running_s`` is left of the prompts being read; ``waiting_s`` more is due to long
    prompts that wait for a grant. ``breaks_per_s`` is the recent rate of prompts that
    each make the streams of the runner pause for too long; ``streams`` are the requests
    that run there. ``speed`` is what the owner has observed over a longer time than the
    pace, None before the first sample.
    """

    pace: PrefillPace = PrefillPace()
    running_s: float = 0.0
    waiting_s: float = 0.0
    breaks_per_s: float = 0.0
    streams: int = 0
    speed: SpeedEstimate | None = None

    def after(self, elapsed_s: float) -> PrefillLoad:
        """Return the load left after some time if no more prompts arrive."""
        running_s = max(0.0, self.running_s - elapsed_s)
        waiting_s = max(0.0, self.running_s + self.waiting_s - elapsed_s) - running_s
        return PrefillLoad(
            self.pace,
            running_s,
            waiting_s,
            self.breaks_per_s,
            self.streams,
            self.speed,
        )


class PaceEstimator:
    """Pace of one runner: the time of the latest long prompts over their tokens.

    Both sums decay with each prompt, so that the pace follows a runner that turns slow.
    They start with a prompt of the prior pace. The median of more samples is kept as
    ``speed``: it does not follow a runner that is slow for some seconds only.
    """

    DECAY = 0.9
    """Weight that the earlier prompts keep when one is added."""
    PRIOR_TOKENS = 10000
    """Weight of the prior pace, as the length of a prompt."""

    def __init__(self, prior: PrefillPace, known: SpeedEstimate | None = None) -> None:
        self.speed = SpeedEstimator(known)
        self._tokens = float(self.PRIOR_TOKENS)
        self._took_s = prior.prefill_s(self.PRIOR_TOKENS)

    @property
    def pace(self) -> PrefillPace:
        """Return the present pace."""
        return PrefillPace(self._took_s / self._tokens)

    def record(self, tokens: int, took_s: float, now: float | None = None) -> None:
        """Record the time for which a prompt was read; ``now`` is in seconds, if known.

        Short prompts tell the pace by their weight, but are no samples of the speed:
        their time consists of other things.
        """
        self._tokens = self.DECAY * self._tokens + tokens
        self._took_s = self.DECAY * self._took_s + took_s
        if now is not None and tokens >= MIN_SPEED_TOKENS:
            self.speed.record_prompt(took_s / tokens, now)


@dataclass(slots=True)
class _Grant:
    """Prompt that is being prefilled; ``is_alone`` unless it met another one."""

    tokens: int
    done_at: float
    lapses_at: float
    is_alone: bool


class PrefillAdmission:
    """Prompts that are being prefilled at one runner, and whether another may start.

    A grant is returned with the first event of its prompt. One whose return is lost
    lapses, so that a lost message or VM delays the others only for a bounded time.
    ``known`` is the speed that a previous owner has observed.
    """

    def __init__(
        self, prior: PrefillPace | None = None, known: SpeedEstimate | None = None
    ) -> None:
        self._estimator = PaceEstimator(prior or PrefillPace(), known)
        self._ended_at = -math.inf
        self._is_start_unknown = False
        """Whether a prompt ended without a first event: it is not known how much of it
        was read, nor when the next one began."""
        self._grants: dict[str, _Grant] = {}
        self._breaks = 0.0
        self._breaks_at = 0.0

    @property
    def pace(self) -> PrefillPace:
        """Return the observed pace of the runner."""
        return self._estimator.pace

    @property
    def speed(self) -> SpeedEstimator:
        """Return the speed of the runner as observed over a longer time."""
        return self._estimator.speed

    @property
    def granted_tokens(self) -> int:
        """Return the prompt tokens of all grants in force."""
        return sum(grant.tokens for grant in self._grants.values())

    def may_begin(self, tokens: int, max_pause_s: float, now: float) -> bool:
        """Return whether a prompt may start now without too long a pause.

        A prompt that is too long by itself may start once no other one is being read.
        """
        self.expire(now)
        if not self._grants:
            return True
        pause_s = self.pace.prefill_s(self.granted_tokens + tokens)
        return pause_s <= USABLE_PAUSE_SHARE * max_pause_s

    def begin(
        self, request_id: str, tokens: int, max_pause_s: float, now: float
    ) -> None:
        """Count a prompt as being prefilled until its grant is returned or lapses."""
        if self.pace.breaks_streams(tokens, max_pause_s):
            self._breaks = self._decayed_breaks(now) + 1.0
            self._breaks_at = now
        is_alone = not self._grants
        for grant in self._grants.values():
            grant.is_alone = False
        expected_s = self.pace.prefill_s(self.granted_tokens + tokens)
        self._grants[request_id] = _Grant(
            tokens,
            done_at=now + expected_s,
            lapses_at=now + GRANT_FACTOR * expected_s + GRANT_MARGIN_S,
            is_alone=is_alone,
        )

    def end(
        self, request_id: str, took_s: float | None, now: float | None = None
    ) -> bool:
        """Return a grant; ``took_s`` is the time to the first event, if there was one.

        Return whether the grant was in force. A prompt that met others was read from
        the time on at which the one before was finished, since a runner reads them one
        after another; that is known with the time ``now`` only.
        """
        grant = self._grants.pop(request_id, None)
        if grant is None:
            return False
        if took_s is None:
            self._is_start_unknown = True
            return True
        if grant.is_alone:
            self._estimator.record(grant.tokens, took_s, now)
        elif now is not None and not self._is_start_unknown:
            read_s = max(0.0, min(took_s, now - self._ended_at))
            self._estimator.record(grant.tokens, read_s, now)
        if now is not None:
            self._ended_at = now
            self._is_start_unknown = False
        return True

    def load(self, waiting_tokens: list[int], streams: int, now: float) -> PrefillLoad:
        """Return the load, given the tokens of each prompt that waits for a grant."""
        done_at = max((grant.done_at for grant in self._grants.values()), default=now)
        waiting_s = sum(self.pace.prefill_s(tokens) for tokens in waiting_tokens)
        return PrefillLoad(
            PrefillPace(round(self.pace.token_s, 8)),
            round(max(0.0, done_at - now), 3),
            round(waiting_s, 3),
            round(self._decayed_breaks(now) / BREAKS_WINDOW_S, 3),
            streams,
            self.speed.estimate,
        )

    def _decayed_breaks(self, now: float) -> float:
        """Return the number of recent prompts that broke streams, older ones less."""
        return self._breaks * math.exp((self._breaks_at - now) / BREAKS_WINDOW_S)

    def next_lapse_at(self) -> float | None:
        """Return when the next grant lapses, None without grants."""
        return min((g.lapses_at for g in self._grants.values()), default=None)

    def expire(self, now: float) -> None:
        """Drop the grants that have lapsed."""
        lapsed = [key for key, grant in self._grants.items() if now >= grant.lapses_at]
        for key in lapsed:
            del self._grants[key]
            self._is_start_unknown = True
