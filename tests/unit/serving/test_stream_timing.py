"""What is learnt from the streams that a VM relays."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import StreamHistory, StreamTiming

MAX_PAUSE_S = 0.25


def make_timing(longest_pause_s: float) -> StreamTiming:
    timing = StreamTiming()
    for at in (1.0, 1.02, 1.02 + longest_pause_s):
        timing.record_event(at)
    return timing


def test_prompts_need_no_admission_where_streams_never_pause() -> None:
    """Such engines prefill in small pieces; waiting for one another only cost time."""
    history = StreamHistory()
    assert history.has_long_pauses
    for _ in range(30):
        history.record(make_timing(0.18), 100, MAX_PAUSE_S)
    assert not history.has_long_pauses


def test_a_few_long_pauses_bring_the_admission_back() -> None:
    history = StreamHistory()
    for _ in range(200):
        history.record(make_timing(0.1), 100, MAX_PAUSE_S)
    history.record(make_timing(0.4), 100, MAX_PAUSE_S)
    assert history.has_long_pauses


def test_one_stream_in_ten_that_pauses_keeps_the_admission() -> None:
    history = StreamHistory()
    for number in range(300):
        history.record(make_timing(0.1 if number % 10 else 0.4), 100, MAX_PAUSE_S)
        assert history.has_long_pauses


def test_streams_without_an_allowed_pause_count_as_smooth() -> None:
    history = StreamHistory()
    for _ in range(60):
        history.record(make_timing(5.0), 100, 0.0)
    assert not history.has_long_pauses
