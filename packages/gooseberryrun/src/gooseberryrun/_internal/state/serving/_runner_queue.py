"""Requests that wait at a runner's owner for an adapter or for their prompt to start.

Made for loads in which more adapters are wanted than a runner has slots and long
prompts meet there: a request gets its adapter first, and its long prompt is admitted
while it still could go elsewhere.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

from ._adapter_slots import AdapterSlots, SlotWaitEstimator
from ._policy import ServingPolicy
from ._prefill import PrefillAdmission, PrefillLoad
from ._waiting import SlotWait
from .admission import (
    NO_WEIGHTS,
    AccountUsage,
    Claim,
    FairShares,
    choose_displaced,
)

RESERVATION_S = 0.15
"""Time for which a ready adapter is kept for the request it was acquired for."""
MAX_WAITERS = 12
"""Largest number of requests that wait at one runner."""
PLACE_COST_TOKENS = 2400
"""Cost of an adapter's place in tokens of a prompt: about that of a usual prompt, since
places and prompt reading limit what a runner takes about equally."""
CREDIT_TOKENS = 4800
"""Cost by which an account below its share may run ahead: one request's place and
prompt, so that the second of two that come together is not held back for long."""


def adapter_key(model: str, adapter: str) -> str:
    """Return the key of an adapter, unique across models."""
    return f"{model}/{adapter}"


def is_base_model(key: str) -> bool:
    """Return whether a key names a model itself, without an adapter."""
    return key.endswith("/")


@dataclass(slots=True, eq=False)
class Waiter:
    """Request that waits; ``present_at`` is when its adapter was found loaded.

    ``prefill_tokens`` is the length of a prompt that needs a grant, otherwise 0.
    ``position`` is the request's position among those that wait for a slot, 0 if it
    needs none or found an idle one. ``account`` is the client account that sent it, if
    any; ``needs_place`` is set if it made the runner load its adapter, ``is_early`` if
    its caller repeats it before the time named by a refusal.
    """

    request_id: str
    adapter: str
    version: int
    wait: SlotWait
    prefill_tokens: int
    asked_at: float
    present_at: float | None = None
    position: int = 0
    account: str = ""
    needs_place: bool = False
    is_early: bool = False


WaiterT = TypeVar("WaiterT", bound=Waiter)


class RunnerQueue(Generic[WaiterT]):
    """Waiting requests of one runner, its adapter slots and its prompts.

    ``suspected`` are adapters that the runner may have lost. ``max_pause_s`` is the
    longest pause that the streams of the runner may make, ``usage`` what each account
    has used of it. ``known`` is what a previous owner has told of the same incarnation
    of the runner.
    """

    def __init__(
        self,
        max_adapters: int,
        policy: ServingPolicy,
        known: PrefillLoad | None = None,
        weights: Mapping[str, float] = NO_WEIGHTS,
    ) -> None:
        self._policy = policy
        self.slots = AdapterSlots(max_adapters)
        self.prefills = PrefillAdmission(
            known.pace if known else None, known.speed if known else None
        )
        self.slot_waits = SlotWaitEstimator()
        self.suspected: set[str] = set()
        self.waiters: list[WaiterT] = []
        self.max_pause_s = 0.0
        self.usage = AccountUsage(weights)
        self._shares = FairShares(CREDIT_TOKENS, weights)
        self._weights = weights

    def is_present(self, adapter: str, version: int) -> bool:
        """Return whether an adapter is loaded at a version or newer, beyond doubt."""
        if is_base_model(adapter):
            return True
        held = self.slots.held.get(adapter, -1)
        return held >= version and adapter not in self.suspected

    def add(self, waiter: WaiterT, now: float) -> bool:
        """Add a request; return False if too many wait."""
        if len(self.waiters) >= MAX_WAITERS:
            return False
        ahead = self.adapters_without_slot()
        is_coming = self._has_adapter(waiter) or waiter.adapter in self.slots.loading
        waiter.needs_place = not is_coming and waiter.adapter not in ahead
        needs_wait = waiter.needs_place and self.slots.idle_count(now) <= 0
        waiter.position = len(ahead) + 1 if needs_wait else 0
        self.waiters.append(waiter)
        return True

    def make_room(self, waiter: WaiterT, now: float) -> WaiterT | None:
        """Remove and return the request that makes way for one of an account.

        Returns None if none does, or if there is room.
        """
        if len(self.waiters) < MAX_WAITERS or not waiter.account:
            return None
        claims = [self._claim(other, now) for other in self.waiters]
        ranks = self._shares.ranks(claims)
        new = self._claim(waiter, now)
        index = choose_displaced(claims, ranks, new, self._weights)
        return None if index is None else self.waiters.pop(index)

    def _claim(self, waiter: WaiterT, now: float) -> Claim:
        rank = waiter.wait.rank(now, self._policy.late_wait_last)
        priority, is_late, deadline = rank
        cost = _cost_tokens(waiter)
        return Claim(waiter.account, priority, is_late, cost, deadline, waiter.is_early)

    def record_slot(self, waiter: WaiterT, now: float) -> None:
        """Record that a slot has been taken for a request."""
        if waiter.position and self._policy.learns_slot_waits:
            self.slot_waits.record(now - waiter.asked_at, waiter.position)

    def remove(self, waiter: WaiterT) -> None:
        """Remove a request that no longer waits."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def clear(self) -> list[WaiterT]:
        """Remove and return all requests."""
        waiters, self.waiters = self.waiters, []
        return waiters

    def find(self, request_id: str) -> WaiterT | None:
        """Return the waiting request with this id, None if there is none."""
        return next((w for w in self.waiters if w.request_id == request_id), None)

    def by_rank(self, now: float) -> list[WaiterT]:
        """Return the requests in the order in which they are served."""
        late_last = self._policy.late_wait_last
        if not self._has_accounts():
            return sorted(self.waiters, key=lambda w: w.wait.rank(now, late_last))
        ranks = self._shares.ranks([self._claim(w, now) for w in self.waiters])
        ranked = zip(ranks, self.waiters, strict=True)
        return [waiter for _, waiter in sorted(ranked, key=lambda pair: pair[0])]

    def _has_accounts(self) -> bool:
        return any(waiter.account for waiter in self.waiters)

    def adapters_without_slot(self) -> set[str]:
        """Return the adapters that are waited for and have no slot yet."""
        return {
            waiter.adapter
            for waiter in self.waiters
            if not self._has_adapter(waiter)
            and waiter.adapter not in self.slots.loading
        }

    def reserve(self, adapter: str, now: float) -> None:
        """Keep a loaded adapter for the request that is about to use it."""
        if not is_base_model(adapter):
            self.slots.reserve(adapter, now + RESERVATION_S)

    def reserve_for_prompts(self, now: float) -> None:
        """Keep the adapters of long prompts that wait to start."""
        for waiter in self.waiters:
            if waiter.prefill_tokens and self._has_adapter(waiter):
                self.reserve(waiter.adapter, now)

    def take_ready(self, now: float) -> list[WaiterT]:
        """Remove and return the requests that may go to the runner now.

        A long prompt that may not start yet holds back those behind it, so that it is
        not overtaken for ever by shorter ones.
        """
        # Without this, a lapsed grant would keep its deadline, at which the owner looks
        # for work, for as long as all waiting requests lack their adapters.
        self.prefills.expire(now)
        ready = []
        is_held_back = False
        has_accounts = self._has_accounts()
        for waiter in self.by_rank(now):
            if not self._has_adapter(waiter):
                continue
            if waiter.present_at is None:
                waiter.present_at = now
            if waiter.prefill_tokens:
                is_held_back = is_held_back or not self._begin(waiter, now)
                if is_held_back:
                    continue
            ready.append(waiter)
        for waiter in ready:
            self.remove(waiter)
            self.reserve(waiter.adapter, now)
            if has_accounts:
                self._charge(waiter, now)
        return ready

    def _charge(self, waiter: WaiterT, now: float) -> None:
        priority, account = waiter.wait.priority, waiter.account
        waiting = {w.account for w in self.waiters if w.wait.priority == priority}
        self._shares.charge(priority, account, _cost_tokens(waiter), waiting)
        if waiter.needs_place:
            self.usage.record(priority, account, PLACE_COST_TOKENS, now)

    def prefill_load(self, now: float) -> PrefillLoad:
        """Return the load of prompts, those that wait for an adapter included."""
        tokens = [w.prefill_tokens for w in self.waiters if w.prefill_tokens]
        return self.prefills.load(tokens, self.slots.use_count(now), now)

    def _has_adapter(self, waiter: WaiterT) -> bool:
        return self.is_present(waiter.adapter, waiter.version)

    def _begin(self, waiter: WaiterT, now: float) -> bool:
        """Start a long prompt if the streams of the runner bear it."""
        tokens = waiter.prefill_tokens
        if not self.prefills.may_begin(tokens, self.max_pause_s, now):
            return False
        self.prefills.begin(waiter.request_id, tokens, self.max_pause_s, now)
        return True


def _cost_tokens(waiter: Waiter) -> float:
    """Return what a request costs its account, in tokens of a prompt.

    It is never 0, so that requests that wait for the same adapter have an order.
    """
    place = PLACE_COST_TOKENS if waiter.needs_place else 0
    return max(1.0, waiter.prefill_tokens + place)
