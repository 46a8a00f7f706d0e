"""Notices of what a VM knows of crashes, as sent to other VMs."""

from __future__ import annotations

from collections.abc import Iterable

from gooseberryrun._internal.state.serving import Crash, CrashEvidence, Trait

from .._serving_messages import AnswerReport, CrashReport, EvidenceNotice

MAX_TRAITS_SENT = 256
"""Traits in one message; those with the most crashes go first."""


def to_crash(report: CrashReport, now: float) -> Crash:
    """Return the crash of a report that arrived now."""
    return Crash(report.runner, report.born_ms, now - report.age_s, report.is_begun)


def to_key(report: CrashReport) -> tuple[str, int]:
    """Return the key of the crashed incarnation in a report."""
    return (report.runner, report.born_ms)


def make_reports(
    blamed: Iterable[tuple[Trait, Crash]], now: float
) -> list[CrashReport]:
    """Return one report for all traits with the same crash."""
    grouped: dict[Crash, list[Trait]] = {}
    for trait, crash in blamed:
        grouped.setdefault(crash, []).append(trait)
    return [
        CrashReport(c.runner, c.incarnation, traits, now - c.at, c.is_begun)
        for c, traits in grouped.items()
    ]


def make_answers(
    evidence: CrashEvidence, traits: Iterable[Trait], now: float
) -> list[AnswerReport]:
    """Return the last known answers with these traits."""
    known = [(trait, evidence.last_answer_at(trait)) for trait in traits]
    return [
        AnswerReport([trait], now - at) for trait, at in known if at > float("-inf")
    ]


def describe_suspicions(evidence: CrashEvidence, now: float) -> EvidenceNotice:
    """Return all crashes that are blamed on traits."""
    suspected = evidence.suspected()
    ranked = sorted(suspected, key=lambda trait: -len(suspected[trait]))
    sent = ranked[:MAX_TRAITS_SENT]
    crashes = [(trait, crash) for trait in sent for crash in suspected[trait]]
    return EvidenceNotice(make_reports(crashes, now), [])


def describe_cleared(
    evidence: CrashEvidence, traits: Iterable[Trait], now: float
) -> EvidenceNotice:
    """Return the crashes of these traits that answers have cleared."""
    known = list(traits)
    cleared = [(t, crash) for t in known for crash in evidence.cleared_crashes(t)]
    answers = make_answers(evidence, known, now)
    return EvidenceNotice([], answers, make_reports(cleared, now))


def contradict(
    evidence: CrashEvidence, notice: EvidenceNotice, now: float
) -> EvidenceNotice:
    """Return what speaks against a peer's suspicions: later answers, or recent ones."""
    reported = {(t, to_key(report)) for report in notice.crashes for t in report.traits}
    spoken_for = {
        trait
        for trait, incarnation in reported
        if evidence.is_cleared(trait, incarnation)
        or evidence.has_excusing_answer(trait)
    }
    return describe_cleared(evidence, sorted(spoken_for, key=str), now)


def has_cleared(evidence: CrashEvidence, notice: EvidenceNotice) -> bool:
    """Return whether a peer suspects a trait for a crash that is cleared."""
    return any(
        evidence.is_cleared(trait, to_key(report))
        for report in notice.crashes
        for trait in report.traits
    )
