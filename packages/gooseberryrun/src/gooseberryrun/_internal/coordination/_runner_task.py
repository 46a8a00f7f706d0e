"""Task of one owned runner: its queue, its grants and the orders to its engine."""

from __future__ import annotations

import uuid
from collections.abc import Callable

import eventlet
import msgspec
from result import Err

from gooseberryrun._internal.state import (
    Clock,
    FencingNumber,
    PrefixCacheView,
    Settings,
    Vm,
)

from ._engine_orders import EngineOrders
from ._errors import EngineFault
from ._events import log_event
from ._leases import Leases
from ._membership import Membership
from ._messages import (
    GrantAnswer,
    GrantUse,
    Handover,
    OwnerNotice,
    UseReport,
)
from ._metrics import GRANT_WAIT, LOAD_STALL
from ._placement import DEFAULT_BATCH
from ._policy import make_policy
from ._ports import Engines
from ._queues import Waiting
from ._runner_messages import (
    Ask,
    CacheRead,
    End,
    EndVm,
    OrderDone,
    PermitTaken,
    ReportTaken,
    Resign,
    TaskMessage,
    Tick,
    to_grant,
    to_use,
    to_waiting,
)
from ._scheduler import Grant, LoadOrder, RunnerScheduler
from ._store_budget import StorePermits
from ._tasks import Task, spawn
from ._tracing import start_span

LOAD_RETRY_S = 0.5
"""Pause before a failed load of the same adapter is tried again."""
REPORT_AGE_S = 2.0
"""Age of a report above which an engine is asked again before it gets new work."""
REPORT_RETRY_S = 0.1
"""Pause before an engine that gave no report is asked again."""
CACHE_READS = 3
"""Readings of the cache events after the last grant."""
DEFAULT_SLOTS = 4

DELIVERY_S = 5.0
"""Age at which a grant must have reached the VM that asked for it."""


class RunnerTask(Task[TaskMessage]):
    """Owner's side of one runner under one fencing number."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        runner: str,
        membership: Membership,
        leases: Leases,
        engines: Engines,
        permits: StorePermits,
        report_by: set[str],
        extend_use: Callable[[str, str], None],
    ) -> None:
        super().__init__(f"runner-{runner}")
        self._cfg = cfg
        self._clock = clock
        self.runner = runner
        self._membership = membership
        self._leases = leases
        self._engines = engines
        self._permits = permits
        self._unaccounted = set(report_by)
        self._extend_use = extend_use
        self._lapsed: dict[str, str] = {}
        self._cancelling = False
        self._active_since: float | None = None
        self._replies: dict[str, tuple[Ask, float]] = {}
        self._synced = False
        self._reporting = False
        self._awaiting_permit = False
        self._orders_done = 0
        self._prefixes = PrefixCacheView()
        self._cache_reads = 0
        self._unreported = float("-inf")
        self._resigned: OwnerNotice | None = None
        self._incarnation = ""
        self._reported_at = float("-inf")
        vm = membership.get(runner)
        self.book = RunnerScheduler(
            runner,
            (vm.slots if vm else 0) or DEFAULT_SLOTS,
            (vm.batch if vm else 0) or DEFAULT_BATCH,
            make_policy(cfg.policy),
            cfg.limits.queue_per_runner,
            cfg.policy.demand_half_life_s,
        )
        self._orders = EngineOrders(runner, leases, engines, self.book.pins)

    def handle(self, message: TaskMessage) -> None:
        """Handle one message, then grant and order what has become possible."""
        if isinstance(message, Ask):
            self._take_ask(message)
        elif isinstance(message, End):
            self._end(message)
        elif isinstance(message, EndVm):
            self._end_vm(message)
        elif isinstance(message, OrderDone):
            self._finish_order(message)
        else:
            self._handle_rare(message)
        self._advance()

    def _handle_rare(self, message: TaskMessage) -> None:
        if isinstance(message, PermitTaken):
            self._use_permit(message)
        elif isinstance(message, ReportTaken):
            self._take_report(message)
        elif isinstance(message, CacheRead):
            self._prefixes.apply_events(message.events)
        elif isinstance(message, UseReport):
            self._take_use_report(message)
        elif isinstance(message, Handover):
            self._adopt(message.uses)
            self._unaccounted.clear()
        elif isinstance(message, Resign):
            self._resign(message)
        elif isinstance(message, Tick):
            self._expire()
            self._cancel_lapsed()

    # Requests.

    def _take_ask(self, ask: Ask) -> None:
        request = ask.request
        if self._resigned is not None:
            self._answer_not_owner(ask)
            return
        vm = self._vm()
        if vm is None or self._membership.is_leaving(vm):
            self._refuse(ask, "leaving")
            return
        if request.request_id in self._replies:
            return
        if self.book.is_full():
            self._refuse(ask, "queue_full")
            return
        now = self._clock.monotonic()
        if now - self._reported_at > REPORT_AGE_S:
            self._synced = self._synced and self.book.is_busy_loading()
        waiting = to_waiting(request, now)
        if self._is_hopeless(waiting):
            self._refuse(ask, "overloaded")
            return
        self._replies[request.request_id] = (ask, now)
        self.book.enqueue(waiting)

    def _is_hopeless(self, waiting: Waiting) -> bool:
        """Tell whether quick work would only wait for its time to be over."""
        left_s = waiting.deadline - waiting.enqueued_at
        return (
            not waiting.is_patient()
            and self.book.expected_wait_s(waiting.model) > left_s
        )

    def _vm(self) -> Vm | None:
        return self._membership.get(self.runner)

    def _refuse(self, ask: Ask, reason: str) -> None:
        ask.reply(self._answer("refused", reason=reason))

    def _answer_not_owner(self, ask: Ask) -> None:
        ask.reply(self._answer("not_owner", owner=self._resigned))

    def _answer(
        self,
        verdict: str,
        reason: str = "",
        owner: OwnerNotice | None = None,
        grant: Grant | None = None,
        fencing: FencingNumber | None = None,
    ) -> GrantAnswer:
        return GrantAnswer(
            verdict=verdict,
            runner=self.runner,
            grant_id=grant.grant_id if grant else "",
            fencing=fencing or FencingNumber(),
            lease_s=self._cfg.lease.grant_s,
            reason=reason,
            queued=self.book.queued,
            running=self.book.running(),
            load_wait_s=grant.load_wait_s if grant else 0.0,
            incarnation=self._incarnation,
            owner=owner,
        )

    def _answer_granted(self, ask: Ask, grant: Grant, waited_s: float) -> GrantAnswer:
        self._cache_reads = CACHE_READS
        fencing = self._leases.owned().get(self.runner)
        return msgspec.structs.replace(
            self._answer("granted", grant=grant, fencing=fencing),
            waited_s=waited_s,
            cached=self._prefixes.is_cached(ask.request.prefix),
        )

    def _expire(self) -> None:
        for waiting in self.book.drop_expired(self._clock.monotonic()):
            ask, _ = self._replies.pop(waiting.request_id)
            self._refuse(ask, "queue_timeout")
        vm = self._vm()
        if vm is None or self._membership.is_leaving(vm):
            self._refuse_all("leaving")

    def _refuse_all(self, reason: str) -> None:
        for waiting in self.book.drop_all():
            ask, _ = self._replies.pop(waiting.request_id)
            self._refuse(ask, reason)

    def _end(self, message: End) -> None:
        for grant_id in message.grant_ids:
            self.book.release(grant_id)
        if message.not_resident and not self.book.is_busy_loading():
            log_event("book_stale", runner=self.runner)
            self._synced = False

    def _end_vm(self, message: EndVm) -> None:
        """Cancel at the engine what a silent VM left; the pins last until then."""
        for grant in self.book.grants.values():
            if (grant.vm, grant.boot) == (message.vm, message.boot):
                log_event(
                    "use_lease_lapsed", runner=self.runner, request=grant.request_id
                )
                self._lapsed[grant.grant_id] = grant.request_id
        self._cancel_lapsed()

    def _cancel_lapsed(self) -> None:
        engine = self._vm()
        if not self._lapsed or self._cancelling or engine is None:
            return
        self._cancelling = True
        lapsed, self._lapsed = self._lapsed, {}
        spawn("cancel", lambda: self._cancel_at(engine, lapsed))

    def _cancel_at(self, engine: Vm, lapsed: dict[str, str]) -> None:
        ended, left = [], {}
        for grant_id, request_id in lapsed.items():
            if self._engines.cancel(engine, request_id):
                ended.append(grant_id)
            else:
                left[grant_id] = request_id
        self._cancelling = False
        self._lapsed.update(left)
        self.post(End(ended))

    def _take_use_report(self, report: UseReport) -> None:
        """Adopt what a VM uses; end what it does not know and must have received."""
        self._adopt([use for use in report.uses if use.runner == self.runner])
        self._unaccounted.discard(report.vm)
        used = {use.grant_id for use in report.uses}
        before = self._clock.monotonic() - DELIVERY_S
        for grant in list(self.book.grants.values()):
            theirs = (grant.vm, grant.boot) == (report.vm, report.boot)
            if theirs and grant.grant_id not in used and grant.granted_at < before:
                log_event("grant_lost", runner=self.runner, request=grant.request_id)
                self.book.release(grant.grant_id)

    def _adopt(self, uses: list[GrantUse]) -> None:
        for use in uses:
            self.book.adopt(to_grant(use))

    def _resign(self, message: Resign) -> None:
        self._resigned = message.notice
        uses = [to_use(self.runner, grant) for grant in self.book.grants.values()]
        message.send(Handover(self.runner, uses))
        for waiting in self.book.drop_all():
            ask, _ = self._replies.pop(waiting.request_id)
            self._answer_not_owner(ask)

    # Decisions.

    def _advance(self) -> None:
        if self._resigned is not None or not self._leases.is_valid(self.runner):
            return
        if self._active_since is None:
            self._active_since = self._clock.monotonic()
        if not self._synced:
            if self._may_sync():
                self.request_report()
            return
        self._grant_all()
        self._order_next()

    def _may_sync(self) -> bool:
        """Tell whether to ask for a report: no order is out, no failure is fresh."""
        if self.book.is_busy_loading():
            return False
        return self._clock.monotonic() >= self._unreported + REPORT_RETRY_S

    def _grant_all(self) -> None:
        now = self._clock.monotonic()
        while True:
            grant = self.book.next_grant(uuid.uuid4().hex, now)
            if grant is None:
                return
            ask, asked_at = self._replies.pop(grant.request_id)
            GRANT_WAIT.observe(now - asked_at)
            LOAD_STALL.observe(grant.load_wait_s)
            with start_span("owner.decide", ask.request.traceparent) as span:
                span.set_attribute("runner", self.runner)
                span.set_attribute("queue_wait_s", now - asked_at)
                span.set_attribute("load_wait_s", grant.load_wait_s)
            self._extend_use(grant.vm, grant.boot)
            ask.reply(self._answer_granted(ask, grant, now - asked_at))

    def _order_next(self) -> None:
        """Ask for a permit as soon as a load is possible.

        Which adapter it is for is decided when the permit comes, so that a permit which
        patient work waited for serves quick work that has come meanwhile.
        """
        if self._awaiting_permit or self._next_order() is None:
            return
        self._awaiting_permit = True
        spawn("permit", self._take_permit)

    def _next_order(self) -> LoadOrder | None:
        return self.book.next_order(self._clock.monotonic(), self._may_evict())

    def _take_permit(self) -> None:
        """Wait for a permit; runs outside the task."""
        deadline = self._clock.monotonic() + self._cfg.policy.load_timeout_s
        granted = False
        try:
            granted = self._permits.acquire(
                self.runner, eventlet.sleep, deadline, self.book.has_quick_waiting
            )
        finally:
            self.post(PermitTaken(granted))

    def _use_permit(self, permit: PermitTaken) -> None:
        """Order the load that is worth most now, or give the permit back."""
        self._awaiting_permit = False
        if not permit.granted:
            return
        usable = self._resigned is None and self._leases.is_valid(self.runner)
        order = self._next_order() if usable and self._synced else None
        fencing = self._leases.owned().get(self.runner)
        engine = self._vm()
        if order is None or fencing is None or engine is None:
            spawn("permit-end", lambda: self._permits.release(self.runner))
            return
        self.book.start_order(order)
        parent = self._find_traceparent(order.model)
        spawn("order", lambda: self._carry_out(engine, order, fencing, parent))

    def _find_traceparent(self, model: str) -> str:
        """Return the trace context of the request that has waited longest."""
        oldest = self.book.queue_of(model).oldest()
        if oldest is None or oldest.request_id not in self._replies:
            return ""
        return self._replies[oldest.request_id][0].request.traceparent

    def _may_evict(self) -> bool:
        """Tell whether every use of the runner is known here."""
        if not self._unaccounted:
            return True
        self._unaccounted &= set(self._membership.entry_vms())
        if self._active_since is None:
            return False
        # Grants of the previous owner end at the latest one grant lease after its
        # own lease lapsed, which was before this one came into force.
        hold_s = self._cfg.lease.grant_s + self._cfg.lease.margin_s
        return self._reported_at >= self._active_since + hold_s

    def _carry_out(
        self, engine: Vm, order: LoadOrder, fencing: FencingNumber, traceparent: str
    ) -> None:
        """Carry out an order and give its permit back; runs outside the task."""
        done = OrderDone(order, None, None)
        try:
            done = self._orders.carry_out(engine, order, fencing, traceparent)
        finally:
            self._permits.release(self.runner)
            self.post(done)

    def _finish_order(self, done: OrderDone) -> None:
        now = self._clock.monotonic()
        if done.order.victim is not None:
            self.book.finish_evict(done.evicted is True, now)
        self.book.finish_load(done.loaded is True, now, LOAD_RETRY_S)
        # The engine may have restarted meanwhile: what is resident, and under which
        # incarnation, is known from the next report only.
        self._orders_done += 1
        self._synced = False

    # Reports.

    def request_report(self) -> None:
        """Fetch the engine's report outside the task."""
        engine = self._vm()
        if engine is None or self._reporting:
            return
        self._reporting = True
        spawn("report", lambda: self._fetch_report(engine, self._orders_done))

    def is_idle(self) -> bool:
        """Tell whether the runner has no work and its report may be older."""
        return self._synced and not self.book.queued and not self.book.running()

    def request_cache_events(self) -> None:
        """Read the engine's cache events, which come late, while it has work."""
        engine = self._vm()
        if engine is None or not self._cache_reads:
            return
        self._cache_reads -= 1
        spawn("cache-events", lambda: self._fetch_cache_events(engine))

    def _fetch_cache_events(self, engine: Vm) -> None:
        events = self._engines.cache_events(engine, self._prefixes.seq)
        if not isinstance(events, Err):
            self.post(CacheRead(events.ok_value))

    def _fetch_report(self, engine: Vm, orders_done: int) -> None:
        self.post(ReportTaken(orders_done, self._engines.report(engine)))

    def _take_report(self, message: ReportTaken) -> None:
        self._reporting = False
        report = message.report
        if isinstance(report, Err):
            self._unreported = self._clock.monotonic()
            if report.err_value.fault is EngineFault.NOT_SENT:
                self._synced = False
            return
        self._membership.take_engine_word(self.runner, report.ok_value.leaving)
        if self.book.is_busy_loading() or message.orders_done != self._orders_done:
            return
        if report.ok_value.incarnation != self._incarnation:
            self._incarnation = report.ok_value.incarnation
            self._prefixes.reset_view()
            log_event("runner_incarnation", runner=self.runner, id=self._incarnation)
        self.book.sync_resident(report.ok_value.resident, self._clock.monotonic())
        self._synced = True
        self._reported_at = self._clock.monotonic()
        # A VM that did not report may still have requests on the engine.
        active = report.ok_value.active if self._unaccounted else {}
        self.book.unaccounted_use = frozenset(name for name, n in active.items() if n)
