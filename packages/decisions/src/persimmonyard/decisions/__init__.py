"""Scheduling decisions on facts, without a store, a clock or a network."""

from persimmonyard.decisions.quota import (
    NO_RESOURCES,
    AccountUse,
    JobRate,
    OverLimit,
    ShareRank,
    WithinLimit,
    decide_quota,
    dominant_share,
    entitled_shares,
    share_rank,
)
from persimmonyard.decisions.seat_speed import (
    FastestFirst,
    SlowestFirst,
    SpeedOrder,
    UnitPace,
    choose_speed_order,
    idle_share,
    speed_level,
)

__all__ = [
    "NO_RESOURCES",
    "AccountUse",
    "FastestFirst",
    "JobRate",
    "OverLimit",
    "ShareRank",
    "SlowestFirst",
    "SpeedOrder",
    "UnitPace",
    "WithinLimit",
    "choose_speed_order",
    "decide_quota",
    "dominant_share",
    "entitled_shares",
    "idle_share",
    "share_rank",
    "speed_level",
]
