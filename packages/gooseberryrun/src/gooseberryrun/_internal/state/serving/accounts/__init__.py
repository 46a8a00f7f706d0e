"""Client accounts: who sent a request, and how much an account may use."""

from ._accounts import (
    AccountTable,
    ClientAccount,
    UsageCap,
    UsageUnit,
    find_shared_keys,
    key_digest,
)
from ._authentication import KeyOutcome, check_key, key_outcome
from ._freshness import ConfigurationFreshness
from ._usage_bucket import UsageBucket
from ._usage_credit import (
    AccountCredit,
    DemandMeter,
    GrantPart,
    SeparatedUsage,
    UsagePermit,
)
from ._usage_limits import (
    CREDIT_TTL_S,
    MAX_SEND_LAG_S,
    DomainAllowance,
    allowances,
    separated_allowance,
)

__all__ = [
    "GrantPart",
    "CREDIT_TTL_S",
    "MAX_SEND_LAG_S",
    "AccountCredit",
    "AccountTable",
    "ClientAccount",
    "ConfigurationFreshness",
    "DemandMeter",
    "DomainAllowance",
    "KeyOutcome",
    "SeparatedUsage",
    "UsageBucket",
    "UsageCap",
    "UsagePermit",
    "UsageUnit",
    "allowances",
    "check_key",
    "find_shared_keys",
    "key_digest",
    "key_outcome",
    "separated_allowance",
]
