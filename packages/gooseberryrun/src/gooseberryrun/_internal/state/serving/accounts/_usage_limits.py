"""Parts of a usage cap: those of the failure domains, and that of a VM without them.

Made for caps of which all entry VMs together may use a little more than granted: some
usage is sent later than it was granted, a request may cost more than a failure domain's
part of the burst, and a VM that reaches no allocator still serves a little. The bound
on the usage of a window leaves a margin beyond the cap, which pays for all of it:

    granted in the window or up to MAX_SEND_LAG_S before   rate x (window + lag) + burst
    bursts of large requests                               LARGE_REQUEST_SHARE x margin
    VMs that reach no allocator                            SEPARATED_SHARE x margin
"""

from __future__ import annotations

import msgspec

from ..._hashing import rank_nodes
from ..._serving_settings import UsageSettings
from ._accounts import UsageCap, UsageUnit

EPSILON = 1e-6
"""Units by which sums of amounts may differ by rounding."""
CREDIT_TTL_S = 0.4
"""Time from a VM's request for credit for which it may admit requests on it."""
MAX_SEND_LAG_S = 0.8
"""Longest time between a grant and the send of a request that uses it."""
LARGE_REQUEST_SHARE = 0.7
"""Share of the margin for requests that cost more than a domain's part of the burst."""
HOME_SHARE = 0.6
"""Share of that for the first domain of the account's ranking, which serves the largest
requests; the rest is divided evenly."""
SEPARATED_SHARE = 0.2
"""Share of the margin for VMs that reach no allocator.

The rest covers VMs that know fewer VMs than there are, and requests that a suspended VM
was about to write when it stopped.
"""
USUAL_TOKENS = 2_400.0
"""Tokens of a usual request."""
LARGEST_TOKENS = 4 * USUAL_TOKENS
"""Tokens of the largest requests."""
MIN_BURST_REQUESTS = 1.2
"""Usual requests that a domain's part has to hold at least.

A bucket that holds just one is full, and gains nothing, until the next request comes.
"""


class DomainAllowance(msgspec.Struct, frozen=True):
    """What one failure domain may grant of an account's cap, in units of the cap.

    Within any time ``t`` it grants at most ``rate_per_s * t + max_burst``. A request
    that costs more than ``max_burst`` may leave a debt of up to ``max_debt``, as far as
    that holds for ``window_s``. The bucket holds ``capacity``, at most ``max_burst``:
    the burst, or two of the largest requests if that is more. Full with a single one,
    it would gain nothing until the next comes. ``total_rate_per_s`` is the rate of all
    domains.
    """

    rate_per_s: float
    capacity: float
    max_burst: float
    window_s: float
    total_rate_per_s: float
    max_debt: float = 0.0

    @property
    def window_limit(self) -> float:
        """Return the most that may be granted in a window."""
        return self.rate_per_s * self.window_s + self.max_burst


def allowances(
    account: str, cap: UsageCap, cfg: UsageSettings, domains: list[str]
) -> dict[str, DomainAllowance]:
    """Return the parts of the failure domains by domain, in the account's order.

    A cap is divided among all domains unless a part would not hold a usual request.
    """
    window_s = cfg.window_s + MAX_SEND_LAG_S
    rate_per_s = min(cap.rate_per_s, (_bound(cap, cfg) - cap.burst) / window_s)
    rate_per_s = max(0.0, rate_per_s)
    large = LARGE_REQUEST_SHARE * _margin(cap, cfg)
    is_in_tokens = cap.unit is UsageUnit.TOKENS
    usual = USUAL_TOKENS if is_in_tokens else 1.0
    largest = LARGEST_TOKENS if is_in_tokens else 1.0
    parts = max(1, len(domains))
    while parts > 1 and (
        (cap.burst + (1 - HOME_SHARE) * large) / parts < MIN_BURST_REQUESTS * usual
    ):
        parts -= 1
    found: dict[str, DomainAllowance] = {}
    for domain in rank_nodes(account, domains)[:parts]:
        share = (1 - HOME_SHARE) / parts + (0.0 if found else HOME_SHARE)
        max_burst = cap.burst / parts + share * large
        found[domain] = DomainAllowance(
            rate_per_s / parts,
            max(cap.burst / parts, min(2 * largest, max_burst)),
            max_burst,
            window_s,
            rate_per_s,
            0.0 if found else max(0.0, largest - max_burst),
        )
    return found


def separated_allowance(cap: UsageCap, cfg: UsageSettings, vms: int) -> float:
    """Return what a VM without allocators may use in a window and the lag, in units.

    It is 0 if the number of VMs is unknown.
    """
    return SEPARATED_SHARE * _margin(cap, cfg) / vms if vms else 0.0


def _bound(cap: UsageCap, cfg: UsageSettings) -> float:
    """Return the bound on an account's usage of a window.

    The slack is in tokens: it is far more than the caps that count requests.
    """
    slack = cfg.slack if cap.unit is UsageUnit.TOKENS else 0.0
    return (cap.rate_per_s * cfg.window_s + cap.burst) * (1 + cfg.overage) + slack


def _margin(cap: UsageCap, cfg: UsageSettings) -> float:
    """Return what the bound leaves beyond the usage that the cap itself leads to."""
    capped = cap.rate_per_s * (cfg.window_s + MAX_SEND_LAG_S) + cap.burst
    return max(0.0, _bound(cap, cfg) - capped)
