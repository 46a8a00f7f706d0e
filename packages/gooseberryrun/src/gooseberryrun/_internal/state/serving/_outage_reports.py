"""Reports of peers that the store is unreachable, which allow to extend a lease.

Both halves of one bound stand here. All times are seconds on the asking VM's clock,
which counts suspension; clocks of two VMs are never compared, only their rates.

A VM asks its peers, and a report counts from the time ``asked_at`` of the question that
it answers, so a message that was held up gains it nothing. The peer said so after that
time. Until it reaches the store again it acquires no runner, and then it waits for
``TAKEOVER_DELAY_S``: it orders nothing before ``asked_at + TAKEOVER_DELAY_S``. The
lease that its report extends ends at ``asked_at + REPORT_TTL_S``, which is earlier.

The next process on the peer's VM starts after the last report of this one. If the group
does not list that VM any more, the process waits for a whole lease from the first view
that it adopts. So a peer that leaves without the store, and is not listed longer than
the asking VM, vouches for ``asked_at + lease_s``, less the margin of the lease.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

REPORT_TTL_S = 1.9
"""Time after a question for which its answer extends a lease."""
TAKEOVER_DELAY_S = 2.0
"""Time for which a VM that reaches the store again acquires no runner."""
LAPSE_SLACK_S = 1.0
"""Time after a lease within which the store removes the member from the group."""


class OutageReport(msgspec.Struct, frozen=True):
    """Answer to the question of ``asked_at``; ``deadline`` is its end of validity.

    A peer that reaches the store vouches for nothing: its deadline is minus infinity.
    """

    asked_at: float
    deadline: float


class Departure(msgspec.Struct, frozen=True):
    """Last report of a process that cannot reach the store and is about to exit.

    Its membership was last renewed at ``renewed_at`` or earlier; ``left_at`` is when
    the report was received.
    """

    asked_at: float
    renewed_at: float
    left_at: float


class OutageReports:
    """Newest report of each peer."""

    def __init__(self, lease_s: float, margin_s: float) -> None:
        """Start without a report; the lease lasts ``lease_s`` less ``margin_s``."""
        self._lease_s = lease_s
        self._margin_s = margin_s
        self._reports: dict[str, OutageReport] = {}

    def record(self, vm: str, asked_at: float, can_reach_store: bool) -> None:
        """Record a peer's answer to the question of ``asked_at``."""
        known = self._reports.get(vm)
        if can_reach_store:
            self._reports[vm] = OutageReport(asked_at, float("-inf"))
        elif known is None or asked_at > known.asked_at:
            self._reports[vm] = OutageReport(asked_at, asked_at + REPORT_TTL_S)

    def record_departure(
        self, vm: str, departure: Departure, own_renewed_at: float
    ) -> None:
        """Record a peer's last report, with the last renewal of this VM."""
        ttl_s = REPORT_TTL_S
        if self._is_unlisted(departure, own_renewed_at):
            ttl_s = max(ttl_s, self._lease_s - self._margin_s)
        deadline = departure.asked_at + ttl_s
        self._reports[vm] = OutageReport(departure.asked_at, deadline)

    def _is_unlisted(self, departure: Departure, own_renewed_at: float) -> bool:
        """Return whether the group lists the peer no longer than this VM.

        Else its next process might resume the ownership of this VM's runners.
        """
        lapsed_at = departure.renewed_at + self._lease_s + LAPSE_SLACK_S
        return departure.renewed_at <= own_renewed_at or lapsed_at <= departure.left_at

    def forget(self, vm: str) -> None:
        """Forget the reports of a peer whose process has left."""
        self._reports.pop(vm, None)

    def deadline(self, vms: Iterable[str]) -> float:
        """Return until when all of these VMs vouch that none of them takes over."""
        unknown = OutageReport(float("-inf"), float("-inf"))
        reports = [self._reports.get(vm, unknown) for vm in vms]
        return min((report.deadline for report in reports), default=float("inf"))

    def expire(self, now: float) -> None:
        """Forget reports that have no effect any more."""
        self._reports = {
            vm: report for vm, report in self._reports.items() if now < report.deadline
        }
