"""Which VMs follow a runner's state, and which read the store.

If every change of a runner were sent to every VM, a VM's messages would grow with the
fleet. Changes are sent within the runner's failure domain; VMs of other domains get
them from the owner's responses. VMs of a domain with few runners follow the runners
of all domains, so that the few adapter slots form one pool.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from ._read_schedule import ReadSchedule
from ._runners import Runner
from ._views import Member

MIN_LOCAL_RUNNERS = 6
"""Runners of a service in a domain at or above which its VMs follow only these."""
READERS_PER_DOMAIN = 3
"""VMs of a failure domain that read the store on behalf of the others."""


def follows_all_domains(local_runners: int) -> bool:
    """Return whether VMs of a domain with so many runners follow all domains."""
    return local_runners < MIN_LOCAL_RUNNERS


def is_followed_from(runner: Runner, domain: str, local_runners: int) -> bool:
    """Return whether VMs of a domain follow a runner's state."""
    return runner.domain == domain or follows_all_domains(local_runners)


def reads_store(
    rank: int, notice_received_at: float, now: float, schedule: ReadSchedule
) -> bool:
    """Return whether a VM reads the store: as a reader, or for lack of a notice of one.

    Lower ranks take over first, so that the VMs do not all read at once.
    """
    if rank < READERS_PER_DOMAIN:
        return True
    return now - notice_received_at > schedule.takeover_s(rank - READERS_PER_DOMAIN)


def readers(domain: str, members: Iterable[Member]) -> list[str]:
    """Return the VMs that read the store for a failure domain, by rank."""
    ranked = heapq.nsmallest(READERS_PER_DOMAIN, _reading_keys(domain, members))
    return [vm for _, vm in ranked]


def reader_rank(vm: str, domain: str, members: Iterable[Member]) -> int:
    """Return the rank of a VM among the members of its domain as a store reader.

    Members that have just started come last, since they may soon be replaced.
    """
    order = sorted(_reading_keys(domain, members))
    found = [rank for rank, (_, other) in enumerate(order) if other == vm]
    return found[0] if found else len(order)


def _reading_keys(domain: str, members: Iterable[Member]) -> set[tuple[bool, str]]:
    """Return a key for each member of a domain, by which they are ranked as readers."""
    return {(member.is_new, member.vm) for member in members if member.domain == domain}
