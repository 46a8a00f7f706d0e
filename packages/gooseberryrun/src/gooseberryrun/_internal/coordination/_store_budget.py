"""Shared budget of the weight store: loads a second and loads in flight.

One entry VM, the keeper, gives out permits for everybody; a VM that cannot reach the
keeper falls back to a floor share of the rate.
"""

from __future__ import annotations

from collections.abc import Callable

from result import Err

from gooseberryrun._internal.state import Clock, PolicySettings, Settings, top_node

from ._membership import Membership
from ._messages import StorePermit, StorePermitEnd, StorePermitRequest
from ._metrics import STORE_PERMITS
from ._ports import Peers

KEEPER_KEY = "store-budget"
KEEPER_TIMEOUT_S = 0.5
MAX_PERMIT_PAUSE_S = 0.2
"""Longest pause between two questions: the load may have become urgent meanwhile."""


class StoreBudget:
    """Token bucket with a bound on permits in flight.

    ``share`` is the part of the rate that may be given out. A permit whose end is
    never reported is taken back after the load timeout.
    """

    def __init__(self, rate: float, in_flight: int, timeout_s: float) -> None:
        self._rate = rate
        self.share = 1.0
        self._limit = in_flight
        self._timeout_s = timeout_s
        self._tokens = 2.0
        self._updated_at: float | None = None
        self._deadlines: dict[str, float] = {}

    def take(self, holder: str, now: float, urgent: bool = True) -> float:
        """Return 0 and start a load, or the seconds to wait before asking again.

        One permit is left for loads that quick work waits for.
        """
        self._refill(now)
        kept = 0 if urgent else 1
        if len(self._deadlines) >= self._limit - kept:
            return 0.1
        if self._tokens < 1.0 + kept:
            missing = 1.0 + kept - self._tokens
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
    """Return the budget that the settings name."""
    return StoreBudget(cfg.store_loads_per_s, cfg.store_in_flight, cfg.load_timeout_s)


class StorePermits:
    """Asks keepers for permits, and keeps a budget where this VM is a keeper.

    The keeper of the whole system gives out the rate, less the share of the failure
    domains that it does not hear. A domain that cannot reach it uses its own share,
    given out by a keeper of its own.
    """

    def __init__(
        self, cfg: Settings, clock: Clock, membership: Membership, peers: Peers
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._peers = peers
        self._budget = make_budget(cfg.policy)
        self._floor = make_budget(cfg.policy)

    def _keepers(self) -> list[str]:
        """Return the keeper of the system and the one of this domain."""
        domain_vms = self._membership.live_domain_vms()
        return [
            self._membership.first_for(KEEPER_KEY) or self._cfg.vm.id,
            top_node(KEEPER_KEY, domain_vms) or self._cfg.vm.id,
        ]

    def acquire(
        self,
        runner: str,
        wait: Callable[[float], None],
        deadline: float,
        is_urgent: Callable[[], bool],
    ) -> bool:
        """Wait for a permit to load on ``runner``; return False at the deadline.

        ``is_urgent`` tells at each try whether quick work waits for the load.
        """
        while self._clock.monotonic() < deadline:
            permit = self._ask(runner, is_urgent())
            if permit.granted:
                STORE_PERMITS.labels(result="granted").inc()
                return True
            wait(min(MAX_PERMIT_PAUSE_S, max(permit.retry_s, 0.005)))
        STORE_PERMITS.labels(result="timeout").inc()
        return False

    def _ask(self, runner: str, urgent: bool) -> StorePermit:
        for floor, keeper in enumerate(self._keepers()):
            request = StorePermitRequest(runner, bool(floor), urgent)
            if keeper == self._cfg.vm.id:
                return self.answer(request)
            deadline = self._clock.monotonic() + KEEPER_TIMEOUT_S
            reply = self._peers.ask(keeper, request, deadline)
            if not isinstance(reply, Err) and isinstance(reply.ok_value, StorePermit):
                return reply.ok_value
        STORE_PERMITS.labels(result="no_keeper").inc()
        return StorePermit(False, KEEPER_TIMEOUT_S)

    def answer(self, request: StorePermitRequest) -> StorePermit:
        """Decide on a permit as a keeper."""
        budget = self._floor if request.floor else self._budget
        budget.share = self._share(request.floor)
        now = self._clock.monotonic()
        wait_s = budget.take(request.runner, now, request.urgent)
        return StorePermit(wait_s == 0.0, wait_s)

    def _share(self, floor: bool) -> float:
        """Return the share of the rate that a keeper may give out."""
        total = max(1, len(self._membership.entry_vms()))
        if floor:
            domain = self._membership.domain
            return len(self._membership.entry_vms(domain)) / total
        return len(self._membership.vms_of_heard_domains()) / total

    def release(self, runner: str) -> None:
        """Report the end of a load."""
        end = StorePermitEnd(runner)
        self.take_end(end)
        for keeper in set(self._keepers()) - {self._cfg.vm.id}:
            self._peers.send_to(keeper, end)

    def take_end(self, end: StorePermitEnd) -> None:
        """Note as a keeper that a load has ended."""
        self._budget.end(end.runner)
        self._floor.end(end.runner)
