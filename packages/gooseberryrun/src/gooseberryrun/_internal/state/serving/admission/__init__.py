"""Fair admission of requests where they queue for shared capacity."""

from ._account_usage import (
    USAGE_TIME_S,
    AccountUsage,
    UsageShares,
    longest_queue_wait_s,
)
from ._fair_order import (
    DEFAULT_WEIGHT,
    NO_WEIGHTS,
    Claim,
    FairShares,
    Rank,
    choose_displaced,
    weight_of,
)
from ._refused_requests import RefusedRequests
from ._slot_claims import SlotChanges, SlotClaim, SlotDecision, SlotOutcome
from ._slot_queue import LATE_WAIT_SHARE, SlotQueue
from ._slot_search import MAX_ASKS, SlotHold, SlotSearch, due_in_s
from ._slot_waits import ExpectedSlotWaits

__all__ = [
    "AccountUsage",
    "Claim",
    "DEFAULT_WEIGHT",
    "ExpectedSlotWaits",
    "FairShares",
    "LATE_WAIT_SHARE",
    "MAX_ASKS",
    "NO_WEIGHTS",
    "Rank",
    "RefusedRequests",
    "SlotChanges",
    "SlotClaim",
    "SlotDecision",
    "SlotHold",
    "SlotOutcome",
    "SlotQueue",
    "SlotSearch",
    "USAGE_TIME_S",
    "UsageShares",
    "choose_displaced",
    "due_in_s",
    "longest_queue_wait_s",
    "weight_of",
]
