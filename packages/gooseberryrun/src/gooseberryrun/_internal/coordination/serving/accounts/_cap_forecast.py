"""What a usage cap would make of a request now, without asking or taking anything."""

from __future__ import annotations

from dataclasses import dataclass, replace

from gooseberryrun._internal.state.serving.accounts import AccountCredit, UsageCap

from .._active_request import ActiveRequest
from .._context import Context
from .._peer_requests import SILENCE_S
from ._account_usage import AccountUsage, UsageQuestion
from ._usage_allocators import UsageAllocators
from ._usage_caps import UsageCaps, usage_cost

ASKS = "asks"
"""Outcome for a request that depends on the answer of another VM."""


@dataclass(frozen=True, slots=True)
class CapForecast:
    """What would become of a request of a capped account.

    ``outcome`` is that of a usage decision, or ``ASKS``. ``asks`` are the allocators
    that would be asked in turn, as far as their answers are known; with ``ASKS`` that
    of the last one is not. ``credit`` and ``cost`` are in units of the cap.
    """

    cap: UsageCap
    cost: float
    credit: float
    last_question: UsageQuestion | None
    outcome: str = "credit"
    asks: tuple[str, ...] = ()
    retry_in_s: float | None = None

    @property
    def is_refused(self) -> bool:
        """Return whether the request would be refused, by what is known here."""
        return self.outcome in ("over_cap", "no_allocator")


class CapForecaster:
    """Follows the steps of ``UsageCaps.admit`` without their effects."""

    def __init__(
        self, ctx: Context, caps: UsageCaps, allocators: UsageAllocators
    ) -> None:
        self._ctx = ctx
        self._caps = caps
        self._allocators = allocators

    def forecast(self, active: ActiveRequest) -> CapForecast | None:
        """Return what ``admit`` would do now, None if the account has no cap."""
        account = active.account
        if account is None or account.cap is None:
            return None
        name, cap = account.name, account.cap
        usage = self._caps.known_usage(name)
        if usage is None or usage.unit is not cap.unit:
            usage = AccountUsage(cap.unit, AccountCredit(name, cap.unit))
        cost = usage_cost(active, cap)
        now = self._ctx.clock.boottime()
        credit = usage.credit.available(now)
        known = CapForecast(cap, cost, credit, usage.last_question)
        if usage.credit.covers(cost, now):
            return known
        waits = []
        ranking = self._caps.order.current_ranking(name, cap, usage)
        for domain, vm in self._caps.to_ask(name, ranking, usage):
            known = replace(known, asks=(*known.asks, vm))
            wait_s = self._expected_wait_s(usage, cap, domain, vm, cost)
            if wait_s is None:
                return replace(known, outcome=ASKS)
            if wait_s <= 0.0:
                return replace(known, outcome="granted")
            waits.append(wait_s)
        if waits:
            return replace(known, outcome="over_cap", retry_in_s=min(waits))
        if self._may_take_separated(cap, cost, usage, now):
            return replace(known, outcome="separated")
        return replace(known, outcome="no_allocator", retry_in_s=SILENCE_S)

    def _expected_wait_s(
        self, usage: AccountUsage, cap: UsageCap, domain: str, vm: str, cost: float
    ) -> float | None:
        """Return the wait that an allocator would answer with, None if unknown.

        That of this VM is known. The refusal of another one is taken to stand until the
        time that it named.
        """
        if vm == self._ctx.vm:
            name = usage.credit.account
            return self._allocators.expected_wait_s(name, domain, cap, cost)
        now = self._ctx.clock.boottime()
        question = usage.questions.get(domain)
        if question is None or not question.refuses(vm, cap, cost, now):
            return None
        return question.retry_at - now

    def _may_take_separated(
        self, cap: UsageCap, cost: float, usage: AccountUsage, now: float
    ) -> bool:
        allowance = self._caps.separated_allowance(cap)
        window_s = self._ctx.cfg.usage.window_s
        return allowance is not None and usage.separated.can_take(
            cost, allowance, window_s, now
        )
