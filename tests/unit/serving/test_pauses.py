"""Pauses that runners ask for when they turn requests away, in virtual time."""

from __future__ import annotations

import pytest
from gooseberryrun._internal.state.serving import Runner, RunnerPauses
from gooseberryrun._internal.state.serving._pauses import (
    FORGET_S,
    MAX_PAUSE_S,
    TRIAL_S,
)
from gooseberryrun_platform._headers import PlatformHeaders
from hypothesis import given
from hypothesis import strategies as st

CODEC = PlatformHeaders()
DATE = "Sun, 06 Nov 1994 08:49:37 GMT"
LATER = "Sun, 06 Nov 1994 08:49:40 GMT"


def make_runner(name: str = "i-1", born_ms: int = 1) -> Runner:
    return Runner(name, "s", "h", 1, "d0", 64, False, born_ms, 0, ())


RUNNER = make_runner()


@pytest.mark.parametrize(
    ("values", "pause_s"),
    [
        ([], None),
        (["3"], 3.0),
        (["0.25"], 0.25),
        (["0"], 0.0),
        (["-4"], None),
        (["soon"], None),
        (["nan"], None),
        (["Sun, 99 Nov 1994"], None),
        ([DATE], 0.0),
        ([LATER], 3.0),
        (["1", "2.5"], 2.5),
        (["garbage", "2"], 2.0),
        (["9" * 30], 1e30),
    ],
)
def test_pause_is_read_as_the_standard_says(
    values: list[str], pause_s: float | None
) -> None:
    headers = [("Date", DATE), *(("RETRY-After", value) for value in values)]
    assert CODEC.decode_response(503, headers).statement.pause_s == pause_s
    assert CODEC.decode_response(200, headers).statement.pause_s is None


def test_date_without_a_reference_is_counted_from_now() -> None:
    future = "Fri, 31 Dec 9999 23:59:59 GMT"
    pause_s = CODEC.decode_response(503, [("Retry-After", future)]).statement.pause_s
    assert pause_s is not None and pause_s > 1e9


def test_no_request_is_sent_until_the_pause_ends() -> None:
    pauses = RunnerPauses()
    pauses.record_refusal(RUNNER, 3.0, 10.0)
    assert pauses.left_s(RUNNER, 10.0) == 3.0
    assert pauses.left_s(RUNNER, 12.9) > 0
    assert pauses.left_s(RUNNER, 13.0) == 0
    assert pauses.left_s(make_runner("i-2"), 10.0) == 0


def test_one_request_at_a_time_tries_the_runner_after_its_pause() -> None:
    """All that was kept back would come at once."""
    pauses = RunnerPauses()
    pauses.record_refusal(RUNNER, 3.0, 10.0)
    pauses.begin_send(RUNNER, 13.0)
    assert pauses.left_s(RUNNER, 13.1) > 0
    assert pauses.left_s(RUNNER, 13.0 + TRIAL_S) == 0
    assert pauses.record_accepted(RUNNER, 13.0)
    pauses.begin_send(RUNNER, 13.2)
    assert pauses.left_s(RUNNER, 13.2) == 0


def test_request_sent_before_the_refusal_does_not_end_the_pause() -> None:
    pauses = RunnerPauses()
    pauses.record_refusal(RUNNER, 3.0, 10.0)
    assert not pauses.record_accepted(RUNNER, 9.9)
    assert not pauses.record_accepted(RUNNER, 12.0)
    assert pauses.left_s(RUNNER, 12.0) == 1.0


def test_absurdly_long_pause_is_cut_and_ends_with_the_incarnation() -> None:
    pauses = RunnerPauses()
    pauses.record_refusal(RUNNER, 1e30, 10.0)
    assert pauses.left_s(RUNNER, 10.0) == MAX_PAUSE_S
    assert pauses.left_s(make_runner(born_ms=2), 10.0) == 0


def test_pauses_of_runners_that_are_gone_are_forgotten() -> None:
    pauses = RunnerPauses()
    for number in range(50):
        pauses.record_refusal(make_runner(f"i-{number}"), 1.0, 10.0)
    pauses.record_refusal(make_runner("last"), 1.0, 12.0 + FORGET_S)
    assert len(pauses._pauses) == 1


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 20.0),
            st.sampled_from(["refused", "accepted", "sent"]),
            st.floats(0.0, 9.0),
        ),
        max_size=20,
    )
)
def test_runner_is_never_asked_before_the_end_of_any_pause(
    steps: list[tuple[float, str, float]],
) -> None:
    """Responses of several connections come late, twice and in any order."""
    pauses = RunnerPauses()
    deadline = 0.0
    for now, kind, seconds in sorted(steps):
        if kind == "refused":
            pauses.record_refusal(RUNNER, seconds, now)
            deadline = max(deadline, now + seconds)
        elif kind == "accepted":
            pauses.record_accepted(RUNNER, now - seconds)
        else:
            pauses.begin_send(RUNNER, now)
        assert pauses.left_s(RUNNER, now) >= deadline - now - 1e-9
