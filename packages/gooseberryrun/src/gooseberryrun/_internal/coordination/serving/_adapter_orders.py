"""Load and unload orders of one runner, and the loads that are in progress."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from gooseberryrun._internal.state.serving import (
    EXPECTED_LOAD_S,
    EXPECTED_RELOAD_S,
    AdapterSlots,
)

from ._context import Context
from ._control_port import OrderOp, OrderOutcome
from ._orders import RunnerOrders

CHECK_INTERVAL_S = 0.03
"""Interval of the checks of a load that takes longer than expected."""
LOAD_TIMEOUT_S = 5.0
"""Time after which a load that has not completed is considered lost."""
UNLOAD_RETRY_S = 3.0
"""Time before an unload order for the same adapter is repeated."""


class _PendingLoad(msgspec.Struct):
    """Load in progress: when it was ordered and when to check it next."""

    ordered_at: float
    check_at: float


class AdapterOrders:
    """Orders a runner to load and unload adapters, and keeps its slots up to date.

    ``on_loaded`` is called once an adapter is loaded, ``on_change`` after every other
    change of what the runner holds.
    """

    def __init__(
        self,
        ctx: Context,
        orders: RunnerOrders,
        slots: AdapterSlots,
        on_loaded: Callable[[], None],
        on_change: Callable[[], None],
    ) -> None:
        self._ctx = ctx
        self._orders = orders
        self._slots = slots
        self._on_loaded = on_loaded
        self._on_change = on_change
        self._pending: dict[str, _PendingLoad] = {}

    def next_check_at(self) -> float | None:
        """Return when the next load is to be checked, None without loads."""
        return min((load.check_at for load in self._pending.values()), default=None)

    def adopt(self, loading: dict[str, int]) -> None:
        """Replace the loads in progress by those that a report lists."""
        now = self._ctx.clock.monotonic()
        self._pending = {
            key: self._pending.get(key, _PendingLoad(now, now)) for key in loading
        }
        self._slots.loading = loading

    def load(self, adapter: str, version: int, token: int) -> None:
        """Order an adapter loaded at a version, 0 for the newest."""
        outcome = self._orders.send_order(OrderOp.LOAD, adapter, version, token)
        if outcome is OrderOutcome.HOLDS:
            self._record_loaded(adapter, version)
        elif outcome is OrderOutcome.ACCEPTED:
            now = self._ctx.clock.monotonic()
            self._slots.loading[adapter] = version
            self._pending[adapter] = _PendingLoad(now, now + EXPECTED_RELOAD_S)

    def unload(self, adapter: str, token: int) -> bool:
        """Order an adapter evicted; return whether its slot is free."""
        outcome = self._orders.send_order(OrderOp.UNLOAD, adapter, 0, token)
        if outcome is OrderOutcome.HOLDS:
            self._slots.held.pop(adapter, None)
            self._on_change()
            return True
        if outcome is OrderOutcome.ACCEPTED:
            now = self._ctx.clock.monotonic()
            self._slots.unloading[adapter] = now + UNLOAD_RETRY_S
            self._on_change()
        return False

    def replace_old_versions(self, token: int) -> None:
        """Load newly declared versions, the adapter with the most demand first."""
        now = self._ctx.clock.monotonic()
        old = []
        for adapter, version in self._slots.held.items():
            model, _, name = adapter.partition("/")
            newest = self._ctx.directory.version_of(model, name)
            if newest > version and adapter not in self._slots.loading:
                old.append((-self._slots.demand(adapter, now), adapter, newest))
        for _, adapter, newest in sorted(old):
            self.load(adapter, newest, token)

    def check_loads(self, token: int) -> None:
        """Check overdue loads by repeating the order, since the report lags.

        The outcome of a repeated order is "holds" once the adapter is loaded; while it
        is still being loaded, the order has no effect.
        """
        now = self._ctx.clock.monotonic()
        self._slots.expire_unloading(now)
        for adapter, pending in list(self._pending.items()):
            if now < pending.check_at:
                continue
            if now - pending.ordered_at > LOAD_TIMEOUT_S:
                self._orders.invalidate_seq()
                del self._pending[adapter]
                continue
            self._check_load(adapter, pending, token)

    def _check_load(self, adapter: str, pending: _PendingLoad, token: int) -> None:
        version = self._slots.loading.get(adapter, 0)
        outcome = self._orders.repeat_load(adapter, version, token)
        if outcome is OrderOutcome.HOLDS:
            self._record_loaded(adapter, version)
        elif outcome is OrderOutcome.ACCEPTED:
            loaded_at = pending.ordered_at + EXPECTED_LOAD_S
            now = self._ctx.clock.monotonic()
            pending.check_at = max(loaded_at, now + CHECK_INTERVAL_S)

    def _record_loaded(self, adapter: str, version: int) -> None:
        """Record that an adapter is loaded."""
        self._pending.pop(adapter, None)
        self._slots.loading.pop(adapter, None)
        self._slots.held[adapter] = max(1, version, self._slots.held.get(adapter, 0))
        self._on_loaded()
