"""Shared budget of the weight store: loads per second and loads in flight.

One entry VM, the permit issuer, grants permits to all VMs; a VM that cannot reach it
falls back to its failure domain's share of the rate.
"""

from __future__ import annotations

from collections.abc import Callable

from result import Err

from gooseberryrun._internal.state import Clock, PolicySettings, Settings, top_node

from ._membership import Membership
from ._messages import StorePermit, StorePermitEnd, StorePermitRequest
from ._metrics import STORE_PERMITS
from ._ports import Peers

PERMIT_ISSUER_KEY = "store-budget"
PERMIT_ISSUER_TIMEOUT_S = 0.5
MAX_PERMIT_PAUSE_S = 0.2
"""Longest pause between two requests; the load may become urgent meanwhile."""


class StoreBudget:
    """Token bucket with a bound on permits in flight.

    ``share`` is the part of the rate that may be granted. A permit whose end is never
    reported expires after the load timeout. The bucket begins empty, since another
    issuer may have granted permits until now.
    """

    def __init__(self, rate: float, in_flight: int, timeout_s: float) -> None:
        self._rate = rate
        self.share = 1.0
        self._limit = in_flight
        self._timeout_s = timeout_s
        self._tokens = 0.0
        self._updated_at: float | None = None
        self._deadlines: dict[str, float] = {}

    def take(self, holder: str, now: float, urgent: bool = True) -> float:
        """Start a load and return 0, or return the seconds to wait before a retry.

        One permit is reserved for urgent loads, for which interactive work waits.
        """
        self._refill(now)
        reserved = 0 if urgent else 1
        if len(self._deadlines) >= self._limit - reserved:
            return 0.1
        if self._tokens < 1.0 + reserved:
            missing = 1.0 + reserved - self._tokens
            return missing / max(self._rate * self.share, 1e-6)
        self._tokens -= 1.0
        self._deadlines[holder] = now + self._timeout_s
        return 0.0

    def end(self, holder: str) -> None:
        """End the load of a holder; repeats are ignored."""
        self._deadlines.pop(holder, None)

    def _refill(self, now: float) -> None:
        if self._updated_at is not None:
            gained = (now - self._updated_at) * self._rate * self.share
            self._tokens = min(max(2.0, self._rate), self._tokens + gained)
        self._updated_at = now
        self._deadlines = {
            holder: deadline
            for holder, deadline in self._deadlines.items()
            if deadline > now
        }


def make_budget(cfg: PolicySettings) -> StoreBudget:
    """Return a budget with the limits of the settings."""
    return StoreBudget(cfg.store_loads_per_s, cfg.store_in_flight, cfg.load_timeout_s)


class StorePermits:
    """Requests permits from issuers, and grants them where this VM is an issuer.

    The issuer of the system grants the rate less the share of the failure domains
    that it cannot reach. A domain that cannot reach that issuer uses its own share,
    granted by an issuer of the domain.
    """

    def __init__(
        self, cfg: Settings, clock: Clock, membership: Membership, peers: Peers
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._peers = peers
        self._budget = make_budget(cfg.policy)
        self._domain_budget = make_budget(cfg.policy)

    def _permit_issuers(self) -> list[str]:
        """Return the permit issuer of the system and the one of this domain."""
        domain_vms = self._membership.live_domain_vms()
        return [
            self._membership.responsible_vm(PERMIT_ISSUER_KEY) or self._cfg.vm.id,
            top_node(PERMIT_ISSUER_KEY, domain_vms) or self._cfg.vm.id,
        ]

    def acquire(
        self,
        runner: str,
        wait: Callable[[float], None],
        deadline: float,
        is_urgent: Callable[[], bool],
    ) -> bool:
        """Wait for a permit to load on ``runner``; return False at the deadline.

        ``is_urgent`` is called at each try; it returns whether interactive work waits.
        """
        while self._clock.monotonic() < deadline:
            permit = self._request_permit(runner, is_urgent())
            if permit.granted:
                STORE_PERMITS.labels(result="granted").inc()
                return True
            wait(min(MAX_PERMIT_PAUSE_S, max(permit.retry_s, 0.005)))
        STORE_PERMITS.labels(result="timeout").inc()
        return False

    def _request_permit(self, runner: str, urgent: bool) -> StorePermit:
        for domain_share, issuer in enumerate(self._permit_issuers()):
            request = StorePermitRequest(runner, bool(domain_share), urgent)
            if issuer == self._cfg.vm.id:
                return self.handle_request(request)
            deadline = self._clock.monotonic() + PERMIT_ISSUER_TIMEOUT_S
            reply = self._peers.request_from(issuer, request, deadline)
            if not isinstance(reply, Err) and isinstance(reply.ok_value, StorePermit):
                return reply.ok_value
        STORE_PERMITS.labels(result="no_keeper").inc()
        return StorePermit(False, PERMIT_ISSUER_TIMEOUT_S)

    def handle_request(self, request: StorePermitRequest) -> StorePermit:
        """Grant or refuse a permit as an issuer."""
        budget = self._domain_budget if request.domain_share else self._budget
        budget.share = self._share(request.domain_share)
        now = self._clock.monotonic()
        wait_s = budget.take(request.runner, now, request.urgent)
        return StorePermit(wait_s == 0.0, wait_s)

    def _share(self, domain_share: bool) -> float:
        """Return the share of the rate that an issuer may grant."""
        total = max(1, len(self._membership.entry_vms()))
        if domain_share:
            domain = self._membership.domain
            return len(self._membership.entry_vms(domain)) / total
        return len(self._membership.vms_of_reachable_domains()) / total

    def release(self, runner: str) -> None:
        """Report the end of a load."""
        end = StorePermitEnd(runner)
        self.handle_end(end)
        for issuer in set(self._permit_issuers()) - {self._cfg.vm.id}:
            self._peers.send_to(issuer, end)

    def handle_end(self, end: StorePermitEnd) -> None:
        """Record as an issuer that a load has ended."""
        self._budget.end(end.runner)
        self._domain_budget.end(end.runner)
