"""Lower bounds on the sum of load stalls that any policy can reach."""

from __future__ import annotations

import heapq
from collections import Counter

from .workload import BATCH, LOAD_S, SLOTS, Arrival, Scenario

STEP_S = 1.0
"""Time step of the integration of waiting requests."""


def bound_load_stall_s(scenario: Scenario, arrivals: list[Arrival]) -> float:
    """Return the larger of the bounds by the store's rate and by adapter slots."""
    return max(
        bound_by_store(arrivals, scenario.store_rate),
        bound_by_slots(arrivals, scenario.runners * SLOTS),
    )


def bound_by_store(arrivals: list[Arrival], rate: float) -> float:
    """Return the stalls in seconds that the store's rate makes unavoidable.

    Every adapter must be loaded at least once, and at most ``1 + rate * t`` loads have
    begun by time t. The bound assumes unlimited slots, loads before the first request,
    and a free choice, at each moment, of which adapters have been loaded. The adapters
    still missing are then those with the fewest requests. At any time at least their
    requests are waiting, and the sum of the stalls is the integral of that number.
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
        # Counts a request for a missing adapter only in steps that begin after its
        # arrival, so that the sum stays a lower bound.
        total += sum(missing) * STEP_S
        if index == len(arrivals) and not missing:
            return total
        now += STEP_S


def bound_by_slots(arrivals: list[Arrival], slots: int) -> float:
    """Return the stalls in seconds that the adapter slots make unavoidable.

    Only adapters with at most some number of requests are counted; the others are
    assumed to need no slot. A residency that serves the requests K of an adapter lasts
    at least ``max(max s, sum s / BATCH)`` for the service times s in K, which is at
    least the sum of ``a = s / min(n, BATCH)`` over K, with n all requests of the
    adapter. Shorten each residency to that sum p and spread every ``a`` evenly over it:
    then the midpoint of the request's share lies ``p / 2`` after the start, and p is at
    most the sum P of the adapter. So the starts sum up to at least the midpoints less
    ``n P / 2``. The sum of the midpoints, in any schedule of ``slots`` slots that
    respects the arrivals, is least when the smallest share that has arrived is served
    first, by all slots together. The result is the largest bound over the limits on n.
    """
    counts = Counter(arrival.model for arrival in arrivals)
    sizes = sorted({n for n in counts.values() if n <= BATCH})
    return max(
        (_bound_by_slots_for(arrivals, counts, limit, slots) for limit in sizes),
        default=0.0,
    )


def _bound_by_slots_for(
    arrivals: list[Arrival], counts: Counter[str], limit: int, slots: int
) -> float:
    """Return the bound for adapters with at most ``limit`` requests."""
    chosen = [arrival for arrival in arrivals if counts[arrival.model] <= limit]
    shares = [
        arrival.service_s / min(counts[arrival.model], BATCH) for arrival in chosen
    ]
    totals: Counter[str] = Counter()
    for arrival, share in zip(chosen, shares, strict=True):
        totals[arrival.model] += share  # type: ignore[assignment]
    half_residencies_s = sum(
        counts[model] * total / 2 for model, total in totals.items()
    )
    midpoints = _min_midpoint_sum([arrival.at for arrival in chosen], shares, slots)
    return max(
        0.0, midpoints - sum(arrival.at for arrival in chosen) - half_residencies_s
    )


def _min_midpoint_sum(arrived: list[float], shares: list[float], slots: int) -> float:
    """Return the least sum of the shares' mean busy times.

    It is reached by a pre-emptive schedule that serves the smallest share first.
    """
    waiting: list[tuple[float, float]] = []
    now, total, index = 0.0, 0.0, 0
    while index < len(arrived) or waiting:
        if not waiting:
            now = max(now, arrived[index])
        while index < len(arrived) and arrived[index] <= now:
            heapq.heappush(waiting, (shares[index], shares[index]))
            index += 1
        share, remaining_s = heapq.heappop(waiting)
        until = arrived[index] if index < len(arrived) else float("inf")
        work_s = min(remaining_s / slots, until - now)
        total += (now + work_s / 2) * (work_s * slots / share)
        now += work_s
        if remaining_s - work_s * slots > 1e-9:
            heapq.heappush(waiting, (share, remaining_s - work_s * slots))
    return total
