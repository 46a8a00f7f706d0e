"""What runners say of themselves: decoding, and which of several reports counts."""

from __future__ import annotations

import pytest
from gooseberryrun._internal.state.serving import (
    DirectoryRecord,
    DirectoryState,
    Position,
    RateLimit,
    Runner,
    RunnerStatements,
    Topic,
)
from gooseberryrun._internal.state.serving._leaving import MAX_LEAVING
from gooseberryrun._internal.state.serving._statements import STATEMENT_TTL_S
from gooseberryrun_platform._headers import PlatformHeaders
from hypothesis import given
from hypothesis import strategies as st

CODEC = PlatformHeaders()


def make_runner(born_ms: int = 1) -> Runner:
    return Runner("i-1", "s", "h", 1, "d0", 64, False, born_ms, 0, ())


@pytest.mark.parametrize(
    ("values", "limit"),
    [
        ([], None),
        (["2.5"], 2.5),
        (["0"], 0.0),
        ([" .5 "], 0.5),
        (["3", "1.5"], 1.5),
        (["-1"], None),
        (["many"], None),
        (["nan"], None),
        (["inf"], None),
        (["1e999"], None),
        (["", "4"], 4.0),
    ],
)
def test_limit_is_the_lowest_one_that_is_a_number(
    values: list[str], limit: float | None
) -> None:
    headers = [("SERVER-limit", value) for value in values]
    for status in (200, 421, 500, 503):
        assert CODEC.decode_response(status, headers).statement.limit_per_s == limit


@pytest.mark.parametrize(
    ("values", "is_leaving"),
    [([], False), (["1"], True), (["0"], False), (["0", " 1 "], True), (["x"], False)],
)
def test_leaving_runner_says_so_on_every_status(
    values: list[str], is_leaving: bool
) -> None:
    headers = [("Server-LEAVING", value) for value in values]
    for status in (200, 421, 500, 503):
        assert CODEC.decode_response(status, headers).statement.is_leaving == is_leaving


@given(st.permutations(["said", "ready", "ready", "removed", "returned"]))
def test_runner_that_leaves_stays_draining_whatever_its_entry_says(
    steps: list[str],
) -> None:
    """The entry may be late, expire in an outage and return."""
    directory = DirectoryState()
    for offset, step in enumerate(steps):
        if step == "said":
            assert directory.record_leaving("i-1", 1)
            continue
        entry = None if step == "removed" else make_runner()
        record = DirectoryRecord(
            Topic.RUNNERS, Position(0, offset), "i-1", runner=entry
        )
        directory.apply(record, 10.0)
    last = DirectoryRecord(Topic.RUNNERS, Position(0, 9), "i-1", runner=make_runner())
    directory.apply(last, 10.0)
    assert not directory.runners("s", 10.0)
    assert not directory.takes_new_work(make_runner(), 10.0)
    assert directory.stated_leaving() == {"i-1": 1}
    reborn = DirectoryRecord(
        Topic.RUNNERS, Position(0, 10), "i-1", runner=make_runner(born_ms=2)
    )
    directory.apply(reborn, 10.0)
    assert directory.runners("s", 10.0) == [make_runner(born_ms=2)]
    assert not directory.record_leaving("i-1", 1)
    assert not directory.stated_leaving()


def test_runners_that_left_are_not_remembered_without_bound() -> None:
    directory = DirectoryState()
    for number in range(MAX_LEAVING + 5):
        directory.record_leaving(f"i-{number}", 1)
    assert not directory.stated_leaving()
    assert len(directory._leaving.stated()) == MAX_LEAVING


def test_limit_ends_with_a_response_without_one() -> None:
    statements = RunnerStatements()
    assert statements.record("i-1", RateLimit(1, 2.0), 10.0)
    assert not statements.record("i-1", RateLimit(1, 2.0), 11.0)
    assert statements.limit_per_s(make_runner(), 11.0) == 2.0
    assert statements.record("i-1", RateLimit(1, None), 12.0)
    assert statements.limit_per_s(make_runner(), 12.0) is None


def test_limit_ends_with_the_incarnation_and_without_any_response() -> None:
    statements = RunnerStatements()
    statements.record("i-1", RateLimit(1, 2.0), 10.0)
    assert statements.limit_per_s(make_runner(born_ms=2), 10.0) is None
    assert statements.limit_per_s(make_runner(), 10.1 + STATEMENT_TTL_S) is None
    statements.record("i-1", RateLimit(2, 3.0), 11.0)
    assert not statements.record("i-1", RateLimit(1, 1.0), 12.0)
    assert statements.limit_per_s(make_runner(born_ms=2), 12.0) == 3.0


def test_runners_without_a_limit_take_no_space() -> None:
    statements = RunnerStatements()
    for number in range(100):
        assert not statements.record(f"i-{number}", RateLimit(1, None), 1.0)
    assert not statements.recent(1.0)


REPORTS = st.lists(
    st.tuples(
        st.integers(1, 3),
        st.one_of(st.none(), st.floats(0.0, 9.0)),
        st.floats(0.0, 10.0),
    ),
    max_size=12,
    unique_by=lambda report: (report[0], report[2]),
)


@given(REPORTS, st.randoms(use_true_random=False))
def test_newest_report_counts_in_whatever_order_reports_arrive(reports, rng) -> None:  # type: ignore[no-untyped-def]
    """Reports of two connections may overtake each other, and arrive twice."""
    statements = RunnerStatements()
    shuffled = [*reports, *reports[:3]]
    rng.shuffle(shuffled)
    statements.record("i-1", RateLimit(0, 1.0), 0.0)
    for born_ms, per_s, at in shuffled:
        statements.record("i-1", RateLimit(born_ms, per_s), at)
    newest = max(reports, key=lambda report: (report[0], report[2]), default=None)
    born_ms, per_s = (0, 1.0) if newest is None else newest[:2]
    assert statements.limit_per_s(make_runner(born_ms), 10.0) == per_s
