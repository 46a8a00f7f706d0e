"""Pauses that keep the refusals of brittle runners below what they bear.

Made for runners that fail if they have to turn away too many requests in a second: each
VM may cause its share of those, so it asks a runner that was full again only after a
time that grows with the number of VMs.
"""

from __future__ import annotations

from collections.abc import Iterable

SHARE_USED = 0.3
"""Part of its share that a VM uses, since VMs may be refused at the same moment."""
PAUSE_JITTER = 0.5
"""Relative jitter, so that VMs which were refused together do not come back so."""


def pause_after_refusal_s(limits: Iterable[float | None], vms: int) -> float:
    """Return for how long a VM sends nothing to a runner that has refused a request.

    ``limits`` are the refusals a second that the runners of its service bear, None for
    those that are not brittle; the lowest counts. 0 if none of them is.
    """
    named = [limit for limit in limits if limit is not None]
    if not named:
        return 0.0
    lowest = min(named)
    if lowest <= 0.0:
        return float("inf")
    return max(1, vms) / (SHARE_USED * lowest)
