"""Log lines: key=value pairs, with the id of the green thread's request."""

from __future__ import annotations

import eventlet
import gooseberryrun._internal.coordination as coordination
import pytest
from absl import logging


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Collect the logged lines."""
    kept: list[str] = []
    monkeypatch.setattr(
        logging, "log", lambda _level, pattern, *args: kept.append(pattern % args)
    )
    return kept


def test_values_are_escaped(lines: list[str]) -> None:
    coordination.log_event("x", plain="a-b", spaced="a b", quoted='"', lined="a\nb")
    assert lines == [r'event=x plain=a-b spaced="a b" quoted="\"" lined="a\nb"']


def test_lines_name_the_request_of_their_own_green_thread(lines: list[str]) -> None:
    def work(request_id: str) -> None:
        coordination.bind_request(request_id)
        eventlet.sleep(0)
        coordination.log_event("step")

    threads = [eventlet.spawn(work, name) for name in ("one", "two")]
    for thread in threads:
        thread.wait()
    coordination.log_event("outside")
    coordination.log_event("named", request="three")
    assert lines == [
        "event=step request=one",
        "event=step request=two",
        "event=outside",
        "event=named request=three",
    ]
