"""Sums of load stalls below which no policy can come."""

from __future__ import annotations

import heapq
from collections import Counter

from .workload import BATCH, LOAD_S, SLOTS, Arrival, Scenario

STEP_S = 1.0


def bound_load_stall_s(scenario: Scenario, arrivals: list[Arrival]) -> float:
    """Return the larger of the two bounds."""
    return max(
        bound_by_store(arrivals, scenario.store_rate),
        bound_by_slots(arrivals, scenario.runners * SLOTS),
    )


def bound_by_store(arrivals: list[Arrival], rate: float) -> float:
    """Return the stalls that the store's rate alone makes unavoidable.

    Every adapter must be loaded at least once, and at most ``1 + rate * t`` loads have
    begun by the time t. Grant a clairvoyant policy endless slots, loads before the
    first request, and, at each moment, free choice of which adapters have been loaded:
    then the adapters that are missing are those whose requests are fewest. The number
    of waiting requests at any time is at least that of the fewest, and the sum of the
    stalls is its integral over time.
    """
    counts: Counter[str] = Counter()
    index = 0
    total = 0.0
    now = 0.0
    while True:
        while index < len(arrivals) and arrivals[index].at <= now:
            counts[arrivals[index].model] += 1
            index += 1
        loaded = int(1 + rate * max(0.0, now - LOAD_S))
        missing = sorted(counts.values(), reverse=True)[loaded:]
        # Requests for a missing adapter have waited; count each for this step only if
        # it arrived before the step began.
        total += sum(missing) * STEP_S
        if index == len(arrivals) and not missing:
            return total
        now += STEP_S


def bound_by_slots(arrivals: list[Arrival], slots: int) -> float:
    """Return the stalls that the adapter slots alone make unavoidable.

    Take only adapters with at most some number of requests; the others are given slots
    for nothing. A residency that serves the requests K of an adapter lasts at least
    ``max(max s, sum s / BATCH)`` for the service times s in K, which is at least the
    sum of ``a = s / min(n, BATCH)`` over K, with n all requests of the adapter. Shorten
    each residency to that sum p and spread every ``a`` evenly over it: then the middle
    of the request's share lies ``p / 2`` after the start, and p is at most the sum P of
    the adapter. So the starts sum up to at least the middles less ``n P / 2``. The sum
    of the middles, in any schedule of ``slots`` slots that respects the arrivals, is
    least when the smallest share that has arrived goes first, and all slots together
    work on it. The best of the limits on n counts.
    """
    counts = Counter(arrival.model for arrival in arrivals)
    sizes = sorted({n for n in counts.values() if n <= BATCH})
    return max(
        (_bound_for(arrivals, counts, limit, slots) for limit in sizes), default=0.0
    )


def _bound_for(
    arrivals: list[Arrival], counts: Counter[str], limit: int, slots: int
) -> float:
    chosen = [one for one in arrivals if counts[one.model] <= limit]
    shares = [one.service_s / min(counts[one.model], BATCH) for one in chosen]
    totals: Counter[str] = Counter()
    for one, share in zip(chosen, shares, strict=True):
        totals[one.model] += share  # type: ignore[assignment]
    spread = sum(counts[model] * total / 2 for model, total in totals.items())
    middles = _sum_of_middles([one.at for one in chosen], shares, slots)
    return max(0.0, middles - sum(one.at for one in chosen) - spread)


def _sum_of_middles(arrived: list[float], shares: list[float], slots: int) -> float:
    """Return the least sum of mean busy times, smallest share first, pre-emptive."""
    waiting: list[tuple[float, float]] = []
    now, total, index = 0.0, 0.0, 0
    while index < len(arrived) or waiting:
        if not waiting:
            now = max(now, arrived[index])
        while index < len(arrived) and arrived[index] <= now:
            heapq.heappush(waiting, (shares[index], shares[index]))
            index += 1
        share, left = heapq.heappop(waiting)
        until = arrived[index] if index < len(arrived) else float("inf")
        work_s = min(left / slots, until - now)
        total += (now + work_s / 2) * (work_s * slots / share)
        now += work_s
        if left - work_s * slots > 1e-9:
            heapq.heappush(waiting, (share, left - work_s * slots))
    return total
