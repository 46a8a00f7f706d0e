"""Timeouts of orders, waits for adapter slots and the order of waiting requests."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import (
    DEFAULT_SLOT_WAIT_S,
    Candidate,
    ResponseTimes,
    Runner,
    RunnerQueue,
    RunnerView,
    ServingPolicy,
    SlotWait,
    SlotWaitEstimator,
    Waiter,
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


def test_waits_for_slots_are_learnt_by_position() -> None:
    """With only three runners available, chats held their slots for 3 s."""
    waits = SlotWaitEstimator()
    for _ in range(30):
        waits.record(1.5, 3)
    assert 0.45 < waits.mean_s < 0.51


def make_waiter(request_id: str, adapter: str, now: float) -> Waiter:
    return Waiter(request_id, adapter, 0, SlotWait(0, now + 1, now + 5), 0, now)


def test_idle_slots_do_not_make_a_full_runner_look_fast() -> None:
    """Each load into an idle slot counted as a wait of some milliseconds."""
    queue: RunnerQueue[Waiter] = RunnerQueue(2, ServingPolicy())
    for number in range(30):
        waiter = make_waiter(f"r{number}", f"m/a{number}", number)
        assert queue.add(waiter, number)
        queue.record_slot(waiter, number + 0.002)
        queue.remove(waiter)
    assert queue.slot_waits.mean_s == DEFAULT_SLOT_WAIT_S
    queue.slots.held.update({"m/x": 1, "m/y": 1})
    for adapter in queue.slots.held:
        queue.slots.record_use("vm", adapter, 1, 40.0)
    for number in range(30):
        waiter = make_waiter(f"s{number}", f"m/b{number}", 40.0)
        assert queue.add(waiter, 40.0)
        queue.record_slot(waiter, 41.0)
        queue.remove(waiter)
    assert queue.slot_waits.mean_s > 0.9


def test_adapters_on_their_way_do_not_count_as_waiting_for_a_slot() -> None:
    queue: RunnerQueue[Waiter] = RunnerQueue(2, ServingPolicy())
    for request_id, adapter in (("r1", "m/a"), ("r2", "m/a"), ("r3", "m/b")):
        assert queue.add(make_waiter(request_id, adapter, 0.0), 0.0)
    assert queue.adapters_without_slot() == {"m/a", "m/b"}
    queue.slots.loading["m/a"] = 0
    assert queue.adapters_without_slot() == {"m/b"}


def test_slow_turns_make_a_queue_too_long() -> None:
    def candidate(name: str, slot_wait_s: float) -> Candidate:
        runner = Runner(name, "s", "h", 1, "a", 64, False, 1, 0, ())
        view = RunnerView(6, 0, 5, 0, 1.0)
        return Candidate(
            runner, view, True, has_adapter=False, available_slots=0, waiting=2,
            slot_wait_s=slot_wait_s, held_recently=True,
        )  # fmt: skip

    choice = choose_model_runner(
        [candidate("x", 0.6), candidate("y", 0.15)], "m/a", 9, ServingPolicy()
    )
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


def test_lapsed_grant_does_not_keep_an_owner_awake() -> None:
    """Guards against a poll each millisecond while no waiting request has its adapter.

    A grant that has lapsed was dropped only when another prompt asked to start.
    """
    queue: RunnerQueue[Waiter] = RunnerQueue(2, ServingPolicy())
    queue.prefills.begin("gone", 2400, 0.4, 0.0)
    assert queue.add(make_waiter("r1", "m/a1", 0.0), 0.0)
    lapse_at = queue.prefills.next_lapse_at()
    assert lapse_at is not None
    assert queue.take_ready(lapse_at) == []
    assert queue.prefills.next_lapse_at() is None
