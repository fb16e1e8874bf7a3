"""Which upstreams are fast enough for a unit, and which of them come first.

Load pattern: upstreams run at different speeds, and urgent gangs with little
slack arrive between work that can wait.  A gang is as slow as its slowest
member, and the members that are done hold their seats until then.  So urgent
work gets the fastest upstreams and work that can wait the slowest ones that
still meet its objective, and the members of a gang get upstreams alike.
"""

import math
from dataclasses import dataclass
from typing import NamedTuple

__all__ = [
    "FastestFirst",
    "SlowestFirst",
    "SpeedOrder",
    "UnitPace",
    "choose_speed_order",
    "idle_share",
    "speed_level",
]

# Speeds are compared in levels, each this factor above the one before: the
# factors that are learned are off by some per cent.
_LEVEL_FACTOR = 1.2
# Factor on the speed that a unit needs: starts and ends take time as well.
_SPEED_MARGIN = 1.1
# From this speed on that a unit needs, in multiples of the reference speed, it
# has little slack.
_LITTLE_SLACK_SPEED = 0.6


class UnitPace(NamedTuple):
    """How much time a unit has, in ms at the reference speed.

    ``work_ms`` is the critical path from the unit to the end of its job.  With
    a delay of up to ``objective_slack_ms`` the job meets its objective, which
    is ``stretch`` times its whole critical path and a constant.
    """

    work_ms: float
    objective_slack_ms: float
    stretch: float


@dataclass(frozen=True)
class FastestFirst:
    """Take the fastest upstreams; those below ``min_level`` are too slow."""

    min_level: int


@dataclass(frozen=True)
class SlowestFirst:
    """Take the slowest upstreams that are not below ``min_level``."""

    min_level: int


SpeedOrder = FastestFirst | SlowestFirst


def speed_level(factor: float) -> int:
    """Return the level of a speed; 0 is that of the reference speed.

    For example, with levels a factor of 1.2 apart, 0.6 is level -3 and 1.3
    level 1.
    """
    return round(math.log(factor) / math.log(_LEVEL_FACTOR))


def choose_speed_order(pace: UnitPace) -> SpeedOrder:
    """Return in which order a unit should take upstreams.

    A unit that cannot meet its objective at any speed gets the fastest ones.
    Estimates of the work may be far off, but they cancel out as long as the
    unit has not waited, where 1 / stretch suffices.
    """
    available_ms = pace.work_ms + pace.objective_slack_ms
    if available_ms <= 0 or pace.work_ms <= 0:
        return FastestFirst(0)
    needed = max(1 / max(pace.stretch, 1.0), pace.work_ms / available_ms)
    needed *= _SPEED_MARGIN
    if needed >= _LITTLE_SLACK_SPEED:
        return FastestFirst(min(0, speed_level(needed)))
    return SlowestFirst(speed_level(needed))


def idle_share(levels: list[int]) -> float:
    """Return the share of the work of a gang's upstreams that is lost.

    Each member waits at its seat until the slowest one is done.
    """
    slowest = min(levels)
    possible = sum(_LEVEL_FACTOR ** (level - slowest) for level in levels)
    return 1 - len(levels) / possible
