"""Decisions on runners of unequal speed."""

from ._homes import WINDOW, HolderIndex, HomeRing, rank_weighted
from ._speed import (
    STEPS_PER_UNIT,
    RunnerWeight,
    SpeedEstimate,
    SpeedEstimator,
    WeightDecision,
    in_flight_limit,
    quantise,
    reference_speed,
    relative_speed,
    speed_factor,
)
from ._weights import WeightTable

__all__ = [
    "STEPS_PER_UNIT",
    "WINDOW",
    "HolderIndex",
    "HomeRing",
    "RunnerWeight",
    "SpeedEstimate",
    "SpeedEstimator",
    "WeightDecision",
    "WeightTable",
    "in_flight_limit",
    "quantise",
    "rank_weighted",
    "reference_speed",
    "relative_speed",
    "speed_factor",
]
