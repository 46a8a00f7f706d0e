"""Choice of a runner for a request.

Answers the load in which prompts queue at the runners while most adapters are not
loaded: a request goes where its first event is expected soonest, an adapter that has
to be loaded counting as the time of the load.
"""

from __future__ import annotations

from dataclasses import dataclass

from .._hashing import rank_nodes
from ._adapter_slots import DEFAULT_SLOT_WAIT_S
from ._loads import RunnerView
from ._runners import Runner
from ._waiting import EXPECTED_LOAD_S, EXPECTED_RELOAD_S

PROMPT_TOKENS_PER_S = 15000.0
"""Prompt tokens that a runner reads in a second between the steps of its batch."""
STEP_S = 0.025
"""Time of a batch's step with its overhead on the way."""
RANK_S = 0.3
"""Cost of each place further down an adapter's ranking, so that later loads find
the adapter in the memory of the same runner."""
FAR_S = 0.03
"""Cost of a runner in another failure domain."""
FAILURE_S = 2.0
"""Cost of a runner all of whose recent attempts failed."""
BATCH_OVERFLOW_S = 0.05
"""Cost of each request beyond a runner's batch."""
RESULT_PRIOR = 2
"""Successes that a runner is credited with before any result."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """Runner that could get a request, with what is known of it now."""

    runner: Runner
    view: RunnerView
    is_local: bool
    has_adapter: bool = True
    held_recently: bool = False
    idle_places: int = 1
    waiting: int = 0
    turn_s: float = DEFAULT_SLOT_WAIT_S
    can_load: bool = True
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Choice:
    """Chosen runner and the expected seconds until the first event."""

    candidate: Candidate
    expected_s: float


def failure_rate(view: RunnerView) -> float:
    """Return the share of recent attempts that failed, small samples damped."""
    return view.failed / (view.ok + view.failed + RESULT_PRIOR)


def expected_first_event_s(candidate: Candidate, prompt_tokens: int) -> float:
    """Return the expected seconds until the first event, loads not counted."""
    view = candidate.view
    unread = view.unread_tokens + max(0, prompt_tokens - candidate.cached_tokens)
    overflow = max(0, view.in_flight + 1 - candidate.runner.slots)
    reading_s = unread / PROMPT_TOKENS_PER_S + STEP_S
    return view.slowness * reading_s + overflow * BATCH_OVERFLOW_S


def expected_adapter_s(candidate: Candidate) -> float:
    """Return the expected seconds until the adapter is there, without its place."""
    if candidate.has_adapter:
        return 0.0
    queue = max(0, candidate.waiting + 1 - candidate.idle_places)
    load_s = EXPECTED_RELOAD_S if candidate.held_recently else EXPECTED_LOAD_S
    return load_s + queue * candidate.turn_s


def choose_model_runner(
    candidates: list[Candidate], adapter: str, prompt_tokens: int
) -> Choice | None:
    """Return the runner with the soonest first event; None without candidates."""
    ranking = {
        runner: rank
        for rank, runner in enumerate(
            rank_nodes(adapter, [c.runner.id for c in candidates])
        )
    }
    best: tuple[float, Choice] | None = None
    for candidate in candidates:
        if not candidate.has_adapter and not candidate.can_load:
            continue
        expected_s = expected_first_event_s(candidate, prompt_tokens)
        expected_s += expected_adapter_s(candidate)
        cost_s = expected_s + FAILURE_S * failure_rate(candidate.view) ** 2
        cost_s += 0.0 if candidate.is_local else FAR_S
        if not candidate.has_adapter and not candidate.held_recently:
            cost_s += RANK_S * ranking[candidate.runner.id]
        if best is None or cost_s < best[0]:
            best = (cost_s, Choice(candidate, expected_s))
    return best[1] if best else None


def choose_plain_server(candidates: list[Candidate], request_id: str) -> Choice | None:
    """Return the server with the most room; near ones first while they have room."""
    best: tuple[float, int, Choice] | None = None
    ranking = rank_nodes(request_id, [c.runner.id for c in candidates])
    for candidate in candidates:
        fill = candidate.view.in_flight / max(1, candidate.runner.slots)
        cost = fill * candidate.view.slowness + 4 * failure_rate(candidate.view) ** 2
        cost += 0.0 if candidate.is_local else 0.5
        rank = ranking.index(candidate.runner.id)
        if best is None or (cost, rank) < best[:2]:
            best = (cost, rank, Choice(candidate, fill))
    return best[2] if best else None
