"""Replay of plain requests in three failure domains, in virtual time and without I/O.

Each VM decides with the code of the product (loads, summaries, shares, choice of a
server) on figures that reach it by gossip, delayed as in a fleet.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from functools import partial

import msgspec
from gooseberryrun._internal.state.serving import (
    Candidate,
    Runner,
    RunnerLoads,
    choose_plain_server,
)
from gooseberryrun._internal.state.serving.crossing import (
    ClassMix,
    CrossingPrice,
    PlainLoad,
    PressureSummary,
    PressureTable,
    ShareController,
    ShareLimits,
    SmoothedCounts,
    pick_domain,
    plain_crossing_cost,
    summarise_plain,
)

SERVICE = "plain"
GOSSIP_S = 0.5
REMOTE_CONTACTS = 2
READERS = 3
MAX_SENDS = 5
REQUEST_BYTES = 2400
RESPONSE_BYTES = 1500
REFUSAL_BYTES = 200


class Rule(Enum):
    """What decides on sends to other domains."""

    NEVER = "never"
    CONSTANT = "constant"
    SHARES = "shares"


@dataclass(frozen=True)
class Load:
    """Load of a replay; times in seconds, rates in requests per second.

    ``rate`` maps a domain and a time to the rate of its callers. A server holds
    ``queue`` requests beyond its slots and answers 503 to more. The servers in
    ``is_down`` do not answer at a time. Summaries arrive ``figures_late_s`` later.
    """

    rate: Callable[[int, float], float]
    servers: tuple[int, ...] = (1, 1, 1)
    slots: int = 6
    queue: int = 6
    work_s: float = 0.072
    target_s: float = 0.3
    duration_s: float = 60.0
    is_down: Callable[[str, float], bool] = lambda server, now: False
    figures_late_s: float = 0.0
    vms_per_domain: int = 8
    seed: int = 1


@dataclass
class Outcome:
    """Counts of one replay."""

    requests: int = 0
    in_time: int = 0
    crossings: int = 0
    bytes_across: int = 0
    met_more_load: int = 0
    selected: int = 0

    @property
    def in_time_share(self) -> float:
        """Return the share of the requests that were answered in time."""
        return self.in_time / max(1, self.requests)

    @property
    def oscillation(self) -> float:
        """Return the share of crossings that met more load than they left."""
        return self.met_more_load / max(1, self.crossings)

    def __str__(self) -> str:
        return (
            f"in time {self.in_time_share:.3f} of {self.requests}, "
            f"{self.bytes_across / 1e6:.1f} MB across, "
            f"met more load {self.oscillation:.2f}"
        )


@dataclass
class _Server:
    runner: Runner
    running: int = 0
    queue: deque[_Request] = field(default_factory=deque)

    @property
    def fill(self) -> float:
        return (self.running + len(self.queue)) / self.runner.slots


@dataclass
class _Request:
    id: str
    vm: _Vm
    read_at: float
    sends: int = 0
    tried: set[str] = field(default_factory=set)
    server: _Server | None = None


class _Vm:
    def __init__(self, name: str, domain: str, rank: int) -> None:
        self.name = name
        self.domain = domain
        self.rank = rank
        self.loads = RunnerLoads()
        self.heard: dict[str, float] = {}
        self.table = PressureTable()
        self.controller = ShareController()
        self.known: set[str] = set()
        self.mix = ClassMix()
        self.counts = SmoothedCounts()
        self.contacts: list[_Vm] = []
        self.down: dict[str, float] = {}


class Replay:
    """One run of a load under a rule."""

    def __init__(self, load: Load, rule: Rule) -> None:
        self._load = load
        self._rule = rule
        self._random = random.Random(load.seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._now = 0.0
        self._limits = ShareLimits(0.6, load.target_s)
        self._price_s = CrossingPrice(7e-6).total_s()
        self.outcome = Outcome()
        self.shares: list[tuple[float, dict[str, float]]] = []
        domains = [f"d{n}" for n in range(len(load.servers))]
        self._domains = domains
        self._servers = {
            f"{domain}-s{n}": _Server(_runner(f"{domain}-s{n}", domain, load.slots))
            for domain, count in zip(domains, load.servers, strict=True)
            for n in range(count)
        }
        self._vms = [
            _Vm(f"{domain}-v{n}", domain, n)
            for domain in domains
            for n in range(load.vms_per_domain)
        ]

    def run(self) -> Outcome:
        """Run the whole load; return what became of the requests."""
        for index, domain in enumerate(self._domains):
            self._schedule_arrival(index, domain)
        for vm in self._vms:
            remote = [other for other in self._vms if other.domain != vm.domain]
            vm.contacts = self._random.sample(remote, REMOTE_CONTACTS)
            self._at(self._random.uniform(0, GOSSIP_S), partial(self._gossip, vm))
        while self._events and self._now < self._load.duration_s:
            self._now, _, act = heapq.heappop(self._events)
            act()
        return self.outcome

    def _at(self, delay_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self._now + delay_s, next(self._numbers), act))

    def _schedule_arrival(self, index: int, domain: str) -> None:
        rate = self._load.rate(index, self._now)

        def arrive() -> None:
            vms = [vm for vm in self._vms if vm.domain == domain]
            request = _Request(
                f"r{next(self._numbers)}", self._random.choice(vms), self._now
            )
            self.outcome.requests += 1
            request.vm.mix.record(0)
            self._send(request)
            self._schedule_arrival(index, domain)

        self._at(self._random.expovariate(max(0.1, rate)), arrive)

    def _send(self, request: _Request) -> None:
        if request.sends >= MAX_SENDS:
            return
        server = self._choose(request)
        if server is None:
            return
        vm = request.vm
        is_crossing = server.runner.domain != vm.domain
        request.sends += 1
        request.tried.add(server.runner.id)
        request.server = server
        if is_crossing:
            self._record_crossing(vm, server)
        vm.loads.begin(server.runner.id, 0)
        delay_s = 0.0009 if is_crossing else 0.0002
        self._at(delay_s, lambda: self._arrive(request, server))

    def _record_crossing(self, vm: _Vm, server: _Server) -> None:
        local = [
            s.fill
            for s in self._servers.values()
            if s.runner.domain == vm.domain
            and not self._load.is_down(s.runner.id, self._now)
        ]
        self.outcome.crossings += 1
        self.outcome.bytes_across += REQUEST_BYTES
        if local and server.fill > min(local):
            self.outcome.met_more_load += 1

    def _choose(self, request: _Request) -> _Server | None:
        vm = request.vm
        chosen, known = None, set[str]()
        if self._rule is Rule.SHARES and request.sends == 0:
            known = vm.known
            chosen = pick_domain(request.id, 0, vm.controller.shares, vm.mix)
            self.outcome.selected += chosen is not None
        candidates = []
        for server in self._servers.values():
            runner = server.runner
            is_local = runner.domain == vm.domain
            if runner.id in request.tried or vm.down.get(runner.id, 0) > self._now:
                continue
            if self._rule is Rule.NEVER and not is_local:
                continue
            cost = (
                None if is_local else plain_crossing_cost(runner.domain, chosen, known)
            )
            candidates.append(
                Candidate(
                    runner,
                    vm.loads.total(runner.id, self._now),
                    is_local,
                    crossing_cost=cost,
                )
            )
        choice = choose_plain_server(candidates, request.id)
        return self._servers[choice.candidate.runner.id] if choice else None

    def _arrive(self, request: _Request, server: _Server) -> None:
        if self._load.is_down(server.runner.id, self._now):
            request.vm.loads.end(server.runner.id)
            request.vm.loads.record_result(server.runner.id, False, self._now)
            request.vm.down[server.runner.id] = self._now + 1.0
            self._send(request)
        elif server.running < server.runner.slots:
            self._start(request, server)
        elif len(server.queue) < self._load.queue:
            server.queue.append(request)
        else:
            if server.runner.domain != request.vm.domain:
                self.outcome.bytes_across += REFUSAL_BYTES
            request.vm.loads.end(server.runner.id)
            self._send(request)

    def _start(self, request: _Request, server: _Server) -> None:
        server.running += 1
        work_s = self._load.work_s * self._random.uniform(0.8, 1.2)
        self._at(work_s, lambda: self._finish(request, server))

    def _finish(self, request: _Request, server: _Server) -> None:
        server.running -= 1
        vm = request.vm
        vm.loads.end(server.runner.id)
        is_down = self._load.is_down(server.runner.id, self._now)
        vm.loads.record_result(server.runner.id, not is_down, self._now)
        if not is_down:
            if server.runner.domain != vm.domain:
                self.outcome.bytes_across += RESPONSE_BYTES
            if self._now - request.read_at <= self._load.target_s:
                self.outcome.in_time += 1
        if server.queue:
            self._start(server.queue.popleft(), server)

    def _gossip(self, vm: _Vm) -> None:
        now = self._now
        local = [v for v in self._vms if v.domain == vm.domain and v is not vm]
        peers = self._random.sample(local, min(6, len(local))) + vm.contacts
        for peer in peers:
            peer.loads.receive(vm.name, vm.loads.own_views(now), now)
            peer.heard[vm.name] = now
        if self._rule is Rule.SHARES:
            self._pass_summaries(vm, peers)
        self._at(GOSSIP_S * self._random.uniform(0.8, 1.2), lambda: self._gossip(vm))

    def _pass_summaries(self, vm: _Vm, peers: list[_Vm]) -> None:
        now = self._now
        if vm.rank < READERS:
            vm.table.update(self._summary(vm), now)
        for peer in peers:
            if peer.domain == vm.domain:
                sent = vm.table.recent(now)
            elif vm.rank < READERS:
                sent = vm.table.recent(now, vm.domain)
            else:
                sent = []
            for summary in sent:
                self._at(
                    self._load.figures_late_s if peer.domain != vm.domain else 0.0005,
                    partial(self._hear, peer, summary, now),
                )
        own = vm.table.find(SERVICE, vm.domain, now)
        others = [
            found
            for domain in self._domains
            if domain != vm.domain
            and (found := vm.table.find(SERVICE, domain, now)) is not None
        ]
        vm.controller.step(own, others, self._price_s, self._limits)
        vm.known = {other.domain for other in others} if own else set()
        if vm.rank == 0:
            self.shares.append((now, {vm.domain: sum(vm.controller.shares.values())}))

    def _hear(self, vm: _Vm, summary: PressureSummary, sent_at: float) -> None:
        age_s = summary.age_s + self._now - sent_at
        if age_s >= 0:
            aged = msgspec.structs.replace(summary, age_s=age_s)
            vm.table.update(aged, self._now)

    def _summary(self, vm: _Vm) -> PressureSummary:
        now = self._now
        vms = [v for v in self._vms if v.domain == vm.domain]
        heard = sum(now - vm.heard.get(v.name, -9.0) <= 2.5 for v in vms if v is not vm)
        loads = {
            s.runner: vm.loads.total(s.runner.id, now)
            for s in self._servers.values()
            if s.runner.domain == vm.domain and vm.down.get(s.runner.id, 0.0) <= now
        }
        counts = {runner.id: view.in_flight for runner, view in loads.items()}
        smoothed = vm.counts.update(counts)
        servers = [
            PlainLoad(runner.slots, smoothed[runner.id], view.ok)
            for runner, view in loads.items()
        ]
        found = summarise_plain(vm.domain, SERVICE, servers, (1 + heard) / len(vms))
        return msgspec.structs.replace(found, maker=vm.name, made_at=now)


def _runner(name: str, domain: str, slots: int) -> Runner:
    return Runner(name, SERVICE, "h", 1, domain, slots, False, 1, 0, ())


def wave(
    mean: float, phase: float, amplitude: float = 0.55, period_s: float = 17.0
) -> Callable[[float], float]:
    """Return a rate that oscillates around ``mean``, from a phase in turns."""
    return lambda now: (
        mean * (1 + amplitude * math.sin(2 * math.pi * (now / period_s + phase)))
    )
