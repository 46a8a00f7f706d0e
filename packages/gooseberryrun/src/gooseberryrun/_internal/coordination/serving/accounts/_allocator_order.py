"""Allocators of an account's usage, in the order in which they are asked."""

from __future__ import annotations

from gooseberryrun._internal.state.serving import View, usage_allocation
from gooseberryrun._internal.state.serving.accounts import UsageCap, allowances

from .._context import Context
from ._account_usage import AccountUsage
from ._capped_accounts import CappedAccounts


class AllocatorOrder:
    """Finds the allocators of accounts."""

    def __init__(self, ctx: Context, accounts: CappedAccounts) -> None:
        self._ctx = ctx
        self._accounts = accounts
        self._assigned: dict[tuple[str, str], tuple[View, str | None]] = {}

    def forget(self) -> None:
        """Drop the assignments that were looked up."""
        self._assigned.clear()

    def divide(self, name: str, cap: UsageCap, usage: AccountUsage) -> None:
        """Update the ranking of the domains that have a part of a cap."""
        domains = self._accounts.domains()
        if usage.divided != (cap, domains):
            parts = allowances(name, cap, self._ctx.cfg.usage, domains)
            usage.divided, usage.ranking = (cap, domains), list(parts)

    def current_ranking(
        self, name: str, cap: UsageCap, usage: AccountUsage
    ) -> list[str]:
        """Return the ranking that ``divide`` would lead to, without keeping it."""
        domains = self._accounts.current_domains()
        if usage.divided == (cap, domains):
            return usage.ranking
        return list(allowances(name, cap, self._ctx.cfg.usage, domains))

    def ordered(self, ranking: list[str], usage: AccountUsage) -> list[str]:
        """Return the domains in the order in which their allocators are asked.

        The own domain is first. Others follow by the account's ranking, but those that
        refused a request until a later time after the rest.
        """
        own = self._ctx.cfg.vm.domain
        now = self._ctx.clock.boottime()
        others = [domain for domain in ranking if domain != own]
        others.sort(key=lambda domain: max(now, usage.refused_until.get(domain, now)))
        return [own, *others] if own in ranking else others

    def allocator(self, name: str, domain: str) -> str | None:
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
