"""Owner of one model runner: loads and evicts adapters on request."""

from __future__ import annotations

from collections.abc import Callable

from eventlet.event import Event
from eventlet.timeout import Timeout
from result import Err, Ok, Result

from gooseberryrun._internal.state.serving import (
    Runner,
    Step,
    adapter_key,
    is_base_model,
    is_undeclared,
)
from gooseberryrun._internal.state.serving.placement import WeightDecision

from .._events import log_event
from .._serving_messages import AcquireRequest, ResidencyNotice
from .._tasks import spawn_until_done
from ._adapter_orders import CHECK_INTERVAL_S, AdapterOrders
from ._context import Context
from ._control_port import OrderOp, RunnerReport
from ._orders import RunnerOrders
from ._runner_speeds import RunnerSpeeds
from ._waiting_requests import Refusal, WaitingRequest, WaitingRequests

IDLE_CHECK_S = 2.0
"""Pause of an idle owner."""
REPORT_RETRY_S = 0.1
"""Pause before another attempt to read a runner's report."""
LEASE_CHECK_S = 0.2
"""Pause of an owner without a valid lease."""
USE_REPORT_WAIT_S = 0.08
"""Time for peers to report their uses to a new owner before it evicts adapters."""


class RunnerOwner:
    """Task that sends all orders to one incarnation of a runner.

    A waiter completes once its adapter is ready. Orders are sent one after another, and
    each is guarded by the lease, the incarnation and the expected order count.
    """

    def __init__(
        self,
        ctx: Context,
        runner: Runner,
        max_adapters: int,
        on_change: Callable[[], None],
        speeds: RunnerSpeeds,
    ) -> None:
        self._ctx = ctx
        self._speeds = speeds
        self._weighing = WeightDecision(runner.born_ms)
        self._runner = runner
        self._on_change = on_change
        self._waiting = WaitingRequests(ctx, runner, max_adapters, on_change, self.wake)
        self._queue = self._waiting.queue
        self._slots = self._queue.slots
        self._orders = RunnerOrders(ctx, runner)
        self._adapter_orders = AdapterOrders(
            ctx, self._orders, self._slots, self._handle_loaded, on_change
        )
        self._evictions_allowed_at = float("inf")
        self._models: set[str] = set()
        self._kv_total = 0
        self._wake: Event = Event()
        self._is_closed = False
        self._model_ordered_at = float("-inf")

    @property
    def runner(self) -> Runner:
        """Return the runner as registered when its ownership began."""
        return self._runner

    def start(self) -> None:
        """Start the task in a green thread."""
        spawn_until_done("runner_owner", self._run)

    def close(self) -> None:
        """Stop the task and refuse all waiters."""
        self._is_closed = True
        self._waiting.refuse_all("owner_left")
        self.wake()

    def wake(self) -> None:
        """Wake the task to process a change."""
        if not self._wake.ready():
            self._wake.send(None)

    def record_use(
        self, vm: str, adapter: str, count: int, step_s: float = 0.0
    ) -> None:
        """Record how many requests of a VM use an adapter.

        ``step_s`` is the step time of a stream that has just ended, if not 0.
        """
        now = self._ctx.clock.monotonic()
        self._slots.record_use(vm, adapter, count, now)
        if step_s:
            self._queue.prefills.speed.record_stream(step_s, now)
            self._weigh()
        if not count and self._queue.waiters:
            self.wake()

    def end_prefill(self, request_id: str, took_s: float) -> None:
        """Take back the grant of a prompt, or withdraw its request for one."""
        self._waiting.end_prefill(request_id, took_s)
        self._weigh()

    def _weigh(self) -> None:
        """Publish another weight of the runner if its speed has changed."""
        if self._orders.fencing_token() is None:
            return
        estimate = self._queue.prefills.speed.estimate
        if self._speeds.weigh(self._runner, estimate, self._weighing):
            self._on_change()

    def residency(self) -> ResidencyNotice | None:
        """Return the adapters that the runner holds; None while they are not known."""
        token = self._orders.fencing_token()
        if not self._orders.is_seq_known or token is None:
            return None
        runner = self._runner
        held = {
            adapter: version
            for adapter, version in self._slots.held.items()
            if adapter not in self._slots.unloading
        }
        now = self._ctx.clock.monotonic()
        return ResidencyNotice(
            runner.id,
            runner.born_ms,
            token,
            held,
            self._slots.idle_count(now),
            len(self._queue.adapters_without_slot()),
            round(self._queue.slot_waits.mean_s, 3),
            self._queue.prefill_load(now),
            is_undeclared(runner.software_version),
            self._kv_total,
            self._speeds.published(runner),
        )

    def acquire(self, request: AcquireRequest, deadline: float) -> Result[int, Refusal]:
        """Wait until the adapter is ready; return its version."""
        adapter = request.adapter
        version = request.version
        now = self._ctx.clock.monotonic()
        if self._waiting.is_withdrawn(request.request_id, now):
            return Err(Refusal("withdrawn", 0.0))
        self._slots.record_demand(adapter, now)
        if self._orders.fencing_token() is None:
            boottime = self._ctx.clock.boottime()
            ownership = self._ctx.ownership_for(self._runner)
            wait_s = ownership.orders_allowed_in_s(self._runner, boottime)
            return Err(Refusal("no_lease", wait_s))
        if request.is_missing and adapter in self._slots.held:
            log_event("belief_doubted", runner=self._runner.id, adapter=adapter)
            self._queue.suspected.add(adapter)
        if not request.prefill_tokens and self._queue.is_present(adapter, version):
            self._queue.reserve(adapter, now)
            return Ok(self._slots.held.get(adapter, 0))
        return self._waiting.wait(request, deadline)

    def _handle_loaded(self) -> None:
        self._waiting.complete_ready()
        self._on_change()

    def _run(self) -> None:
        while not self._is_closed:
            token = self._orders.fencing_token()
            if token is None:
                self._waiting.refuse_all("no_lease")
                self._orders.clear_seq()
                self._sleep(LEASE_CHECK_S)
                continue
            if not self._orders.is_seq_known and not self._read_report():
                self._sleep(REPORT_RETRY_S)
                continue
            self._order_missing_model(token)
            self._adapter_orders.check_loads(token)
            self._adapter_orders.replace_old_versions(token)
            self._serve_waiters(token)
            self._sleep(self._pause_s())

    def _pause_s(self) -> float:
        """Return the time to sleep until the next step, unless woken."""
        if not self._orders.is_seq_known:
            return REPORT_RETRY_S
        now = self._ctx.clock.monotonic()
        if self._queue.waiters and now < self._evictions_allowed_at:
            return self._evictions_allowed_at - now
        lapse_at = self._queue.prefills.next_lapse_at() if self._queue.waiters else None
        times = (self._adapter_orders.next_check_at(), lapse_at)
        due = [at for at in times if at is not None]
        if not due:
            return CHECK_INTERVAL_S if self._orders.has_unanswered else IDLE_CHECK_S
        return max(0.001, min(due) - now)

    def _sleep(self, seconds: float) -> None:
        """Sleep for the given time or until woken."""
        with Timeout(seconds, False):
            self._wake.wait()
        if self._wake.ready():
            self._wake = Event()

    def _serve_waiters(self, token: int) -> None:
        """Complete the waiters whose adapter is loaded; order loads for the others."""
        now = self._ctx.clock.monotonic()
        self._queue.reserve_for_prompts(now)
        self._waiting.complete_ready()
        for waiter in self._queue.by_rank(now):
            if waiter in self._queue.waiters:
                self._serve_waiter(waiter, token, now)
        self._waiting.complete_ready()

    def _serve_waiter(self, waiter: WaitingRequest, token: int, now: float) -> None:
        """Take the next steps towards a waiter's adapter."""
        if is_base_model(waiter.adapter):
            return
        if waiter.adapter in self._queue.suspected:
            self._reload_suspected(waiter.adapter, token)
        plan = self._slots.plan(waiter.adapter, waiter.version, now)
        if plan.step is Step.EVICT:
            if now < self._evictions_allowed_at:
                return
            if not self._adapter_orders.unload(plan.victim, token):
                return
            plan = self._slots.plan(waiter.adapter, waiter.version, now)
        if plan.step is Step.LOAD:
            self._adapter_orders.load(waiter.adapter, waiter.version, token)
            self._queue.record_slot(waiter, now)

    def _reload_suspected(self, adapter: str, token: int) -> None:
        """Reload an adapter that the runner reported missing; its slot stays taken."""
        self._queue.suspected.discard(adapter)
        if adapter not in self._slots.held:
            return
        version = self._slots.held[adapter]
        self._adapter_orders.load(adapter, version, token)
        if adapter in self._slots.loading:
            self._slots.held.pop(adapter, None)
            self._on_change()

    def _order_missing_model(self, token: int) -> None:
        """Order a runner without a model to load the model of its service."""
        now = self._ctx.clock.monotonic()
        table = self._ctx.directory.table
        if self._models or table is None or now - self._model_ordered_at < 8.0:
            return
        service = table.services.get(self._runner.service)
        if service is None or service.engine is None or not service.engine.models:
            return
        self._model_ordered_at = now
        self._orders.send_order(
            OrderOp.LOAD, service.engine.models[0].name + "/", 0, token
        )

    def _read_report(self) -> bool:
        """Read the report once it is recent enough to reflect every order sent."""
        read = self._orders.read_report()
        if read is None:
            return False
        if isinstance(read, Err):
            self._waiting.refuse_all("runner_down")
            return False
        self._apply_report(read.ok_value)
        return True

    def _apply_report(self, report: RunnerReport) -> None:
        """Replace the assumed state by the reported one."""
        self._models = {model.name for model in report.models}
        held = {
            adapter_key(model.name, name): version
            for model in report.models
            for name, version in model.adapters.items()
        }
        now = self._ctx.clock.monotonic()
        self._evictions_allowed_at = min(
            self._evictions_allowed_at, now + USE_REPORT_WAIT_S
        )
        changed = (held, report.kv_total) != (self._slots.held, self._kv_total)
        self._kv_total = report.kv_total
        self._slots.held = held
        self._adapter_orders.adopt(dict(report.loading))
        if changed:
            self._on_change()
