"""Which traits of requests crash the runners that serve them.

Made for loads in which no two requests are alike and one trait that many of them share
crashes each runner: a part of the prompt, an adapter's weights or the whole content. A
trait is blamed for the crashes of runners that had not yet answered a request with it,
and cleared as soon as an answer with it begins at a runner that lives on.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

import xxhash

from ._crash_traits import (
    FREE,
    Crash,
    CrashLimits,
    Handling,
    Trait,
    TraitKind,
    Verdict,
)
from ._trait_record import BURST_S, TraitRecord

RESTART_WAIT_S = 4.0
"""Longest time for which a trait waits for the runner that it crashed to be back."""
MAX_TRAITS = 8192
"""Traits remembered, blamed or not; the longest unused are forgotten first."""
MAX_PARTS = 32
"""Shared prompt parts of one request that are considered."""
EXPIRY_INTERVAL_S = 1.0
"""Time between two searches for expired suspicions."""


class CrashEvidence:
    """Crashes and answers by trait; both may be recorded in any order and repeatedly.

    ``has_returned`` tells whether another incarnation of a crashed runner is known, or
    the runner is gone. ``content_limits`` hold for the whole content of a request,
    default ones for what requests share.
    """

    def __init__(
        self,
        has_returned: Callable[[Crash], bool],
        content_limits: CrashLimits | None = None,
    ) -> None:
        self._has_returned = has_returned
        self._shared_limits = CrashLimits()
        self._content_limits = content_limits or self._shared_limits
        self._records: OrderedDict[Trait, TraitRecord] = OrderedDict()
        self._blamed: set[Trait] = set()
        self._by_incarnation: dict[tuple[str, int], set[Trait]] = {}
        self._expire_at = float("-inf")
        self._digest: int | None = 0

    def record_crash(self, traits: Iterable[Trait], crash: Crash) -> list[Trait]:
        """Record a crash; return the traits for which it is new."""
        return [trait for trait in traits if self._add(trait, crash)]

    def _add(self, trait: Trait, crash: Crash) -> bool:
        """Add a crash to those of a trait; return whether it is new."""
        record = self._record(trait)
        if crash.key in record.crashes:
            if record.move_earlier(crash):
                self._update_blamed(trait, record)
            return False
        dropped = record.add(crash)
        if dropped is not None:
            self._remove_from_index(trait, dropped.key)
        if dropped is not crash:
            self._by_incarnation.setdefault(crash.key, set()).add(trait)
        self._update_blamed(trait, record)
        return dropped is not crash

    def record_cleared(self, traits: Iterable[Trait], crash: Crash) -> list[Trait]:
        """Record answers after a crash; return the traits blamed for fewer crashes.

        The crash may be unknown here: its own report may arrive later.
        """
        changed = []
        for trait in traits:
            count = self.crash_count(trait)
            self._add(trait, crash)
            record = self._records[trait]
            if crash.key in record.crashes and not record.is_cleared(crash.key):
                record.cleared.add(crash.key)
                self._update_blamed(trait, record)
            if self.crash_count(trait) < count:
                changed.append(trait)
        return changed

    def _update_blamed(self, trait: Trait, record: TraitRecord) -> None:
        """Account for changed crashes of a trait."""
        self._digest = None
        if record.blamed():
            self._blamed.add(trait)
        else:
            self._blamed.discard(trait)

    def hear_answer(self, traits: Iterable[Trait], at: float) -> list[Trait]:
        """Record answers at other VMs; return the traits blamed for fewer crashes."""
        changed = []
        for trait in traits:
            record = self._records.get(trait)
            if record is None and trait.kind is TraitKind.CONTENT:
                continue
            record = record or self._record(trait)
            count = self.crash_count(trait)
            record.heard_at = max(record.heard_at, at)
            if self.crash_count(trait) < count:
                changed.append(trait)
                self._digest = None
        return changed

    def record_answer(self, traits: Iterable[Trait], at: float) -> list[Trait]:
        """Record that answers began at ``at``; return the traits that this clears."""
        cleared = []
        for trait in traits:
            record = self._records.get(trait)
            if record is None and trait.kind is TraitKind.CONTENT:
                continue
            record = record or self._record(trait)
            was_blamed = self.crash_count(trait) > 0
            record.answered_at = max(record.answered_at, at)
            self._records.move_to_end(trait)
            if trait in self._blamed:
                self._update_blamed(trait, record)
            if was_blamed and not self.crash_count(trait):
                cleared.append(trait)
        return cleared

    def last_answer_at(self, trait: Trait) -> float:
        """Return when the last known answer with a trait began, else minus infinity."""
        record = self._records.get(trait)
        return record.last_answer_at() if record else float("-inf")

    def has_excusing_answer(self, trait: Trait) -> bool:
        """Return whether an answer speaks against blaming a trait for a crash."""
        record = self._records.get(trait)
        return record is not None and record.has_excusing_answer()

    def is_cleared(self, trait: Trait, incarnation: tuple[str, int]) -> bool:
        """Return whether a trait was answered after the crash of an incarnation."""
        record = self._records.get(trait)
        return record is not None and record.is_cleared(incarnation)

    def cleared_crashes(self, trait: Trait) -> list[Crash]:
        """Return the known crashes of a trait after which it was answered."""
        record = self._records.get(trait)
        crashes = record.crashes.values() if record else ()
        return [crash for crash in crashes if self.is_cleared(trait, crash.key)]

    def crash_count(self, trait: Trait) -> int:
        """Return the number of crashes for which a trait is to blame."""
        record = self._records.get(trait)
        if record is None or not record.crashes:
            return 0
        return record.count(0.0 if trait.kind is TraitKind.CONTENT else BURST_S)

    def verdict(self, traits: Iterable[Trait], now: float) -> Verdict:
        """Return how a request with these traits is handled now."""
        if not self._blamed:
            return FREE
        if now >= self._expire_at:
            self.expire(now)
        present = set(traits)
        verdicts = [
            self._judge(trait, present, now) for trait in present & self._blamed
        ]
        return max(
            verdicts,
            key=lambda v: (v.handling.value, v.crashes, v.retry_at),
            default=FREE,
        )

    def _judge(self, trait: Trait, present: set[Trait], now: float) -> Verdict:
        crashes = self.crash_count(trait)
        if not crashes:
            return FREE
        last = self._records[trait].blamed()[-1]
        if not self._suspects_with(trait) <= present:
            return Verdict(Handling.CONFINED, trait, crashes)
        refused_until = last.at + self._limits(trait).refusal_s(crashes)
        if now < refused_until:
            return Verdict(Handling.REFUSED, trait, crashes, refused_until)
        is_likely = crashes > 1 or last.is_begun
        paused_until = last.at + RESTART_WAIT_S
        if is_likely and now < paused_until and not self._has_returned(last):
            return Verdict(Handling.PAUSED, trait, crashes, paused_until)
        return Verdict(Handling.CONFINED, trait, crashes)

    def _limits(self, trait: Trait) -> CrashLimits:
        is_content = trait.kind is TraitKind.CONTENT
        return self._content_limits if is_content else self._shared_limits

    def _suspects_with(self, trait: Trait) -> set[Trait]:
        """Return the traits that may have caused all crashes blamed on a trait.

        A request with only some of them may show which of them is the cause, so it is
        not kept waiting. An adapter is suspected only where the parts are not.
        """
        if trait.kind is TraitKind.CONTENT:
            return {trait}
        kinds = {trait.kind, TraitKind.PART}
        incarnations = {crash.key for crash in self._records[trait].blamed()}
        sharing = [self._by_incarnation[incarnation] for incarnation in incarnations]
        return {
            other
            for other in set.intersection(*sharing)
            if other.kind in kinds and incarnations <= self._blamed_for(other)
        }

    def _blamed_for(self, trait: Trait) -> set[tuple[str, int]]:
        """Return the incarnations whose crashes are blamed on a trait."""
        if trait not in self._blamed:
            return set()
        return {crash.key for crash in self._records[trait].blamed()}

    def suspected(self) -> dict[Trait, list[Crash]]:
        """Return the crashes of each trait that is to blame for some."""
        return {
            trait: self._records[trait].blamed()
            for trait in self._blamed
            if self.crash_count(trait)
        }

    def refused(self, now: float) -> list[Trait]:
        """Return the traits that are refused in requests with all that is blamed."""
        found = []
        for trait, crashes in self.suspected().items():
            refusal_s = self._limits(trait).refusal_s(self.crash_count(trait))
            if now < crashes[-1].at + refusal_s:
                found.append(trait)
        return found

    def blamed_crashes(self, trait: Trait) -> list[Crash]:
        """Return the crashes of a trait since its last answer, oldest first."""
        record = self._records.get(trait)
        return record.blamed() if record else []

    def digest(self) -> int:
        """Return a number that depends on all blamed crashes, 0 without any.

        It depends on how many they count as, so that VMs that know their times less
        well, or miss an answer before them, learn these.
        """
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def _compute_digest(self) -> int:
        digest = 0
        for trait, crashes in self.suspected().items():
            facts = [f"{crash.runner} {crash.incarnation}" for crash in crashes]
            for fact in [*facts, f"count {self.crash_count(trait)}"]:
                text = f"{trait.kind} {trait.key} {fact}"
                digest ^= xxhash.xxh3_64_intdigest(text.encode())
        return digest

    def _record(self, trait: Trait) -> TraitRecord:
        record = self._records.setdefault(trait, TraitRecord())
        self._records.move_to_end(trait)
        while len(self._records) > MAX_TRAITS:
            self._drop_oldest()
        return record

    def _drop_oldest(self) -> None:
        """Forget the trait that was not used for the longest time."""
        oldest, record = self._records.popitem(last=False)
        for incarnation in record.crashes:
            self._remove_from_index(oldest, incarnation)
        if oldest in self._blamed:
            self._blamed.discard(oldest)
            self._digest = None

    def _remove_from_index(self, trait: Trait, incarnation: tuple[str, int]) -> None:
        traits = self._by_incarnation.get(incarnation, set())
        traits.discard(trait)
        if not traits:
            self._by_incarnation.pop(incarnation, None)

    def expire(self, now: float) -> None:
        """Forget the crashes of traits that have not crashed a runner for long."""
        self._expire_at = now + EXPIRY_INTERVAL_S
        for trait in list(self._blamed):
            record = self._records[trait]
            last = record.blamed()[-1].at
            limits = self._limits(trait)
            refusal_s = limits.refusal_s(self.crash_count(trait))
            ttl_s = max(limits.suspicion_ttl_s, 2 * refusal_s)
            if now - last > ttl_s:
                record.forgotten_until = last
                self._blamed.discard(trait)
                self._digest = None
