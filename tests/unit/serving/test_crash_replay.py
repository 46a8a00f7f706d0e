"""Replays of loads in which some prompt parts crash each runner that answers them."""

from __future__ import annotations

import random

from gooseberryrun._internal.state.serving import (
    Crash,
    CrashEvidence,
    Handling,
    Trait,
    TraitKind,
)
from hypothesis import example, given
from hypothesis import strategies as st

FIRST = "first"
SHARED = [f"shared-{number}" for number in range(6)]
RUNNERS = 6
RESTART_S = 3.0
STEP_S = 0.1
STEPS = 600
STABLE_S = 3.0
"""Time that the users' platform gives after the fifth crash."""
CRASHES_ALLOWED = 5
MOST_LATE = 3
"""Requests with a part that it allows later."""


class Replay:
    """Requests one after another, from VMs that share their evidence at once."""

    def __init__(self, deadly: set[str], share: float, seed: int) -> None:
        self.deadly = deadly
        self.share = share
        self.rng = random.Random(seed)
        self.now = 100.0
        self.back_at = [0.0] * RUNNERS
        self.evidence = CrashEvidence(self._has_returned)
        self.crashes: list[tuple[float, str]] = []
        self.sound: list[tuple[float, Handling]] = []

    def _has_returned(self, crash: Crash) -> bool:
        return self.now >= crash.at + RESTART_S

    def run(self) -> None:
        """Play all steps, each with one request."""
        for number in range(STEPS):
            self.now += STEP_S
            self._serve(number)

    def _serve(self, number: int) -> None:
        parts = [FIRST, *self.rng.sample(SHARED, 2)]
        if self.share and self.rng.random() < self.share:
            parts.insert(1, self.rng.choice(sorted(self.deadly)))
        traits = [Trait(TraitKind.CONTENT, str(number))]
        traits += [Trait(TraitKind.PART, part) for part in parts]
        handling = self.evidence.verdict(traits, self.now).handling
        deadly = self.deadly.intersection(parts)
        if not deadly:
            self.sound.append((self.now, handling))
        running = [n for n in range(RUNNERS) if self.now >= self.back_at[n]]
        if handling.value >= Handling.PAUSED.value or not running:
            return
        if deadly:
            self._crash(self.rng.choice(running), traits, min(deadly))
        else:
            self.evidence.record_answer(traits, self.now)

    def _crash(self, runner: int, traits: list[Trait], part: str) -> None:
        self.crashes.append((self.now, part))
        self.back_at[runner] = self.now + RESTART_S
        incarnation = len(self.crashes)
        crash = Crash(f"i-{runner}", incarnation, self.now, is_begun=True)
        self.evidence.record_crash(traits, crash)

    def late_crashes(self) -> list[int]:
        """Return the crashes by each part later than the platform allows."""
        late = []
        for part in self.deadly:
            times = [at for at, by in self.crashes if by == part]
            known_at = times[CRASHES_ALLOWED - 1 : CRASHES_ALLOWED]
            late.append(sum(at > known_at[0] + STABLE_S for at in times if known_at))
        return late

    def sound_after_crashes(self) -> list[Handling]:
        """Return how sound requests were handled once crashes should have ended."""
        times = [at for at, _ in self.crashes][:CRASHES_ALLOWED]
        since = max(times, default=0.0) + 2 * STABLE_S
        return [handling for at, handling in self.sound if at > since]


def check(replay: Replay) -> None:
    """Check what the users' platform asks: few late requests, sound ones served."""
    replay.run()
    assert all(late <= MOST_LATE for late in replay.late_crashes())
    sound = replay.sound_after_crashes()
    refused = sum(h.value >= Handling.PAUSED.value for h in sound)
    assert refused <= len(sound) / 2


SHARES = st.sampled_from([0.02, 0.1, 0.3, 0.7])
"""Shares of the requests that hold a deadly part."""


@given(SHARES, st.integers(0, 999))
def test_few_requests_of_a_deadly_part_reach_runners_and_sound_ones_are_served(
    share: float, seed: int
) -> None:
    check(Replay({"deadly-0"}, share, seed))


@given(st.integers(2, 3), SHARES, st.integers(0, 999))
@example(parts=2, share=0.7, seed=2)
def test_sound_requests_are_served_beside_several_deadly_parts(
    parts: int, share: float, seed: int
) -> None:
    """A part that sound requests share with all of them is blamed for all crashes."""
    check(Replay({f"deadly-{number}" for number in range(parts)}, share, seed))


@given(
    st.sampled_from([[FIRST], ["shared-0"], ["shared-0", "shared-1"], SHARED]),
    st.integers(0, 999),
)
def test_few_requests_of_common_parts_that_are_deadly_reach_runners(
    deadly: list[str], seed: int
) -> None:
    """Most or all requests hold one of them."""
    replay = Replay(set(deadly), share=0.0, seed=seed)
    replay.run()
    assert all(late <= MOST_LATE for late in replay.late_crashes())


def test_part_that_stops_being_deadly_is_served_again() -> None:
    replay = Replay({"deadly-0"}, share=0.3, seed=1)
    replay.run()
    replay.now += 3600.0
    traits = [Trait(TraitKind.PART, part) for part in (FIRST, "deadly-0")]
    assert replay.evidence.verdict(traits, replay.now).handling is not Handling.REFUSED
    replay.evidence.record_answer(traits, replay.now)
    assert replay.evidence.verdict(traits, replay.now).handling is Handling.FREE
