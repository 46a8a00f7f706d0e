"""Replay of requests to plain servers in virtual time, with and without fair slots.

A stand-in of 67 VMs and 3 servers: each VM knows its own requests, gossip twice a
second and the answers that it gets. A server keeps 24 requests waiting in the order of
arrival.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from gooseberryrun._internal.state.serving import (
    Candidate,
    Runner,
    RunnerView,
    choose_plain_server,
)
from gooseberryrun._internal.state.serving.admission import (
    ExpectedSlotWaits,
    SlotClaim,
    SlotOutcome,
    SlotQueue,
    SlotSearch,
    due_in_s,
)

SLOTS = 6
SERVER_QUEUE = 24
NETWORK_S = 0.0015
"""Time of a message between VMs or to a server, in one direction."""
GOSSIP_S = 0.5
FULL_PAUSE_S = 0.15
DOWN_PAUSE_S = 0.8
MAX_SENDS = 5
IMMEDIATE_RETRY_S = 0.02


@dataclass(frozen=True, slots=True)
class Load:
    """Requests per second of one account, in a part of the replay."""

    account: str
    per_s: float
    start: float = 0.0
    end: float = float("inf")
    priority: int = 1
    retries_at_once: bool = False


@dataclass(frozen=True, slots=True)
class Scenario:
    """Loads, and the servers that are lost for a time: (number, from, to)."""

    loads: tuple[Load, ...]
    length_s: float = 12.0
    lost: tuple[tuple[int, float, float], ...] = ()
    servers: int = 3
    vms: int = 67
    work_s: float = 0.045
    target_s: float = 0.205
    deadline_s: float = 1.5


@dataclass(slots=True, eq=False)
class Request:
    """One request of a caller; ``done_at`` is when it was answered."""

    number: int
    load: Load
    vm: int
    arrived_at: float
    read_at: float = 0.0
    tries: int = 0
    sends: int = 0
    excluded: set[int] = field(default_factory=set)
    search: SlotSearch = field(default_factory=SlotSearch)
    done_at: float | None = None


@dataclass(slots=True, eq=False)
class _Server:
    number: int
    running: set[int] = field(default_factory=set)
    queue: deque[tuple[Request, Callable[[str], None]]] = field(default_factory=deque)
    owner: SlotQueue = field(default_factory=lambda: SlotQueue(SLOTS))
    is_lost: bool = False
    incarnation: int = 0
    waited_s: float = 0.0
    busy_s: float = 0.0
    changed_at: float = 0.0


class _Vm:
    def __init__(self) -> None:
        self.in_flight: Counter[int] = Counter()
        self.down_until: dict[int, float] = defaultdict(float)
        self.waits = ExpectedSlotWaits()


class SlotReplay:
    """Plays one scenario with one seed."""

    def __init__(
        self, scenario: Scenario, is_fair: bool, seed: int, ranks_early: bool = True
    ) -> None:
        self.scenario = scenario
        self.ranks_early = ranks_early
        self._is_fair = is_fair
        self._rng = random.Random(seed)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._vms = [_Vm() for _ in range(scenario.vms)]
        self.servers = [_Server(n) for n in range(scenario.servers)]
        self._gossiped: Counter[int] = Counter()
        self.requests: list[Request] = []
        self._waiting: dict[tuple[int, int], Callable[[bool, float], None]] = {}
        self.messages = 0
        self.not_run = 0
        self.overtaken = 0

    def run(self) -> SlotReplay:
        """Play the scenario to its end."""
        for load in self.scenario.loads:
            self._schedule(load)
        for number, start, end in self.scenario.lost:
            self._at(start, partial(self._lose, self.servers[number]))
            self._at(end, partial(self._return, self.servers[number]))
        for tick in range(int(self.scenario.length_s / GOSSIP_S)):
            self._at(tick * GOSSIP_S, self._gossip)
        while self._events:
            self._now, _, act = heapq.heappop(self._events)
            act()
        return self

    def in_time(self, account: str, start: float = 0.0, end: float = 1e9) -> float:
        """Return the requests of an account that were answered in time."""
        return sum(
            request.done_at is not None
            and request.done_at - request.arrived_at <= self.scenario.target_s
            for request in self.requests
            if request.load.account == account and start <= request.arrived_at < end
        )

    def arrived(self, account: str, start: float = 0.0, end: float = 1e9) -> int:
        """Return the requests of an account."""
        return sum(
            r.load.account == account and start <= r.arrived_at < end
            for r in self.requests
        )

    def slot_use(self) -> float:
        """Return the share of slot time that was used while claims waited."""
        waited_s = sum(server.waited_s for server in self.servers)
        return sum(server.busy_s for server in self.servers) / (waited_s or 1.0)

    def _at(self, time: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), act))

    def _after(self, delay_s: float, act: Callable[[], None]) -> None:
        self._at(self._now + delay_s, act)

    def _schedule(self, load: Load) -> None:
        now = load.start
        end = min(load.end, self.scenario.length_s)
        while (now := now + self._rng.expovariate(load.per_s)) < end:
            vm = self._rng.randrange(self.scenario.vms)
            request = Request(len(self.requests), load, vm, now)
            self.requests.append(request)
            self._at(now, partial(self._start, request))

    def _gossip(self) -> None:
        self._gossiped = Counter()
        for vm in self._vms:
            self._gossiped.update(vm.in_flight)

    def _start(self, request: Request) -> None:
        request.vm = self._rng.randrange(self.scenario.vms)
        request.read_at = self._now
        request.tries += 1
        request.sends = 0
        request.search = SlotSearch()
        request.excluded.clear()
        self._place(request)

    def _place(self, request: Request) -> None:
        server = self._choose(request)
        if server is None or request.sends >= MAX_SENDS or request.search.is_spent:
            self._refuse(request)
        elif self._is_fair:
            self._ask(request, server)
        else:
            self._send(request, server, lambda _: None)

    def _choose(self, request: Request) -> _Server | None:
        vm = self._vms[request.vm]
        candidates = []
        for server in self.servers:
            number = server.number
            if number in request.excluded or self._now < vm.down_until[number]:
                continue
            known = max(vm.in_flight[number], self._gossiped[number])
            runner = Runner(str(number), "s", "h", 1, "d", SLOTS, False, 1, 0, ())
            wait_s = vm.waits.wait_s(str(number), request.load.account, self._now)
            view = RunnerView(known, 0, 0, 0, 1.0)
            candidates.append(Candidate(runner, view, True, turn_wait_s=wait_s))
        choice = choose_plain_server(candidates, str(request.number))
        return self.servers[int(choice.candidate.runner.id)] if choice else None

    def _refuse(self, request: Request) -> None:
        left_s = request.arrived_at + self.scenario.deadline_s - self._now
        if request.search.retry_at < float("inf"):
            retry_s = request.search.retry_at - self._now
            retry_s = max(0.0, retry_s) * self._rng.uniform(1.0, 1.5)
        else:
            retry_s = 0.4 * self._rng.uniform(0.5, 1.5)
        if request.load.retries_at_once:
            retry_s = IMMEDIATE_RETRY_S
        elif retry_s > left_s / 3:
            return
        if left_s > retry_s:
            self._after(retry_s + NETWORK_S, partial(self._start, request))

    def _ask(self, request: Request, server: _Server) -> None:
        self.messages += 1
        max_wait_s = request.search.begin(
            str(server.number), len(self.servers), self.scenario.target_s
        )
        self._after(
            NETWORK_S, partial(self._receive_claim, request, server, max_wait_s)
        )

    def _receive_claim(
        self, request: Request, server: _Server, max_wait_s: float
    ) -> None:
        ticket = next(self._numbers)
        target_s = self.scenario.target_s
        left_s = request.read_at + self.scenario.deadline_s - self._now
        claim = SlotClaim(
            str(request.vm),
            ticket,
            str(request.number),
            request.load.account,
            request.load.priority,
            self._now + due_in_s(self._now - request.read_at, target_s, left_s),
            self._now + left_s,
            max_wait_s,
            self.ranks_early and request.tries > 1 and request.load.retries_at_once,
        )
        self._advance(server)
        self._count(server)
        decision = server.owner.ask(claim, self._now)
        for displaced in decision.displaced:
            self._tell(displaced.ticket, server, False)
        self.messages += 1
        self._after(
            NETWORK_S,
            partial(
                self._vms[request.vm].waits.record,
                str(server.number),
                request.load.account,
                decision.wait_s,
                self._now,
            ),
        )

        def finish(is_granted: bool, retry_in_s: float, is_busy: bool = False) -> None:
            if is_granted:
                self._after(
                    NETWORK_S,
                    partial(self._send, request, server, partial(self._release, claim)),
                )
                return
            if not is_busy:
                request.excluded.add(server.number)
                request.search.record_refusal(self._now + retry_in_s)
            self._after(NETWORK_S, partial(self._place, request))

        if decision.outcome is SlotOutcome.WAITING:
            self._waiting[(server.number, ticket)] = finish
            self._plan(server)
        else:
            finish(
                decision.outcome is SlotOutcome.GRANTED,
                decision.retry_in_s,
                decision.outcome is SlotOutcome.BUSY,
            )

    def _tell(self, ticket: int, server: _Server, is_granted: bool) -> None:
        self.messages += 1
        self._waiting.pop((server.number, ticket))(is_granted, 0.1)

    def _plan(self, server: _Server) -> None:
        change_at = server.owner.next_change_at()
        if change_at is not None:
            self._at(max(change_at, self._now), partial(self._advance, server))

    def _advance(self, server: _Server) -> None:
        self._count(server)
        waiting = [w.claim for w in server.owner._waiting.values()]
        changes = server.owner.advance(self._now)
        left = {w.claim.ticket for w in server.owner._waiting.values()}
        for claim in changes.granted:
            self.overtaken += any(
                other.priority < claim.priority and other.ticket in left
                for other in waiting
            )
            self._tell(claim.ticket, server, True)
        for claim in changes.expired:
            self._tell(claim.ticket, server, False)
        if changes.granted or changes.expired:
            self._plan(server)

    def _release(self, claim: SlotClaim, server_and_result: str) -> None:
        number, _, result = server_and_result.partition(" ")
        server = self.servers[int(number)]
        self.messages += 1

        def receive() -> None:
            self._count(server)
            server.owner.release(
                claim.vm, claim.ticket, result == "answered", self._now
            )
            self._advance(server)

        self._after(NETWORK_S, receive)

    def _send(
        self, request: Request, server: _Server, release: Callable[[str], None]
    ) -> None:
        vm = self._vms[request.vm]
        vm.in_flight[server.number] += 1
        request.sends += 1

        def end(result: str) -> None:
            self._after(NETWORK_S, partial(self._end, request, server, release, result))

        self._after(NETWORK_S, partial(self._arrive, request, server, end))

    def _arrive(
        self, request: Request, server: _Server, end: Callable[[str], None]
    ) -> None:
        self._count(server)
        if server.is_lost:
            end("lost")
        elif len(server.running) < SLOTS:
            self._run(request, server, end)
        elif len(server.queue) < SERVER_QUEUE:
            server.queue.append((request, end))
        else:
            self.not_run += 1
            end("not_run")

    def _run(
        self, request: Request, server: _Server, end: Callable[[str], None]
    ) -> None:
        server.running.add(request.number)
        work_s = self.scenario.work_s * self._rng.lognormvariate(-0.02, 0.2)
        incarnation = server.incarnation

        def finish() -> None:
            if server.incarnation != incarnation:
                end("lost")
                return
            self._count(server)
            server.running.discard(request.number)
            end("answered")
            if server.queue:
                self._run(server.queue[0][0], server, server.queue.popleft()[1])

        self._after(work_s, finish)

    def _end(
        self,
        request: Request,
        server: _Server,
        release: Callable[[str], None],
        result: str,
    ) -> None:
        vm = self._vms[request.vm]
        vm.in_flight[server.number] -= 1
        release(f"{server.number} {result}")
        if result == "answered":
            request.done_at = self._now
            return
        pause_s = FULL_PAUSE_S if result == "not_run" else DOWN_PAUSE_S
        vm.down_until[server.number] = self._now + pause_s
        request.excluded.add(server.number)
        self._place(request)

    def _count(self, server: _Server) -> None:
        """Add up the slot time used since the last change, while claims waited."""
        span_s = self._now - server.changed_at
        server.changed_at = self._now
        if server.owner.waiting and not server.is_lost:
            server.waited_s += SLOTS * span_s
            server.busy_s += len(server.running) * span_s

    def _lose(self, server: _Server) -> None:
        self._count(server)
        server.is_lost = True
        server.incarnation += 1
        server.running.clear()
        queued, server.queue = server.queue, deque()
        for _, end in queued:
            end("lost")

    def _return(self, server: _Server) -> None:
        self._count(server)
        server.is_lost = False
