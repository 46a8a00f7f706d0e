"""Runners among which one is chosen for a request: a bounded number for any fleet."""

from __future__ import annotations

from gooseberryrun._internal.state import rank_nodes
from gooseberryrun._internal.state.serving import Runner, follows_all_domains
from gooseberryrun._internal.state.serving.placement import WINDOW, rank_weighted

from ._context import Context

HOME_RUNNERS = 2
"""Runners of an adapter's home domain that are candidates in all other domains."""
LARGE_HOMES = 8
"""Home runners of an adapter that are candidates in a domain of more than WINDOW."""
LARGE_HOLDERS = 16
"""Runners that hold the adapter that are candidates in such a domain."""
LARGE_OTHERS = 16
"""Other candidates in such a domain, by the hash of the request: one of these is idle
if many runners are."""
MAX_LISTED = 6 * WINDOW
"""Runners of a service up to which the lists of all of them are searched; they are made
anew with each change of an entry."""


class EligibleRunners:
    """Finds the runners of a service that may get a request."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx

    def find(
        self, service: str, adapter: str, request_id: str, now: float
    ) -> list[Runner]:
        """Return the runners that this VM follows, and an adapter's home runners.

        All domains agree on the home runners, so that loads of a rare adapter are
        shared between domains. Of a domain of more than WINDOW runners only some are
        returned.
        """
        directory = self._ctx.directory
        own = self._ctx.cfg.vm.domain
        rings = directory.rings(service)
        counts = {domain: len(ring) for domain, ring in rings.items()}
        follows_all = follows_all_domains(counts.get(own, 0))
        followed = list(counts) if follows_all else [own]
        if sum(counts.values()) <= MAX_LISTED and all(
            counts[domain] <= WINDOW for domain in followed
        ):
            return self._find_listed(service, adapter, now)
        found = []
        for domain in followed:
            found += self._some(service, domain, adapter, request_id)
        found = [r for r in found if directory.takes_new_work(r, now)]
        if follows_all:
            return found
        known = {runner.id for runner in found}
        homes = self.homes(service, rank_nodes(adapter, counts)[0], adapter)
        return found + [home for home in homes if home.id not in known]

    def _find_listed(self, service: str, adapter: str, now: float) -> list[Runner]:
        """Return all runners that this VM follows, and an adapter's home runners."""
        runners = self._ctx.directory.runners(service, now)
        found = [runner for runner in runners if self._ctx.follows(runner)]
        if len(found) == len(runners):
            return found
        by_domain = self._ctx.directory.runners_by_domain(service)
        domain = rank_nodes(adapter, by_domain)[0]
        homes = {home.id for home in self.homes(service, domain, adapter)}
        known = {runner.id for runner in found}
        home = by_domain[domain]
        return found + [r for r in home if r.id in homes and r.id not in known]

    def homes(
        self, service: str, domain: str, key: str, count: int = HOME_RUNNERS
    ) -> list[Runner]:
        """Return the runners of a domain that are the likeliest to hold an adapter.

        ``key`` is that of the adapter. The first home comes first.
        """
        near = self._near(service, domain, key, WINDOW)
        runners = {runner.id: runner for runner in near}
        weights = {r.id: self._ctx.weights.steps(r.id, r.born_ms) for r in near}
        return [runners[home] for home in rank_weighted(key, weights)[:count]]

    def _near(self, service: str, domain: str, key: str, count: int) -> list[Runner]:
        """Return the runners of a domain that follow the hash of a key on its ring."""
        directory = self._ctx.directory
        ring = directory.rings(service).get(domain)
        ids = ring.window(key, count) if ring is not None else []
        found = [directory.runner(runner) for runner in ids]
        return [runner for runner in found if runner is not None]

    def _some(
        self, service: str, domain: str, adapter: str, request_id: str
    ) -> list[Runner]:
        """Return the runners of a domain that are worth an examination.

        They are all of a domain of at most WINDOW runners; of a larger one the homes of
        the adapter, some that hold it, and some others.
        """
        directory = self._ctx.directory
        if directory.local_runner_count(service, domain) <= WINDOW:
            return self._near(service, domain, adapter, WINDOW)
        found = self.homes(service, domain, adapter, LARGE_HOMES)
        found += self._near(service, domain, request_id, LARGE_OTHERS)
        holders = self._ctx.residency.some_holders(adapter, request_id, LARGE_HOLDERS)
        known = (directory.runner(holder) for holder in holders)
        found += [r for r in known if r and (r.service, r.domain) == (service, domain)]
        return list({runner.id: runner for runner in found}.values())
