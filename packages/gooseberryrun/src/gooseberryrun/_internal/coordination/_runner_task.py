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
    CacheEventsFetched,
    GrantRequested,
    GrantsEnded,
    OrderFinished,
    OwnershipLost,
    PermitRequestFinished,
    ReportFetched,
    TaskMessage,
    Tick,
    UseLeaseExpired,
    to_grant,
    to_use,
    to_waiting,
)
from ._scheduler import Grant, LoadOrder, RunnerScheduler
from ._store_budget import StorePermits
from ._tasks import Task, spawn
from ._tracing import start_span

LOAD_RETRY_S = 0.5
"""Pause before a failed load of the same adapter is retried."""
MAX_REPORT_AGE_S = 2.0
"""Age of a report above which a new one is needed before new work is granted."""
REPORT_RETRY_S = 0.1
"""Pause before a failed report request is retried."""
CACHE_READS_AFTER_GRANT = 3
"""Reads of the cache events after the last grant."""
DEFAULT_SLOTS = 4
"""Adapter slots of an engine whose VM record does not give them."""
DELIVERY_TIMEOUT_S = 5.0
"""Age at which a grant must have reached the VM that requested it."""


class RunnerTask(Task[TaskMessage]):
    """Owner's side of one runner, from gaining its ownership to losing it.

    ``unreported_vms`` are the VMs that may still use grants of the previous owner.
    """

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        runner: str,
        membership: Membership,
        leases: Leases,
        engines: Engines,
        permits: StorePermits,
        unreported_vms: set[str],
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
        self._unreported_vms = set(unreported_vms)
        self._extend_use = extend_use
        self._expired_grants: dict[str, str] = {}
        self._cancelling = False
        self._active_since: float | None = None
        self._pending: dict[str, tuple[GrantRequested, float]] = {}
        self._synced = False
        self._reporting = False
        self._awaiting_permit = False
        self._orders_done = 0
        self._prefixes = PrefixCacheView()
        self._cache_reads_left = 0
        self._report_failed_at = float("-inf")
        self._new_owner: OwnerNotice | None = None
        self._incarnation = ""
        self._reported_at = float("-inf")
        vm = membership.get(runner)
        self.scheduler = RunnerScheduler(
            runner,
            (vm.slots if vm else 0) or DEFAULT_SLOTS,
            (vm.batch if vm else 0) or DEFAULT_BATCH,
            make_policy(cfg.policy),
            cfg.limits.queue_per_runner,
            cfg.policy.demand_half_life_s,
        )
        self._orders = EngineOrders(runner, leases, engines, self.scheduler.pins)

    def handle(self, message: TaskMessage) -> None:
        """Handle one message, then give the grants and orders that became possible."""
        if isinstance(message, GrantRequested):
            self._enqueue(message)
        elif isinstance(message, GrantsEnded):
            self._end_grants(message)
        elif isinstance(message, UseLeaseExpired):
            self._handle_expired_lease(message)
        elif isinstance(message, OrderFinished):
            self._finish_order(message)
        else:
            self._handle_other(message)
        self._advance()

    def _handle_other(self, message: TaskMessage) -> None:
        if isinstance(message, PermitRequestFinished):
            self._use_permit(message)
        elif isinstance(message, ReportFetched):
            self._handle_report(message)
        elif isinstance(message, CacheEventsFetched):
            self._prefixes.apply_events(message.events)
        elif isinstance(message, UseReport):
            self._handle_use_report(message)
        elif isinstance(message, Handover):
            self._adopt(message.uses)
            self._unreported_vms.clear()
        elif isinstance(message, OwnershipLost):
            self._transfer_ownership(message)
        elif isinstance(message, Tick):
            self._expire()
            self._cancel_expired_grants()

    def _enqueue(self, pending: GrantRequested) -> None:
        request = pending.request
        if self._new_owner is not None:
            self._answer_not_owner(pending)
            return
        vm = self._vm()
        if vm is None or self._membership.is_leaving(vm):
            self._refuse(pending, "leaving")
            return
        if request.request_id in self._pending:
            return
        if self.scheduler.is_full():
            self._refuse(pending, "queue_full")
            return
        now = self._clock.monotonic()
        if now - self._reported_at > MAX_REPORT_AGE_S:
            self._synced = self._synced and self.scheduler.has_order_outstanding()
        waiting = to_waiting(request, now)
        if self._would_expire(waiting):
            self._refuse(pending, "overloaded")
            return
        self._pending[request.request_id] = (pending, now)
        self.scheduler.enqueue(waiting)

    def _would_expire(self, waiting: Waiting) -> bool:
        """Return whether an interactive request is expected to expire in the queue."""
        left_s = waiting.deadline - waiting.enqueued_at
        return (
            not waiting.is_background()
            and self.scheduler.expected_wait_s(waiting.model) > left_s
        )

    def _vm(self) -> Vm | None:
        return self._membership.get(self.runner)

    def _refuse(self, pending: GrantRequested, reason: str) -> None:
        pending.reply(self._answer("refused", reason=reason))

    def _answer_not_owner(self, pending: GrantRequested) -> None:
        pending.reply(self._answer("not_owner", owner=self._new_owner))

    def _answer(
        self,
        decision: str,
        reason: str = "",
        owner: OwnerNotice | None = None,
        grant: Grant | None = None,
        fencing: FencingNumber | None = None,
    ) -> GrantAnswer:
        return GrantAnswer(
            decision=decision,
            runner=self.runner,
            grant_id=grant.grant_id if grant else "",
            fencing=fencing or FencingNumber(),
            lease_s=self._cfg.lease.grant_s,
            reason=reason,
            queued=self.scheduler.queued,
            running=self.scheduler.running(),
            load_wait_s=grant.load_wait_s if grant else 0.0,
            incarnation=self._incarnation,
            owner=owner,
        )

    def _answer_granted(
        self, pending: GrantRequested, grant: Grant, waited_s: float
    ) -> GrantAnswer:
        self._cache_reads_left = CACHE_READS_AFTER_GRANT
        fencing = self._leases.owned().get(self.runner)
        return msgspec.structs.replace(
            self._answer("granted", grant=grant, fencing=fencing),
            waited_s=waited_s,
            cached=self._prefixes.is_cached(pending.request.prefix),
        )

    def _expire(self) -> None:
        for waiting in self.scheduler.remove_expired(self._clock.monotonic()):
            pending, _ = self._pending.pop(waiting.request_id)
            self._refuse(pending, "queue_timeout")
        vm = self._vm()
        if vm is None or self._membership.is_leaving(vm):
            self._refuse_all("leaving")

    def _refuse_all(self, reason: str) -> None:
        for waiting in self.scheduler.remove_all():
            pending, _ = self._pending.pop(waiting.request_id)
            self._refuse(pending, reason)

    def _end_grants(self, message: GrantsEnded) -> None:
        for grant_id in message.grant_ids:
            self.scheduler.release(grant_id)
        if message.not_resident:
            log_event("book_stale", runner=self.runner)
            self._synced = False

    def _handle_expired_lease(self, message: UseLeaseExpired) -> None:
        """Cancel the requests of a VM whose use lease expired.

        Their adapters stay pinned until the engine has confirmed it.
        """
        for grant in self.scheduler.grants.values():
            if (grant.vm, grant.boot) == (message.vm, message.boot):
                log_event(
                    "use_lease_lapsed", runner=self.runner, request=grant.request_id
                )
                self._expired_grants[grant.grant_id] = grant.request_id
        self._cancel_expired_grants()

    def _cancel_expired_grants(self) -> None:
        engine = self._vm()
        if not self._expired_grants or self._cancelling or engine is None:
            return
        self._cancelling = True
        expired, self._expired_grants = self._expired_grants, {}
        spawn("cancel", lambda: self._cancel_at(engine, expired))

    def _cancel_at(self, engine: Vm, expired: dict[str, str]) -> None:
        ended, remaining = [], {}
        for grant_id, request_id in expired.items():
            if self._engines.cancel(engine, request_id):
                ended.append(grant_id)
            else:
                remaining[grant_id] = request_id
        self._cancelling = False
        self._expired_grants.update(remaining)
        self.post(GrantsEnded(ended))

    def _handle_use_report(self, report: UseReport) -> None:
        """Adopt the grants that a VM uses; end older ones that it does not report."""
        self._adopt([use for use in report.uses if use.runner == self.runner])
        self._unreported_vms.discard(report.vm)
        used = {use.grant_id for use in report.uses}
        before = self._clock.monotonic() - DELIVERY_TIMEOUT_S
        for grant in list(self.scheduler.grants.values()):
            is_from_reporter = (grant.vm, grant.boot) == (report.vm, report.boot)
            if (
                is_from_reporter
                and grant.grant_id not in used
                and grant.granted_at < before
            ):
                log_event("grant_lost", runner=self.runner, request=grant.request_id)
                self.scheduler.release(grant.grant_id)

    def _adopt(self, uses: list[GrantUse]) -> None:
        for use in uses:
            self.scheduler.adopt(to_grant(use))

    def _transfer_ownership(self, message: OwnershipLost) -> None:
        self._new_owner = message.notice
        uses = [to_use(self.runner, grant) for grant in self.scheduler.grants.values()]
        message.send(Handover(self.runner, uses))
        for waiting in self.scheduler.remove_all():
            pending, _ = self._pending.pop(waiting.request_id)
            self._answer_not_owner(pending)

    def _advance(self) -> None:
        if self._new_owner is not None or not self._leases.is_valid(self.runner):
            return
        if self._active_since is None:
            self._active_since = self._clock.monotonic()
        if not self._synced:
            if self._may_request_report():
                self.request_report()
            return
        self._grant_all()
        self._order_next()

    def _may_request_report(self) -> bool:
        """Return whether no order is outstanding and no report request just failed."""
        if self.scheduler.has_order_outstanding():
            return False
        return self._clock.monotonic() >= self._report_failed_at + REPORT_RETRY_S

    def _grant_all(self) -> None:
        now = self._clock.monotonic()
        while True:
            grant = self.scheduler.next_grant(uuid.uuid4().hex, now)
            if grant is None:
                return
            pending, requested_at = self._pending.pop(grant.request_id)
            GRANT_WAIT.observe(now - requested_at)
            LOAD_STALL.observe(grant.load_wait_s)
            with start_span("owner.decide", pending.request.traceparent) as span:
                span.set_attribute("runner", self.runner)
                span.set_attribute("queue_wait_s", now - requested_at)
                span.set_attribute("load_wait_s", grant.load_wait_s)
            self._extend_use(grant.vm, grant.boot)
            pending.reply(self._answer_granted(pending, grant, now - requested_at))

    def _order_next(self) -> None:
        """Request a permit as soon as a load is possible.

        The adapter is picked when the permit is granted, so that a permit requested for
        background work can serve interactive work that arrived in the meantime.
        """
        if self._awaiting_permit or self._next_order() is None:
            return
        self._awaiting_permit = True
        spawn("permit", self._acquire_permit)

    def _next_order(self) -> LoadOrder | None:
        return self.scheduler.next_order(self._clock.monotonic(), self._may_evict())

    def _acquire_permit(self) -> None:
        """Wait for a permit; runs outside the task."""
        deadline = self._clock.monotonic() + self._cfg.policy.load_timeout_s
        granted = False
        try:
            granted = self._permits.acquire(
                self.runner,
                eventlet.sleep,
                deadline,
                self.scheduler.has_interactive_waiting,
            )
        finally:
            self.post(PermitRequestFinished(granted))

    def _use_permit(self, permit: PermitRequestFinished) -> None:
        """Order the load that the policy picks now, or return the permit."""
        self._awaiting_permit = False
        if not permit.granted:
            return
        usable = self._new_owner is None and self._leases.is_valid(self.runner)
        order = self._next_order() if usable and self._synced else None
        fencing = self._leases.owned().get(self.runner)
        engine = self._vm()
        if order is None or fencing is None or engine is None:
            spawn("permit-end", lambda: self._permits.release(self.runner))
            return
        self.scheduler.start_order(order)
        parent = self._find_traceparent(order.model)
        spawn("order", lambda: self._execute_order(engine, order, fencing, parent))

    def _find_traceparent(self, model: str) -> str:
        """Return the trace context of the request that has waited longest."""
        oldest = self.scheduler.queue_of(model).oldest()
        if oldest is None or oldest.request_id not in self._pending:
            return ""
        return self._pending[oldest.request_id][0].request.traceparent

    def _may_evict(self) -> bool:
        """Return whether every use of the runner is known, so that evicting is safe."""
        if not self._unreported_vms:
            return True
        self._unreported_vms &= set(self._membership.entry_vms())
        if self._active_since is None:
            return False
        # Grants of the previous owner end at the latest one grant lease after its
        # own lease expired, which was before this one came into force.
        hold_s = self._cfg.lease.grant_s + self._cfg.lease.margin_s
        return self._reported_at >= self._active_since + hold_s

    def _execute_order(
        self, engine: Vm, order: LoadOrder, fencing: FencingNumber, traceparent: str
    ) -> None:
        """Execute an order and return its permit; runs outside the task."""
        done = OrderFinished(order, None, None)
        try:
            done = self._orders.execute(engine, order, fencing, traceparent)
        finally:
            self._permits.release(self.runner)
            self.post(done)

    def _finish_order(self, done: OrderFinished) -> None:
        now = self._clock.monotonic()
        if done.order.victim is not None:
            self.scheduler.finish_evict(done.evicted is True, now)
        self.scheduler.finish_load(done.loaded is True, now, LOAD_RETRY_S)
        # The engine may have restarted during the order: only the next report shows
        # what is resident and under which incarnation.
        self._orders_done += 1
        self._synced = False

    def request_report(self) -> None:
        """Fetch the engine's report outside the task."""
        engine = self._vm()
        if engine is None or self._reporting:
            return
        self._reporting = True
        spawn("report", lambda: self._fetch_report(engine, self._orders_done))

    def is_idle(self) -> bool:
        """Return whether the runner has no work and needs fewer reports."""
        return (
            self._synced and not self.scheduler.queued and not self.scheduler.running()
        )

    def request_cache_events(self) -> None:
        """Read the engine's cache events, which lag, a few times after each grant."""
        engine = self._vm()
        if engine is None or not self._cache_reads_left:
            return
        self._cache_reads_left -= 1
        spawn("cache-events", lambda: self._fetch_cache_events(engine))

    def _fetch_cache_events(self, engine: Vm) -> None:
        events = self._engines.cache_events(engine, self._prefixes.seq)
        if not isinstance(events, Err):
            self.post(CacheEventsFetched(events.ok_value))

    def _fetch_report(self, engine: Vm, orders_done: int) -> None:
        self.post(ReportFetched(orders_done, self._engines.report(engine)))

    def _handle_report(self, message: ReportFetched) -> None:
        self._reporting = False
        report = message.report
        if isinstance(report, Err):
            self._report_failed_at = self._clock.monotonic()
            if report.err_value.fault is EngineFault.NOT_SENT:
                self._synced = False
            return
        self._membership.record_engine_leaving(self.runner, report.ok_value.leaving)
        if (
            self.scheduler.has_order_outstanding()
            or message.orders_done != self._orders_done
        ):
            return
        if report.ok_value.incarnation != self._incarnation:
            self._incarnation = report.ok_value.incarnation
            self._prefixes.reset_view()
            log_event("runner_incarnation", runner=self.runner, id=self._incarnation)
        self.scheduler.sync_resident(report.ok_value.resident, self._clock.monotonic())
        self._synced = True
        self._reported_at = self._clock.monotonic()
        # A VM that has not reported its uses may still have requests on the engine.
        active = report.ok_value.active if self._unreported_vms else {}
        self.scheduler.unaccounted_use = frozenset(
            name for name, n in active.items() if n
        )
