"""Seeded Monday mornings of the two deployments."""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass

import gooseberryrun._internal.state as state

ADAPTERS = 3000
ZIPF = 1.1
SLOTS = 4
BATCH = 8
LOAD_S = 0.25
LOAD_IN_FLIGHT = 8
QUICK_SERVICE_S = 1.0
PATIENT_SERVICE_S = 8.0
BACKLOG = 2500
BACKLOG_S = 30.0
"""Time within which the weekend's backlog arrives."""
QUICK_PER_S = 1.5
PATIENT_PER_S = 0.6
HORIZON_S = 1800.0
SHIFT_S = 600.0
"""Time between shifts of popularity."""
SHIFTED_RANKS = 10


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

    def is_patient(self) -> bool:
        """Tell whether the request may wait for others."""
        return self.work_class is state.WorkClass.BACKGROUND


@dataclass(frozen=True, slots=True)
class Load:
    """Offered work: the backlog, and a multiple of the usual rates."""

    backlog: int = BACKLOG
    quick_per_s: float = QUICK_PER_S
    patient_per_s: float = PATIENT_PER_S
    shift_s: float = SHIFT_S
    horizon_s: float = HORIZON_S


def make_arrivals(seed: int, load: Load = Load()) -> list[Arrival]:
    """Return a Monday: a backlog at once, then both classes, popularity shifting."""
    rng = random.Random(seed)
    weights = [1 / rank**ZIPF for rank in range(1, ADAPTERS + 1)]
    names = [f"a{number}@1" for number in range(ADAPTERS)]
    numbers = itertools.count()
    arrivals: list[Arrival] = []

    def add(at: float, patient: bool) -> None:
        model = rng.choices(names, weights)[0]
        kind = state.WorkClass.BACKGROUND if patient else state.WorkClass.INTERACTIVE
        mean_s = PATIENT_SERVICE_S if patient else QUICK_SERVICE_S
        service_s = rng.uniform(0.5, 1.5) * mean_s
        arrivals.append(Arrival(at, next(numbers), model, kind, service_s))

    for _ in range(load.backlog):
        add(rng.uniform(0.0, BACKLOG_S), patient=True)
    start = 0.0
    while start < load.horizon_s:
        for rank in range(SHIFTED_RANKS):
            other = rng.randrange(ADAPTERS)
            names[rank], names[other] = names[other], names[rank]
        for rate, patient in ((load.quick_per_s, False), (load.patient_per_s, True)):
            at = start
            while rate and (at := at + rng.expovariate(rate)) < start + load.shift_s:
                add(at, patient)
        start += load.shift_s
    return sorted(arrivals, key=lambda arrival: arrival.at)
