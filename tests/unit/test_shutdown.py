"""When a process that is stopping may exit."""

from __future__ import annotations

from gooseberryrun._internal.coordination import IDLE_BEFORE_EXIT_S, Shutdown

REMOVED_AT_S = 2.0
LATEST_S = 7.0
STEP_S = 0.05


def exit_time(open_times: set[float]) -> float:
    """Return when a process exits that has work open at the given times."""
    shutdown = Shutdown(REMOVED_AT_S, LATEST_S)
    step = 0
    while not shutdown.may_exit(
        step * STEP_S, round(step * STEP_S, 2) not in open_times
    ):
        step += 1
    return round(step * STEP_S, 2)


def test_idle_process_waits_for_the_load_balancer() -> None:
    assert exit_time(set()) >= REMOVED_AT_S + IDLE_BEFORE_EXIT_S


def test_work_that_arrives_late_is_finished() -> None:
    late = {2.2, 2.25, 2.5, 2.8}
    assert exit_time(late) >= max(late) + IDLE_BEFORE_EXIT_S


def test_process_exits_at_the_deadline_whatever_is_open() -> None:
    always = {round(step * STEP_S, 2) for step in range(1000)}
    assert exit_time(always) == LATEST_S
