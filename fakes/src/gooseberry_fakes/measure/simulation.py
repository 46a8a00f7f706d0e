"""Runners, store and entry VMs in virtual time, under the real decisions.

The real scheduler, policies, placement and store budget decide; engines, callers and
the store are a few events on a heap.
"""

from __future__ import annotations

import heapq
import itertools
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

import gooseberryrun._internal.coordination as coordination
import gooseberryrun._internal.state as state
from result import Err, Result

from .workload import (
    BATCH,
    HORIZON_S,
    LOAD_IN_FLIGHT,
    LOAD_S,
    SLOTS,
    Arrival,
    Scenario,
)

ENTRY_VMS = 9
QUEUE_LIMIT = 10**6
HALF_LIFE_S = 120.0
EXPIRE_S = 0.25
"""Time between two looks for requests that have waited too long."""
RETRY_S = 0.5
PERMIT_PAUSE_S = 0.2
"""Longest pause between two questions for a permit."""


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong between two times, in seconds.

    A lost runner restarts cold at the end; ``load_failures`` is the share of loads that
    fail, ``store_factor`` multiplies the time of a load.
    """

    start: float
    end: float
    runner: int | None = None
    load_failures: float = 0.0
    store_factor: float = 1.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of quick work: waiting requests of a runner, and their longest wait."""

    queue: int = QUEUE_LIMIT
    wait_s: float = float("inf")
    horizon_s: float = HORIZON_S


@dataclass(slots=True)
class Score:
    """What a run measured."""

    load_stall_s: float = 0.0
    quick_waits: list[float] = field(default_factory=list)
    filled: float = 0.0
    places: float = 0.0
    served: int = 0
    last_patient_s: float = 0.0
    longest_patient_wait_s: float = 0.0
    loads: int = 0
    refused_at_once: int = 0
    refused_late: int = 0
    served_in_horizon: int = 0

    def quick_p99_s(self) -> float:
        """Return the 99th percentile of the waits of quick requests."""
        ordered = sorted(self.quick_waits) or [0.0]
        return ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]

    def batch_fill(self) -> float:
        """Return the filled share of the places while work waited."""
        return self.filled / self.places if self.places else 1.0


class Chooser(ABC):
    """Choice of a runner by the entry VM that a request came to."""

    @abstractmethod
    def choose(self, arrival: Arrival, now: float, down: set[int]) -> int:
        """Return the runner for a request."""

    def granted(self, number: int, arrival: Arrival, load: float, now: float) -> None:
        """Take the answer of an owner; ``load`` is in requests."""
        return


class LeastLoaded(Chooser):
    """Plain rival: the runner with the fewest requests."""

    def __init__(self, books: list[coordination.RunnerScheduler]) -> None:
        self._books = books

    def choose(self, arrival: Arrival, now: float, down: set[int]) -> int:
        """Return the runner with the fewest requests."""
        loads = [
            (book.queued + book.running(), number)
            for number, book in enumerate(self._books)
            if number not in down
        ]
        return min(loads)[1]


class ByHash(Chooser):
    """Plain rival: one runner for each adapter."""

    def __init__(self, books: list[coordination.RunnerScheduler]) -> None:
        self._names = [book.runner for book in books]

    def choose(self, arrival: Arrival, now: float, down: set[int]) -> int:
        """Return the adapter's runner, or the next one while it is lost."""
        ranking = state.rank_nodes(arrival.model, self._names)
        numbers = [self._names.index(name) for name in ranking]
        return next(number for number in numbers if number not in down)


class _Vms(coordination.VmList):
    def __init__(self, vms: list[state.Vm]) -> None:
        self._vms = vms

    def fetch(self) -> Result[list[state.Vm], coordination.PlatformError]:
        return Err(coordination.PlatformError())


class Placed(Chooser):
    """The real placement, one for each entry VM behind an even balancer."""

    def __init__(
        self, books: list[coordination.RunnerScheduler], cfg: state.Settings
    ) -> None:
        self._names = [book.runner for book in books]
        self._clock = state.ManualClock()
        vms = [
            state.Vm(f"vm-{number}", state.VmKind.ENTRY, "d", "127.0.0.1", 1, 2)
            for number in range(ENTRY_VMS)
        ]
        vms += [
            state.Vm(name, state.VmKind.ENGINE, "d", "127.0.0.1", 1, batch=BATCH)
            for name in self._names
        ]
        self._placements = []
        for _ in range(ENTRY_VMS):
            members = coordination.Membership(cfg, self._clock, _Vms(vms), "boot")
            members.update_list(vms)
            self._placements.append(coordination.Placement(cfg, self._clock, members))

    def choose(self, arrival: Arrival, now: float, down: set[int]) -> int:
        """Return what the entry VM's placement chooses."""
        self._clock.now = now
        placement = self._placements[arrival.number % ENTRY_VMS]
        exclude = {self._names[number] for number in down}
        chosen = placement.choose(arrival.model, "", exclude, arrival.is_patient())
        assert chosen is not None
        placement.begin_wait(chosen.id, arrival.is_patient())
        return self._names.index(chosen.id)

    def granted(self, number: int, arrival: Arrival, load: float, now: float) -> None:
        """Take the answer of an owner."""
        self._clock.now = now
        placement = self._placements[arrival.number % ENTRY_VMS]
        placement.end_wait(self._names[number], arrival.is_patient())
        placement.record_load(self._names[number], int(load), 0, BATCH)


class Simulation:
    """One run of the decisions over the arrivals."""

    def __init__(
        self,
        scenario: Scenario,
        make_policy: Callable[[], coordination.Policy],
        make_chooser: Callable[[list[coordination.RunnerScheduler]], Chooser],
        faults: tuple[Fault, ...] = (),
        limits: Limits | None = None,
        keeps_permit: bool = True,
    ) -> None:
        self._keeps_permit = keeps_permit
        self._limits = limits or Limits()
        self._books = [
            coordination.RunnerScheduler(
                f"r{number}",
                SLOTS,
                BATCH,
                make_policy(),
                self._limits.queue,
                HALF_LIFE_S,
            )
            for number in range(scenario.runners)
        ]
        self._chooser = make_chooser(self._books)
        self._budget = coordination.StoreBudget(
            scenario.store_rate, LOAD_IN_FLIGHT, 60.0
        )
        self._faults = faults
        self._down: set[int] = set()
        self._heap: list[tuple[float, int, Callable[[float], None]]] = []
        self._ids = itertools.count()
        self._arrivals: dict[str, Arrival] = {}
        self._asking: set[int] = set()
        self._resident_since: dict[tuple[int, str], float] = {}
        self._running: list[dict[str, Arrival]] = [{} for _ in self._books]
        self._paused_s: dict[str, float] = {}
        self._ended: set[str] = set()
        self._in_flight = 0
        self._last = 0.0
        self.score = Score()

    def run(self, arrivals: list[Arrival]) -> Score:
        """Serve every request and return the score."""
        for arrival in arrivals:
            self._at(arrival.at, lambda now, a=arrival: self._arrive(a, now))  # type: ignore[misc]
        for fault in self._faults:
            if fault.runner is not None:
                self._at(fault.start, lambda now, f=fault: self._lose(f, now))  # type: ignore[misc]
                self._at(fault.end, lambda now, f=fault: self._return(f, now))  # type: ignore[misc]
        self._at(EXPIRE_S, self._expire)
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
                self.score.filled += span * min(BATCH, book.running())
        self._last = min(now, HORIZON_S)

    # Requests.

    def _arrive(self, arrival: Arrival, now: float) -> None:
        number = self._chooser.choose(arrival, now, self._down)
        if not arrival.is_patient() and self._is_refused(self._books[number], arrival):
            self.score.refused_at_once += 1
            self._chooser.granted(number, arrival, self._limits.queue, now)
            return
        self._arrivals[str(arrival.number)] = arrival
        self._books[number].enqueue(
            coordination.Waiting(
                str(arrival.number),
                arrival.model,
                "vm",
                "boot",
                arrival.work_class,
                str(arrival.number),
                False,
                arrival.at,
                self._deadline(arrival),
            )
        )
        self._advance(number, now)

    def _is_refused(self, book: coordination.RunnerScheduler, arrival: Arrival) -> bool:
        return book.is_full() or (
            book.expected_wait_s(arrival.model) > self._limits.wait_s
        )

    def _deadline(self, arrival: Arrival) -> float:
        return (
            float("inf") if arrival.is_patient() else arrival.at + self._limits.wait_s
        )

    def _expire(self, now: float) -> None:
        """Refuse the quick requests that have waited as long as they may."""
        for number, book in enumerate(self._books):
            for waiting in book.remove_expired(now):
                self.score.refused_late += 1
                arrival = self._arrivals[waiting.request_id]
                self._chooser.granted(number, arrival, book.queued, now)
        if self._heap:
            self._at(now + EXPIRE_S, self._expire)

    def _advance(self, number: int, now: float) -> None:
        if number in self._down:
            return
        book = self._books[number]
        while (grant := book.next_grant(str(next(self._ids)), now)) is not None:
            self._start(number, grant, now)
        self._order(number, now)

    def _start(self, number: int, grant: coordination.Grant, now: float) -> None:
        arrival = self._arrivals[grant.request_id]
        book = self._books[number]
        self._chooser.granted(number, arrival, book.queued + book.running(), now)
        self._running[number][grant.grant_id] = arrival
        if book.running() > BATCH:
            self._pause_patient(number, arrival.service_s)
        self._at(
            now + arrival.service_s,
            lambda then: self._end(number, grant, arrival, now, then),
        )

    def _pause_patient(self, number: int, service_s: float) -> None:
        """Let the engine give a patient request's place to quick work for a while."""
        patient = [
            (self._paused_s.get(grant_id, 0.0), grant_id)
            for grant_id, arrival in self._running[number].items()
            if arrival.is_patient()
        ]
        if patient:
            paused_s, grant_id = min(patient)
            self._paused_s[grant_id] = paused_s + service_s

    def _end(
        self,
        number: int,
        grant: coordination.Grant,
        arrival: Arrival,
        granted_at: float,
        now: float,
    ) -> None:
        if grant.grant_id in self._ended:
            return
        left_s = self._paused_s.pop(grant.grant_id, 0.0)
        if left_s:
            self._at(
                now + left_s,
                lambda then: self._end(number, grant, arrival, granted_at, then),
            )
            return
        del self._running[number][grant.grant_id]
        since = self._resident_since.get((number, grant.model), 0.0)
        since = min(since, granted_at)
        self._note(arrival, since, granted_at, now)
        self._books[number].release(grant.grant_id)
        self._advance(number, now)

    def _note(
        self, arrival: Arrival, since: float, granted_at: float, now: float
    ) -> None:
        score = self.score
        score.served += 1
        score.served_in_horizon += now <= self._limits.horizon_s
        score.load_stall_s += max(0.0, since - arrival.at)
        if not arrival.is_patient():
            score.quick_waits.append(granted_at - arrival.at)
            return
        score.last_patient_s = now
        wait_s = now - arrival.at
        score.longest_patient_wait_s = max(score.longest_patient_wait_s, wait_s)

    # Loads.

    def _order(self, number: int, now: float) -> None:
        book = self._books[number]
        if number in self._asking or book.next_order(now, may_evict=True) is None:
            return
        self._asking.add(number)
        self._ask_permit(number, now)

    def _ask_permit(self, number: int, now: float) -> None:
        book = self._books[number]
        urgent = book.has_interactive_waiting() or not self._keeps_permit
        wait_s = self._budget.take(book.runner, now, urgent)
        if wait_s:
            pause_s = min(PERMIT_PAUSE_S, max(wait_s, 0.005))
            self._at(now + pause_s, lambda then: self._ask_permit(number, then))
            return
        self._asking.discard(number)
        order = book.next_order(now, may_evict=True)
        if order is None or number in self._down:
            self._budget.end(book.runner)
            return
        self._load(number, order, now)

    def _load(self, number: int, order: coordination.LoadOrder, now: float) -> None:
        book = self._books[number]
        book.start_order(order)
        self._in_flight += 1
        self.score.loads += 1
        fault = self._fault(now)
        load_s = LOAD_S * max(1.0, self._in_flight / LOAD_IN_FLIGHT)
        share = fault.load_failures
        failed = bool(share) and state.hash_score(order.model, str(now)) % 100 < (
            share * 100
        )
        self._at(
            now + load_s * fault.store_factor,
            lambda then: self._loaded(number, order, not failed, then),
        )

    def _loaded(
        self, number: int, order: coordination.LoadOrder, loaded: bool, now: float
    ) -> None:
        book = self._books[number]
        self._in_flight -= 1
        self._budget.end(book.runner)
        if order.victim is not None:
            book.finish_evict(True, now)
        loaded = loaded and number not in self._down
        book.finish_load(loaded, now, RETRY_S)
        if loaded:
            self._resident_since[(number, order.model)] = now
        else:
            self._at(now + RETRY_S, lambda then: self._advance(number, then))
        self._advance(number, now)

    # Faults.

    def _fault(self, now: float) -> Fault:
        for fault in self._faults:
            if fault.runner is None and fault.start <= now < fault.end:
                return fault
        return Fault(0.0, 0.0)

    def _lose(self, fault: Fault, now: float) -> None:
        """Send everything that a lost runner had to the others."""
        number = fault.runner
        assert number is not None
        self._down.add(number)
        book = self._books[number]
        lost = [self._arrivals[one.request_id] for one in book.remove_all()]
        lost += self._running[number].values()
        self._ended.update(self._running[number])
        for grant_id in self._running[number]:
            book.release(grant_id)
        self._running[number] = {}
        book.sync_resident([], now)
        for arrival in lost:
            self._arrive(arrival, now)

    def _return(self, fault: Fault, now: float) -> None:
        assert fault.runner is not None
        self._down.discard(fault.runner)
        self._advance(fault.runner, now)
