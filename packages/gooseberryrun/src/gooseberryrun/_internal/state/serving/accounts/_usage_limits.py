"""Parts of a usage cap: those of the failure domains, and that of a VM without them.

Made for caps of which all entry VMs together may use a little more than granted: some
usage is sent later than it was granted, a request may cost more than a failure domain's
part of the burst, and a VM that reaches no allocator still serves a little. The bound
on the usage of a window leaves a margin beyond the cap, which pays for all of it:

    granted in the window or up to MAX_SEND_LAG_S before   rate x (window + lag) + burst
    bursts of single requests                              LARGE_REQUEST_SHARE x margin
    VMs that reach no allocator                            SEPARATED_SHARE x margin
"""

from __future__ import annotations

from dataclasses import dataclass

from ..._serving_settings import UsageSettings
from ._accounts import UsageCap, UsageUnit

CREDIT_TTL_S = 0.4
"""Time from a VM's request for credit for which it may admit requests on it."""
MAX_SEND_LAG_S = 0.8
"""Longest time between a grant and the send of a request that uses it."""
LARGE_REQUEST_SHARE = 0.6
"""Share of the margin for requests that cost more than a domain's part of the burst."""
HOME_SHARE = 0.5
"""Share of that for the account's home domain; the rest is divided evenly.

The smallest cap in six domains would else never have room for its largest requests.
"""
SEPARATED_SHARE = 0.3
"""Share of the margin for VMs that reach no allocator.

The rest covers VMs that know fewer VMs than there are, and requests that a suspended VM
was about to write when it stopped.
"""


@dataclass(frozen=True, slots=True)
class DomainAllowance:
    """What one failure domain may grant of an account's cap, in units of the cap.

    Within ``window_s`` seconds it grants at most ``rate_per_s * window_s + max_burst``.
    ``total_rate_per_s`` is the rate of all domains together.
    """

    rate_per_s: float
    burst: float
    max_burst: float
    window_s: float
    total_rate_per_s: float

    @property
    def window_limit(self) -> float:
        """Return the most that may be granted in a window."""
        return self.rate_per_s * self.window_s + self.max_burst


def domain_allowance(
    cap: UsageCap, cfg: UsageSettings, domains: int, is_home: bool
) -> DomainAllowance:
    """Return the part of one of ``domains`` failure domains, of which one is home."""
    window_s = cfg.window_s + MAX_SEND_LAG_S
    rate_per_s = min(cap.rate_per_s, (_bound(cap, cfg) - cap.burst) / window_s)
    rate_per_s = max(0.0, rate_per_s)
    parts = max(1, domains)
    burst = cap.burst / parts
    share = (1 - HOME_SHARE) / parts + (HOME_SHARE if is_home else 0.0)
    large = share * LARGE_REQUEST_SHARE * _margin(cap, cfg)
    return DomainAllowance(
        rate_per_s / parts, burst, burst + large, window_s, rate_per_s
    )


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
