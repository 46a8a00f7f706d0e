"""Ablation of the decisions about model requests, in virtual time.

Each variant switches one mechanism off. All variants play the same arrivals, seed by
seed, so that their differences are those of the mechanism.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from functools import partial

import click
from gooseberryrun._internal.state.serving import AdapterSlots, ServingPolicy

from .decision_baselines import (
    LeastRecentlyUsedSlots,
    ProductChoice,
    RoundRobinChoice,
    RunnerChoice,
)
from .engine_model import EngineSpeed
from .fleet_model import FleetModel, FleetResult, FleetScenario, RequestKind

PRODUCT = ServingPolicy()
CLEAR_ERRORS = 2.0
"""Standard errors from which a mean difference is called better or worse."""


@dataclass(frozen=True, slots=True)
class Variant:
    """Decisions under which a scenario is played."""

    policy: ServingPolicy = PRODUCT
    choice: type[RunnerChoice] = ProductChoice
    slots: type[AdapterSlots] = AdapterSlots


VARIANTS = {
    "product": Variant(),
    "no admission of prompts": Variant(replace(PRODUCT, admits_prompts=False)),
    "no cost of broken streams": Variant(replace(PRODUCT, pause_cost_s=0.0)),
    "no cost of ranks": Variant(replace(PRODUCT, rank_cost_s=0.0)),
    "no recent adapters": Variant(replace(PRODUCT, knows_recent=False)),
    "late requests not last": Variant(replace(PRODUCT, late_wait_last=False)),
    "fixed waits for slots": Variant(replace(PRODUCT, learns_slot_waits=False)),
    "waits without limit": Variant(
        replace(PRODUCT, max_wait_share=1.0, max_wait_per_target=100.0)
    ),
    "least recently used": Variant(slots=LeastRecentlyUsedSlots),
    "round robin": Variant(choice=RoundRobinChoice),
}
"""Variants by name; the first one is compared with each of the others."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """Figures of one run; ``distinct`` adapters were asked for."""

    worth: float
    store_loads: int
    distinct: int = 0


@dataclass(frozen=True, slots=True)
class Comparison:
    """Paired comparison of a variant with the product over some seeds."""

    worth: float
    difference: float
    error: float
    store_loads: float

    @property
    def verdict(self) -> str:
        """Return whether the variant is better or worse than the product."""
        if abs(self.difference) <= CLEAR_ERRORS * self.error:
            return "no difference"
        return "better" if self.difference > 0 else "worse"


def long_and_short_prompts(load: float) -> tuple[RequestKind, ...]:
    """Return kinds with long prompts and short answers, and the reverse."""
    long = RequestKind("long", 8.6 * load, 9190, 0.55, 52, 1.0, 3.0, 1, 5.0)
    patient = RequestKind("patient", 1.2 * load, 9190, 0.55, 52, 1.0, 3.0, 1, 8.0)
    short = RequestKind("short", 14.8 * load, 826, 0.8, 291, 0.65, 0.9, 0, 15.0)
    return long, patient, short


def guides_and_chats() -> tuple[RequestKind, ...]:
    """Return kinds with prompts of similar length and answers of different length."""
    guide = RequestKind("guide", 16.2, 2368, 0.5, 22, 0.7, 1.8, 1, 5.0)
    chat = RequestKind("chat", 4.24, 1460, 0.5, 172, 0.65, 2.3, 0, 15.0, 0.8)
    return guide, chat


def _scaled(factor: float) -> FleetScenario:
    """Return a fleet whose engines read ``factor`` times the tokens at that speed."""
    kinds = tuple(
        replace(kind, prompt_tokens=kind.prompt_tokens * factor)
        for kind in long_and_short_prompts(0.85)
    )
    return FleetScenario(
        f"engines x {factor:.2g}", kinds, speed=EngineSpeed().scaled(factor)
    )


SCENARIOS = (
    FleetScenario("usual load", long_and_short_prompts(0.85)),
    FleetScenario("high load", long_and_short_prompts(1.0)),
    FleetScenario("overload", long_and_short_prompts(1.15)),
    FleetScenario(
        "burst", long_and_short_prompts(0.85), burst=(20.0, 28.0, 1.7), shift_s=12.0
    ),
    FleetScenario("lost runner", long_and_short_prompts(0.85), lost=((0, 15.0, 45.0),)),
    FleetScenario("old news", long_and_short_prompts(0.85), news_s=0.25),
    FleetScenario(
        "guides and chats",
        guides_and_chats(),
        runners=5,
        slots=6,
        speed=EngineSpeed(0.0105, 0.00003, 1 / 19200, 2e-9, 2048, 2),
        max_pause_s=0.25,
    ),
    _scaled(1 / 3),
    _scaled(3.0),
)


def play(scenario: FleetScenario, policy: ServingPolicy, seed: int) -> FleetResult:
    """Play one scenario with one policy and seed."""
    return FleetModel(scenario, policy, seed).run()


def _outcome(scenario: FleetScenario, variant: Variant, seed: int) -> Outcome:
    model = FleetModel(scenario, variant.policy, seed, variant.choice(), variant.slots)
    result = model.run()
    return Outcome(result.worth(), result.store_loads, result.distinct_adapters())


def compare(product: list[Outcome], variant: list[Outcome]) -> Comparison:
    """Compare the outcomes of two policies, seed by seed."""
    differences = [v.worth - p.worth for p, v in zip(product, variant, strict=True)]
    error = 0.0
    if len(differences) > 1:
        error = statistics.stdev(differences) / len(differences) ** 0.5
    return Comparison(
        statistics.fmean(v.worth for v in variant),
        statistics.fmean(differences),
        error,
        statistics.fmean(v.store_loads for v in variant),
    )


def measure_decisions(
    seeds: int, jobs: int, scenarios: Iterable[FleetScenario] = SCENARIOS
) -> None:
    """Print each variant's worth on each scenario beside the product's."""
    header = f"{'scenario':18} {'variant':26} {'worth':>6} {'difference':>15} loads"
    click.echo(header)
    with ProcessPoolExecutor(jobs) as pool:
        for scenario in scenarios:
            product: list[Outcome] = []
            for name, variant in VARIANTS.items():
                run = partial(_outcome, scenario, variant)
                outcomes = list(pool.map(run, range(seeds)))
                product = product or outcomes
                _print_row(scenario.name, name, compare(product, outcomes))
            fewest = statistics.fmean(outcome.distinct for outcome in product)
            click.echo(f"{scenario.name:18} {'fewest loads possible':50} {fewest:5.0f}")


def _print_row(scenario: str, variant: str, found: Comparison) -> None:
    difference = f"{found.difference:+.3f} ± {found.error:.3f}"
    click.echo(
        f"{scenario:18} {variant:26} {found.worth:6.3f} {difference:>15}"
        f" {found.store_loads:5.0f} {found.verdict}"
    )
