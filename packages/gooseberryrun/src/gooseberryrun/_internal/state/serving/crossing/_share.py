"""Share of a service's requests that goes to each other failure domain.

Made for loads that oscillate by more than half with a different phase in each domain,
and for many VMs that see the same gap at the same time: a fixed price sends either too
few requests or all of them to the domain that looks idle.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import msgspec

from ._pressure import PressureSummary

USUAL_BYTES = 4000
"""Request and response of the usual size."""
COMFORT_SHARE = 0.1
"""Share of the target latency up to which a wait at home harms no caller. In replays
of model runners 0.2 served up to 0.012 fewer requests in time; 0.05 was no better."""
STEP_S = 0.5
"""Time between two calls of ``step``."""
STEP_SHARE = 0.5
"""Share of the remaining gap that one step closes: all VMs see the same gap."""
DAMPING = 0.3
"""Share of a step towards a higher value that is made at once. With STEP_SHARE this
gives a loop gain of 0.15, or 0.3 for two domains that send to the same one. An
integrator with figures three steps old, the oldest that are used, is stable to 0.44."""
FALL = 0.5
"""Factor of a share whose domain has no gap left, over the age of the figures."""
RELAX = 0.9
"""Factor of a share that is not needed any more."""
HOLD_BAND = 0.3
"""Part of the own wait by which the gap may be negative while the share is kept."""
LEAK = 0.95
"""Factor of a share that is kept, so that no share outlasts its reason."""
START_GAP = 0.1
"""Gap, as a part of the own wait, from which on a share of 0 rises."""
MIN_SHARE = 0.02
"""Share below which no requests are sent; it may still rise from there."""
IDLE_SHARE = 0.5
"""Part of another domain's idle slots that one step may claim."""
LOGGED_CHANGE = 0.05
"""Change of a share that is reported."""


class CrossingPrice(msgspec.Struct, frozen=True):
    """Price of sending a request to another failure domain.

    A byte costs ``byte_cost_s`` seconds of waiting that are accepted to save it.
    """

    byte_cost_s: float
    round_trip_s: float = 0.0015

    def total_s(self, size: int = USUAL_BYTES) -> float:
        """Return the price in seconds of a request and its response of ``size``."""
        return self.round_trip_s + self.byte_cost_s * size


class ShareLimits(msgspec.Struct, frozen=True):
    """Limits of a service's shares: their sum, and the target latency of callers."""

    max_share: float
    target_s: float


class ShareChange(msgspec.Struct, frozen=True):
    """Change of a share since it was last reported, with its inputs."""

    domain: str
    share: float
    previous: float
    own: PressureSummary | None
    other: PressureSummary | None


class ShareController:
    """Shares of one service's requests for the other domains, as seen by one VM.

    ``step`` is called at the interval at which summaries are made. Each call corrects
    the shares by the gap that remains, so they need no model of the demand.
    """

    def __init__(self) -> None:
        self._levels: dict[str, float] = {}
        self._shares: dict[str, float] = {}
        self._reported: dict[str, float] = {}
        self._last_waits: dict[str, float] = {}

    @property
    def shares(self) -> Mapping[str, float]:
        """Return the share of each domain that gets requests."""
        return self._shares

    def step(
        self,
        own: PressureSummary | None,
        others: Iterable[PressureSummary],
        price_s: float,
        limits: ShareLimits,
    ) -> list[ShareChange]:
        """Correct the shares by recent summaries; return the larger changes.

        A domain without a recent summary or without servers gets nothing, nor does any
        if there is no recent summary of the own domain.
        """
        known = {other.domain: other for other in others if other.capacity > 0}
        shares: dict[str, float] = {}
        if own is not None and own.capacity > 0:
            kept = max(0.05, 1.0 - sum(self._shares.values()))
            for domain, other in known.items():
                share = self._corrected(own, other, kept, price_s, limits.target_s)
                shares[domain] = share
        total = sum(shares.values())
        scale = limits.max_share / total if total > limits.max_share else 1.0
        self._levels = {domain: share * scale for domain, share in shares.items()}
        self._shares = {d: s for d, s in self._levels.items() if s >= MIN_SHARE}
        self._last_waits = {domain: other.wait_s for domain, other in known.items()}
        return self._changes(own, known)

    def _corrected(
        self,
        own: PressureSummary,
        other: PressureSummary,
        kept: float,
        price_s: float,
        target_s: float,
    ) -> float:
        share = self._levels.get(other.domain, 0.0)
        gap_s = own.wait_s - other.wait_s - price_s
        useful_s = min(gap_s, own.wait_s - COMFORT_SHARE * target_s)
        # Old figures do not show the effect of the latest steps yet.
        steps = 1.0 + max(own.age_s, other.age_s) / STEP_S
        if other.idle <= 0.0 or gap_s <= -price_s:
            return share * float(FALL ** (1.0 / steps))
        if useful_s <= 0.0:
            in_band = useful_s > -HOLD_BAND * own.wait_s
            return share * (LEAK if in_band else RELAX)
        is_rising = other.wait_s > self._last_waits.get(other.domain, math.inf)
        if is_rising and gap_s < price_s:
            return share
        if share < MIN_SHARE and useful_s < START_GAP * own.wait_s:
            return share
        # Moving this part of the demand equalises waits that grow with the load.
        part = useful_s / (own.wait_s * (1.0 + own.capacity / other.capacity))
        rise = DAMPING * STEP_SHARE * part * kept / steps
        demand = max(1.0, own.demand / kept)
        return share + min(rise, IDLE_SHARE * other.idle / demand)

    def _changes(
        self, own: PressureSummary | None, known: Mapping[str, PressureSummary]
    ) -> list[ShareChange]:
        changes = []
        for domain in sorted({*self._shares, *self._reported}):
            share = self._shares.get(domain, 0.0)
            previous = self._reported.get(domain, 0.0)
            has_ended = previous > 0.0 and share == 0.0
            if abs(share - previous) <= LOGGED_CHANGE and not has_ended:
                continue
            self._reported[domain] = share
            changes.append(ShareChange(domain, share, previous, own, known.get(domain)))
        self._reported = {d: share for d, share in self._reported.items() if share}
        return changes
