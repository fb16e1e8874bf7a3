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
from persimmonyard.decisions.separation import (
    Effect,
    Slowed,
    Undisturbed,
    decide_separation,
    effects_on,
)

__all__ = [
    "NO_RESOURCES",
    "AccountUse",
    "Effect",
    "FastestFirst",
    "JobRate",
    "OverLimit",
    "ShareRank",
    "Slowed",
    "SlowestFirst",
    "SpeedOrder",
    "Undisturbed",
    "UnitPace",
    "WithinLimit",
    "choose_speed_order",
    "decide_quota",
    "decide_separation",
    "dominant_share",
    "effects_on",
    "entitled_shares",
    "idle_share",
    "share_rank",
    "speed_level",
]
