"""Entry VM: wiring, periodic tasks, dispatch of peer messages, graceful shutdown."""

from __future__ import annotations

import random
from collections.abc import Callable

import eventlet

from gooseberryrun._internal.state import Clock, Settings

from ._acquisition import Acquisition
from ._appender import Appender
from ._at_most_once_requests import AtMostOnceRequests
from ._completions import Completions
from ._crashes import Crashes
from ._events import log_event
from ._grants import RENEWALS_PER_LEASE, Grants
from ._idempotent_requests import IdempotentRequests
from ._job_executor import JobExecutor
from ._leases import Leases
from ._membership import Membership
from ._messages import (
    Confirm,
    CrashClearedNotice,
    CrashNotice,
    Gossip,
    GrantAnswer,
    GrantEnd,
    GrantRequest,
    Handover,
    Heartbeat,
    HeartbeatAck,
    LeaseRelease,
    OutcomeQuery,
    PeerMessage,
    RecordsRequest,
    StatusQuery,
    StopNotice,
    StorePermitEnd,
    StorePermitRequest,
    UseQuery,
    UseRenewal,
    UseReport,
)
from ._operations import Operations
from ._owner import Owner
from ._placement import Placement
from ._ports import Engines, InboundMessage, Log, Peers, Services, VmList
from ._refresh import RecordRefresher
from ._replica import Replica
from ._shutdown import Shutdown
from ._store_budget import StorePermits
from ._tasks import run_protected, spawn_periodic

OWNER_TICK_S = 0.25
JOB_SWEEP_S = 0.25
LEDGER_SWEEP_S = 1.0
REPORT_INTERVAL_S = 2.0
STOP_POLL_S = 0.05


class Node:
    """Coordination layer of one entry VM."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        boot: str,
        log: Log,
        vm_list: VmList,
        engines: Engines,
        services: Services,
        peers: Peers,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self.boot = boot
        self._peers = peers
        self._random = random.Random(boot)
        self.open_requests = 0
        self.stopping = False
        self.membership = Membership(cfg, clock, vm_list, boot)
        self.appender = Appender(cfg, clock, log, boot)
        self.replica = Replica(cfg, clock, log, peers, boot)
        self.leases = Leases(
            cfg, clock, self.membership, self.replica, self.appender, peers, boot
        )
        self.permits = StorePermits(cfg, clock, self.membership, peers)
        self.owner = Owner(
            cfg,
            clock,
            self.membership,
            self.replica,
            self.leases,
            engines,
            self.permits,
            peers,
            boot,
        )
        self.grants = Grants(
            cfg,
            clock,
            self.membership,
            self.replica,
            self.leases,
            self.owner,
            peers,
            boot,
        )
        self.crashes = Crashes(
            cfg, clock, self.membership, self.replica, self.appender, engines, peers
        )
        placement = Placement(cfg, clock, self.membership)
        self.completions = Completions(
            cfg,
            clock,
            self.replica,
            self.grants,
            placement,
            engines,
            self.crashes,
            Acquisition(
                cfg,
                clock,
                self.membership,
                self.replica,
                self.grants,
                placement,
                self.crashes,
                boot,
            ),
        )
        self.idempotent_requests = IdempotentRequests(
            cfg, clock, self.membership, services
        )
        self.at_most_once_requests = AtMostOnceRequests(
            cfg,
            clock,
            self.membership,
            self.replica,
            self.appender,
            services,
            peers,
            boot,
        )
        self.job_executor = JobExecutor(
            cfg,
            clock,
            self.membership,
            self.replica,
            self.appender,
            self.completions,
            boot,
        )
        self.refresh = RecordRefresher(
            cfg, clock, self.membership, self.replica, self.appender, self.leases, boot
        )
        self.operations = Operations(
            cfg,
            clock,
            self.membership,
            self.replica,
            self.appender,
            self.leases,
            self.owner,
            self.at_most_once_requests,
            peers,
        )
        self.replica.on_owner_change = self.leases.handle_owner_change
        self.replica.choose_peer = self._random_peer
        self.job_executor.is_stopping = lambda: self.stopping
        self._handlers = self._make_handlers()

    def start(self) -> None:
        """Start the appender, the replica and all periodic tasks."""
        self.appender.start()
        self.replica.start()
        cfg = self._cfg
        spawn_periodic("vm-list", cfg.platform.vm_list_interval_s, self._poll_vms)
        spawn_periodic("leases", cfg.peer.heartbeat_interval_s, self.leases.tick)
        spawn_periodic("owner", OWNER_TICK_S, self.owner.tick)
        spawn_periodic("reports", REPORT_INTERVAL_S, self.owner.request_reports)
        renew_s = cfg.lease.grant_s / RENEWALS_PER_LEASE
        spawn_periodic("grants", min(renew_s, 1.0), self.grants.renew)
        spawn_periodic("patient", JOB_SWEEP_S, self.job_executor.sweep)
        spawn_periodic("once", LEDGER_SWEEP_S, self.at_most_once_requests.sweep)
        refresh_s = min(cfg.log.retention_s / 20, 60.0)
        spawn_periodic("refresh", refresh_s, self.refresh.sweep)
        spawn_periodic("gossip", cfg.peer.heartbeat_interval_s, self._gossip)
        expire_s = cfg.limits.suspect_ttl_s / 10
        spawn_periodic("suspects", expire_s, self._expire_suspects)

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests to this VM."""
        return not self.stopping and self.replica.is_ready()

    def _poll_vms(self) -> None:
        self.membership.poll()
        self.membership.set_drained(set(self.replica.config.tables["drains"]))

    def _expire_suspects(self) -> None:
        self.replica.evidence.expire(self._clock.monotonic())

    def _random_peer(self) -> str | None:
        others = self.membership.other_entry_vms()
        return self._random.choice(others) if others else None

    def _gossip(self) -> None:
        """Send the known leaving VMs and log positions to a few random entry VMs."""
        others = self.membership.other_entry_vms()
        count = min(self._cfg.peer.gossip_fanout, len(others))
        notices = self.membership.leaving_notices()
        offsets = {
            stream: position.next_offset
            for stream, position in self.replica.positions.items()
        }
        gossip = Gossip(
            self._cfg.vm.id, self.boot, self.membership.leaving, notices, offsets
        )
        for vm in self._random.sample(others, count):
            self._peers.send_to(vm, gossip)

    # Dispatch of peer messages.

    def dispatch(self, inbound: InboundMessage) -> None:
        """Handle a message from a peer; must not block."""
        run_protected("dispatch", lambda: self._dispatch(inbound))

    def _dispatch(self, inbound: InboundMessage) -> None:
        handler = self._handlers.get(type(inbound.message))
        if handler is None:
            log_event("unexpected_message", kind=type(inbound.message).__name__)
            return
        handler(inbound)

    def _make_handlers(self) -> dict[type, Callable[[InboundMessage], None]]:
        def reply_with(
            function: Callable[..., PeerMessage],
        ) -> Callable[[InboundMessage], None]:
            return lambda inbound: inbound.reply(function(inbound.message))

        def handle_with(
            function: Callable[..., None],
        ) -> Callable[[InboundMessage], None]:
            return lambda inbound: function(inbound.message)

        return {
            Heartbeat: lambda inbound: self._peers.send_to(
                inbound.sender, self.leases.handle_heartbeat(_as_heartbeat(inbound))
            ),
            HeartbeatAck: handle_with(self.leases.handle_ack),
            LeaseRelease: handle_with(self.leases.handle_release),
            Gossip: handle_with(self._handle_gossip),
            GrantRequest: lambda inbound: self.owner.handle_grant_request(
                _as_request(inbound), inbound.reply
            ),
            GrantAnswer: lambda inbound: self.grants.handle_late_answer(
                inbound.sender, _as_answer(inbound)
            ),
            GrantEnd: handle_with(self.owner.handle_end),
            UseRenewal: reply_with(self.owner.handle_renewal),
            UseReport: reply_with(self.owner.handle_use_report),
            UseQuery: handle_with(self.grants.handle_use_query),
            Handover: handle_with(self.owner.handle_handover),
            StorePermitRequest: reply_with(self.permits.handle_request),
            StorePermitEnd: handle_with(self.permits.handle_end),
            RecordsRequest: reply_with(self.replica.handle_records_request),
            CrashNotice: handle_with(self.crashes.handle_crash_notice),
            CrashClearedNotice: handle_with(self.crashes.handle_cleared_notice),
            OutcomeQuery: reply_with(self.at_most_once_requests.handle_outcome_query),
            StatusQuery: reply_with(self.operations.handle_status_query),
            Confirm: reply_with(self.operations.handle_confirm),
            StopNotice: self._handle_stop,
        }

    def _handle_gossip(self, gossip: Gossip) -> None:
        self.membership.record_contact(gossip.vm, gossip.boot, gossip.leaving)
        self.membership.record_leaving_notices(gossip.notices)

    def _handle_stop(self, inbound: InboundMessage) -> None:
        notice = inbound.message
        assert isinstance(notice, StopNotice)
        inbound.reply(notice)
        self.operations.request_stop(notice.by)

    # Graceful shutdown.

    def drain(self) -> bool:
        """Transfer runners and finish requests; return whether all is done in time.

        Requests are served until the load balancer sends no more.
        """
        log_event("stopping", vm=self._cfg.vm.id)
        self.stopping = True
        self.membership.leaving = True
        now = self._clock.monotonic()
        cfg = self._cfg.stop
        shutdown = Shutdown(now + cfg.balancer_removal_s, now + cfg.deadline_s)
        while not shutdown.may_exit(self._clock.monotonic(), self._is_idle()):
            eventlet.sleep(STOP_POLL_S)
        return self._is_idle()

    def _is_idle(self) -> bool:
        is_last_in_domain = len(self.membership.live_domain_vms()) == 0
        return (
            self.open_requests == 0
            and self.job_executor.running() == 0
            and not self.grants.held()
            and (is_last_in_domain or not self.leases.owned())
        )


def _as_heartbeat(inbound: InboundMessage) -> Heartbeat:
    assert isinstance(inbound.message, Heartbeat)
    return inbound.message


def _as_request(inbound: InboundMessage) -> GrantRequest:
    assert isinstance(inbound.message, GrantRequest)
    return inbound.message


def _as_answer(inbound: InboundMessage) -> GrantAnswer:
    assert isinstance(inbound.message, GrantAnswer)
    return inbound.message
