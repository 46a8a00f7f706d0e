"""Green threads are restarted after unexpected exceptions."""

from __future__ import annotations

import eventlet
from gooseberryrun._internal.coordination import _tasks


def test_lasting_task_starts_again_after_a_bug_and_ends_when_done() -> None:
    runs: list[int] = []

    def work() -> None:
        runs.append(len(runs))
        if len(runs) == 1:
            raise KeyError("a bug")

    _tasks.spawn_until_done("test", work)
    eventlet.sleep(_tasks.RESTART_PAUSE_S * 3)
    assert runs == [0, 1]
