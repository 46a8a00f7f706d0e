"""Entry VMs whose requests all fail, and the rule that bounds their retries."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from typing import Any

from gooseberryrun._internal.coordination.serving import Context
from gooseberryrun._internal.coordination.serving._attempts import Attempts
from gooseberryrun._internal.state import ManualClock, RetrySettings
from gooseberryrun._internal.state.serving import Member

from tests.lib.fleet import GroupStore, make_members, make_vm

SERVICE = "s"
MAX_RETRIES = 5
"""Retries that each request asks for while it fails."""


def withdraw_retries(attempts: Attempts, most: int) -> int:
    """Retry a request until the budget denies it; return the retries granted."""
    active: Any = type("Active", (), {"sends": 1, "service": SERVICE})()
    active.metadata = type("Metadata", (), {"request_id": "r"})()
    granted = 0
    while granted < most and attempts.withdraw_attempt(active):
        granted += 1
    return granted


def worst_excess(
    cfg: RetrySettings, requests: list[float], retries: list[float]
) -> float:
    """Return by how much the retries of the worst window exceed the allowance.

    The allowance of a window is ``ratio`` times the requests in it, in the window
    before it or in the one half a window before it, whichever has most, plus ``slack``.
    """
    requests, retries = sorted(requests), sorted(retries)
    window_s = cfg.window_s

    def count(times: list[float], start: float) -> int:
        return bisect_right(times, start + window_s) - bisect_left(times, start)

    def excess(start: float) -> float:
        starts = (start, start - window_s / 2, start - window_s)
        most = max(count(requests, begin) for begin in starts)
        return count(retries, start) - cfg.ratio * most - cfg.slack

    return max((excess(start) for start in retries), default=-cfg.slack)


class FailingFleet:
    """VMs that retry each request until the budget denies it, in virtual time.

    All have lived for longer than a window; ``restart`` replaces a VM's process.
    """

    def __init__(self, vms: int, domains: int = 3) -> None:
        self._groups = make_members(domains, vms)
        self.members = [m for group in self._groups.values() for m in group]
        self.clock = ManualClock(1000.0)
        self.requests: list[float] = []
        self.retries: list[float] = []
        self.contexts: dict[str, Context] = {}
        self._attempts: dict[str, Attempts] = {}
        for member in self.members:
            self.restart(member)
        self.clock.now += 2 * self.cfg.window_s

    @property
    def cfg(self) -> RetrySettings:
        """Return the settings of the retry budget."""
        return self.contexts[self.members[0].vm].cfg.repeats

    def restart(self, member: Member) -> Context:
        """Start a new process on a VM, which knows the members from the store."""
        ctx, _ = make_vm(member, GroupStore(self._groups), [], self.clock)
        guard: Any = None
        self.contexts[member.vm] = ctx
        self._attempts[member.vm] = Attempts(ctx, guard)
        return ctx

    def count_request(self, member: Member) -> None:
        """Let a VM take a caller's request."""
        self._attempts[member.vm].count_request(SERVICE)
        self.requests.append(self.clock.boottime())

    def fail_request(self, member: Member) -> int:
        """Let a caller's request fail at every attempt; return its retries."""
        self.count_request(member)
        attempts = self._attempts[member.vm]
        granted = withdraw_retries(attempts, MAX_RETRIES)
        self.retries += [self.clock.boottime()] * granted
        return granted

    def excess(self) -> float:
        """Return by how much the retries of the worst window are too many."""
        return worst_excess(self.cfg, self.requests, self.retries)
