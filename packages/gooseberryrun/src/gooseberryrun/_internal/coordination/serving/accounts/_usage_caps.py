"""Usage caps of client accounts: admission on arrival, and a permit for each send.

A VM asks the allocator of its own failure domain for usage, then those of others. It
holds what it got for a moment only, so that all VMs together keep within the cap
whichever of them fail. Accounts without a cap cost nothing.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from gooseberryrun._internal.state.serving.accounts import (
    MAX_SEND_LAG_S,
    AccountCredit,
    GrantPart,
    UsageCap,
    UsagePermit,
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
from ._account_usage import (
    GRANTED,
    NOT_ALLOCATOR,
    REFUSED,
    UNANSWERED,
    AccountUsage,
    UsageQuestion,
)
from ._allocator_order import AllocatorOrder
from ._capped_accounts import CappedAccounts
from ._usage_allocators import UsageAllocators

MAX_QUESTIONS = 3
"""Allocators that are asked for one request."""
ANSWER_TIMEOUT_S = 0.1
IDLE_TTL_S = 30.0
"""Time after which what is known of an account without requests is dropped."""


@dataclass(slots=True)
class _Obtained:
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
        self._usage: dict[str, AccountUsage] = {}
        self.order = AllocatorOrder(ctx, accounts)

    def admit(self, active: ActiveRequest) -> LocalResponse | None:
        """Get a permit for a request on arrival; return the response if refused."""
        cap = active.account.cap if active.account else None
        if cap is None:
            return None
        usage = self._usage_of(active, cap)
        usage.demand.record(usage_cost(active, cap), self._ctx.clock.boottime())
        return self._get_permit(active, cap, usage)

    def renew(self, active: ActiveRequest) -> LocalResponse | None:
        """Give a request a permit to be sent now; return the response if refused."""
        cap = active.account.cap if active.account else None
        if cap is None:
            return None
        permit = active.usage_permit
        if permit is not None and permit.is_valid(self._ctx.clock.boottime()):
            return None
        unused = permit.parts if permit is not None else ()
        return self._get_permit(active, cap, self._usage_of(active, cap), unused)

    def release(self, active: ActiveRequest) -> None:
        """Take back the permit of a request that ends without being sent."""
        permit, active.usage_permit = active.usage_permit, None
        if permit is not None and permit.account in self._usage:
            now = self._ctx.clock.boottime()
            self._usage[permit.account].credit.give_back(permit, now)

    def known_usage(self, name: str) -> AccountUsage | None:
        """Return what is known of an account's usage, None if nothing is."""
        return self._usage.get(name)

    def _usage_of(self, active: ActiveRequest, cap: UsageCap) -> AccountUsage:
        name = active.account_name
        now = self._ctx.clock.boottime()
        usage = self._usage.get(name)
        if usage is None or usage.unit is not cap.unit:
            self._usage = {
                known: u
                for known, u in self._usage.items()
                if now - u.used_at <= IDLE_TTL_S
            }
            self.order.forget()
            credit = AccountCredit(name, cap.unit)
            usage = self._usage[name] = AccountUsage(cap.unit, credit)
        usage.used_at = now
        return usage

    def _get_permit(
        self,
        active: ActiveRequest,
        cap: UsageCap,
        usage: AccountUsage,
        unused: tuple[GrantPart, ...] = (),
    ) -> LocalResponse | None:
        """Get a permit; ``unused`` are the parts of an older one that is void now."""
        cost = usage_cost(active, cap)
        active.usage_permit = None
        obtained = self._obtain(active, cap, cost, usage, unused)
        active.usage_permit = obtained.permit
        USAGE_DECISIONS.labels(outcome=obtained.outcome).inc()
        if obtained.permit is not None:
            return None
        log_event(
            "usage_refused",
            request=active.metadata.request_id,
            account=active.account_name,
            cost=cost,
            retry_in_s=obtained.retry_in_s,
            why=obtained.outcome,
            sends=active.sends,
            configuration=self._accounts.version,
        )
        return refusal_over_cap(active, obtained.retry_in_s)

    def _obtain(
        self,
        active: ActiveRequest,
        cap: UsageCap,
        cost: float,
        usage: AccountUsage,
        unused: tuple[GrantPart, ...],
    ) -> _Obtained:
        """Get a permit from credit, from an allocator, or from the margin."""
        name = active.account_name
        permit = usage.credit.take(cost, self._ctx.clock.boottime())
        if permit is not None:
            return _Obtained(permit, "credit")
        self.order.divide(name, cap, usage)
        retries = []
        for domain, vm in self.to_ask(name, usage.ranking, usage):
            asked_at = self._ctx.clock.boottime()
            request = UsageRequest(
                name,
                domain,
                cap.unit.value,
                cost,
                usage.demand.per_s(asked_at),
                self._accounts.version,
                tuple((p.granted_at, p.amount) for p in unused if p.domain == domain),
            )
            answer = self._ask(vm, request, active.metadata.request_id)
            question = UsageQuestion(domain, vm, cap, cost, asked_at, _outcome(answer))
            if answer and question.outcome == REFUSED:
                retry_at = asked_at + answer.retry_in_s
                question = replace(question, retry_at=retry_at)
            usage.record(question)
            if answer is None or not answer.is_allocator:
                continue
            if answer.granted >= cost:
                grant = (domain, answer.granted_at)
                usage.credit.add(answer.granted, asked_at, grant)
                permit = usage.credit.take(cost, self._ctx.clock.boottime())
                if permit is not None:
                    return _Obtained(permit, "granted")
                continue
            usage.refused_until[domain] = asked_at + answer.retry_in_s
            retries.append(answer.retry_in_s)
        if retries:
            return _Obtained(None, "over_cap", min(retries))
        return self._take_separated(name, cap, cost, usage)

    def to_ask(
        self, name: str, ranking: list[str], usage: AccountUsage
    ) -> Iterator[tuple[str, str]]:
        """Yield the domains and VMs that are asked for one request, in order."""
        asked = 0
        for domain in self.order.ordered(ranking, usage):
            vm = self.order.allocator(name, domain)
            if vm is None or self._peers.is_silent(vm):
                continue
            if asked >= MAX_QUESTIONS:
                return
            asked += 1
            yield domain, vm

    def _take_separated(
        self, name: str, cap: UsageCap, cost: float, usage: AccountUsage
    ) -> _Obtained:
        """Use this VM's part of the margin, since no allocator answers."""
        now = self._ctx.clock.boottime()
        window_s = self._ctx.cfg.usage.window_s
        allowance = self.separated_allowance(cap)
        if allowance is not None and usage.separated.try_take(
            cost, allowance, window_s, now
        ):
            return _Obtained(UsagePermit(name, cap.unit, cost, now), "separated")
        return _Obtained(None, "no_allocator", SILENCE_S)

    def separated_allowance(self, cap: UsageCap) -> float | None:
        """Return this VM's part of the margin, None while it may not use it.

        A process that is younger than the window does not know what its predecessor on
        the VM has used of it.
        """
        cfg = self._ctx.cfg.usage
        age_s = self._ctx.clock.boottime() - self._ctx.started_at
        if age_s <= cfg.window_s + MAX_SEND_LAG_S:
            return None
        return separated_allowance(cap, cfg, known_vm_count(self._ctx))

    def _ask(
        self, vm: str, request: UsageRequest, request_id: str
    ) -> UsageAnswer | None:
        if vm == self._ctx.vm:
            return self._allocators.answer(request)
        answer = self._peers.ask(vm, request, UsageAnswer, request_id)
        USAGE_QUESTIONS.labels(outcome=_outcome(answer)).inc()
        return answer


def _outcome(answer: UsageAnswer | None) -> str:
    """Return the outcome of a question."""
    if answer is None:
        return UNANSWERED
    if answer.granted:
        return GRANTED
    return REFUSED if answer.is_allocator else NOT_ALLOCATOR


def usage_cost(active: ActiveRequest, cap: UsageCap) -> float:
    metadata = active.metadata
    return cap.cost(
        metadata.prompt_tokens, metadata.output_tokens, metadata.has_token_count
    )
