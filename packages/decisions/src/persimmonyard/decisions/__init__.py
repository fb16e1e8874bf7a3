"""Scheduling decisions on facts, without a store, a clock or a network."""

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
    "Effect",
    "FastestFirst",
    "Slowed",
    "SlowestFirst",
    "SpeedOrder",
    "Undisturbed",
    "UnitPace",
    "choose_speed_order",
    "decide_separation",
    "effects_on",
    "idle_share",
    "speed_level",
]
