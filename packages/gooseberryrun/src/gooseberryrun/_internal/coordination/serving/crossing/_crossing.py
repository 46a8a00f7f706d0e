"""Shares of this VM's requests that go to other failure domains."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from gooseberryrun._internal.state.serving import (
    READERS_PER_DOMAIN,
    Service,
    follows_all_domains,
)
from gooseberryrun._internal.state.serving.crossing import (
    ClassMix,
    CrossingPrice,
    PressureSummary,
    PressureTable,
    ShareChange,
    ShareController,
    ShareLimits,
    pick_domain,
    plain_crossing_cost,
)

from ..._events import log_event
from ..._metrics import CROSSING_SHARE, CROSSINGS, PRESSURE_SECONDS
from .._active_request import ActiveRequest
from .._adapters import Adapters
from .._context import Context
from .._turns import Turns
from ._summaries import SummaryBuilder


class Departure(msgspec.Struct, frozen=True):
    """Domain that a request was selected for, with the expected wait there.

    ``age_s`` is the age of the figures, ``share`` that of the requests which leave.
    """

    domain: str
    wait_s: float
    price_s: float
    share: float = 0.0
    age_s: float = 0.0


class Crossing:
    """Knows the pressure of all domains, and selects the requests that leave.

    It has no task and no message of its own: ``step`` is called in each round of
    gossip, which carries the summaries.
    """

    def __init__(self, ctx: Context, adapters: Adapters, turns: Turns) -> None:
        self._ctx = ctx
        cfg = ctx.cfg.crossing
        self._price_s = CrossingPrice(cfg.byte_cost_s).total_s()
        self._builder = SummaryBuilder(ctx, adapters, turns)
        self._table = PressureTable()
        self._controllers: dict[str, ShareController] = {}
        self._mixes: defaultdict[str, ClassMix] = defaultdict(ClassMix)
        self._is_reader = False
        self._targets: tuple[int, dict[str, float]] = (-1, {})

    @property
    def is_enabled(self) -> bool:
        """Return whether requests are selected by shares."""
        return self._ctx.is_switched_on(self._ctx.cfg.crossing.is_enabled)

    @property
    def is_reader(self) -> bool:
        """Return whether this VM tells other domains the pressure of its own."""
        return self._is_reader

    def step(self) -> None:
        """Build the own domain's summaries if this VM has to; correct the shares.

        All shares end where the number of VMs no longer asks for them.
        """
        now = self._ctx.clock.monotonic()
        services = self._shared_services() if self.is_enabled else []
        rank = self._ctx.reader_rank()
        self._is_reader = bool(services) and rank < READERS_PER_DOMAIN
        if self._is_reader:
            for summary in self._builder.build(services, now):
                self._table.update(summary, now)
        crossing = [service for service in services if self._uses_shares(service)]
        for service in crossing:
            self._step_service(service.name, now)
        gone = self._controllers.keys() - {service.name for service in crossing}
        for name in gone:
            del self._controllers[name]

    def _shared_services(self) -> list[Service]:
        """Return the services with servers in more than one domain."""
        table = self._ctx.directory.table
        if table is None:
            return []
        by_domain = self._ctx.directory.runners_by_domain
        return [s for s in table.services.values() if len(by_domain(s.name)) > 1]

    def _uses_shares(self, service: Service) -> bool:
        """Return whether requests follow shares: not if all runners are followed."""
        domain = self._ctx.cfg.vm.domain
        local = self._ctx.directory.local_runner_count(service.name, domain)
        return service.engine is None or not follows_all_domains(local)

    def _step_service(self, service: str, now: float) -> None:
        domain = self._ctx.cfg.vm.domain
        own = self._table.find(service, domain, now)
        others = self._others(service, now)
        if not others and service not in self._controllers:
            return
        controller = self._controllers.setdefault(service, ShareController())
        limits = ShareLimits(self._ctx.cfg.crossing.max_share, self._target_s(service))
        before = set(controller.shares)
        changes = controller.step(own, others, self._price_s, limits)
        if own is not None:
            PRESSURE_SECONDS.labels(service=service).set(own.wait_s)
        for other in before | set(controller.shares):
            share = controller.shares.get(other, 0.0)
            CROSSING_SHARE.labels(service=service, domain=other).set(share)
        for change in changes:
            _log_change(service, change)

    def _others(self, service: str, now: float) -> list[PressureSummary]:
        own = self._ctx.cfg.vm.domain
        domains = self._ctx.directory.runners_by_domain(service)
        found = (self._table.find(service, d, now) for d in domains if d != own)
        return [summary for summary in found if summary is not None]

    def _target_s(self, service: str) -> float:
        """Return the shortest target latency of the routes to a service."""
        table = self._ctx.directory.table
        if table is None:
            return 0.0
        configuration = table.configuration
        if self._targets[0] != configuration.version:
            targets: dict[str, float] = {}
            for route in configuration.routes:
                for target in route.services:
                    known = targets.get(target.service, route.target_latency_s)
                    targets[target.service] = min(known, route.target_latency_s)
            self._targets = configuration.version, targets
        return self._targets[1].get(service, 0.0)

    def summaries_for_domain(self) -> list[PressureSummary]:
        """Return what the VMs of the own domain are told: all that is recent."""
        if not self.is_enabled:
            return []
        return self._table.recent(self._ctx.clock.monotonic())

    def summaries_for_others(self) -> list[PressureSummary]:
        """Return what other domains are told: the own domain's pressure, by readers."""
        if not self._is_reader:
            return []
        now = self._ctx.clock.monotonic()
        return self._table.recent(now, self._ctx.cfg.vm.domain)

    def receive(self, summaries: Iterable[PressureSummary]) -> None:
        """Store the summaries that a peer has sent."""
        if not self.is_enabled:
            return
        now = self._ctx.clock.monotonic()
        for summary in summaries:
            self._table.update(summary, now)

    def select(self, active: ActiveRequest) -> Departure | None:
        """Return the domain that a request leaves for, None if it stays.

        Only a first choice follows the shares; retries and streams that are taken up
        may leave at any time.
        """
        if active.service in self._controllers and _is_first_choice(active):
            self._mixes[active.service].record(active.route.priority)
        departure = self.find_departure(active)
        if departure is not None:
            log_event(
                "crossing_selected",
                request=active.metadata.request_id,
                service=active.service,
                domain=departure.domain,
                share=departure.share,
                wait_s=departure.wait_s,
                age_s=departure.age_s,
            )
            CROSSINGS.labels(service=active.service, outcome="selected").inc()
        return departure

    def find_departure(self, active: ActiveRequest) -> Departure | None:
        """Return what ``select`` would return now, without recording anything."""
        controller = self._controllers.get(active.service)
        if controller is None or not _is_first_choice(active):
            return None
        mix = self._mixes[active.service]
        request_id = active.metadata.request_id
        shares = controller.shares
        domain = pick_domain(request_id, active.route.priority, shares, mix)
        if domain is None:
            return None
        now = self._ctx.clock.monotonic()
        summary = self._table.find(active.service, domain, now)
        if summary is None or not summary.capacity:
            return None
        return Departure(
            domain, summary.wait_s, self._price_s, shares[domain], summary.age_s
        )

    def record_stay(self, active: ActiveRequest, departure: Departure) -> None:
        """Count a selected request that stays, since its domain is faster for it."""
        CROSSINGS.labels(service=active.service, outcome="stayed").inc()
        log_event(
            "crossing_stayed",
            request=active.metadata.request_id,
            service=active.service,
            domain=departure.domain,
        )

    def describe(self, service: str) -> list[dict[str, object]]:
        """Return the pressure of each domain and its share of a service's requests."""
        now = self._ctx.clock.monotonic()
        controller = self._controllers.get(service)
        shares = controller.shares if controller else {}
        return [
            {
                "domain": summary.domain,
                "servers": summary.servers,
                "slots": summary.capacity,
                "running": summary.running,
                "waiting": summary.waiting,
                "wait_s": summary.wait_s,
                "age_s": summary.age_s,
                "share": round(shares.get(summary.domain, 0.0), 3),
            }
            for summary in self._table.recent(now)
            if summary.service == service
        ]

    def plain_cost(
        self, active: ActiveRequest, departure: Departure | None, domain: str
    ) -> float | None:
        """Return the cost of a plain server of a domain, None for the constant."""
        if domain == self._ctx.cfg.vm.domain or not _is_first_choice(active):
            return None
        if active.service not in self._controllers:
            return None
        now = self._ctx.clock.monotonic()
        has_figures = all(
            self._table.find(active.service, known, now) is not None
            for known in (domain, self._ctx.cfg.vm.domain)
        )
        chosen = departure.domain if departure else None
        return plain_crossing_cost(domain, chosen, {domain} if has_figures else ())


def _is_first_choice(active: ActiveRequest) -> bool:
    refused = active.tried or active.ungranted or active.unloadable
    return not active.sends and not refused and not active.takes_up_stream


def _log_change(service: str, change: ShareChange) -> None:
    """Log a change of a share with the figures that it rests on."""
    own, other = change.own, change.other
    log_event(
        "crossing",
        service=service,
        domain=change.domain,
        share=change.share,
        previous=change.previous,
        own_wait_s=own.wait_s if own else "unknown",
        own_idle=own.idle if own else "unknown",
        own_age_s=own.age_s if own else "unknown",
        other_wait_s=other.wait_s if other else "unknown",
        other_idle=other.idle if other else "unknown",
        other_age_s=other.age_s if other else "unknown",
    )
