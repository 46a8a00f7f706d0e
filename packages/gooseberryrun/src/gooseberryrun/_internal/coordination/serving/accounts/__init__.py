"""Tasks of client accounts."""

from ._capped_accounts import CappedAccounts, has_usage_caps
from ._usage_allocators import UsageAllocators
from ._usage_caps import UsageCaps

__all__ = ["CappedAccounts", "UsageAllocators", "UsageCaps", "has_usage_caps"]
