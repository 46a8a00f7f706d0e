"""Crashes and answers that are known of one trait of requests."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from ._crash_traits import Crash

BURST_S = 1.0
"""Time within which several crashes blamed on a shared trait count as one, since
runners may also crash together for a reason of their own."""
RECENT_ANSWER_S = 60.0
"""Age up to which an answer before the first crash speaks against blaming it."""
MAX_CRASHES = 10
"""Crashes remembered of one trait: enough to reach the longest refusal."""


@dataclass(slots=True)
class TraitRecord:
    """Crashes of one trait by incarnation, and when answers with it began.

    Crashes up to ``answered_at``, the last answer that this VM has seen, and those in
    ``cleared``, which answers at other VMs have cleared, no longer count. Nor do those
    up to ``forgotten_until``, which have expired. All stay known, so that a late report
    of one is not taken for a new crash.

    ``heard_at`` is when the last answer at another VM began. It is later than the
    truth by the time that the notice took, and that may be seconds for a VM that stood
    still, so it clears nothing.
    """

    answered_at: float = float("-inf")
    heard_at: float = float("-inf")
    forgotten_until: float = float("-inf")
    crashes: dict[tuple[str, int], Crash] = field(default_factory=dict)
    cleared: set[tuple[str, int]] = field(default_factory=set)

    def add(self, crash: Crash) -> Crash | None:
        """Add a crash; return the oldest of too many, which is dropped."""
        self.crashes[crash.key] = crash
        if len(self.crashes) <= MAX_CRASHES:
            return None
        oldest = min(self.crashes.values(), key=lambda c: c.at)
        self.cleared.discard(oldest.key)
        return self.crashes.pop(oldest.key)

    def move_earlier(self, crash: Crash) -> bool:
        """Take the time of a known crash if it is earlier; return whether it is.

        A report states how old the crash is, so the time that the report takes lets it
        seem later, by seconds for a VM that stood still, but never earlier.
        """
        known = self.crashes[crash.key]
        if crash.at >= known.at:
            return False
        self.crashes[crash.key] = replace(known, at=crash.at)
        return True

    def is_cleared(self, key: tuple[str, int]) -> bool:
        """Return whether an answer came after a crash."""
        crash = self.crashes.get(key)
        return crash is not None and (
            key in self.cleared or crash.at <= self.answered_at
        )

    def blamed(self) -> list[Crash]:
        """Return the crashes that count, those without a later answer, oldest first."""
        since = max(self.answered_at, self.forgotten_until)
        later = [
            crash
            for crash in self.crashes.values()
            if crash.at > since and crash.key not in self.cleared
        ]
        return sorted(later, key=lambda crash: crash.at)

    def last_answer_at(self) -> float:
        """Return when the last known answer began, minus infinity if there is none."""
        return max(self.answered_at, self.heard_at)

    def has_excusing_answer(self) -> bool:
        """Return whether an answer speaks against blaming the first crash."""
        first = next(iter(self.blamed()), None)
        return first is not None and first.at - self.last_answer_at() < RECENT_ANSWER_S

    def count(self, burst_s: float) -> int:
        """Return the crashes to blame; those close together count as one.

        A first crash shortly after an answer is not blamed: most likely something else
        caused it.
        """
        starts: list[float] = []
        for crash in self.blamed():
            if not starts or crash.at - starts[-1] >= burst_s:
                starts.append(crash.at)
        if starts and starts[0] - self.last_answer_at() < RECENT_ANSWER_S:
            return len(starts) - 1
        return len(starts)
