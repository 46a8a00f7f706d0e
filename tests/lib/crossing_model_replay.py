"""Replay of streams at the model runners of three failure domains, in virtual time.

A runner reads one prompt after another and has few places for adapters. The VMs of a
domain know the places and prompts of its runners shortly before, those of other
domains only by summaries and by the answers of owners that they have asked.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from gooseberryrun._internal.coordination.serving._eligible_runners import HOME_RUNNERS
from gooseberryrun._internal.coordination.serving._runner_choice import with_departure
from gooseberryrun._internal.coordination.serving.crossing import Departure
from gooseberryrun._internal.state import rank_nodes
from gooseberryrun._internal.state.serving import (
    Candidate,
    PrefillLoad,
    PrefillPace,
    Runner,
    RunnerView,
    ServingPolicy,
    choose_model_runner,
)
from gooseberryrun._internal.state.serving.crossing import (
    ClassMix,
    CrossingPrice,
    PressureSummary,
    ServerLoad,
    ShareController,
    ShareLimits,
    model_wait_s,
    pick_domain,
    summarise,
)

from tests.lib.crossing_replay import (
    REQUEST_BYTES,
    RESPONSE_BYTES,
    Outcome,
    Rule,
)

TOKENS = 2400
LOAD_S = 0.288
STREAM_S = 0.8
PLACES = 5
ADAPTERS = 2000
NOTICE_S = 0.05
"""Age of what the VMs of a domain know of its runners."""
FIGURES_S = 0.5
"""Interval and age of the summaries."""
OWNER_STATE_S = 0.6
POLICY = ServingPolicy()


@dataclass(frozen=True)
class ModelLoad:
    """Load of a replay; ``rate`` is by domain and time, in requests per second."""

    rate: Callable[[int, float], float]
    runners: tuple[int, ...] = (8, 8, 8)
    token_s: float = 1 / 20400
    target_s: float = 1.5
    duration_s: float = 51.0
    seed: int = 1


@dataclass
class _State:
    """Runner with the adapters that it holds and until when each is in use."""

    runner: Runner
    read_until: float = 0.0
    held: dict[str, float] = field(default_factory=dict)
    recent: set[str] = field(default_factory=set)
    known_read_until: float = 0.0
    known_held: frozenset[str] = frozenset()
    idle: int = PLACES

    def publish(self, now: float) -> None:
        self.known_read_until = self.read_until
        self.known_held = frozenset(self.held)
        used = sum(until > now for until in self.held.values())
        self.idle = max(0, PLACES - used)

    def serve(self, adapter: str, now: float, token_s: float) -> float:
        """Serve a request; return the time of its first event."""
        ready_at = now
        if adapter not in self.held:
            if len(self.held) >= PLACES:
                victim = min(self.held, key=lambda key: self.held[key])
                ready_at = max(now, self.held.pop(victim))
                self.recent.add(victim)
            ready_at += LOAD_S
        start = max(self.read_until, ready_at)
        # A prompt whose adapter is being loaded does not hold up the others.
        self.read_until = max(self.read_until, now) + TOKENS * token_s
        first = max(start, now) + TOKENS * token_s
        self.held[adapter] = max(self.held.get(adapter, 0.0), first + STREAM_S)
        return first


class ModelReplay:
    """One run of a load under a rule."""

    def __init__(self, load: ModelLoad, rule: Rule) -> None:
        self._load = load
        self._rule = rule
        self._random = random.Random(load.seed)
        self._domains = [f"d{n}" for n in range(len(load.runners))]
        self._states = {
            domain: {
                f"{domain}-m{n}": _State(_make_runner(f"{domain}-m{n}", domain))
                for n in range(count)
            }
            for domain, count in zip(self._domains, load.runners, strict=True)
        }
        weights = [rank**-1.2 for rank in range(1, ADAPTERS + 1)]
        self._cumulated = list(itertools.accumulate(weights))
        self._controllers = {domain: ShareController() for domain in self._domains}
        self._mix = ClassMix()
        self._summaries: dict[str, PressureSummary] = {}
        self._asked: dict[tuple[str, str], float] = {}
        self._price_s = CrossingPrice(7e-6).total_s()
        self.outcome = Outcome()

    def run(self) -> Outcome:
        """Run the whole load; return what became of the requests."""
        step_s = 0.005
        for tick in range(int(self._load.duration_s / step_s)):
            now = tick * step_s
            if tick % int(NOTICE_S / step_s) == 0:
                self._publish(now)
            if tick % int(FIGURES_S / step_s) == 0 and self._rule is Rule.SHARES:
                self._step(now)
            for index, domain in enumerate(self._domains):
                for _ in range(self._arrivals(self._load.rate(index, now) * step_s)):
                    self._serve(domain, now)
        return self.outcome

    def _arrivals(self, mean: float) -> int:
        threshold, count = math.exp(-mean), 0
        product = self._random.random()
        while product > threshold:
            count += 1
            product *= self._random.random()
        return count

    def _publish(self, now: float) -> None:
        for states in self._states.values():
            for state in states.values():
                state.publish(now)

    def _step(self, now: float) -> None:
        others = dict(self._summaries)
        for domain in self._domains:
            loads = []
            for state in self._states[domain].values():
                candidate = self._candidate(state, "", domain, now)
                wait_s = model_wait_s(candidate, POLICY)
                used = sum(until > now for until in state.held.values())
                loads.append(ServerLoad(64, 8 * wait_s + used, 0, wait_s))
            self._summaries[domain] = summarise(domain, "m", loads)
        limits = ShareLimits(0.6, self._load.target_s)
        for domain, controller in self._controllers.items():
            found = [s for key, s in others.items() if key != domain]
            controller.step(self._summaries[domain], found, self._price_s, limits)

    def _candidate(
        self, state: _State, adapter: str, domain: str, now: float
    ) -> Candidate:
        runner = state.runner
        pace = PrefillPace(self._load.token_s)
        asked_at = self._asked.get((domain, runner.id), -9.0)
        is_local = runner.domain == domain
        if not is_local and now - asked_at > OWNER_STATE_S:
            return Candidate(runner, _VIEW, False, has_adapter=False)
        running_s = max(0.0, state.known_read_until - now)
        return Candidate(
            runner,
            _VIEW,
            is_local,
            has_adapter=adapter in state.known_held,
            held_recently=adapter in state.recent,
            available_slots=state.idle,
            prefill=PrefillLoad(pace, running_s),
        )

    def _serve(self, domain: str, now: float) -> None:
        self.outcome.requests += 1
        number = self.outcome.requests
        (adapter,) = self._random.choices(range(ADAPTERS), cum_weights=self._cumulated)
        key = f"m/a{adapter}"
        candidates = self._candidates(domain, key, f"r{number}", now)
        choice = choose_model_runner(candidates, key, TOKENS, POLICY)
        assert choice is not None
        runner = choice.candidate.runner
        state = self._states[runner.domain][runner.id]
        if runner.domain != domain:
            self._asked[(domain, runner.id)] = now
            self._record_crossing(domain, state, now)
        first = state.serve(key, now, self._load.token_s)
        if first - now <= self._load.target_s:
            self.outcome.in_time += 1

    def _candidates(
        self, domain: str, key: str, request_id: str, now: float
    ) -> list[Candidate]:
        local = [*self._states[domain].values()]
        found = [self._candidate(state, key, domain, now) for state in local]
        if self._rule is Rule.NEVER:
            return found
        home = rank_nodes(key, self._domains)[0]
        domains = {home} - {domain}
        departure = None
        if self._rule is Rule.SHARES:
            shares = self._controllers[domain].shares
            self._mix.record(0)
            chosen = pick_domain(request_id, 0, shares, self._mix)
            if chosen is not None:
                self.outcome.selected += 1
                domains.add(chosen)
                wait_s = self._summaries[chosen].wait_s
                departure = Departure(chosen, wait_s, self._price_s)
        for other in sorted(domains):
            for runner in rank_nodes(key, self._states[other])[:HOME_RUNNERS]:
                state = self._states[other][runner]
                found.append(self._candidate(state, key, domain, now))
        return with_departure(found, departure) if departure else found

    def _record_crossing(self, domain: str, state: _State, now: float) -> None:
        waits = [max(0.0, s.read_until - now) for s in self._states[domain].values()]
        self.outcome.crossings += 1
        self.outcome.bytes_across += REQUEST_BYTES + RESPONSE_BYTES
        if max(0.0, state.read_until - now) > sum(waits) / len(waits):
            self.outcome.met_more_load += 1


_VIEW = RunnerView(0, 0, 10, 0, 1.0)


def _make_runner(name: str, domain: str) -> Runner:
    return Runner(name, "m", "h", 1, domain, 64, False, 1, 0, ())
