"""Messages about requests that may crash runners."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import (
    Trait,
)

from .._message_base import Message


class CrashReport(Message, frozen=True, array_like=True):
    """A runner crashed ``age_s`` ago before it answered requests with these traits.

    ``is_begun`` is set if it had started the response of such a request.
    """

    runner: str
    born_ms: int
    traits: list[Trait]
    age_s: float
    is_begun: bool


class AnswerReport(Message, frozen=True, array_like=True):
    """A runner began to answer requests with these traits ``age_s`` ago."""

    traits: list[Trait]
    age_s: float


class EvidenceNotice(Message, frozen=True, array_like=True):
    """Crashes of runners, and answers that speak against what these are blamed on.

    ``cleared`` are crashes after which the traits were answered.
    """

    crashes: list[CrashReport]
    answers: list[AnswerReport]
    cleared: list[CrashReport] = []


class EvidenceRequest(Message, frozen=True, array_like=True):
    """Request to a peer for an EvidenceNotice with all that it knows.

    ``known`` are the suspicions of the sender; the reply also says which of them are
    cleared.
    """

    known: EvidenceNotice = EvidenceNotice([], [])
