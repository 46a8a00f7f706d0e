"""Timeouts of orders, waits for adapter slots and the order of waiting requests."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import (
    DEFAULT_SLOT_WAIT_S,
    Candidate,
    ResponseTimes,
    Runner,
    RunnerView,
    SlotWait,
    SlotWaitEstimator,
    choose_model_runner,
)


def test_unanswered_orders_hold_others_up_only_briefly() -> None:
    """With a third of the orders unanswered, each delayed the next ones by 80 ms."""
    times = ResponseTimes()
    assert times.timeout_s == 0.1
    for took_s in (0.003, 0.005, 0.002, 0.007, 0.003) * 4:
        times.record(took_s)
    assert times.timeout_s == 0.025


def test_slow_vm_waits_longer_for_its_orders() -> None:
    times = ResponseTimes()
    for took_s in (0.02, 0.05, 0.03, 0.06) * 5:
        times.record(took_s)
    assert 0.06 < times.timeout_s <= 0.1


def test_turns_of_places_are_learnt_while_requests_wait() -> None:
    """With only three runners available, chats held their slots for 3 s."""
    turns = SlotWaitEstimator()
    turns.record_waiting(10.0)
    for n in range(1, 31):
        turns.record_taken(10.0 + 0.5 * n)
    assert 0.45 < turns.mean_s < 0.51


def test_idle_times_do_not_count_as_turns() -> None:
    turns = SlotWaitEstimator()
    turns.record_taken(5.0)
    turns.record_waiting(6.0)
    turns.record_idle()
    turns.record_waiting(60.0)
    turns.record_taken(60.0)
    assert turns.mean_s < DEFAULT_SLOT_WAIT_S


def test_slow_turns_make_a_queue_too_long() -> None:
    def candidate(name: str, slot_wait_s: float) -> Candidate:
        runner = Runner(name, "s", "h", 1, "a", 64, False, 1, 0, ())
        view = RunnerView(6, 0, 5, 0, 1.0)
        return Candidate(
            runner, view, True, has_adapter=False, available_slots=0, waiting=2,
            slot_wait_s=slot_wait_s, held_recently=True,
        )  # fmt: skip

    choice = choose_model_runner([candidate("x", 0.6), candidate("y", 0.15)], "m/a", 9)
    assert choice is not None
    assert choice.candidate.runner.id == "y"
    assert choice.expected_s < 1.0


def served_in_time(order_by_rank: bool) -> int:
    """Simulate a burst of 40 requests in 2 s; a slot becomes free every 0.1 s."""
    waiting: list[SlotWait] = []
    in_time = 0
    for tick in range(200):
        now = tick * 0.05
        if tick < 40:
            waiting.append(SlotWait(1, now + 1.0, now + 5.0))
        if tick % 2 or not waiting:
            continue
        ranks = [
            w.rank(now) if order_by_rank else (0, False, w.deadline) for w in waiting
        ]
        first = waiting[ranks.index(min(ranks))]
        waiting.remove(first)
        in_time += now + 0.255 <= first.target_deadline
    assert not waiting
    return in_time


def test_late_requests_wait_behind_those_that_can_be_in_time() -> None:
    """By deadline alone, each request of a burst is served when it is already late."""
    assert served_in_time(order_by_rank=True) > 1.3 * served_in_time(False)


def test_urgent_requests_come_first_even_if_late() -> None:
    late, in_time = SlotWait(0, 0.1, 9.0), SlotWait(1, 9.0, 9.5)
    assert late.rank(1.0) < in_time.rank(1.0)
