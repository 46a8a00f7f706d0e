"""Model of a fleet of engines in virtual time, under the product's own decisions.

Requests arrive at entry VMs, which choose runners by notices that are some time old; a
runner's owner serves its queue. Choice, slots, order of waits and admission of prompts
are the product's classes; engines, loads and callers are modelled.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from gooseberryrun._internal.state.serving import (
    AdapterSlots,
    Candidate,
    Choice,
    PrefillLoad,
    RecentAdapters,
    Runner,
    RunnerQueue,
    RunnerView,
    ServingPolicy,
    SlotWait,
    Step,
    Waiter,
)
from gooseberryrun._internal.state.serving.admission import UsageShares

from .decision_baselines import ProductChoice, RunnerChoice
from .engine_model import EngineModel, EngineSpeed, ModelStream

MODEL = "m"
LATE_WORTH = 0.3
"""Part of its worth that a late answer earns."""
FIXED_WORTH = 0.3
"""Part of a kind's worth that does not depend on the size of a request."""
MAX_SIZE_WORTH = 4.0
OUTPUT_TOKEN_SIZE = 10
"""Size of a token of output in tokens of a prompt."""
MAX_ROUNDS = 6
REFUSAL_RETRY_S = 1.0
LOST_PAUSE_S = 0.1
"""Time until the requests that waited at a lost runner are placed again."""


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Kind of request: rate, size and what its callers bear; sizes are in tokens."""

    name: str
    per_s: float
    prompt_tokens: float
    prompt_spread: float
    output_tokens: float
    output_spread: float
    kind_worth: float
    priority: int
    wait_s: float
    target_s: float = 1.0
    account: str = ""

    def worth(self, prompt_tokens: int, output_tokens: int) -> float:
        """Return the worth of a request, which grows with its size."""
        size = prompt_tokens + OUTPUT_TOKEN_SIZE * output_tokens
        mean = self.prompt_tokens + OUTPUT_TOKEN_SIZE * self.output_tokens
        share = FIXED_WORTH + (1 - FIXED_WORTH) * size / mean
        return self.kind_worth * min(MAX_SIZE_WORTH, share)


@dataclass(frozen=True, slots=True)
class FleetScenario:
    """Fleet and load; ``lost`` are runners that are away from one time to another."""

    name: str
    kinds: tuple[RequestKind, ...]
    runners: int = 6
    slots: int = 8
    adapters: int = 3000
    zipf: float = 1.05
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    load_s: float = 0.25
    reload_s: float = 0.025
    loads_at_full_speed: int = 8
    max_pause_s: float = 0.5
    network_s: float = 0.002
    news_s: float = 0.03
    length_s: float = 60.0
    shift_s: float = 60.0
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    lost: tuple[tuple[int, float, float], ...] = ()


@dataclass(slots=True)
class ModelRequest:
    """One request of a caller with its outcome."""

    number: int
    kind: RequestKind
    adapter: str
    prompt_tokens: int
    output_tokens: int
    arrived_at: float
    tries: int = 0
    rounds: int = 0
    waited_s: float = 0.0
    refusals: int = 0
    excluded: set[str] = field(default_factory=set)
    stream: ModelStream | None = None
    outcome: str = ""

    @property
    def worth(self) -> float:
        """Return what the answer is worth on time."""
        return self.kind.worth(self.prompt_tokens, self.output_tokens)


@dataclass(slots=True, eq=False)
class _Waiter(Waiter):
    request: ModelRequest | None = None
    expired: bool = False


@dataclass(frozen=True, slots=True)
class _Notice:
    """What an owner has told the VMs of its runner."""

    held: frozenset[str]
    idle: int
    waiting: int
    mean_slot_wait_s: float
    in_flight: int
    unread_tokens: int
    prefill: PrefillLoad
    shares: UsageShares
    at: float


class _ModelRunner:
    """One engine with its owner's queue."""

    def __init__(
        self, number: int, scenario: FleetScenario, policy: ServingPolicy
    ) -> None:
        self.id = f"i-{number}"
        self.runner = Runner(self.id, "s", "h", 1, "d", 96, False, 1, 0, ())
        self.engine = EngineModel(scenario.speed)
        self.queue: RunnerQueue[_Waiter] = RunnerQueue(scenario.slots, policy)
        self.queue.max_pause_s = scenario.max_pause_s
        self.recent = RecentAdapters()
        self.uses: Counter[str] = Counter()
        self.requests: dict[str, ModelRequest] = {}
        self.unread: dict[str, int] = {}
        self.is_stepping = False
        self.is_lost = False
        self.seen: _Notice | None = None
        self.has_news = False


@dataclass(slots=True)
class FleetResult:
    """Outcomes of one run."""

    requests: list[ModelRequest]
    store_loads: int
    scenario: FleetScenario

    def is_in_time(self, request: ModelRequest) -> bool:
        """Return whether a request's answer was on time."""
        stream = request.stream
        if request.outcome != "served" or stream is None:
            return False
        first_s = stream.first_at - request.arrived_at
        is_smooth = stream.longest_pause_s <= self.scenario.max_pause_s
        return first_s <= request.kind.target_s and is_smooth

    def earned(self, request: ModelRequest) -> float:
        """Return the worth that a request earned."""
        if request.outcome != "served":
            return 0.0
        share = 1.0 if self.is_in_time(request) else LATE_WORTH
        return share * request.worth

    def distinct_adapters(self) -> int:
        """Return how many adapters were asked for: the fewest loads there can be."""
        return len({request.adapter for request in self.requests})

    def worth(self, kind: str = "") -> float:
        """Return the worth earned over the worth owed, of one kind or of all."""
        chosen = [r for r in self.requests if kind in ("", r.kind.name)]
        owed = sum(request.worth for request in chosen)
        return sum(map(self.earned, chosen)) / owed if owed else 0.0

    def causes(self, kind: str) -> dict[str, int]:
        """Return how the requests of a kind ended, late ones by their cause."""
        found: Counter[str] = Counter()
        for request in self.requests:
            if request.kind.name == kind:
                found[self._cause(request)] += 1
        return dict(found)

    def _cause(self, request: ModelRequest) -> str:
        stream = request.stream
        if request.outcome != "served" or stream is None:
            return request.outcome
        if self.is_in_time(request):
            return "in time"
        if stream.first_at - request.arrived_at <= request.kind.target_s:
            return "paused"
        return "came back" if request.refusals else "waited"


class FleetModel:
    """Plays one scenario with one seed and one policy."""

    def __init__(
        self,
        scenario: FleetScenario,
        policy: ServingPolicy,
        seed: int,
        choice: RunnerChoice | None = None,
        slots: type[AdapterSlots] = AdapterSlots,
    ) -> None:
        self._choice = choice or ProductChoice()
        self._slots = slots
        self._scenario = scenario
        self._policy = policy
        self._rng = random.Random(seed)
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._runners = [
            self._make_runner(number) for number in range(scenario.runners)
        ]
        self._by_id = {runner.id: runner for runner in self._runners}
        self._requests: list[ModelRequest] = []
        self._loads_in_flight = 0
        self._store_loads = 0
        for runner in self._runners:
            self._publish(runner)

    def _make_runner(self, number: int) -> _ModelRunner:
        runner = _ModelRunner(number, self._scenario, self._policy)
        runner.queue.slots = self._slots(self._scenario.slots)
        return runner

    def run(self) -> FleetResult:
        """Play the scenario to its end."""
        self._schedule_arrivals()
        for number, lost_at, back_at in self._scenario.lost:
            self._at(lost_at, partial(self._lose, number))
            self._at(back_at, partial(self._return, number))
        while self._events:
            self._now, _, act = heapq.heappop(self._events)
            act()
        for request in self._requests:
            request.outcome = request.outcome or "unanswered"
        return FleetResult(self._requests, self._store_loads, self._scenario)

    def _at(self, time: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), act))

    def _after(self, delay_s: float, act: Callable[[], None]) -> None:
        self._at(self._now + delay_s, act)

    def _schedule_arrivals(self) -> None:
        scenario = self._scenario
        ranks = list(range(scenario.adapters))
        weights = [1 / (rank + 1) ** scenario.zipf for rank in ranks]
        cumulative = list(itertools.accumulate(weights))
        for kind in scenario.kinds:
            now = 0.0
            while True:
                start, end, factor = scenario.burst
                rate = kind.per_s * (factor if start <= now < end else 1.0)
                now += self._rng.expovariate(rate)
                if now >= scenario.length_s:
                    break
                rank = self._rng.choices(ranks, cum_weights=cumulative)[0]
                shift = int(now / scenario.shift_s) * 7
                self._add_request(kind, (rank + shift) % scenario.adapters, now)

    def _add_request(self, kind: RequestKind, adapter: int, now: float) -> None:
        request = ModelRequest(
            len(self._requests),
            kind,
            f"{MODEL}/a{adapter}",
            self._size(kind.prompt_tokens, kind.prompt_spread),
            self._size(kind.output_tokens, kind.output_spread),
            now,
        )
        self._requests.append(request)
        self._at(now, partial(self._start, request))

    def _size(self, mean: float, spread: float) -> int:
        return max(1, int(mean * self._rng.lognormvariate(-(spread**2) / 2, spread)))

    def _start(self, request: ModelRequest) -> None:
        request.tries += 1
        request.rounds = 0
        request.excluded.clear()
        self._place(request)

    def _place(self, request: ModelRequest) -> None:
        """Choose a runner for a request, or refuse it."""
        request.rounds += 1
        choice = self._choose(request)
        longest_s = self._longest_wait_s(request)
        is_spent = request.rounds > MAX_ROUNDS or longest_s <= 0
        if choice is None or is_spent or choice.refusal(longest_s):
            self._refuse(request)
            return
        self._ask(request, self._by_id[choice.candidate.runner.id], choice)

    def _longest_wait_s(self, request: ModelRequest) -> float:
        left_s = request.arrived_at + request.kind.wait_s - self._now
        by_target_s = self._policy.max_wait_per_target * request.kind.target_s
        return min(self._policy.max_wait_share * left_s, by_target_s)

    def _choose(self, request: ModelRequest) -> Choice | None:
        candidates = [
            self._candidate(request, runner, runner.seen)
            for runner in self._runners
            if runner.id not in request.excluded
            and not runner.is_lost
            and runner.seen is not None
        ]
        return self._choice.choose(
            candidates, request.adapter, request.prompt_tokens, self._policy
        )

    def _candidate(
        self, request: ModelRequest, runner: _ModelRunner, seen: _Notice
    ) -> Candidate:
        prefill = seen.prefill.after(self._now - seen.at)
        kind = request.kind
        return Candidate(
            runner.runner,
            RunnerView(seen.in_flight, 0, 0, 0, 1.0),
            True,
            has_adapter=request.adapter in seen.held,
            held_recently=runner.recent.contains(1, request.adapter),
            available_slots=seen.idle,
            waiting=seen.waiting,
            slot_wait_s=seen.mean_slot_wait_s,
            prefill=prefill,
            needs_grant=self._needs_grant(request, prefill),
            breaks_streams=prefill.pace.breaks_streams(
                request.prompt_tokens, self._scenario.max_pause_s
            ),
            stream_s=request.output_tokens * self._scenario.speed.step_s * 1.5,
            account_share=seen.shares.share(kind.priority, kind.account)
            if kind.account
            else 1.0,
        )

    def _needs_grant(self, request: ModelRequest, load: PrefillLoad) -> bool:
        if not self._policy.admits_prompts:
            return False
        pace = load.pace
        return pace.needs_grant(request.prompt_tokens, self._scenario.max_pause_s)

    def _refuse(self, request: ModelRequest) -> None:
        request.refusals += 1
        deadline = request.arrived_at + request.kind.wait_s
        retry_s = REFUSAL_RETRY_S * self._rng.uniform(0.5, 1.5)
        if request.tries < 2 and self._now + retry_s < deadline:
            self._after(retry_s, partial(self._start, request))
        else:
            request.outcome = "refused"

    def _ask(self, request: ModelRequest, runner: _ModelRunner, choice: Choice) -> None:
        """Go to the runner, or first to its owner for an adapter or a grant."""
        network_s = self._scenario.network_s
        if choice.candidate.has_adapter and not choice.candidate.needs_grant:
            self._after(network_s, partial(self._reach, request, runner))
            return
        tokens = request.prompt_tokens if choice.candidate.needs_grant else 0
        asked_at = self._now
        deadline = self._now + self._longest_wait_s(request)
        self._after(
            network_s,
            partial(self._acquire, request, runner, tokens, asked_at, deadline),
        )

    def _reach(self, request: ModelRequest, runner: _ModelRunner) -> None:
        """Run at the runner; one that lacks the adapter sends the request back."""
        if runner.is_lost or not runner.queue.is_present(request.adapter, 0):
            self._after(self._scenario.network_s, partial(self._place, request))
            return
        runner.queue.slots.record_demand(request.adapter, self._now)
        self._run(request, runner)

    def _acquire(
        self,
        request: ModelRequest,
        runner: _ModelRunner,
        tokens: int,
        asked_at: float,
        deadline: float,
    ) -> None:
        runner.queue.slots.record_demand(request.adapter, self._now)
        target = request.arrived_at + request.kind.target_s
        waiter = _Waiter(
            str(request.number),
            request.adapter,
            0,
            SlotWait(request.kind.priority, target, deadline),
            tokens,
            asked_at,
            account=request.kind.account,
            request=request,
        )
        if not runner.is_lost:
            self._displace(runner, waiter)
        if runner.is_lost or not runner.queue.add(waiter, self._now):
            request.excluded.add(runner.id)
            self._after(self._scenario.network_s, partial(self._place, request))
            return
        self._at(deadline, partial(self._expire, runner, waiter))
        self._serve(runner)

    def _displace(self, runner: _ModelRunner, waiter: _Waiter) -> None:
        """Send the request that makes way for a new one to another runner."""
        displaced = runner.queue.make_room(waiter, self._now)
        if displaced is not None and displaced.request is not None:
            displaced.request.excluded.add(runner.id)
            self._after(
                self._scenario.network_s, partial(self._place, displaced.request)
            )

    def _expire(self, runner: _ModelRunner, waiter: _Waiter) -> None:
        """End a wait in vain and try another runner."""
        if waiter not in runner.queue.waiters or waiter.request is None:
            return
        runner.queue.remove(waiter)
        request = waiter.request
        request.waited_s += self._now - waiter.asked_at
        request.excluded.add(runner.id)
        self._publish(runner)
        self._place(request)

    def _serve(self, runner: _ModelRunner) -> None:
        """Take the steps that the owner of a runner takes after a change."""
        queue = runner.queue
        queue.reserve_for_prompts(self._now)
        self._complete_ready(runner)
        for waiter in queue.by_rank(self._now):
            plan = queue.slots.plan(waiter.adapter, 0, self._now)
            if plan.step is Step.EVICT:
                del queue.slots.held[plan.victim]
                plan = queue.slots.plan(waiter.adapter, 0, self._now)
            if plan.step is Step.LOAD:
                self._load(runner, waiter.adapter)
                queue.record_slot(waiter, self._now)
        lapse_at = queue.prefills.next_lapse_at()
        if lapse_at is not None and queue.waiters:
            self._at(lapse_at, partial(self._serve, runner))
        self._publish(runner)

    def _complete_ready(self, runner: _ModelRunner) -> None:
        for waiter in runner.queue.take_ready(self._now):
            if waiter.request is not None:
                waiter.request.waited_s += self._now - waiter.asked_at
                request = waiter.request
                self._after(
                    2 * self._scenario.network_s, partial(self._run, request, runner)
                )

    def _load(self, runner: _ModelRunner, adapter: str) -> None:
        scenario = self._scenario
        took_s = scenario.reload_s
        is_reload = runner.recent.contains(1, adapter)
        if not is_reload:
            self._store_loads += 1
            self._loads_in_flight += 1
            busy = self._loads_in_flight / scenario.loads_at_full_speed
            took_s = scenario.load_s * max(1.0, busy)
        runner.queue.slots.loading[adapter] = 0
        self._after(took_s, partial(self._loaded, runner, adapter, is_reload))

    def _loaded(self, runner: _ModelRunner, adapter: str, is_reload: bool) -> None:
        if not is_reload:
            self._loads_in_flight -= 1
        if adapter not in runner.queue.slots.loading:
            return
        del runner.queue.slots.loading[adapter]
        runner.queue.slots.held[adapter] = 1
        runner.recent.record(1, runner.queue.slots.held)
        self._serve(runner)

    def _run(self, request: ModelRequest, runner: _ModelRunner) -> None:
        """Start a request at its engine."""
        if runner.is_lost:
            request.outcome = "lost"
            return
        stream = ModelStream(
            str(request.number), request.prompt_tokens, request.output_tokens, self._now
        )
        request.stream = stream
        runner.requests[stream.id] = request
        runner.unread[stream.id] = request.prompt_tokens
        runner.uses[request.adapter] += 1
        kind = request.kind
        if kind.account:
            runner.queue.usage.record(
                kind.priority, kind.account, request.prompt_tokens, self._now
            )
        runner.queue.slots.record_use(
            "vm", request.adapter, runner.uses[request.adapter], self._now
        )
        runner.engine.add(stream)
        self._publish(runner)
        if not runner.is_stepping:
            runner.engine.now = self._now
            self._step(runner)

    def _step(self, runner: _ModelRunner) -> None:
        runner.is_stepping = not runner.engine.is_idle
        if not runner.is_stepping:
            return
        sent = runner.engine.step()
        self._at(runner.engine.now, partial(self._end_step, runner, sent))

    def _end_step(self, runner: _ModelRunner, sent: list[ModelStream]) -> None:
        if runner.is_lost:
            return
        for stream in sent:
            if stream.id in runner.unread:
                del runner.unread[stream.id]
                took_s = self._now - stream.sent_at
                self._after(
                    2 * self._scenario.network_s,
                    partial(self._end_prefill, runner, stream.id, took_s),
                )
            if stream.is_done:
                self._finish(runner, stream)
        self._step(runner)

    def _end_prefill(
        self, runner: _ModelRunner, request_id: str, took_s: float
    ) -> None:
        if runner.queue.prefills.end(request_id, took_s):
            self._serve(runner)

    def _finish(self, runner: _ModelRunner, stream: ModelStream) -> None:
        request = runner.requests.pop(stream.id)
        request.outcome = "served"
        self._after(
            2 * self._scenario.network_s, partial(self._end_use, runner, request)
        )

    def _end_use(self, runner: _ModelRunner, request: ModelRequest) -> None:
        runner.uses[request.adapter] -= 1
        runner.queue.slots.record_use(
            "vm", request.adapter, runner.uses[request.adapter], self._now
        )
        self._serve(runner)

    def _publish(self, runner: _ModelRunner) -> None:
        """Send the VMs a notice of a runner's state, batched with later changes."""
        if runner.has_news:
            return
        runner.has_news = True
        self._after(self._scenario.news_s, partial(self._deliver, runner))

    def _deliver(self, runner: _ModelRunner) -> None:
        runner.has_news = False
        queue = runner.queue
        runner.seen = _Notice(
            frozenset(queue.slots.held),
            queue.slots.idle_count(self._now),
            len(queue.adapters_without_slot()),
            queue.slot_waits.mean_s,
            len(runner.requests),
            sum(runner.unread.values()),
            queue.prefill_load(self._now),
            queue.usage.shares(self._now),
            self._now,
        )

    def _lose(self, number: int) -> None:
        """Lose a runner: what runs there is lost, what waits is placed again."""
        runner = self._runners[number]
        runner.is_lost = True
        for request in runner.requests.values():
            request.outcome = "lost"
        runner.requests.clear()
        for waiter in runner.queue.clear():
            if waiter.request is not None:
                request = waiter.request
                self._after(LOST_PAUSE_S, partial(self._place, request))

    def _return(self, number: int) -> None:
        """Bring a lost runner back, empty."""
        fresh = self._make_runner(number)
        self._runners[number] = fresh
        self._by_id[fresh.id] = fresh
        self._publish(fresh)
