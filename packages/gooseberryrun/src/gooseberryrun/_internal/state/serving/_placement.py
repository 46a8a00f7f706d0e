"""Choice of a runner for a request.

Made for loads in which prompts queue at the runners and most adapters are not loaded:
a request goes to the runner with the earliest expected first event, which includes the
time to load a missing adapter.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .._hashing import rank_nodes
from ._adapter_slots import DEFAULT_SLOT_WAIT_S
from ._loads import RunnerView
from ._policy import ServingPolicy
from ._prefill import PrefillLoad
from ._runners import Runner
from ._waiting import EXPECTED_LOAD_S, EXPECTED_RELOAD_S
from .admission import longest_queue_wait_s
from .placement import STEPS_PER_UNIT, in_flight_limit, rank_weighted, speed_factor

TURN_COST_PER_S = 10.0
"""Cost of a wait for a turn at a plain server, in fillings of its slots: about the
requests that a slot serves in a second."""
PLAIN_REMOTE_COST = 0.5
"""Cost of a plain server in another domain without figures of it, in fillings."""
RESERVED_PLACES = 1
"""Idle adapter places of a runner that an account beyond its share leaves to others."""
RESULT_PRIOR = 2
"""Successes assumed for every runner, so that few results do not decide."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """Runner that could get a request, with the current knowledge of it.

    ``available_slots`` counts its available adapter slots and ``waiting`` the requests
    waiting for one; ``slot_wait_s`` is the expected time until one more slot is free.
    ``needs_grant`` is set if the prompt is so long that it waits for those before it,
    ``breaks_streams`` if it makes running streams pause for too long; ``stream_s`` is
    the expected time from the request's first to its last event. ``turn_wait_s`` is the
    expected wait for a turn at a runner that limits its requests. ``crossing_cost`` is
    the cost of a runner in another domain, in seconds or, for a plain server, fillings;
    None: a constant. ``weight`` is the runner's published speed, in steps of a quarter
    of the median runner's. ``account_share`` is what the request's account uses of the
    runner, over its fair share.
    """

    runner: Runner
    view: RunnerView
    is_local: bool
    has_adapter: bool = True
    held_recently: bool = False
    available_slots: int = 1
    waiting: int = 0
    slot_wait_s: float = DEFAULT_SLOT_WAIT_S
    can_load: bool = True
    cached_tokens: int = 0
    prefill: PrefillLoad = PrefillLoad()
    needs_grant: bool = False
    breaks_streams: bool = False
    stream_s: float = 0.0
    turn_wait_s: float = 0.0
    crossing_cost: float | None = None
    weight: int = STEPS_PER_UNIT
    account_share: float = 1.0


@dataclass(frozen=True, slots=True)
class Choice:
    """Chosen runner and the expected seconds until the first event.

    ``queue_s`` is the part of them that is due to other requests, and
    ``account_share`` the mean share of the request's account at all candidates.
    """

    candidate: Candidate
    expected_s: float
    queue_s: float = 0.0
    account_share: float = 1.0

    def refusal(self, longest_wait_s: float) -> str:
        """Return why a request is refused that may wait that long, "" if it is not."""
        if self.expected_s > longest_wait_s:
            return "overload"
        if not self._is_contended():
            return ""
        limit_s = longest_queue_wait_s(self.account_share, longest_wait_s)
        if limit_s < longest_wait_s and self.queue_s > limit_s:
            return "account_share"
        return ""

    def _is_contended(self) -> bool:
        """Return whether requests wait at the chosen runner, for a place or a grant."""
        chosen = self.candidate
        is_full = chosen.waiting > chosen.available_slots
        return is_full or chosen.prefill.waiting_s > 0.0


def failure_rate(view: RunnerView) -> float:
    """Return the damped share of recent attempts that failed."""
    return view.failed / (view.ok + view.failed + RESULT_PRIOR)


def expected_first_event_s(
    candidate: Candidate, prompt_tokens: int, policy: ServingPolicy
) -> float:
    """Return the expected seconds until the first event, adapter load excluded."""
    view = candidate.view
    unread = view.unread_tokens + max(0, prompt_tokens - candidate.cached_tokens)
    load = candidate.prefill
    wait_s = load.running_s + (load.waiting_s if candidate.needs_grant else 0.0)
    own_s = load.pace.prefill_s(max(0, prompt_tokens - candidate.cached_tokens))
    prefill_s = max(load.pace.prefill_s(unread), wait_s + own_s)
    slowness = view.slowness if policy.follows_slowness else 1.0
    return slowness * prefill_s + overflow_s(candidate, policy)


def overflow_s(candidate: Candidate, policy: ServingPolicy) -> float:
    """Return the cost of the requests beyond those that a runner takes at once."""
    limit = in_flight_limit(candidate.runner.slots, candidate.weight)
    overflow = max(0, candidate.view.in_flight + 1 - limit)
    return overflow * policy.overflow_cost_s / speed_factor(candidate.weight)


def rank_candidates(candidates: list[Candidate], adapter: str) -> dict[str, int]:
    """Return the rank of each runner for an adapter, its homes first."""
    weights = {c.runner.id: c.weight for c in candidates}
    ranking = rank_weighted(adapter, weights)
    return {runner: rank for rank, runner in enumerate(ranking)}


def expected_load_s(candidate: Candidate) -> float:
    """Return the expected seconds until the adapter is loaded, slot wait included."""
    if candidate.has_adapter:
        return 0.0
    queue = max(0, candidate.waiting + 1 - candidate.available_slots)
    load_s = EXPECTED_RELOAD_S if candidate.held_recently else EXPECTED_LOAD_S
    return load_s + queue * candidate.slot_wait_s


def choose_model_runner(
    candidates: list[Candidate],
    adapter: str,
    prompt_tokens: int,
    policy: ServingPolicy,
) -> Choice | None:
    """Return the runner with the lowest expected time to the first event plus costs.

    Returns None if no candidate has the adapter or can load it.
    """
    ranking = rank_candidates(candidates, adapter)
    is_held = any(candidate.has_adapter for candidate in candidates)
    best: tuple[float, Choice] | None = None
    for candidate in candidates:
        if not candidate.has_adapter and not candidate.can_load:
            continue
        rank = ranking[candidate.runner.id]
        cost_s, expected_s = model_runner_cost_s(
            candidate, rank, is_held, prompt_tokens, policy
        )
        if best is None or cost_s < best[0]:
            best = (cost_s, Choice(candidate, expected_s))
    if best is None:
        return None
    chosen, expected_s = best[1].candidate, best[1].expected_s
    share = sum(c.account_share for c in candidates) / len(candidates)
    queue_s = _queue_s(chosen, expected_s, prompt_tokens)
    return Choice(chosen, expected_s, queue_s, share)


def _queue_s(candidate: Candidate, expected_s: float, prompt_tokens: int) -> float:
    """Return the part of the expected time that is due to other requests.

    It includes the wait for the places that an account beyond its share leaves to
    others.
    """
    tokens = max(0, prompt_tokens - candidate.cached_tokens)
    queue_s = expected_s - candidate.prefill.pace.prefill_s(tokens)
    if candidate.has_adapter:
        return queue_s
    load_s = EXPECTED_RELOAD_S if candidate.held_recently else EXPECTED_LOAD_S
    ahead = candidate.waiting + 1 - candidate.available_slots
    reserved = max(0, ahead + RESERVED_PLACES) - max(0, ahead)
    return queue_s - load_s + reserved * candidate.slot_wait_s


def model_runner_cost_s(
    candidate: Candidate,
    rank: int,
    is_held: bool,
    prompt_tokens: int,
    policy: ServingPolicy,
) -> tuple[float, float]:
    """Return the cost of a runner, and the expected seconds until the first event.

    ``rank`` is that of the runner for the adapter, which another one holds if
    ``is_held``.
    """
    expected_s = expected_first_event_s(candidate, prompt_tokens, policy)
    expected_s += max(expected_load_s(candidate), candidate.turn_wait_s)
    cost_s = expected_s + _runner_cost_s(candidate, policy)
    cost_s += policy.pause_cost_s * expected_pauses(candidate)
    if not candidate.has_adapter:
        cost_s += _load_cost_s(candidate, rank, is_held, policy)
    return cost_s, expected_s


def expected_pauses(candidate: Candidate) -> float:
    """Return the expected number of streams that pause for too long by a placement.

    A prompt that is too long by itself breaks each stream that runs there, and the
    request's own stream may meet such a prompt. Very long prompts and long streams thus
    go to different runners.
    """
    load = candidate.prefill
    others = load.streams if candidate.breaks_streams else 0
    own = 1.0 - math.exp(-load.breaks_per_s * candidate.stream_s)
    return others + own


def _runner_cost_s(candidate: Candidate, policy: ServingPolicy) -> float:
    """Return the cost of a runner that fails or is far away."""
    cost_s = policy.failure_cost_s * failure_rate(candidate.view) ** 2
    return cost_s + _crossing_cost(candidate, policy.remote_cost_s)


def _crossing_cost(candidate: Candidate, default: float) -> float:
    """Return the cost of another domain, ``default`` without figures of it."""
    if candidate.is_local:
        return 0.0
    return default if candidate.crossing_cost is None else candidate.crossing_cost


def _load_cost_s(
    candidate: Candidate, rank: int, is_held: bool, policy: ServingPolicy
) -> float:
    """Return the cost of a load from the store; reloads from memory are free."""
    if candidate.held_recently and policy.knows_recent:
        return 0.0
    return policy.rank_cost_s * rank + (policy.copy_cost_s if is_held else 0.0)


def choose_plain_server(candidates: list[Candidate], request_id: str) -> Choice | None:
    """Return the server that responds first.

    One in another domain costs half its slots if there are no figures of it.
    """
    best: tuple[float, int, Choice] | None = None
    ranking = rank_nodes(request_id, [c.runner.id for c in candidates])
    for candidate in candidates:
        fill = candidate.view.in_flight / max(1, candidate.runner.slots)
        cost = plain_server_cost(candidate)
        rank = ranking.index(candidate.runner.id)
        if best is None or (cost, rank) < best[:2]:
            best = (cost, rank, Choice(candidate, fill))
    return best[2] if best else None


def plain_server_cost(candidate: Candidate) -> float:
    """Return the cost of a plain server, in fillings of its slots."""
    fill = candidate.view.in_flight / max(1, candidate.runner.slots)
    cost = fill * candidate.view.slowness + 4 * failure_rate(candidate.view) ** 2
    cost += _crossing_cost(candidate, PLAIN_REMOTE_COST)
    return cost + TURN_COST_PER_S * candidate.turn_wait_s
