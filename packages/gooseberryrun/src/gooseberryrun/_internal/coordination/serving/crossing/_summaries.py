"""Summaries of the own failure domain's services, built by its readers."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Iterable, Iterator

import msgspec

from gooseberryrun._internal.state.serving import (
    Candidate,
    Runner,
    RunnerView,
    Service,
    failure_rate,
)
from gooseberryrun._internal.state.serving.crossing import (
    PlainLoad,
    PressureSummary,
    ServerLoad,
    SmoothedCounts,
    model_wait_s,
    summarise,
    summarise_plain,
)

from .._adapters import Adapters
from .._context import Context
from .._turns import Turns

MAX_SAMPLE = 48
"""Servers of a service that a summary looks at: its cost does not grow with them."""
MIN_COVERAGE = 0.1
"""Smallest share of the domain's VMs whose figures a summary is scaled up from."""
MAX_FAILURE_RATE = 0.6
"""Damped share of failed attempts from which on a server counts as not usable."""


class SummaryBuilder:
    """Builds the summaries of this VM's failure domain from what the VM knows."""

    def __init__(self, ctx: Context, adapters: Adapters, turns: Turns) -> None:
        self._ctx = ctx
        self._adapters = adapters
        self._turns = turns
        self._counts: defaultdict[str, SmoothedCounts] = defaultdict(SmoothedCounts)

    def build(self, services: Iterable[Service], now: float) -> list[PressureSummary]:
        """Return the summaries of services; one without servers has zero servers."""
        coverage = self._coverage(now)
        return [self._summarise(service, coverage, now) for service in services]

    def _summarise(
        self, service: Service, coverage: float, now: float
    ) -> PressureSummary:
        ctx = self._ctx
        domain = ctx.cfg.vm.domain
        known = ctx.directory.runners_by_domain(service.name).get(domain, [])
        sample = random.sample(known, MAX_SAMPLE) if len(known) > MAX_SAMPLE else known
        usable = list(self._usable(sample, now))
        if service.engine is None:
            found = self._summarise_plain(service.name, usable, coverage)
        else:
            loads = [self._model_load(*pair, coverage, now) for pair in usable]
            found = summarise(domain, service.name, loads)
        made = msgspec.structs.replace(found, maker=ctx.vm, made_at=now)
        return _scale(made, len(known) / len(sample)) if sample else made

    def _summarise_plain(
        self, service: str, usable: list[tuple[Runner, RunnerView]], coverage: float
    ) -> PressureSummary:
        counts = {runner.id: view.in_flight for runner, view in usable}
        smoothed = self._counts[service].update(counts)
        loads = [
            PlainLoad(runner.slots, smoothed[runner.id], view.ok)
            for runner, view in usable
        ]
        return summarise_plain(self._ctx.cfg.vm.domain, service, loads, coverage)

    def _usable(
        self, runners: Iterable[Runner], now: float
    ) -> Iterator[tuple[Runner, RunnerView]]:
        for runner in runners:
            view = self._ctx.loads.total(runner.id, now)
            if self._ctx.pauses.is_down(runner.id, now):
                continue
            if not self._ctx.directory.takes_new_work(runner, now):
                continue
            if failure_rate(view) <= MAX_FAILURE_RATE:
                yield runner, view

    def _model_load(
        self, runner: Runner, view: RunnerView, coverage: float, now: float
    ) -> ServerLoad:
        queue = self._adapters.queue(runner)
        scaled = msgspec.structs.replace(
            view,
            in_flight=round(view.in_flight / coverage),
            unread_tokens=round(view.unread_tokens / coverage),
        )
        candidate = Candidate(
            runner,
            scaled,
            is_local=True,
            available_slots=queue.idle,
            waiting=queue.waiting,
            slot_wait_s=queue.mean_slot_wait_s,
            prefill=self._adapters.prefill_load(runner),
            turn_wait_s=self._turns.expected_wait_s(runner, now),
            weight=self._ctx.weights.steps(runner.id, runner.born_ms),
        )
        wait_s = model_wait_s(candidate, self._ctx.policy)
        return ServerLoad(runner.slots, scaled.in_flight, queue.waiting, wait_s)

    def _coverage(self, now: float) -> float:
        """Return the share of the domain's VMs whose load figures are known."""
        local = self._ctx.local_peer_ids()
        heard = self._ctx.loads.known_peers(now).intersection(local)
        return max(MIN_COVERAGE, (1 + len(heard)) / (1 + len(local)))


def _scale(summary: PressureSummary, factor: float) -> PressureSummary:
    """Return the summary of all servers, given that of a sample."""
    return msgspec.structs.replace(
        summary,
        servers=round(summary.servers * factor),
        capacity=round(summary.capacity * factor),
        running=round(summary.running * factor, 1),
        waiting=round(summary.waiting * factor, 1),
    )
