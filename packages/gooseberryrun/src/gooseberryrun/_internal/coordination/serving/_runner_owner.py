"""Owner of one model runner: loads and drops adapters on request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from eventlet.event import Event
from eventlet.timeout import Timeout
from result import Err, Ok, Result

from gooseberryrun._internal.state.serving import (
    LOAD_S,
    RELOAD_S,
    AdapterPlaces,
    PlaceTurns,
    Runner,
    Step,
    Wait,
)

from .._events import log_event
from .._serving_messages import AcquireRequest, ResidencyNotice
from .._tasks import spawn_until_done
from ._context import Context
from ._orders import RunnerOrders
from ._ports import OrderOp, OrderOutcome, RunnerReport

CHECK_INTERVAL_S = 0.03
"""Pause between checks of an adapter that is overdue."""
IDLE_CHECK_S = 2.0
"""Pause of an owner with nothing to do."""
UNREAD_PAUSE_S = 0.1
"""Pause before a report is read again that failed or was too old."""
ARRIVAL_TIMEOUT_S = 5.0
"""Time after which an adapter that did not arrive is taken as lost."""
LEASE_CHECK_S = 0.2
"""Pause of an owner that may not give orders."""
PROMISE_S = 0.15
"""Time for a request to reach its adapter after it was told that it is there."""
LEAVING_S = 3.0
"""Time for which an adapter that was ordered out is not ordered out again."""
USES_TOLD_S = 0.08
"""Time in which a new owner is told what is in use, before it drops adapters."""
MAX_WAITING = 12
"""Requests that wait for places of one runner."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Why an adapter will not be ready, and when to come back."""

    reason: str
    retry_in_s: float


@dataclass(slots=True)
class _Waiter:
    adapter: str
    version: int
    wait: Wait
    answered: Event = field(default_factory=Event)


@dataclass(slots=True)
class _Arrival:
    """Adapter on its way: when it was ordered and when to look for it next."""

    ordered_at: float
    check_at: float


def adapter_key(model: str, adapter: str) -> str:
    """Return the key of an adapter among all models."""
    return f"{model}/{adapter}"


class RunnerOwner:
    """Task that gives all orders to one incarnation of a runner.

    A waiter is answered once its adapter is ready; orders are given one after another
    and each is guarded by the lease, the incarnation and the expected order count.
    """

    def __init__(
        self,
        ctx: Context,
        runner: Runner,
        max_adapters: int,
        on_change: Callable[[], None],
    ) -> None:
        self._ctx = ctx
        self._runner = runner
        self._on_change = on_change
        self._places = AdapterPlaces(max_adapters)
        self._waiters: list[_Waiter] = []
        self._arrivals: dict[str, _Arrival] = {}
        self._orders = RunnerOrders(ctx, runner)
        self._turns = PlaceTurns()
        self._evicts_from = float("inf")
        self._doubted: set[str] = set()
        self._models: set[str] = set()
        self._wake: Event = Event()
        self._is_closed = False
        self._model_ordered_at = float("-inf")

    @property
    def runner(self) -> Runner:
        """Return the runner, as it was when the ownership began."""
        return self._runner

    def start(self) -> None:
        """Run in a green thread of its own."""
        spawn_until_done("runner_owner", self._run)

    def close(self) -> None:
        """Stop; waiters are refused."""
        self._is_closed = True
        self._refuse_all("owner_left")
        self.wake()

    def wake(self) -> None:
        """Let the task look at what has changed."""
        if not self._wake.ready():
            self._wake.send(None)

    def note_use(self, vm: str, adapter: str, count: int) -> None:
        """Note how many requests of a VM are on an adapter."""
        self._places.note_use(vm, adapter, count, self._ctx.clock.monotonic())
        if not count and self._waiters:
            self.wake()

    def residency(self) -> ResidencyNotice | None:
        """Return what the runner holds; None while that is not known."""
        token = self._orders.fencing_token()
        if not self._orders.is_count_known or token is None:
            return None
        runner = self._runner
        held = {
            adapter: version
            for adapter, version in self._places.held.items()
            if adapter not in self._places.leaving
        }
        now = self._ctx.clock.monotonic()
        return ResidencyNotice(
            runner.id,
            runner.born_ms,
            token,
            held,
            self._places.idle_count(now),
            len(self._waiters),
            round(self._turns.mean_s, 3),
        )

    def acquire(
        self, question: AcquireRequest, deadline: float
    ) -> Result[int, Refused]:
        """Wait until the adapter is ready; return its version."""
        adapter = question.adapter
        version = question.version
        now = self._ctx.clock.monotonic()
        self._places.note_demand(adapter, now)
        if self._orders.fencing_token() is None:
            boottime = self._ctx.clock.boottime()
            rights = self._ctx.rights_to(self._runner)
            wait_s = rights.orders_in_s(self._runner, boottime)
            return Err(Refused("no_lease", wait_s))
        if question.is_missing and adapter in self._places.held:
            log_event("belief_doubted", runner=self._runner.id, adapter=adapter)
            self._doubted.add(adapter)
        is_held = self._places.held.get(adapter, -1) >= version
        if is_held and adapter not in self._doubted:
            self._places.promise(adapter, now + PROMISE_S)
            return Ok(self._places.held[adapter])
        if len(self._waiters) >= MAX_WAITING:
            return Err(Refused("many_waiting", 1.0))
        wait = Wait(question.priority, now + question.target_s, deadline)
        waiter = _Waiter(adapter, version, wait)
        self._waiters.append(waiter)
        self._turns.note_waiting(now)
        self._on_change()
        self.wake()
        try:
            with Timeout(max(0.001, deadline - now), False):
                answer: Result[int, Refused] = waiter.answered.wait()
                return answer
        finally:
            if waiter in self._waiters:
                self._drop_waiter(waiter)
            self._on_change()
        return Err(Refused("too_late", 0.5))

    def _drop_waiter(self, waiter: _Waiter) -> None:
        self._waiters.remove(waiter)
        if not self._waiters:
            self._turns.note_idle()

    # The task.

    def _run(self) -> None:
        while not self._is_closed:
            token = self._orders.fencing_token()
            if token is None:
                self._refuse_all("no_lease")
                self._orders.forget_count()
                self._sleep(LEASE_CHECK_S)
                continue
            if not self._orders.is_count_known and not self._read_report():
                self._sleep(UNREAD_PAUSE_S)
                continue
            self._order_missing_model(token)
            self._check_arrivals(token)
            self._replace_old_versions(token)
            self._serve_waiters(token)
            self._sleep(self._pause_s())

    def _pause_s(self) -> float:
        """Return the time until there is something to do, unless woken."""
        if not self._orders.is_count_known:
            return UNREAD_PAUSE_S
        now = self._ctx.clock.monotonic()
        if self._waiters and now < self._evicts_from:
            return self._evicts_from - now
        if not self._arrivals:
            return CHECK_INTERVAL_S if self._orders.is_unanswered else IDLE_CHECK_S
        check_at = min(arrival.check_at for arrival in self._arrivals.values())
        return max(0.001, check_at - now)

    def _check_arrivals(self, token: int) -> None:
        """Look for adapters that should be there: the report lags, so repeat the order.

        A repeat is answered "holds" once the adapter is there and changes nothing
        while it is on its way.
        """
        now = self._ctx.clock.monotonic()
        self._places.forget_leaving(now)
        for adapter, arrival in list(self._arrivals.items()):
            if now < arrival.check_at:
                continue
            if now - arrival.ordered_at > ARRIVAL_TIMEOUT_S:
                self._orders.lose_count()
                del self._arrivals[adapter]
                continue
            self._check_arrival(adapter, arrival, token)

    def _check_arrival(self, adapter: str, arrival: _Arrival, token: int) -> None:
        version = self._places.coming.get(adapter, 0)
        outcome = self._orders.repeat_load(adapter, version, token)
        if outcome is OrderOutcome.HOLDS:
            self._arrived(adapter, version)
        elif outcome is OrderOutcome.ACCEPTED:
            store_at = arrival.ordered_at + LOAD_S
            now = self._ctx.clock.monotonic()
            arrival.check_at = max(store_at, now + CHECK_INTERVAL_S)

    def _arrived(self, adapter: str, version: int) -> None:
        """Note that an adapter is there, and answer those who wait for it."""
        self._arrivals.pop(adapter, None)
        self._places.coming.pop(adapter, None)
        self._places.held[adapter] = max(1, version, self._places.held.get(adapter, 0))
        for waiter in list(self._waiters):
            if waiter.adapter == adapter and version >= waiter.version:
                self._answer(waiter)
        self._on_change()

    def _sleep(self, seconds: float) -> None:
        """Sleep until the time is over or something has changed."""
        with Timeout(seconds, False):
            self._wake.wait()
        if self._wake.ready():
            self._wake = Event()

    def _refuse_all(self, reason: str) -> None:
        waiters, self._waiters = self._waiters, []
        self._turns.note_idle()
        for waiter in waiters:
            waiter.answered.send(Err(Refused(reason, 0.5)))

    def _serve_waiters(self, token: int) -> None:
        """Answer those whose adapter is there and order for the others, in turn."""
        now = self._ctx.clock.monotonic()
        for waiter in sorted(self._waiters, key=lambda w: w.wait.rank(now)):
            if waiter not in self._waiters:
                continue
            if waiter.adapter in self._doubted:
                self._verify(waiter.adapter, token)
            plan = self._places.plan(waiter.adapter, waiter.version, now)
            if plan.step is Step.EVICT and now < self._evicts_from:
                continue
            if plan.step is Step.EVICT:
                if not self._unload(plan.victim, token):
                    continue
                plan = self._places.plan(waiter.adapter, waiter.version, now)
            if plan.step is Step.LOAD:
                self._load(waiter.adapter, waiter.version, token)
                self._turns.note_taken(now)
                plan = self._places.plan(waiter.adapter, waiter.version, now)
            if plan.step is Step.PRESENT:
                self._answer(waiter)

    def _verify(self, adapter: str, token: int) -> None:
        """Order an adapter again that a runner says it lacks; its place stays taken."""
        self._doubted.discard(adapter)
        if adapter not in self._places.held:
            return
        version = self._places.held[adapter]
        self._load(adapter, version, token)
        if adapter in self._places.coming:
            self._places.held.pop(adapter, None)
            self._on_change()

    def _answer(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._drop_waiter(waiter)
            now = self._ctx.clock.monotonic()
            self._places.promise(waiter.adapter, now + PROMISE_S)
            waiter.answered.send(Ok(self._places.held[waiter.adapter]))

    # Orders.

    def _load(self, adapter: str, version: int, token: int) -> None:
        outcome = self._orders.give(OrderOp.LOAD, adapter, version, token)
        if outcome is OrderOutcome.HOLDS:
            self._arrived(adapter, version)
        elif outcome is OrderOutcome.ACCEPTED:
            now = self._ctx.clock.monotonic()
            self._places.coming[adapter] = version
            self._arrivals[adapter] = _Arrival(now, now + RELOAD_S)

    def _unload(self, adapter: str, token: int) -> bool:
        """Drop an adapter; return whether its place is free."""
        outcome = self._orders.give(OrderOp.UNLOAD, adapter, 0, token)
        if outcome is OrderOutcome.HOLDS:
            self._places.held.pop(adapter, None)
            self._on_change()
            return True
        if outcome is OrderOutcome.ACCEPTED:
            now = self._ctx.clock.monotonic()
            self._places.leaving[adapter] = now + LEAVING_S
            self._on_change()
        return False

    def _order_missing_model(self, token: int) -> None:
        """Have an empty runner load the model of its service."""
        now = self._ctx.clock.monotonic()
        table = self._ctx.directory.table
        if self._models or table is None or now - self._model_ordered_at < 8.0:
            return
        service = table.services.get(self._runner.service)
        if service is None or service.engine is None or not service.engine.models:
            return
        self._model_ordered_at = now
        self._orders.give(OrderOp.LOAD, service.engine.models[0].name + "/", 0, token)

    def _replace_old_versions(self, token: int) -> None:
        """Load declared versions over older ones, the most wanted adapter first."""
        now = self._ctx.clock.monotonic()
        old = []
        for adapter, version in self._places.held.items():
            model, _, name = adapter.partition("/")
            newest = self._ctx.directory.version_of(model, name)
            if newest > version and adapter not in self._places.coming:
                old.append((-self._places.demand(adapter, now), adapter, newest))
        for _, adapter, newest in sorted(old):
            self._load(adapter, newest, token)

    # The report.

    def _read_report(self) -> bool:
        """Read the report, once it is new enough to tell of every order given."""
        read = self._orders.read_report()
        if read is None:
            return False
        if isinstance(read, Err):
            self._refuse_all("runner_down")
            return False
        self._take_report(read.ok_value)
        return True

    def _take_report(self, report: RunnerReport) -> None:
        """Correct beliefs."""
        self._models = {model.name for model in report.models}
        held = {
            adapter_key(model.name, name): version
            for model in report.models
            for name, version in model.adapters.items()
        }
        coming = dict(report.coming)
        now = self._ctx.clock.monotonic()
        self._evicts_from = min(self._evicts_from, now + USES_TOLD_S)
        fresh = _Arrival(now, now)
        self._arrivals = {key: self._arrivals.get(key, fresh) for key in coming}
        changed = held != self._places.held
        self._places.held = held
        self._places.coming = coming
        if changed:
            self._on_change()
