"""Allocators of usage: the buckets of the accounts that are assigned to this VM."""

from __future__ import annotations

import math

import msgspec

from gooseberryrun._internal.state.serving import UsageAllocation, usage_allocation
from gooseberryrun._internal.state.serving.accounts import (
    UsageBucket,
    UsageCap,
    allowances,
)

from ..._events import log_event
from ..._ports import InboundMessage
from ..._serving_messages import UsageAnswer, UsageRequest
from .._context import Context
from ._capped_accounts import CappedAccounts

NOT_ALLOCATOR = UsageAnswer(0.0, 0.0, False)


class _Allocator(msgspec.Struct):
    """Bucket of an account in a domain, with what its allowance follows from.

    ``owned_since`` is that of the ownership, which tells acquisitions apart.
    """

    bucket: UsageBucket
    owned_since: float
    cap: UsageCap
    domains: list[str]


class UsageAllocators:
    """Grants usage of the accounts that a domain's ownership assigns to this VM.

    The ownership is checked at each request, and acquired with the first one: an
    account without requests costs nothing. A bucket begins when the ownership of other
    VMs had ended, so it has filled by then. It stays as long as the ownership does,
    also while the lease has run out, so that no amount is granted twice.
    """

    def __init__(self, ctx: Context, accounts: CappedAccounts) -> None:
        self._ctx = ctx
        self._accounts = accounts
        self._allocators: dict[UsageAllocation, _Allocator] = {}
        self._forgotten_at = -math.inf

    def handle_usage_request(
        self, inbound: InboundMessage, request: UsageRequest
    ) -> None:
        """Answer a peer's request at once."""
        inbound.reply(self.answer(request))

    def answer(self, request: UsageRequest) -> UsageAnswer:
        """Grant usage, or tell when the account's next request can be served."""
        allocation = usage_allocation(request.account, request.domain)
        ownership = self._ctx.ownership_for(allocation)
        now = self._ctx.clock.boottime()
        token = ownership.fencing_token(allocation, now)
        owned_since = ownership.owned_since(allocation)
        if owned_since is None:
            self._drop(allocation)
        account = self._accounts.find(request.account)
        if account is None or token is None or owned_since is None:
            return NOT_ALLOCATOR
        if account.cap is None:
            # Only a newer configuration than that of the sender proves that the account
            # has no cap any more.
            is_known = self._accounts.version >= request.configuration_version
            return UsageAnswer(request.cost, 0.0, True) if is_known else NOT_ALLOCATOR
        if account.cap.unit != request.unit:
            return NOT_ALLOCATOR
        bucket = self._bucket(allocation, account.cap, owned_since)
        if bucket is None:
            return NOT_ALLOCATOR
        granted = bucket.take(request.cost, request.demand_per_s, now)
        if granted > 0.0 or request.cost <= 0.0:
            return UsageAnswer(granted, 0.0, True)
        return UsageAnswer(0.0, bucket.retry_in_s(request.cost, now), True)

    def expected_wait_s(
        self, name: str, domain: str, cap: UsageCap, cost: float
    ) -> float | None:
        """Return the wait with which ``answer`` would refuse usage now, 0 if granted.

        None if this VM has not granted any usage of the account yet, so that it is not
        known without acquiring the ownership.
        """
        allocation = usage_allocation(name, domain)
        known = self._allocators.get(allocation)
        ownership = self._ctx.ownership_for(allocation)
        owned_since = ownership.owned_since(allocation)
        if known is None or owned_since is None or known.owned_since != owned_since:
            return None
        now = self._ctx.clock.boottime()
        # The token of an owned allocation is returned without a change of state.
        if ownership.fencing_token(allocation, now) is None:
            return None
        if (known.cap, known.domains) != (cap, self._accounts.current_domains()):
            return None
        return known.bucket.wait_s(cost, now)

    def _bucket(
        self, allocation: UsageAllocation, cap: UsageCap, owned_since: float
    ) -> UsageBucket | None:
        """Return the bucket, a new one if another VM may have granted since.

        None in a domain that has no part of the cap.
        """
        now = self._ctx.clock.boottime()
        domains = self._accounts.domains()
        known = self._allocators.get(allocation)
        is_current = known is not None and known.owned_since == owned_since
        is_same_unit = known is not None and known.cap.unit == cap.unit
        if known and is_current and (known.cap, known.domains) == (cap, domains):
            return known.bucket
        parts = allowances(allocation.account, cap, self._ctx.cfg.usage, domains)
        allowance = parts.get(allocation.domain)
        if allowance is None:
            return None
        if known and is_current and is_same_unit:
            known.bucket.change(allowance, now)
            known.cap, known.domains = cap, domains
            return known.bucket
        self._drop_gone()
        # What was granted in another unit cannot be counted in this one.
        since = now if is_current else max(owned_since, self._forgotten_at)
        bucket = UsageBucket(allowance, since)
        self._allocators[allocation] = _Allocator(bucket, owned_since, cap, domains)
        self._log(allocation, True, now - since)
        return bucket

    def _drop_gone(self) -> None:
        """Forget the accounts that the configuration no longer has.

        One that returns begins empty, since its grants are forgotten as well.
        """
        for allocation in list(self._allocators):
            if self._accounts.find(allocation.account) is None:
                self._drop(allocation)
                self._forgotten_at = self._ctx.clock.boottime()

    def _drop(self, allocation: UsageAllocation) -> None:
        if self._allocators.pop(allocation, None) is not None:
            self._log(allocation, False, 0.0)

    @staticmethod
    def _log(allocation: UsageAllocation, is_allocator: bool, since_s: float) -> None:
        log_event(
            "usage_allocator",
            account=allocation.account,
            domain=allocation.domain,
            is_allocator=is_allocator,
            since_s=since_s,
        )
