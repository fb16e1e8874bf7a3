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

__all__ = [
    "FastestFirst",
    "SlowestFirst",
    "SpeedOrder",
    "UnitPace",
    "choose_speed_order",
    "idle_share",
    "speed_level",
]
