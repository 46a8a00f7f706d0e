"""Processor time of choosing a runner and of a gossip message, by fleet size."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import click
from gooseberryrun._internal.coordination._serving_messages import ServingGossip
from gooseberryrun._internal.protocol import decode_message, encode_message
from gooseberryrun._internal.state.serving import (
    Candidate,
    Runner,
    RunnerLoads,
    RunnerView,
    ServingPolicy,
    choose_model_runner,
    follows_all_domains,
)

REPEATS = 300
HOME_RUNNERS = 2
BUSY_RUNNERS = 6
"""Runners on which one VM has requests at the same time."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """Numbers of entry VMs, failure domains and model runners of a fleet."""

    vms: int
    domains: int
    runners: int


FLEETS = [Fleet(9, 3, 5), Fleet(72, 3, 45), Fleet(195, 5, 78), Fleet(440, 20, 12000)]


def measure_growth() -> None:
    """Print the processor time in microseconds for each fleet."""
    click.echo(f"{'VMs':>5} {'runners':>8} {'choice us':>10} {'message us':>11}")
    for fleet in FLEETS:
        choice_us = _time_us(_make_choice(fleet))
        message_us = _time_us(_make_gossip_round())
        row = f"{fleet.vms:5} {fleet.runners:8} {choice_us:10.0f} {message_us:11.0f}"
        click.echo(row)


def _time_us(function: Callable[[], object]) -> float:
    """Return the mean processor time of a call in microseconds."""
    started_at = time.process_time()
    for _ in range(REPEATS):
        function()
    return (time.process_time() - started_at) / REPEATS * 1e6


def _make_views(first: int) -> dict[str, RunnerView]:
    names = [f"i-{first + n}" for n in range(BUSY_RUNNERS)]
    return {name: RunnerView(4, 3000, 9, 1, 1.0) for name in names}


def _make_choice(fleet: Fleet) -> Callable[[], object]:
    """Return a function that chooses among the runners that one VM considers.

    The choice includes the look-up of each runner's load.
    """
    local_count = max(1, fleet.runners // fleet.domains)
    follows_all = follows_all_domains(local_count)
    runner_count = fleet.runners if follows_all else local_count + HOME_RUNNERS
    peer_count = fleet.vms if follows_all else fleet.vms // fleet.domains
    loads = RunnerLoads()
    for number in range(peer_count):
        loads.receive(f"vm-{number}", _make_views(number % runner_count), 0.0)
    runners = [
        Runner(f"i-{n}", "s", "h", 1, "d", 64, False, 1, 0, ())
        for n in range(runner_count)
    ]

    def choose() -> object:
        candidates = [
            Candidate(runner, loads.total(runner.id, 1.0), True, n % 7 == 0)
            for n, runner in enumerate(runners)
        ]
        return choose_model_runner(candidates, "m0/a1", 1800, ServingPolicy())

    return choose


def _make_gossip_round() -> Callable[[], object]:
    """Return a function that encodes and decodes one gossip message."""
    gossip = ServingGossip("vm-1", True, {}, _make_views(0), [])
    return lambda: decode_message(*encode_message(gossip))
