"""Which VMs know a runner's adapters and load at first hand.

Answers fleets of many VMs: were every change of a runner told to every VM, a VM's
messages would grow with the fleet. Changes are told within the runner's failure domain;
others learn them from the owner's answers. Domains with few runners share them all, so
that their few places for adapters are one pool.
"""

from __future__ import annotations

from collections.abc import Iterable

from ._runners import Runner
from ._views import Member

MIN_NEAR_RUNNERS = 6
"""Runners of a service in a domain from which on its VMs follow only these."""
READERS_PER_DOMAIN = 3
"""VMs of a failure domain that read the store for the others."""
READER_TTL_S = 2.2
"""Time without a word of a reader after which others read the store themselves."""
TAKEOVER_STEP_S = 0.03
"""Time by which each VM further down waits longer to take over."""


def follows_all_domains(near_runners: int) -> bool:
    """Tell whether VMs of a domain with so many runners follow those of all domains."""
    return near_runners < MIN_NEAR_RUNNERS


def is_followed_from(runner: Runner, domain: str, near_runners: int) -> bool:
    """Tell whether VMs of a domain follow a runner's changes."""
    return runner.domain == domain or follows_all_domains(near_runners)


def reads_store(rank: int, heard_at: float, now: float) -> bool:
    """Tell whether a VM reads the store itself: a reader, or one that hears of none.

    The next ones in rank take over first, so that not all of them read at once.
    """
    if rank < READERS_PER_DOMAIN:
        return True
    patience_s = READER_TTL_S + TAKEOVER_STEP_S * min(
        rank - READERS_PER_DOMAIN, READERS_PER_DOMAIN * 5
    )
    return now - heard_at > patience_s


def reader_rank(vm: str, domain: str, members: Iterable[Member]) -> int:
    """Return the place of a VM among those of its domain that could read the store.

    Members that have just started come last, since they may be about to be replaced.
    """
    near = [member for member in members if member.domain == domain]
    order = sorted({(member.is_new, member.vm) for member in near})
    found = [place for place, (_, other) in enumerate(order) if other == vm]
    return found[0] if found else len(order)
