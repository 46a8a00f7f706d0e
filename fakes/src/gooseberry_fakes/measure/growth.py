"""Cost of a choice of a runner and of a message, by the size of the fleet."""

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
    choose_model_runner,
    follows_all_domains,
)

REPEATS = 300
HOME_RUNNERS = 2
BUSY_RUNNERS = 6
"""Runners on which one VM has requests at a time."""


@dataclass(frozen=True, slots=True)
class Fleet:
    """Size of a fleet: entry VMs and model runners, spread over failure domains."""

    vms: int
    domains: int
    runners: int


FLEETS = [Fleet(9, 3, 5), Fleet(72, 3, 45), Fleet(195, 5, 78), Fleet(440, 20, 12000)]


def measure_growth() -> None:
    """Print the microseconds of processor time for each fleet."""
    click.echo(f"{'VMs':>5} {'runners':>8} {'choice us':>10} {'message us':>11}")
    for fleet in FLEETS:
        choice_us = _time_us(_choice(fleet))
        message_us = _time_us(_message())
        row = f"{fleet.vms:5} {fleet.runners:8} {choice_us:10.0f} {message_us:11.0f}"
        click.echo(row)


def _time_us(function: Callable[[], object]) -> float:
    started_at = time.process_time()
    for _ in range(REPEATS):
        function()
    return (time.process_time() - started_at) / REPEATS * 1e6


def _views(first: int) -> dict[str, RunnerView]:
    names = [f"i-{first + n}" for n in range(BUSY_RUNNERS)]
    return {name: RunnerView(4, 3000, 9, 1, 1.0) for name in names}


def _choice(fleet: Fleet) -> Callable[[], object]:
    """Return a choice among the runners that a VM considers, loads looked up."""
    near_count = max(1, fleet.runners // fleet.domains)
    is_all = follows_all_domains(near_count)
    considered = fleet.runners if is_all else near_count + HOME_RUNNERS
    peers = fleet.vms if is_all else fleet.vms // fleet.domains
    loads = RunnerLoads()
    for number in range(peers):
        loads.receive(f"vm-{number}", _views(number % considered), 0.0)
    runners = [
        Runner(f"i-{n}", "s", "h", 1, "d", 64, False, 1, 0, ())
        for n in range(considered)
    ]

    def choose() -> object:
        candidates = [
            Candidate(runner, loads.total(runner.id, 1.0), True, n % 7 == 0)
            for n, runner in enumerate(runners)
        ]
        return choose_model_runner(candidates, "m0/a1", 1800)

    return choose


def _message() -> Callable[[], object]:
    """Return a round of gossip, encoded and decoded once."""
    gossip = ServingGossip("vm-1", True, {}, _views(0), [], [])
    return lambda: decode_message(*encode_message(gossip))
