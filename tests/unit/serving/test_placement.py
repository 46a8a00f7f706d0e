"""Choice of a runner for a request, one kind of load per rule."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import (
    Candidate,
    Runner,
    RunnerView,
    ServingPolicy,
    choose_model_runner,
    choose_plain_server,
)

IDLE = RunnerView(0, 0, 0, 0, 1.0)
PROMPT = 2000
POLICY = ServingPolicy()


def runner(name: str, slots: int = 64) -> Runner:
    return Runner(name, "s", "10.0.0.1", 1, "domain", slots, False, 1, 0, ())


def chosen(candidates: list[Candidate], adapter: str = "m/a1") -> str:
    choice = choose_model_runner(candidates, adapter, PROMPT, POLICY)
    assert choice is not None
    return choice.candidate.runner.id


def test_runner_that_holds_the_adapter_is_preferred() -> None:
    has = Candidate(runner("r1"), IDLE, False)
    lacks = Candidate(runner("r2"), IDLE, True, has_adapter=False)
    assert chosen([has, lacks]) == "r1"


def test_long_queue_of_prompts_is_worth_a_load_elsewhere() -> None:
    busy = Candidate(runner("r1"), RunnerView(20, 40000, 20, 0, 1.0), True)
    lacks = [
        Candidate(runner(name), IDLE, True, has_adapter=False) for name in ("r2", "r3")
    ]
    assert chosen([busy, *lacks]) != "r1"


def test_runner_that_held_the_adapter_lately_is_preferred_to_a_fresh_load() -> None:
    for number in range(20):
        had = Candidate(runner("r1"), IDLE, True, has_adapter=False, held_recently=True)
        never = Candidate(runner("r2"), IDLE, True, has_adapter=False)
        assert chosen([had, never], f"m/a{number}") == "r1"


def test_requests_that_wait_for_places_send_new_ones_elsewhere() -> None:
    """Guards against long queues at one runner while another has free slots."""
    full = Candidate(
        runner("r1"),
        IDLE,
        True,
        has_adapter=False,
        held_recently=True,
        available_slots=0,
        waiting=24,
    )
    idle = Candidate(runner("r2"), IDLE, True, has_adapter=False, available_slots=3)
    for number in range(20):
        assert chosen([full, idle], f"m/a{number}") == "r2"


def test_expected_wait_tells_of_places_so_that_it_can_be_refused() -> None:
    full = Candidate(
        runner("r1"), IDLE, True, has_adapter=False, available_slots=0, waiting=12
    )
    choice = choose_model_runner([full], "m/a1", PROMPT, POLICY)
    assert choice is not None
    assert choice.expected_s > 1.5


def test_failing_runner_is_left_although_it_holds_the_adapter() -> None:
    failing = Candidate(runner("r1"), RunnerView(0, 0, 2, 18, 1.0), True)
    healthy = Candidate(runner("r2"), IDLE, True, has_adapter=False, held_recently=True)
    assert chosen([failing, healthy]) == "r2"


def test_nothing_is_chosen_where_nobody_can_load() -> None:
    lacks = Candidate(runner("r1"), IDLE, True, has_adapter=False, can_load=False)
    assert choose_model_runner([lacks], "m/a1", PROMPT, POLICY) is None


def test_plain_requests_stay_near_until_the_near_server_is_full() -> None:
    local = Candidate(runner("r1", 6), RunnerView(1, 0, 1, 0, 1.0), True)
    remote = Candidate(runner("r2", 6), IDLE, False)
    choice = choose_plain_server([local, remote], "id")
    assert choice is not None
    assert choice.candidate.runner.id == "r1"
    full = Candidate(runner("r1", 6), RunnerView(6, 0, 1, 0, 1.0), True)
    choice = choose_plain_server([full, remote], "id")
    assert choice is not None
    assert choice.candidate.runner.id == "r2"
