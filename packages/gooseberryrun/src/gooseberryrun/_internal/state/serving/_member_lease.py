"""Lease of a member of a group of entry VMs."""

from __future__ import annotations

import math

from .._serving_settings import MembershipSettings


class MemberLease:
    """Time up to which a member may order the runners that it owns.

    Times are seconds on a clock that also counts while the VM is suspended.
    """

    def __init__(self, cfg: MembershipSettings) -> None:
        """Start without a lease."""
        self._cfg = cfg
        self.renewed_at = float("-inf")
        self.deadline = float("-inf")
        self._extended_deadline = float("-inf")

    @property
    def local_deadline(self) -> float:
        """Return the deadline for runners of the own domain, extensions included."""
        return max(self.deadline, self._extended_deadline)

    def has_expired(self, now: float) -> bool:
        """Return whether there was a lease that has ended."""
        return math.isfinite(self.renewed_at) and now > self.local_deadline

    def renew(self, requested_at: float) -> None:
        """Renew the lease from the time of the request on."""
        self.renewed_at = max(self.renewed_at, requested_at)
        self.deadline = self.renewed_at + self._cfg.lease_s - self._cfg.margin_s

    def extend(self, until: float, is_unreachable_for_all: bool) -> None:
        """Extend the lease on runners of the own domain.

        Members of other domains may take over after ``outside_s``, unless they cannot
        reach the store either.
        """
        if not is_unreachable_for_all:
            latest = self.renewed_at + self._cfg.outside_s - self._cfg.margin_s
            until = min(until, latest)
        self._extended_deadline = max(self._extended_deadline, until)

    def end(self) -> None:
        """Give the lease up."""
        self.deadline = float("-inf")
        self._extended_deadline = float("-inf")
