"""Tasks of client accounts, and checks of them while requests are served."""

from ._authentication import Authentication, Authenticator, forwarded_account
from ._cap_forecast import ASKS, CapForecast, CapForecaster
from ._capped_accounts import CappedAccounts, has_usage_caps
from ._usage_allocators import UsageAllocators
from ._usage_caps import UsageCaps

__all__ = [
    "ASKS",
    "Authentication",
    "Authenticator",
    "CapForecast",
    "CapForecaster",
    "CappedAccounts",
    "UsageAllocators",
    "UsageCaps",
    "forwarded_account",
    "has_usage_caps",
]
