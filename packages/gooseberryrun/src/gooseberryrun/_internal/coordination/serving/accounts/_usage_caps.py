"""Usage caps of client accounts: admission on arrival, and a permit for each send.

A VM asks the allocator of its own failure domain for usage, then those of others. It
holds what it got for a moment only, so that all VMs together keep within the cap
whichever of them fail. Accounts without a cap cost nothing.
"""

from __future__ import annotations

import msgspec

from gooseberryrun._internal.state.serving import View, usage_allocation
from gooseberryrun._internal.state.serving.accounts import (
    MAX_SEND_LAG_S,
    AccountCredit,
    DemandMeter,
    SeparatedUsage,
    UsageCap,
    UsagePermit,
    UsageUnit,
    allowances,
    separated_allowance,
)

from ..._events import log_event
from ..._metrics import USAGE_DECISIONS, USAGE_QUESTIONS
from ..._serving_messages import UsageAnswer, UsageRequest
from .._active_request import ActiveRequest, LocalResponse
from .._context import Context
from .._fleet_knowledge import known_vm_count
from .._peer_requests import SILENCE_S, PeerRequests
from .._responses import refusal_over_cap
from ._capped_accounts import CappedAccounts
from ._usage_allocators import UsageAllocators

MAX_QUESTIONS = 3
"""Allocators that are asked for one request."""
ANSWER_TIMEOUT_S = 0.1
IDLE_TTL_S = 30.0
"""Time after which what is known of an account without requests is dropped."""


class _Usage(msgspec.Struct):
    """What this VM knows of the usage of one account.

    ``ranking`` are the domains that have a part of the cap, in the account's order, and
    ``divided`` the cap and the domains that it follows from.
    """

    unit: UsageUnit
    credit: AccountCredit
    demand: DemandMeter = msgspec.field(default_factory=DemandMeter)
    separated: SeparatedUsage = msgspec.field(default_factory=SeparatedUsage)
    refused_until: dict[str, float] = msgspec.field(default_factory=dict)
    divided: tuple[UsageCap, list[str]] | None = None
    ranking: list[str] = msgspec.field(default_factory=list)
    used_at: float = 0.0


class _Obtained(msgspec.Struct):
    """Permit, or the reason and the retry delay of a refusal."""

    permit: UsagePermit | None
    outcome: str
    retry_in_s: float = 0.0


class UsageCaps:
    """Admits requests of capped accounts, and renews their permits for each send."""

    def __init__(
        self, ctx: Context, allocators: UsageAllocators, accounts: CappedAccounts
    ) -> None:
        self._ctx = ctx
        self._allocators = allocators
        self._accounts = accounts
        self._peers = PeerRequests(ctx, ANSWER_TIMEOUT_S)
        self._usage: dict[str, _Usage] = {}
        self._assigned: dict[tuple[str, str], tuple[View, str | None]] = {}

    def admit(self, active: ActiveRequest) -> LocalResponse | None:
        """Get a permit for a request on arrival; return the response if refused."""
        cap = active.account.cap if active.account else None
        if cap is None:
            return None
        usage = self._usage_of(active, cap)
        usage.demand.record(_cost(active, cap), self._ctx.clock.boottime())
        return self._get_permit(active, cap, usage)

    def renew(self, active: ActiveRequest) -> LocalResponse | None:
        """Give a request a permit to be sent now; return the response if refused."""
        cap = active.account.cap if active.account else None
        if cap is None:
            return None
        permit = active.usage_permit
        if permit is not None and permit.is_valid(self._ctx.clock.boottime()):
            return None
        return self._get_permit(active, cap, self._usage_of(active, cap))

    def release(self, active: ActiveRequest) -> None:
        """Take back the permit of a request that ends without being sent."""
        permit, active.usage_permit = active.usage_permit, None
        if permit is not None and permit.account in self._usage:
            now = self._ctx.clock.boottime()
            self._usage[permit.account].credit.give_back(permit, now)

    def _usage_of(self, active: ActiveRequest, cap: UsageCap) -> _Usage:
        name = active.account.name if active.account else ""
        now = self._ctx.clock.boottime()
        usage = self._usage.get(name)
        if usage is None or usage.unit is not cap.unit:
            self._usage = {
                known: u
                for known, u in self._usage.items()
                if now - u.used_at <= IDLE_TTL_S
            }
            self._assigned.clear()
            credit = AccountCredit(name, cap.unit)
            usage = self._usage[name] = _Usage(cap.unit, credit)
        usage.used_at = now
        return usage

    def _get_permit(
        self, active: ActiveRequest, cap: UsageCap, usage: _Usage
    ) -> LocalResponse | None:
        cost = _cost(active, cap)
        active.usage_permit = None
        obtained = self._obtain(active, cap, cost, usage)
        active.usage_permit = obtained.permit
        USAGE_DECISIONS.labels(outcome=obtained.outcome).inc()
        if obtained.permit is not None:
            return None
        log_event(
            "usage_refused",
            request=active.metadata.request_id,
            account=active.account.name if active.account else "",
            cost=cost,
            retry_in_s=obtained.retry_in_s,
            why=obtained.outcome,
            sends=active.sends,
            configuration=self._accounts.version,
        )
        return refusal_over_cap(active, obtained.retry_in_s)

    def _obtain(
        self, active: ActiveRequest, cap: UsageCap, cost: float, usage: _Usage
    ) -> _Obtained:
        """Get a permit from credit, from an allocator, or from the margin."""
        name = active.account.name if active.account else ""
        permit = usage.credit.take(cost, self._ctx.clock.boottime())
        if permit is not None:
            return _Obtained(permit, "credit")
        retries = []
        asked = 0
        for domain in self._domains(name, cap, usage):
            vm = self._allocator(name, domain)
            if vm is None or self._peers.is_silent(vm):
                continue
            if asked >= MAX_QUESTIONS:
                break
            asked += 1
            asked_at = self._ctx.clock.boottime()
            request = UsageRequest(
                name,
                domain,
                cap.unit.value,
                cost,
                usage.demand.per_s(asked_at),
                self._accounts.version,
            )
            answer = self._ask(vm, request, active.metadata.request_id)
            if answer is None or not answer.is_allocator:
                continue
            if answer.granted >= cost:
                usage.credit.add(answer.granted, asked_at)
                permit = usage.credit.take(cost, self._ctx.clock.boottime())
                if permit is not None:
                    return _Obtained(permit, "granted")
                continue
            usage.refused_until[domain] = asked_at + answer.retry_in_s
            retries.append(answer.retry_in_s)
        if retries:
            return _Obtained(None, "over_cap", min(retries))
        return self._take_separated(name, cap, cost, usage)

    def _take_separated(
        self, name: str, cap: UsageCap, cost: float, usage: _Usage
    ) -> _Obtained:
        """Use this VM's part of the margin, since no allocator answers.

        A process that is younger than the window does not know what its predecessor on
        the VM has used of it.
        """
        now = self._ctx.clock.boottime()
        cfg = self._ctx.cfg.usage
        allowance = separated_allowance(cap, cfg, known_vm_count(self._ctx))
        is_settled = now - self._ctx.started_at > cfg.window_s + MAX_SEND_LAG_S
        if is_settled and usage.separated.try_take(cost, allowance, cfg.window_s, now):
            return _Obtained(UsagePermit(name, cap.unit, cost, now), "separated")
        return _Obtained(None, "no_allocator", SILENCE_S)

    def _ask(
        self, vm: str, request: UsageRequest, request_id: str
    ) -> UsageAnswer | None:
        if vm == self._ctx.vm:
            return self._allocators.answer(request)
        answer = self._peers.ask(vm, request, UsageAnswer, request_id)
        outcome = "unanswered"
        if answer is not None:
            refused = "refused" if answer.is_allocator else "not_allocator"
            outcome = "granted" if answer.granted else refused
        USAGE_QUESTIONS.labels(outcome=outcome).inc()
        return answer

    def _domains(self, name: str, cap: UsageCap, usage: _Usage) -> list[str]:
        """Return the domains in the order in which their allocators are asked.

        The own domain is first. Others follow by the account's ranking, but those that
        refused a request until a later time after the rest.
        """
        own = self._ctx.cfg.vm.domain
        domains = self._accounts.domains()
        if usage.divided != (cap, domains):
            parts = allowances(name, cap, self._ctx.cfg.usage, domains)
            usage.divided, usage.ranking = (cap, domains), list(parts)
        now = self._ctx.clock.boottime()
        others = [domain for domain in usage.ranking if domain != own]
        others.sort(key=lambda domain: max(now, usage.refused_until.get(domain, now)))
        return [own, *others] if own in usage.ranking else others

    def _allocator(self, name: str, domain: str) -> str | None:
        """Return the VM to which the allocation of a domain is assigned."""
        allocation = usage_allocation(name, domain)
        if domain == self._ctx.cfg.vm.domain or domain in self._ctx.covered_domains:
            owner = self._ctx.owner_of(allocation)
            return owner.vm if owner else None
        view = self._ctx.remote_views.get(domain)
        if view is None:
            return None
        key = (name, domain)
        known = self._assigned.get(key)
        if known is None or known[0] is not view:
            owner = view.owner_of(allocation)
            known = self._assigned[key] = (view, owner.vm if owner else None)
        return known[1]


def _cost(active: ActiveRequest, cap: UsageCap) -> float:
    metadata = active.metadata
    return cap.cost(
        metadata.prompt_tokens, metadata.output_tokens, metadata.has_token_count
    )
