"""The state of one upstream in the model of speeds."""

import math
from collections.abc import Hashable
from dataclasses import dataclass, field

__all__ = [
    "HALF_LIFE_S",
    "UNKNOWN_VARIANCE",
    "Observation",
    "UpstreamSpeed",
    "decay_after",
]

# An observation loses half of its weight in this time, in seconds, since an
# upstream may become slow or recover.
HALF_LIFE_S = 20.0
# Variance of the logarithm of the factor of an upstream without observations:
# known fleets have factors from 0.6 to 1.6.
UNKNOWN_VARIANCE = 0.4**2
# Rates that are too low in two groups within this time, in seconds, show that
# an upstream is unhealthy.  The factor is low until this time after the last
# one, since no work may be placed there that would show its recovery.
_UNHEALTHY_S = 5.0
# One rate suffices below this factor, which no task with seven times the work
# has on an upstream of 0.6.
_STANDSTILL = math.log(0.05)


@dataclass(eq=False, slots=True)
class Observation:
    """The rates of one group on one upstream, as logarithms.

    ``mean`` and ``precision`` are what the group says about the factor of the
    upstream; the precision is that at the time ``at_s``.  They are those of
    the last fit in which it was no outlier, with the rate ``fitted_rate``; of
    the last fit otherwise there is only ``outlier_mean``.
    """

    upstream: "UpstreamSpeed"
    at_s: float
    last_rates: list[float] = field(default_factory=list)
    mean: float = 0.0
    precision: float = 0.0
    fitted_rate: float = -math.inf
    outlier_mean: float | None = None

    def add(self, log_rate: float, at_s: float) -> None:
        """Record a rate; one of the last three may be that of an odd task."""
        self.last_rates.append(log_rate)
        if len(self.last_rates) > 3:
            del self.last_rates[0]
        self.at_s = at_s

    def log_rate(self) -> float:
        """Return the median of the last rates, of two the higher one."""
        rates = self.last_rates
        return sorted(rates)[len(rates) // 2] if len(rates) > 1 else rates[0]


@dataclass(eq=False, slots=True)
class UpstreamSpeed:
    """The logarithm of a factor as a distribution, at the time ``at_s``.

    ``precision`` and ``information`` are the sums of the observations'
    precisions and of these times their means.
    """

    at_s: float
    by_group: dict[Hashable, Observation] = field(default_factory=dict)
    precision: float = 0.0
    information: float = 0.0
    prior_mean: float = 0.0
    prior_precision: float = 1 / UNKNOWN_VARIANCE
    unhealthy_until_s: float = -math.inf
    unhealthy_mean: float = 0.0

    def advance(self, now_s: float) -> None:
        """Let the observations lose weight until ``now_s``."""
        if now_s <= self.at_s:
            return
        decay = decay_after(now_s - self.at_s)
        self.precision *= decay
        self.information *= decay
        self.at_s = now_s

    def mean(self) -> float:
        """Return the expected logarithm of the factor."""
        return (self.information + self.prior_precision * self.prior_mean) / (
            self.precision + self.prior_precision
        )

    def remove(self, group: Hashable) -> None:
        """Remove the observation of a group."""
        observation = self.by_group.pop(group)
        precision = observation.precision * decay_after(self.at_s - observation.at_s)
        self.precision = max(0.0, self.precision - precision)
        self.information -= precision * observation.mean

    def check_health(self, now_s: float) -> None:
        """Note whether recent low rates show an unhealthy upstream."""
        low: list[float] = []
        last_at_s = -math.inf
        ordinary = 0
        for observation in self.by_group.values():
            if now_s - observation.at_s > _UNHEALTHY_S:
                continue
            if observation.outlier_mean is None:
                ordinary += observation.precision > 0.0
                continue
            if observation.outlier_mean < 0.0:
                low.append(observation.outlier_mean)
                last_at_s = max(last_at_s, observation.at_s)
        if not low or len(low) <= ordinary:
            return
        low.sort()
        median = low[len(low) // 2]
        if len(low) > 1 or median < _STANDSTILL:
            self.unhealthy_until_s = last_at_s + _UNHEALTHY_S
            self.unhealthy_mean = median


def decay_after(age_s: float) -> float:
    """Return the weight of an observation of this age."""
    return 0.5 ** (age_s / HALF_LIFE_S)
