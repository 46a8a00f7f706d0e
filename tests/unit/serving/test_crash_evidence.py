"""Blame of crashes on traits of requests, replayed without runners."""

from __future__ import annotations

import pytest
from gooseberryrun._internal.state.serving import (
    CRASHES_TO_REFUSE,
    Crash,
    CrashEvidence,
    Handling,
    Trait,
    TraitKind,
    _trait_record,
)
from gooseberryrun._internal.state.serving._crash_evidence import (
    MAX_TRAITS,
    RESTART_WAIT_S,
)
from gooseberryrun._internal.state.serving._crash_traits import (
    MIN_REFUSAL_S,
    SUSPICION_TTL_S,
)
from gooseberryrun._internal.state.serving._trait_record import MAX_CRASHES
from hypothesis import given
from hypothesis import strategies as st

FIRST = Trait(TraitKind.PART, "first")
SHARED = Trait(TraitKind.PART, "shared")
DEADLY = Trait(TraitKind.PART, "deadly")
ADAPTER = Trait(TraitKind.ADAPTER, "m0/a1@1")
OTHER_ADAPTER = Trait(TraitKind.ADAPTER, "m0/a2@1")


def content(number: int) -> Trait:
    return Trait(TraitKind.CONTENT, str(number))


def deadly_request(number: int) -> list[Trait]:
    return [content(number), ADAPTER, FIRST, SHARED, DEADLY]


def make_evidence(returned: set[str] | None = None) -> CrashEvidence:
    return CrashEvidence(lambda crash: crash.runner in (returned or set()))


def crash(number: int, at: float, is_begun: bool = True) -> Crash:
    return Crash(f"i-{number}", 1, at, is_begun)


def handling(evidence: CrashEvidence, traits: list[Trait], now: float) -> Handling:
    return evidence.verdict(traits, now).handling


def crash_until_refused(evidence: CrashEvidence, at: float = 0.0) -> float:
    """Let requests with the deadly part crash runners; return the last crash's time."""
    for number in range(CRASHES_TO_REFUSE):
        at += 5.0
        evidence.record_crash(deadly_request(number), crash(number, at))
        evidence.record_answer([FIRST, SHARED], at + 0.1)
    return at


def test_unlike_requests_with_one_deadly_part_are_refused() -> None:
    evidence = make_evidence()
    at = crash_until_refused(evidence)
    assert handling(evidence, deadly_request(99), at + 1) is Handling.REFUSED
    sound = [content(100), OTHER_ADAPTER, FIRST, SHARED]
    assert handling(evidence, sound, at + 1) is Handling.FREE


def test_suspect_part_costs_one_runner_at_a_time() -> None:
    returned: set[str] = set()
    evidence = make_evidence(returned)
    evidence.record_crash(deadly_request(0), crash(0, 10.0))
    assert handling(evidence, deadly_request(1), 10.5) is Handling.PAUSED
    returned.add("i-0")
    assert handling(evidence, deadly_request(1), 10.5) is Handling.CONFINED
    returned.clear()
    after_wait = 10.0 + RESTART_WAIT_S
    assert handling(evidence, deadly_request(1), after_wait) is Handling.CONFINED


def test_request_that_waited_at_a_crash_may_be_repeated_at_once() -> None:
    """A crash of another cause would otherwise cost all requests that waited."""
    evidence = make_evidence()
    evidence.record_crash(deadly_request(0), crash(0, 10.0, is_begun=False))
    assert handling(evidence, deadly_request(0), 10.1) is Handling.CONFINED


def test_request_with_some_of_the_suspects_tells_them_apart() -> None:
    """Refusing it would refuse sound requests until all suspicions expire."""
    evidence = make_evidence()
    for number in range(CRASHES_TO_REFUSE):
        evidence.record_crash(deadly_request(number), crash(number, 10.0 + 5 * number))
    sound = [content(100), OTHER_ADAPTER, FIRST, SHARED]
    assert handling(evidence, sound, 21.0) is Handling.CONFINED
    evidence.record_answer(sound, 21.2)
    assert handling(evidence, sound, 21.5) is Handling.FREE
    assert handling(evidence, deadly_request(99), 21.5) is Handling.REFUSED
    other = [content(101), ADAPTER, Trait(TraitKind.PART, "else")]
    assert handling(evidence, other, 21.5) is Handling.CONFINED


def test_adapter_that_crashes_its_runners_is_refused() -> None:
    evidence = make_evidence()
    for number in range(CRASHES_TO_REFUSE):
        part = Trait(TraitKind.PART, f"part-{number}")
        traits = [content(number), ADAPTER, part]
        evidence.record_crash(traits, crash(number, 10.0 + 5 * number))
    request = [content(9), ADAPTER, Trait(TraitKind.PART, "another")]
    assert handling(evidence, request, 21.0) is Handling.REFUSED
    request[1] = OTHER_ADAPTER
    assert handling(evidence, request, 21.0) is Handling.FREE


def test_runners_that_crash_together_are_not_blamed_on_what_all_served() -> None:
    """A power loss of several runners says little about a part that runs on all."""
    evidence = make_evidence()
    for number in range(5):
        evidence.record_crash([FIRST], crash(number, 10.0 + 0.1 * number))
    assert evidence.crash_count(FIRST) == 1
    evidence.record_answer([SHARED], 9.0)
    for number in range(5):
        evidence.record_crash([SHARED], crash(number, 10.0 + 0.1 * number))
    assert evidence.crash_count(SHARED) == 0


def test_part_that_turns_deadly_is_refused_although_it_was_answered_before() -> None:
    evidence = make_evidence()
    evidence.record_answer([DEADLY], 9.0)
    for number in range(CRASHES_TO_REFUSE + 1):
        evidence.record_crash([DEADLY], crash(number, 10.0 + 5 * number))
    assert handling(evidence, [DEADLY], 26.0) is Handling.REFUSED


def test_refused_part_is_tried_again_and_may_be_sound() -> None:
    evidence = make_evidence()
    at = crash_until_refused(evidence) + MIN_REFUSAL_S
    assert handling(evidence, deadly_request(99), at + 1) is Handling.CONFINED
    evidence.record_crash(deadly_request(99), crash(99, at + 1))
    at += 1 + 1.5 * MIN_REFUSAL_S
    assert handling(evidence, deadly_request(100), at) is Handling.REFUSED
    at += MIN_REFUSAL_S
    assert handling(evidence, deadly_request(101), at) is Handling.CONFINED
    evidence.record_answer(deadly_request(101), at + 1)
    assert handling(evidence, deadly_request(102), at + 1) is Handling.FREE


def test_nothing_is_suspected_for_ever() -> None:
    evidence = make_evidence()
    evidence.record_crash([DEADLY], crash(0, 10.0))
    late = 11.0 + SUSPICION_TTL_S
    assert handling(evidence, [DEADLY], late) is Handling.FREE
    assert not evidence.suspected()


def test_cleared_crash_does_not_prolong_a_suspicion() -> None:
    """A VM may learn that a later crash is cleared, but not an earlier one."""
    evidence = make_evidence()
    evidence.record_crash([DEADLY], crash(0, 10.0))
    evidence.record_cleared([DEADLY], crash(1, 100.0))
    late = 11.0 + SUSPICION_TTL_S
    assert handling(evidence, [DEADLY], late) is Handling.FREE
    assert not evidence.suspected()


def test_expiry_finds_a_trait_whose_only_blamed_crash_was_dropped() -> None:
    """Too many cleared crashes push the oldest one out, blamed or not."""
    evidence = make_evidence()
    evidence.record_crash([DEADLY], crash(0, 10.0))
    for number in range(1, MAX_CRASHES + 1):
        evidence.record_cleared([DEADLY], crash(number, 10.0 + number))
    evidence.expire(30.0)
    assert not evidence.suspected()


def test_late_report_of_an_expired_crash_is_not_blamed_again() -> None:
    """A VM that has forgotten a crash would learn it anew from one that has not."""
    evidence = make_evidence()
    evidence.record_crash([DEADLY], crash(0, 10.0))
    late = 11.0 + SUSPICION_TTL_S
    evidence.expire(late)
    assert not evidence.record_crash([DEADLY], crash(0, 10.0))
    assert not evidence.crash_count(DEADLY)


def test_work_for_a_request_does_not_grow_with_the_traits_suspected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Crashes of full runners leave hundreds of suspects each."""
    records_read = 0
    blamed = _trait_record.TraitRecord.blamed

    def count_read(record: _trait_record.TraitRecord) -> list[Crash]:
        nonlocal records_read
        records_read += 1
        return blamed(record)

    evidence = make_evidence()
    for number in range(500):
        evidence.record_crash([Trait(TraitKind.PART, f"p{number}")], crash(number, 9.0))
    evidence.record_crash(deadly_request(0), crash(1000, 10.0))
    evidence.verdict(deadly_request(1), 10.1)
    digest = evidence.digest()
    monkeypatch.setattr(_trait_record.TraitRecord, "blamed", count_read)
    for _ in range(10):
        evidence.verdict(deadly_request(1), 10.2)
        assert evidence.digest() == digest
    assert records_read <= 10 * 40


def test_traits_remembered_are_bounded() -> None:
    evidence = make_evidence()
    for number in range(MAX_TRAITS + 50):
        evidence.record_crash([content(number)], crash(0, 10.0))
    assert len(evidence.suspected()) == MAX_TRAITS


def test_late_reports_of_cleared_and_of_dropped_crashes_are_not_new() -> None:
    """VMs passed such reports on to one another without end."""
    evidence = make_evidence()
    evidence.record_crash([DEADLY], crash(0, 10.0))
    evidence.record_answer([DEADLY], 11.0)
    assert not evidence.record_crash([DEADLY], crash(0, 10.0))
    for number in range(1, MAX_CRASHES + 2):
        evidence.record_crash([DEADLY], crash(number, 10.0 + 5 * number))
    assert not evidence.record_crash([DEADLY], crash(0, 10.0))
    assert not evidence.record_crash([DEADLY], crash(1, 15.0))


@given(st.permutations(range(6)), st.lists(st.integers(0, 5)))
def test_order_and_repetition_of_reports_do_not_matter(
    order: list[int], repeated: list[int]
) -> None:
    """Reports of several VMs arrive late, twice and in any order."""

    def record(evidence: CrashEvidence, number: int) -> None:
        if number == 2:
            evidence.record_answer([DEADLY], 12.0)
        else:
            evidence.record_crash([DEADLY], crash(number, 5.0 * number + 1.5))

    in_order, shuffled = make_evidence(), make_evidence()
    for number in range(6):
        record(in_order, number)
    for number in [*order, *repeated]:
        record(shuffled, number)
    assert shuffled.crash_count(DEADLY) == in_order.crash_count(DEADLY)
