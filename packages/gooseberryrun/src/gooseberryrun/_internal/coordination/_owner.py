"""Owner's side of grants: a task for each owned runner, and the use leases of VMs."""

from __future__ import annotations

from collections.abc import Callable

from gooseberryrun._internal.state import Clock, FencingNumber, Ownership, Settings

from ._events import log_event
from ._leases import Leases
from ._membership import Membership
from ._messages import (
    GrantAnswer,
    GrantEnd,
    GrantRequest,
    Handover,
    OwnerNotice,
    UseQuery,
    UseRenewal,
    UseRenewed,
    UseReport,
)
from ._metrics import BATCH_FILL
from ._ports import Engines, Peers
from ._replica import Replica
from ._runner_messages import (
    GrantRequested,
    GrantsEnded,
    OwnershipLost,
    Tick,
    UseLeaseExpired,
)
from ._runner_task import RunnerTask
from ._store_budget import StorePermits

IDLE_REPORT_ROUNDS = 4
"""Rounds between two report requests to an idle runner."""
MISMATCHES_TO_QUERY = 2
"""Consecutive renewals with a differing count before a full report is requested."""


class Owner:
    """Manages the runners that this VM owns and dispatches messages to their tasks."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        membership: Membership,
        replica: Replica,
        leases: Leases,
        engines: Engines,
        permits: StorePermits,
        peers: Peers,
        boot: str,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._replica = replica
        self._leases = leases
        self._engines = engines
        self._permits = permits
        self._peers = peers
        self._boot = boot
        self._tasks: dict[str, RunnerTask] = {}
        self._rounds = 0
        self._mismatches: dict[tuple[str, str], int] = {}
        self._use_deadlines: dict[tuple[str, str], float] = {}
        self.on_query: Callable[[UseQuery], None] = lambda query: None
        leases.on_ownership_gained = self._handle_gained
        leases.on_ownership_lost = self._handle_lost

    def tasks(self) -> list[RunnerTask]:
        """Return the tasks of the owned runners."""
        return list(self._tasks.values())

    def _handle_gained(self, runner: str, fencing: FencingNumber) -> None:
        others = set(self._membership.other_entry_vms())
        task = RunnerTask(
            self._cfg,
            self._clock,
            runner,
            self._membership,
            self._leases,
            self._engines,
            self._permits,
            others,
            self.extend_use_lease,
        )
        self._tasks[runner] = task
        task.start()
        notice = OwnerNotice(runner, self._cfg.vm.id, self._boot, fencing)
        query = UseQuery([runner], [notice])
        self.on_query(query)
        for vm in others:
            self._peers.send_to(vm, query)

    def _handle_lost(self, runner: str, owner: Ownership) -> None:
        task = self._tasks.pop(runner, None)
        if task is None:
            return
        notice = OwnerNotice(runner, owner.vm, owner.boot, owner.fencing)
        task.post(
            OwnershipLost(
                notice, lambda handover: self._peers.send_to(owner.vm, handover)
            )
        )
        engine = self._membership.get(runner)
        if engine is not None:
            self._engines.close_order_connections(engine)

    def owner_notice(self, runner: str) -> OwnerNotice | None:
        """Return the best known owner of a runner."""
        owner = self._replica.owners.get(runner)
        if owner is None:
            return None
        return OwnerNotice(runner, owner.vm, owner.boot, owner.fencing)

    def handle_grant_request(
        self, request: GrantRequest, reply: Callable[[GrantAnswer], None]
    ) -> None:
        """Queue a grant request, or reply with the owner if it is another VM."""
        task = self._tasks.get(request.runner)
        if task is None:
            owner = self.owner_notice(request.runner)
            reply(GrantAnswer("not_owner", request.runner, owner=owner))
            return
        task.post(GrantRequested(request, reply))

    def extend_use_lease(self, vm: str, boot: str) -> None:
        """Extend the use lease of a VM by its full duration from now."""
        hold_s = self._cfg.lease.grant_s + self._cfg.lease.margin_s
        deadline = self._clock.monotonic() + hold_s
        known = self._use_deadlines.get((vm, boot), 0.0)
        self._use_deadlines[(vm, boot)] = max(known, deadline)

    def handle_end(self, end: GrantEnd) -> None:
        """Pass ended grants to the task of their runner."""
        task = self._tasks.get(end.runner)
        if task is not None:
            task.post(GrantsEnded(end.grant_ids, end.not_resident))

    def handle_renewal(self, renewal: UseRenewal) -> UseRenewed:
        """Extend the use lease of a VM; return the runners with a lease in force."""
        self.extend_use_lease(renewal.vm, renewal.boot)
        for task in self._tasks.values():
            self._compare_counts(task, renewal)
        valid = [runner for runner in renewal.counts if self._leases.is_valid(runner)]
        return UseRenewed(self._cfg.vm.id, self._boot, valid)

    def _compare_counts(self, task: RunnerTask, renewal: UseRenewal) -> None:
        """Request a full report after repeated differences in the number of grants."""
        key = (renewal.vm, task.runner)
        counted = task.scheduler.count_grants(renewal.vm, renewal.boot)
        if counted == renewal.counts.get(task.runner, 0):
            self._mismatches.pop(key, None)
            return
        self._mismatches[key] = self._mismatches.get(key, 0) + 1
        if self._mismatches[key] < MISMATCHES_TO_QUERY:
            return
        del self._mismatches[key]
        log_event("books_differ", vm=renewal.vm, runner=task.runner)
        notice = self.owner_notice(task.runner)
        query = UseQuery([task.runner], [notice] if notice is not None else [])
        if renewal.vm == self._cfg.vm.id:
            self.on_query(query)
        else:
            self._peers.send_to(renewal.vm, query)

    def handle_use_report(self, report: UseReport) -> UseRenewed:
        """Adopt the grants that a VM reports for the runners that this VM owns."""
        self.extend_use_lease(report.vm, report.boot)
        for runner in report.runners:
            task = self._tasks.get(runner)
            if task is not None:
                task.post(report)
        valid = [runner for runner in report.runners if self._leases.is_valid(runner)]
        return UseRenewed(self._cfg.vm.id, self._boot, valid)

    def handle_handover(self, handover: Handover) -> None:
        """Adopt the grants of a runner from its previous owner."""
        for use in handover.uses:
            self.extend_use_lease(use.vm, use.boot)
        task = self._tasks.get(handover.runner)
        if task is not None:
            task.post(handover)

    def tick(self) -> None:
        """Expire queued requests and use leases."""
        now = self._clock.monotonic()
        expired = [key for key, at in self._use_deadlines.items() if at <= now]
        for key in expired:
            del self._use_deadlines[key]
        running = 0
        for task in self._tasks.values():
            running += task.scheduler.running()
            for vm, boot in expired:
                task.post(UseLeaseExpired(vm, boot))
            task.post(Tick())
        capacity = sum(task.scheduler.batch for task in self._tasks.values())
        BATCH_FILL.set(running / capacity if capacity else 0.0)

    def request_reports(self) -> None:
        """Fetch the reports and the cache events of the owned runners.

        Idle runners are polled less often; new work for one with an old report requests
        a new one first.
        """
        self._rounds += 1
        for task in self._tasks.values():
            if not task.is_idle() or self._rounds % IDLE_REPORT_ROUNDS == 0:
                task.request_report()
            task.request_cache_events()
