"""Discrete-event simulation of runners, weight store and entry VMs in virtual time.

The scheduler, policies, placement and store budget are those of the product; engines,
callers and the store are modelled by events on a heap.
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
MAX_QUEUED = 10**6
DEMAND_HALF_LIFE_S = 120.0
EXPIRY_INTERVAL_S = 0.25
"""Interval between checks for requests whose deadline has passed."""
LOAD_RETRY_S = 0.5
MAX_PERMIT_PAUSE_S = 0.2
"""Longest pause between two requests for a store permit."""


@dataclass(frozen=True, slots=True)
class Fault:
    """Fault of a runner or of the weight store between two times, in seconds.

    A failed runner restarts without adapters at ``end``; ``load_failures`` is the share
    of loads that fail, ``store_factor`` multiplies the duration of a load.
    """

    start: float
    end: float
    runner: int | None = None
    load_failures: float = 0.0
    store_factor: float = 1.0


@dataclass(frozen=True, slots=True)
class InteractiveLimits:
    """Limits of interactive work: queued requests of a runner, and their longest wait.

    Requests served until ``horizon_s`` are counted separately.
    """

    queue: int = MAX_QUEUED
    wait_s: float = float("inf")
    horizon_s: float = HORIZON_S


@dataclass(slots=True)
class SimulationResult:
    """Measures of one simulation run.

    ``slot_seconds`` counts batch slots while requests waited, ``filled_slot_seconds``
    those of them in use.
    """

    load_stall_s: float = 0.0
    interactive_waits_s: list[float] = field(default_factory=list)
    filled_slot_seconds: float = 0.0
    slot_seconds: float = 0.0
    served: int = 0
    last_background_s: float = 0.0
    longest_background_wait_s: float = 0.0
    loads: int = 0
    refused_on_arrival: int = 0
    refused_after_wait: int = 0
    served_in_horizon: int = 0

    def interactive_p99_s(self) -> float:
        """Return the 99th percentile of the waits of interactive requests."""
        ordered = sorted(self.interactive_waits_s) or [0.0]
        return ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]

    def batch_fill(self) -> float:
        """Return the share of batch slots in use while requests waited."""
        return (
            self.filled_slot_seconds / self.slot_seconds if self.slot_seconds else 1.0
        )


class RunnerChooser(ABC):
    """Strategy by which the entry VM that received a request chooses a runner."""

    @abstractmethod
    def choose(self, arrival: Arrival, now: float, down: set[int]) -> int:
        """Return the number of the runner for a request; ``down`` is excluded."""

    def record_answer(
        self, number: int, arrival: Arrival, load: float, now: float
    ) -> None:
        """Record the owner's grant or refusal; ``load`` is in requests."""
        return


class LeastLoadedChooser(RunnerChooser):
    """Baseline: chooses the runner with the fewest requests."""

    def __init__(self, schedulers: list[coordination.RunnerScheduler]) -> None:
        self._schedulers = schedulers

    def choose(self, arrival: Arrival, now: float, down: set[int]) -> int:
        """Return the runner with the fewest requests."""
        loads = [
            (scheduler.queued + scheduler.running(), number)
            for number, scheduler in enumerate(self._schedulers)
            if number not in down
        ]
        return min(loads)[1]


class HashChooser(RunnerChooser):
    """Baseline: chooses one runner for each adapter by rendezvous hashing."""

    def __init__(self, schedulers: list[coordination.RunnerScheduler]) -> None:
        self._runner_ids = [scheduler.runner for scheduler in schedulers]

    def choose(self, arrival: Arrival, now: float, down: set[int]) -> int:
        """Return the first runner in the adapter's ranking that is not down."""
        ranking = state.rank_nodes(arrival.model, self._runner_ids)
        numbers = [self._runner_ids.index(runner_id) for runner_id in ranking]
        return next(number for number in numbers if number not in down)


class _UnreachableVmList(coordination.VmList):
    def __init__(self, vms: list[state.Vm]) -> None:
        self._vms = vms

    def fetch(self) -> Result[list[state.Vm], coordination.PlatformError]:
        return Err(coordination.PlatformError())


class PlacementChooser(RunnerChooser):
    """Placement of the product: one instance per entry VM, requests spread evenly."""

    def __init__(
        self, schedulers: list[coordination.RunnerScheduler], cfg: state.Settings
    ) -> None:
        self._runner_ids = [scheduler.runner for scheduler in schedulers]
        self._clock = state.ManualClock()
        vms = [
            state.Vm(f"vm-{number}", state.VmKind.ENTRY, "d", "127.0.0.1", 1, 2)
            for number in range(ENTRY_VMS)
        ]
        vms += [
            state.Vm(name, state.VmKind.ENGINE, "d", "127.0.0.1", 1, batch=BATCH)
            for name in self._runner_ids
        ]
        self._placements = []
        for _ in range(ENTRY_VMS):
            members = coordination.Membership(
                cfg, self._clock, _UnreachableVmList(vms), "boot"
            )
            members.update_list(vms)
            self._placements.append(coordination.Placement(cfg, self._clock, members))

    def choose(self, arrival: Arrival, now: float, down: set[int]) -> int:
        """Return the runner that the entry VM's placement chooses."""
        self._clock.now = now
        placement = self._placements[arrival.number % ENTRY_VMS]
        exclude = {self._runner_ids[number] for number in down}
        chosen = placement.choose(arrival.model, "", exclude, arrival.is_background())
        assert chosen is not None
        placement.begin_wait(chosen.id, arrival.is_background())
        return self._runner_ids.index(chosen.id)

    def record_answer(
        self, number: int, arrival: Arrival, load: float, now: float
    ) -> None:
        """Record the owner's answer in the entry VM's placement."""
        self._clock.now = now
        placement = self._placements[arrival.number % ENTRY_VMS]
        placement.end_wait(self._runner_ids[number], arrival.is_background())
        placement.record_load(self._runner_ids[number], int(load), 0, BATCH)


class Simulation:
    """One run of a policy and a chooser over a list of arrivals.

    Without ``reserves_permit`` background loads may take every store permit.
    """

    def __init__(
        self,
        scenario: Scenario,
        make_policy: Callable[[], coordination.Policy],
        make_chooser: Callable[[list[coordination.RunnerScheduler]], RunnerChooser],
        faults: tuple[Fault, ...] = (),
        limits: InteractiveLimits | None = None,
        reserves_permit: bool = True,
    ) -> None:
        self._reserves_permit = reserves_permit
        self._limits = limits or InteractiveLimits()
        self._schedulers = [
            coordination.RunnerScheduler(
                f"r{number}",
                SLOTS,
                BATCH,
                make_policy(),
                self._limits.queue,
                DEMAND_HALF_LIFE_S,
            )
            for number in range(scenario.runners)
        ]
        self._chooser = make_chooser(self._schedulers)
        self._budget = coordination.StoreBudget(
            scenario.store_rate, LOAD_IN_FLIGHT, 60.0
        )
        self._faults = faults
        self._down: set[int] = set()
        self._heap: list[tuple[float, int, Callable[[float], None]]] = []
        self._ids = itertools.count()
        self._arrivals: dict[str, Arrival] = {}
        self._awaiting_permit: set[int] = set()
        self._resident_since: dict[tuple[int, str], float] = {}
        self._running: list[dict[str, Arrival]] = [{} for _ in self._schedulers]
        self._pauses_s: dict[str, float] = {}
        self._aborted_grants: set[str] = set()
        self._loads_in_flight = 0
        self._accounted_until = 0.0
        self.result = SimulationResult()

    def run(self, arrivals: list[Arrival]) -> SimulationResult:
        """Serve every request and return the measures."""
        for arrival in arrivals:
            self._schedule(arrival.at, lambda now, a=arrival: self._arrive(a, now))  # type: ignore[misc]
        for fault in self._faults:
            if fault.runner is not None:
                self._schedule(
                    fault.start,
                    lambda now, f=fault: self._fail_runner(f, now),  # type: ignore[misc]
                )
                self._schedule(
                    fault.end,
                    lambda now, f=fault: self._restart_runner(f, now),  # type: ignore[misc]
                )
        self._schedule(EXPIRY_INTERVAL_S, self._refuse_expired)
        while self._heap:
            now, _, event = heapq.heappop(self._heap)
            self._add_batch_fill(now)
            event(now)
        return self.result

    def _schedule(self, when: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._heap, (when, next(self._ids), event))

    def _add_batch_fill(self, now: float) -> None:
        """Add the batch slots of runners with queued requests, within the horizon."""
        span = min(now, HORIZON_S) - self._accounted_until
        if span <= 0:
            return
        for scheduler in self._schedulers:
            if scheduler.queued:
                self.result.slot_seconds += span * BATCH
                self.result.filled_slot_seconds += span * min(
                    BATCH, scheduler.running()
                )
        self._accounted_until = min(now, HORIZON_S)

    def _arrive(self, arrival: Arrival, now: float) -> None:
        number = self._chooser.choose(arrival, now, self._down)
        if not arrival.is_background() and self._is_refused(
            self._schedulers[number], arrival
        ):
            self.result.refused_on_arrival += 1
            self._chooser.record_answer(number, arrival, self._limits.queue, now)
            return
        self._arrivals[str(arrival.number)] = arrival
        self._schedulers[number].enqueue(
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

    def _is_refused(
        self, scheduler: coordination.RunnerScheduler, arrival: Arrival
    ) -> bool:
        return scheduler.is_full() or (
            scheduler.expected_wait_s(arrival.model) > self._limits.wait_s
        )

    def _deadline(self, arrival: Arrival) -> float:
        return (
            float("inf")
            if arrival.is_background()
            else arrival.at + self._limits.wait_s
        )

    def _refuse_expired(self, now: float) -> None:
        """Refuse the interactive requests whose deadline has passed."""
        for number, scheduler in enumerate(self._schedulers):
            for waiting in scheduler.remove_expired(now):
                self.result.refused_after_wait += 1
                arrival = self._arrivals[waiting.request_id]
                self._chooser.record_answer(number, arrival, scheduler.queued, now)
        if self._heap:
            self._schedule(now + EXPIRY_INTERVAL_S, self._refuse_expired)

    def _advance(self, number: int, now: float) -> None:
        if number in self._down:
            return
        scheduler = self._schedulers[number]
        while (grant := scheduler.next_grant(str(next(self._ids)), now)) is not None:
            self._start_request(number, grant, now)
        self._request_load(number, now)

    def _start_request(
        self, number: int, grant: coordination.Grant, now: float
    ) -> None:
        arrival = self._arrivals[grant.request_id]
        scheduler = self._schedulers[number]
        self._chooser.record_answer(
            number, arrival, scheduler.queued + scheduler.running(), now
        )
        self._running[number][grant.grant_id] = arrival
        if scheduler.running() > BATCH:
            self._pause_background_request(number, arrival.service_s)
        self._schedule(
            now + arrival.service_s,
            lambda then: self._end_request(number, grant, arrival, now, then),
        )

    def _pause_background_request(self, number: int, service_s: float) -> None:
        """Pause the background request that was paused least so far.

        It models an engine that runs interactive work beyond its batch.
        """
        background = [
            (self._pauses_s.get(grant_id, 0.0), grant_id)
            for grant_id, arrival in self._running[number].items()
            if arrival.is_background()
        ]
        if background:
            paused_s, grant_id = min(background)
            self._pauses_s[grant_id] = paused_s + service_s

    def _end_request(
        self,
        number: int,
        grant: coordination.Grant,
        arrival: Arrival,
        granted_at: float,
        now: float,
    ) -> None:
        if grant.grant_id in self._aborted_grants:
            return
        pause_s = self._pauses_s.pop(grant.grant_id, 0.0)
        if pause_s:
            self._schedule(
                now + pause_s,
                lambda then: self._end_request(
                    number, grant, arrival, granted_at, then
                ),
            )
            return
        del self._running[number][grant.grant_id]
        resident_since = self._resident_since.get((number, grant.model), 0.0)
        resident_since = min(resident_since, granted_at)
        self._record_served(arrival, resident_since, granted_at, now)
        self._schedulers[number].release(grant.grant_id)
        self._advance(number, now)

    def _record_served(
        self, arrival: Arrival, resident_since: float, granted_at: float, now: float
    ) -> None:
        result = self.result
        result.served += 1
        result.served_in_horizon += now <= self._limits.horizon_s
        result.load_stall_s += max(0.0, resident_since - arrival.at)
        if not arrival.is_background():
            result.interactive_waits_s.append(granted_at - arrival.at)
            return
        result.last_background_s = now
        wait_s = now - arrival.at
        result.longest_background_wait_s = max(result.longest_background_wait_s, wait_s)

    def _request_load(self, number: int, now: float) -> None:
        scheduler = self._schedulers[number]
        if (
            number in self._awaiting_permit
            or scheduler.next_order(now, may_evict=True) is None
        ):
            return
        self._awaiting_permit.add(number)
        self._request_permit(number, now)

    def _request_permit(self, number: int, now: float) -> None:
        scheduler = self._schedulers[number]
        urgent = scheduler.has_interactive_waiting() or not self._reserves_permit
        wait_s = self._budget.take(scheduler.runner, now, urgent)
        if wait_s:
            pause_s = min(MAX_PERMIT_PAUSE_S, max(wait_s, 0.005))
            self._schedule(
                now + pause_s, lambda then: self._request_permit(number, then)
            )
            return
        self._awaiting_permit.discard(number)
        order = scheduler.next_order(now, may_evict=True)
        if order is None or number in self._down:
            self._budget.end(scheduler.runner)
            return
        self._start_load(number, order, now)

    def _start_load(
        self, number: int, order: coordination.LoadOrder, now: float
    ) -> None:
        scheduler = self._schedulers[number]
        scheduler.start_order(order)
        self._loads_in_flight += 1
        self.result.loads += 1
        fault = self._store_fault(now)
        load_s = LOAD_S * max(1.0, self._loads_in_flight / LOAD_IN_FLIGHT)
        share = fault.load_failures
        failed = bool(share) and state.hash_score(order.model, str(now)) % 100 < (
            share * 100
        )
        self._schedule(
            now + load_s * fault.store_factor,
            lambda then: self._finish_load(number, order, not failed, then),
        )

    def _finish_load(
        self, number: int, order: coordination.LoadOrder, loaded: bool, now: float
    ) -> None:
        scheduler = self._schedulers[number]
        self._loads_in_flight -= 1
        self._budget.end(scheduler.runner)
        if order.victim is not None:
            scheduler.finish_evict(True, now)
        loaded = loaded and number not in self._down
        scheduler.finish_load(loaded, now, LOAD_RETRY_S)
        if loaded:
            self._resident_since[(number, order.model)] = now
        else:
            self._schedule(now + LOAD_RETRY_S, lambda then: self._advance(number, then))
        self._advance(number, now)

    def _store_fault(self, now: float) -> Fault:
        for fault in self._faults:
            if fault.runner is None and fault.start <= now < fault.end:
                return fault
        return Fault(0.0, 0.0)

    def _fail_runner(self, fault: Fault, now: float) -> None:
        """Send all queued and running requests of a failed runner to the others."""
        number = fault.runner
        assert number is not None
        self._down.add(number)
        scheduler = self._schedulers[number]
        lost = [
            self._arrivals[waiting.request_id] for waiting in scheduler.remove_all()
        ]
        lost += self._running[number].values()
        self._aborted_grants.update(self._running[number])
        for grant_id in self._running[number]:
            scheduler.release(grant_id)
        self._running[number] = {}
        scheduler.sync_resident([], now)
        for arrival in lost:
            self._arrive(arrival, now)

    def _restart_runner(self, fault: Fault, now: float) -> None:
        assert fault.runner is not None
        self._down.discard(fault.runner)
        self._advance(fault.runner, now)
