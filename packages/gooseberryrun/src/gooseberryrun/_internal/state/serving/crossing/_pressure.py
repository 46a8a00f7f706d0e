"""Pressure of a service in a failure domain, as its readers summarise it.

Made for loads that oscillate with a different phase in each failure domain, and for
domains with fewer servers than their callers need: the VMs of a domain know its own
servers well and those of other domains hardly at all.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import msgspec

from .._loads import RESULT_WINDOW_S
from .._placement import Candidate, overflow_s
from .._policy import ServingPolicy

MAX_AGE_S = 1.5
"""Age up to which a summary is used and passed on."""
MAKER_TTL_S = 5.0
"""Time for which the clock of a summary's maker is remembered; after a restart of the
VM it begins anew."""
DEFAULT_WORK_S = 0.05
"""Work per plain request that is assumed while too few results are known."""
MIN_RESULTS = 6
"""Results from which on the work per plain request is estimated from them."""
MAX_WORK_S = 2.0
SMOOTHING = 0.5
"""Weight of the earlier counts of requests in flight: at a server of 6 slots a single
count varies by a half, and shares that follow it cross needlessly."""
MAX_UTILISATION = 0.97
"""Utilisation at which the expected wait of a queue is cut off: it diverges at 1."""


class PressureSummary(msgspec.Struct, frozen=True, array_like=True):
    """Load of one service in one failure domain.

    ``capacity`` and ``running`` count slots, ``waiting`` requests beyond them or in
    owners' queues. ``wait_s`` is the expected wait of a request that arrives now, its
    own work excluded. ``age_s`` is the time since the figures were collected. ``maker``
    is the VM that made the summary, at ``made_at`` seconds on its own clock.
    """

    domain: str
    service: str
    servers: int
    capacity: int
    running: float
    waiting: float
    wait_s: float
    age_s: float = 0.0
    maker: str = ""
    made_at: float = 0.0

    @property
    def is_valid(self) -> bool:
        """Return whether the figures can be used."""
        figures = (self.running, self.waiting, self.wait_s)
        is_finite = all(0.0 <= figure < math.inf for figure in figures)
        return is_finite and 0.0 <= self.age_s <= MAX_AGE_S and self.capacity >= 0

    @property
    def idle(self) -> float:
        """Return the number of slots that are not used or waited for."""
        return max(0.0, self.capacity - self.running - self.waiting)

    @property
    def demand(self) -> float:
        """Return the requests that run or wait, in slots."""
        return self.running + self.waiting


class ServerLoad(msgspec.Struct, frozen=True):
    """Load of one usable server; ``wait_s`` is the expected wait there."""

    slots: int
    in_flight: float
    waiting: float
    wait_s: float


class PlainLoad(msgspec.Struct, frozen=True):
    """Load of one usable plain server; ``answered`` in the last RESULT_WINDOW_S."""

    slots: int
    in_flight: float
    answered: int


def summarise(
    domain: str, service: str, loads: Iterable[ServerLoad]
) -> PressureSummary:
    """Return the summary of a service's usable servers; waits weigh by slots."""
    found = list(loads)
    capacity = sum(load.slots for load in found)
    running = sum(min(load.in_flight, load.slots) for load in found)
    over = sum(max(0.0, load.in_flight - load.slots) for load in found)
    waiting = over + sum(load.waiting for load in found)
    weighted = sum(load.slots * load.wait_s for load in found)
    return PressureSummary(
        domain,
        service,
        len(found),
        capacity,
        round(running, 1),
        round(waiting, 1),
        round(weighted / capacity, 4) if capacity else 0.0,
    )


def summarise_plain(
    domain: str,
    service: str,
    servers: Iterable[PlainLoad],
    coverage: float,
) -> PressureSummary:
    """Return the summary of plain servers.

    ``coverage`` is the share of the VMs whose figures the loads contain. All servers
    count as one pool, since every VM may send to each of them.
    """
    loads = [(load.slots, load.in_flight / coverage, load.answered) for load in servers]
    slots = sum(load[0] for load in loads)
    in_flight = sum(load[1] for load in loads)
    answered = sum(load[2] for load in loads)
    per_s = answered / coverage / RESULT_WINDOW_S
    has_results = answered >= MIN_RESULTS and in_flight > 0
    work_s = min(in_flight, slots) / per_s if has_results else DEFAULT_WORK_S
    wait_s = queue_wait_s(slots, in_flight, min(MAX_WORK_S, work_s))
    return summarise(
        domain,
        service,
        [ServerLoad(size, busy, 0.0, wait_s) for size, busy, _ in loads],
    )


def queue_wait_s(slots: int, in_flight: float, work_s: float) -> float:
    """Return the expected wait at ``slots`` servers with ``in_flight`` requests.

    Below full use this is Sakasegawa's approximation of the M/M/c queue; requests
    beyond the slots add the time that the slots need for them.
    """
    if slots <= 0:
        return 0.0
    used = min(MAX_UTILISATION, in_flight / slots)
    queued: float = used ** (math.sqrt(2 * (slots + 1)) - 1) / (slots * (1 - used))
    return work_s * (queued + max(0.0, in_flight - slots) / slots)


def model_wait_s(candidate: Candidate, policy: ServingPolicy) -> float:
    """Return the expected wait at a model runner before its next prompt is read."""
    load = candidate.prefill
    unread_s = load.pace.prefill_s(candidate.view.unread_tokens)
    read_s = max(unread_s, load.running_s + load.waiting_s)
    slowness = candidate.view.slowness if policy.follows_slowness else 1.0
    wait_s = slowness * read_s + overflow_s(candidate, policy)
    queue_s = max(0, candidate.waiting - candidate.available_slots)
    if not candidate.available_slots:
        wait_s += queue_s * candidate.slot_wait_s
    return max(wait_s, candidate.turn_wait_s)


class SmoothedCounts:
    """Average of the latest counts of requests in flight at each server."""

    def __init__(self) -> None:
        self._averages: dict[str, float] = {}

    def update(self, counts: Mapping[str, int]) -> dict[str, float]:
        """Add the counts of one round; return the averages of these servers."""
        self._averages = {
            server: count + SMOOTHING * (self._averages.get(server, count) - count)
            for server, count in counts.items()
        }
        return self._averages


class PressureTable:
    """Newest summary of each failure domain and service, with the time of its figures.

    Its size is the number of domains times that of services, whatever the number of
    VMs and servers.
    """

    def __init__(self) -> None:
        self._newest: dict[tuple[str, str], tuple[float, PressureSummary]] = {}
        self._made: dict[tuple[str, str, str], tuple[float, float]] = {}

    def update(self, summary: PressureSummary, now: float) -> bool:
        """Store a summary unless a newer one is known or it is too old to be used.

        Ages do not count the time on the way, which is long if this VM was suspended.
        Summaries of one VM are therefore compared by its own clock: one that comes back
        by another way does not look newer than it is.
        """
        if not summary.is_valid:
            return False
        key = (summary.service, summary.domain)
        maker_key = (*key, summary.maker)
        made_at, _ = self._made.get(maker_key, (-math.inf, 0.0))
        if summary.made_at <= made_at:
            return False
        measured_at = now - summary.age_s
        self._made[maker_key] = (summary.made_at, now)
        known = self._newest.get(key)
        is_successor = known is not None and known[1].maker == summary.maker
        if known is not None and known[0] >= measured_at and not is_successor:
            return False
        self._newest[key] = (measured_at, summary)
        return True

    def find(self, service: str, domain: str, now: float) -> PressureSummary | None:
        """Return a summary that is not too old, with its age, None if there is none."""
        known = self._newest.get((service, domain))
        if known is None or now - known[0] > MAX_AGE_S:
            return None
        return msgspec.structs.replace(known[1], age_s=now - known[0])

    def recent(self, now: float, domain: str | None = None) -> list[PressureSummary]:
        """Return all summaries that may be used, of one domain if it is given."""
        self._newest = {
            key: known
            for key, known in self._newest.items()
            if now - known[0] <= MAX_AGE_S
        }
        self._made = {
            key: made
            for key, made in self._made.items()
            if now - made[1] <= MAKER_TTL_S
        }
        return [
            msgspec.structs.replace(summary, age_s=round(now - at, 3))
            for at, summary in self._newest.values()
            if domain is None or summary.domain == domain
        ]

    def services(self) -> set[str]:
        """Return the services of which there is a summary."""
        return {service for service, _ in self._newest}
