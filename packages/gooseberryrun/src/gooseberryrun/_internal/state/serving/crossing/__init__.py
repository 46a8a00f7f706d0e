"""Decisions on requests that are sent to other failure domains."""

from ._pressure import (
    MAX_AGE_S,
    PlainLoad,
    PressureSummary,
    PressureTable,
    ServerLoad,
    SmoothedCounts,
    model_wait_s,
    summarise,
    summarise_plain,
)
from ._selection import ClassMix, pick_domain, plain_crossing_cost
from ._share import (
    CrossingPrice,
    ShareChange,
    ShareController,
    ShareLimits,
)

__all__ = [
    "MAX_AGE_S",
    "ClassMix",
    "CrossingPrice",
    "PlainLoad",
    "PressureSummary",
    "PressureTable",
    "ServerLoad",
    "ShareChange",
    "ShareController",
    "ShareLimits",
    "SmoothedCounts",
    "model_wait_s",
    "pick_domain",
    "plain_crossing_cost",
    "summarise",
    "summarise_plain",
]
