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


class StoreBudget:
    """Token bucket with a bound on permits in flight.

    A permit whose end is never reported is taken back after the load timeout.
    """

    def __init__(self, rate: float, in_flight: int, timeout_s: float) -> None:
        self._rate = rate
        self._limit = in_flight
        self._timeout_s = timeout_s
        self._tokens = 1.0
        self._updated_at: float | None = None
        self._deadlines: dict[str, float] = {}

    def take(self, holder: str, now: float) -> float:
        """Return 0 and start a load, or the seconds to wait before asking again."""
        self._refill(now)
        if len(self._deadlines) >= self._limit:
            return 0.1
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / self._rate
        self._tokens -= 1.0
        self._deadlines[holder] = now + self._timeout_s
        return 0.0

    def end(self, holder: str) -> None:
        """End the load of a holder; repeats are ignored."""
        self._deadlines.pop(holder, None)

    def _refill(self, now: float) -> None:
        if self._updated_at is not None:
            gained = (now - self._updated_at) * self._rate
            self._tokens = min(max(1.0, self._rate), self._tokens + gained)
        self._updated_at = now
        self._deadlines = {
            holder: deadline
            for holder, deadline in self._deadlines.items()
            if deadline > now
        }


def make_budget(cfg: PolicySettings, share: float = 1.0) -> StoreBudget:
    """Return the budget for a share of the store's rate."""
    return StoreBudget(
        cfg.store_loads_per_s * share, cfg.store_in_flight, cfg.load_timeout_s
    )


class StorePermits:
    """Asks the keeper for permits, and keeps the budget if this VM is the keeper."""

    def __init__(
        self, cfg: Settings, clock: Clock, membership: Membership, peers: Peers
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._peers = peers
        self._budget = make_budget(cfg.policy)
        self._floor: StoreBudget | None = None

    def _keeper(self) -> str:
        """Return the keeper by rendezvous over the VMs that are not leaving."""
        leaving = set(self._membership.leaving_ids())
        vms = [vm for vm in self._membership.entry_vms() if vm not in leaving]
        return top_node(KEEPER_KEY, vms) or self._cfg.vm.id

    def acquire(
        self, runner: str, wait: Callable[[float], None], deadline: float
    ) -> bool:
        """Wait for a permit to load on ``runner``; return False at the deadline."""
        while self._clock.monotonic() < deadline:
            permit = self._ask(runner)
            if permit.granted:
                STORE_PERMITS.labels(result="granted").inc()
                return True
            wait(max(permit.retry_s, 0.005))
        STORE_PERMITS.labels(result="timeout").inc()
        return False

    def _ask(self, runner: str) -> StorePermit:
        keeper = self._keeper()
        if keeper == self._cfg.vm.id:
            return self.answer(StorePermitRequest(runner))
        deadline = self._clock.monotonic() + KEEPER_TIMEOUT_S
        reply = self._peers.ask(keeper, StorePermitRequest(runner), deadline)
        if not isinstance(reply, Err) and isinstance(reply.ok_value, StorePermit):
            return reply.ok_value
        return self._take_floor(runner)

    def _take_floor(self, runner: str) -> StorePermit:
        """Take a permit from this VM's floor share, while cut off from the keeper."""
        if self._floor is None:
            share = 1.0 / max(1, len(self._membership.entry_vms()))
            self._floor = make_budget(self._cfg.policy, share)
        STORE_PERMITS.labels(result="floor").inc()
        wait_s = self._floor.take(runner, self._clock.monotonic())
        return StorePermit(wait_s == 0.0, wait_s)

    def answer(self, request: StorePermitRequest) -> StorePermit:
        """Decide on a permit as the keeper."""
        wait_s = self._budget.take(request.runner, self._clock.monotonic())
        return StorePermit(wait_s == 0.0, wait_s)

    def release(self, runner: str) -> None:
        """Report the end of a load."""
        self._budget.end(runner)
        if self._floor is not None:
            self._floor.end(runner)
        keeper = self._keeper()
        if keeper != self._cfg.vm.id:
            self._peers.tell(keeper, StorePermitEnd(runner))

    def take_end(self, end: StorePermitEnd) -> None:
        """Note as the keeper that a load has ended."""
        self._budget.end(end.runner)
