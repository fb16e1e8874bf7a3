"""Figures learned from observations: speeds, run times, interference.

Nothing here knows jobs, a store, a clock or the network.  Times are passed in,
in seconds of a monotonic clock, and the state is bounded.
"""

from persimmonyard.estimation.run_times import RunTimes
from persimmonyard.estimation.slowdown import KnownPair, SlowdownEstimate, SlowdownModel
from persimmonyard.estimation.speeds import SpeedEstimate, SpeedModel

__all__ = [
    "KnownPair",
    "RunTimes",
    "SlowdownEstimate",
    "SlowdownModel",
    "SpeedEstimate",
    "SpeedModel",
]
