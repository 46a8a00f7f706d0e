"""The policy against its rival on a seeded Monday morning, in virtual time.

The real scheduler, policies and store budget decide; engines, callers and the store are
a few events on a heap. One run serves the same requests under every policy.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gooseberryrun._internal.coordination as coordination
import gooseberryrun._internal.state as state

ADAPTERS = 3000
ZIPF = 1.1
LOAD_S = 0.25
LOAD_IN_FLIGHT = 8
SLOTS = 4
BATCH = 8
QUICK_SERVICE_S = 1.0
PATIENT_SERVICE_S = 8.0
BACKLOG = 2500
QUICK_PER_S = 1.5
PATIENT_PER_S = 0.6
HORIZON_S = 1800.0
SHIFT_S = 600.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """A deployment's sizes and the settings of its policy."""

    name: str
    runners: int
    store_rate: float
    load_stall_weight: float
    batch_efficiency_weight: float


SCENARIOS = (
    Scenario("papillon", 5, 2.0, 4.0, 1.0),
    Scenario("guild", 6, 3.0, 1.0, 8.0),
)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request; ``service_s`` is the time it holds a batch place."""

    at: float
    number: int
    model: str
    work_class: state.WorkClass
    service_s: float


@dataclass(slots=True)
class Score:
    """What a run measured."""

    load_stall_s: float = 0.0
    quick_waits: list[float] = field(default_factory=list)
    filled: float = 0.0
    places: float = 0.0
    served: int = 0

    def quick_p99_s(self) -> float:
        """Return the 99th percentile of the waits of quick requests."""
        ordered = sorted(self.quick_waits) or [0.0]
        return ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]

    def batch_fill(self) -> float:
        """Return the filled share of the places while work waited."""
        return self.filled / self.places if self.places else 1.0


def make_arrivals(seed: int, backlog: int) -> list[Arrival]:
    """Return a Monday: a backlog at once, then both classes, popularity shifting."""
    rng = random.Random(seed)
    weights = [1 / rank**ZIPF for rank in range(1, ADAPTERS + 1)]
    names = [f"a{number}@1" for number in range(ADAPTERS)]
    numbers = itertools.count()
    arrivals: list[Arrival] = []

    def add(at: float, patient: bool) -> None:
        model = rng.choices(names, weights)[0]
        kind = state.WorkClass.PATIENT if patient else state.WorkClass.QUICK
        mean_s = PATIENT_SERVICE_S if patient else QUICK_SERVICE_S
        service_s = rng.uniform(0.5, 1.5) * mean_s
        arrivals.append(Arrival(at, next(numbers), model, kind, service_s))

    for _ in range(backlog):
        add(rng.uniform(0.0, 30.0), patient=True)
    for start in range(0, int(HORIZON_S), int(SHIFT_S)):
        # The most popular adapters change places with others.
        for rank in range(10):
            other = rng.randrange(ADAPTERS)
            names[rank], names[other] = names[other], names[rank]
        for rate, patient in ((QUICK_PER_S, False), (PATIENT_PER_S, True)):
            at = float(start)
            while (at := at + rng.expovariate(rate)) < start + SHIFT_S:
                add(at, patient)
    return sorted(arrivals, key=lambda arrival: arrival.at)


class Simulation:
    """Runners, store and callers in virtual time."""

    def __init__(
        self,
        scenario: Scenario,
        make: Callable[[], coordination.Policy],
        least_loaded: bool,
    ) -> None:
        self._scenario = scenario
        self._least_loaded = least_loaded
        self._books = [
            coordination.RunnerScheduler(
                f"r{number}", SLOTS, BATCH, make(), 10**6, 120.0
            )
            for number in range(scenario.runners)
        ]
        self._budget = coordination.StoreBudget(
            scenario.store_rate, LOAD_IN_FLIGHT, 60.0
        )
        self._heap: list[tuple[float, int, Callable[[float], None]]] = []
        self._ids = itertools.count()
        self._waiting: dict[str, Arrival] = {}
        self._resident_since: dict[tuple[int, str], float] = {}
        self._in_flight = 0
        self._last = 0.0
        self.score = Score()

    def run(self, arrivals: list[Arrival]) -> Score:
        """Serve every request and return the score."""
        for arrival in arrivals:
            self._at(arrival.at, lambda now, a=arrival: self._arrive(a, now))  # type: ignore[misc]
        while self._heap:
            now, _, event = heapq.heappop(self._heap)
            self._account(now)
            event(now)
        return self.score

    def _at(self, when: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._heap, (when, next(self._ids), event))

    def _account(self, now: float) -> None:
        """Add up the batch places while work waited, within the horizon."""
        span = min(now, HORIZON_S) - self._last
        if span <= 0:
            return
        for book in self._books:
            if book.queued:
                self.score.places += span * BATCH
                self.score.filled += span * book.running()
        self._last = min(now, HORIZON_S)

    def _arrive(self, arrival: Arrival, now: float) -> None:
        number = self._choose(arrival.model)
        book = self._books[number]
        book.enqueue(
            coordination.Waiting(
                str(arrival.number),
                arrival.model,
                "vm",
                "boot",
                arrival.work_class,
                str(arrival.number),
                False,
                now,
                float("inf"),
            )
        )
        self._waiting[str(arrival.number)] = arrival
        self._advance(number, now)

    def _choose(self, model: str) -> int:
        if self._least_loaded:
            loads = [book.queued + book.running() for book in self._books]
            return loads.index(min(loads))
        names = [book.runner for book in self._books]
        return names.index(state.rank_nodes(model, names)[0])

    def _advance(self, number: int, now: float) -> None:
        book = self._books[number]
        while True:
            grant = book.next_grant(str(next(self._ids)), now)
            if grant is None:
                break
            self._start(number, grant, now)
        self._order(number, now)

    def _start(self, number: int, grant: coordination.Grant, now: float) -> None:
        arrival = self._waiting.pop(grant.request_id)
        since = self._resident_since.get((number, grant.model), 0.0)
        self.score.load_stall_s += max(0.0, since - arrival.at)
        self.score.served += 1
        if arrival.work_class is state.WorkClass.QUICK:
            self.score.quick_waits.append(now - arrival.at)

        def end(then: float) -> None:
            self._books[number].release(grant.grant_id)
            self._advance(number, then)

        self._at(now + arrival.service_s, end)

    def _order(self, number: int, now: float) -> None:
        book = self._books[number]
        order = book.next_order(now, may_evict=True)
        if order is None:
            return
        wait_s = self._budget.take(book.runner, now)
        if wait_s:
            self._at(now + max(wait_s, 0.01), lambda then: self._advance(number, then))
            return
        book.start_order(order)
        self._in_flight += 1
        load_s = LOAD_S * max(1.0, self._in_flight / LOAD_IN_FLIGHT)

        def end(then: float) -> None:
            self._in_flight -= 1
            self._budget.end(book.runner)
            if order.victim is not None:
                book.finish_evict(True, then)
            book.finish_load(True, then, 0.0)
            self._resident_since[(number, order.model)] = then
            self._advance(number, then)

        self._at(now + load_s, end)


def bound_load_stall_s(arrivals: list[Arrival], rate: float) -> float:
    """Return a sum of stalls below which no policy can come.

    Every adapter must be loaded at least once, and at most ``1 + rate * t`` loads have
    begun by the time t. Grant a clairvoyant policy endless slots, loads before the
    first request, and, at each moment, free choice of which adapters have been loaded:
    then the adapters that are missing are those whose requests are fewest. The number
    of waiting requests at any time is at least that of the fewest, and the sum of the
    stalls is its integral over time.
    """
    counts: dict[str, int] = defaultdict(int)
    index = 0
    total = 0.0
    step_s = 1.0
    now = 0.0
    while True:
        while index < len(arrivals) and arrivals[index].at <= now:
            counts[arrivals[index].model] += 1
            index += 1
        loaded = int(1 + rate * max(0.0, now - LOAD_S))
        missing = sorted(counts.values(), reverse=True)[loaded:]
        # Requests for a missing adapter have waited; count each for this step only if
        # it arrived before the step began.
        total += sum(missing) * step_s
        if index == len(arrivals) and not missing:
            return total
        now += step_s


def _policy(scenario: Scenario, name: str) -> Callable[[], coordination.Policy]:
    if name == "rival":
        return coordination.FifoLruPolicy
    cfg = state.PolicySettings(
        load_stall_weight=scenario.load_stall_weight,
        batch_efficiency_weight=scenario.batch_efficiency_weight,
    )
    return lambda: coordination.WeightedPolicy(cfg)


def measure_scenario(scenario: Scenario, seed: int) -> dict[str, Any]:
    """Return the measures of a deployment under the policy and its rivals.

    The rival is FIFO with LRU; of its two placements, least loaded and by hash, the
    one with the smaller stall counts.
    """
    arrivals = make_arrivals(seed, BACKLOG)
    ours = Simulation(scenario, _policy(scenario, "ours"), False).run(arrivals)
    rivals = [
        Simulation(scenario, _policy(scenario, "rival"), least).run(arrivals)
        for least in (True, False)
    ]
    rival = min(rivals, key=lambda score: score.load_stall_s)
    idle = make_arrivals(seed, 0)
    quiet = Simulation(scenario, _policy(scenario, "ours"), False).run(idle)
    return {
        "load_stall_s": round(ours.load_stall_s, 1),
        "load_stall_s_rival": round(rival.load_stall_s, 1),
        "load_stall_s_bound": round(
            bound_load_stall_s(arrivals, scenario.store_rate), 1
        ),
        "batch_fill": round(ours.batch_fill(), 3),
        "batch_fill_rival": round(max(one.batch_fill() for one in rivals), 3),
        "quick_p99_s": round(ours.quick_p99_s(), 2),
        "quick_p99_idle_s": round(quiet.quick_p99_s(), 2),
        "served": ours.served,
        "seed": seed,
    }


def measure_policy(seed: int, as_json: bool) -> None:
    """Print both deployments' measures."""
    found = {one.name: measure_scenario(one, seed) for one in SCENARIOS}
    if as_json:
        print(json.dumps(found))
        return
    keys = list(found["papillon"])
    print(f"{'':22}" + "".join(f"{name:>14}" for name in found))
    for key in keys:
        print(f"{key:22}" + "".join(f"{one[key]:>14}" for one in found.values()))
