"""Seeded arrivals of a Monday morning, and the sizes of the two deployments."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass

import gooseberryrun._internal.state as state

ADAPTERS = 3000
ZIPF_EXPONENT = 1.1
SLOTS = 4
BATCH = 8
LOAD_S = 0.25
LOAD_IN_FLIGHT = 8
INTERACTIVE_SERVICE_S = 1.0
BACKGROUND_SERVICE_S = 8.0
BACKLOG = 2500
BACKLOG_S = 30.0
"""Time within which the backlog of the weekend arrives."""
INTERACTIVE_PER_S = 1.5
BACKGROUND_PER_S = 0.6
HORIZON_S = 1800.0
SHIFT_INTERVAL_S = 600.0
"""Interval between changes of the adapters' popularity ranks."""
SHIFTED_RANKS = 10


@dataclass(frozen=True, slots=True)
class Scenario:
    """Sizes of a deployment and its policy settings; ``store_rate`` in loads/s."""

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
    """One request; ``service_s`` is the time for which it occupies a batch slot."""

    at: float
    number: int
    model: str
    work_class: state.WorkClass
    service_s: float

    def is_background(self) -> bool:
        """Return whether the request is a background job."""
        return self.work_class is state.WorkClass.BACKGROUND


@dataclass(frozen=True, slots=True)
class OfferedLoad:
    """Offered load: size of the backlog, arrival rates and popularity changes."""

    backlog: int = BACKLOG
    interactive_per_s: float = INTERACTIVE_PER_S
    background_per_s: float = BACKGROUND_PER_S
    shift_interval_s: float = SHIFT_INTERVAL_S
    horizon_s: float = HORIZON_S


def make_arrivals(seed: int, load: OfferedLoad = OfferedLoad()) -> list[Arrival]:
    """Return the arrivals of a Monday morning in order of time.

    A backlog of background jobs arrives within ``BACKLOG_S``; both classes arrive at
    their rates from the start, and the most popular adapters change at each shift.
    """
    rng = random.Random(seed)
    weights = [1 / rank**ZIPF_EXPONENT for rank in range(1, ADAPTERS + 1)]
    names = [f"a{number}@1" for number in range(ADAPTERS)]
    numbers = itertools.count()
    arrivals: list[Arrival] = []

    def add(at: float, background: bool) -> None:
        model = rng.choices(names, weights)[0]
        work_class = (
            state.WorkClass.BACKGROUND if background else state.WorkClass.INTERACTIVE
        )
        mean_s = BACKGROUND_SERVICE_S if background else INTERACTIVE_SERVICE_S
        service_s = rng.uniform(0.5, 1.5) * mean_s
        arrivals.append(Arrival(at, next(numbers), model, work_class, service_s))

    for _ in range(load.backlog):
        add(rng.uniform(0.0, BACKLOG_S), background=True)
    start = 0.0
    while start < load.horizon_s:
        for rank in range(SHIFTED_RANKS):
            other_rank = rng.randrange(ADAPTERS)
            names[rank], names[other_rank] = names[other_rank], names[rank]
        for rate, background in (
            (load.interactive_per_s, False),
            (load.background_per_s, True),
        ):
            at = start
            while (
                rate
                and (at := at + rng.expovariate(rate)) < start + load.shift_interval_s
            ):
                add(at, background)
        start += load.shift_interval_s
    return sorted(arrivals, key=lambda arrival: arrival.at)
