"""Relative speeds of upstreams, from the rates of progress of the runs there.

Load pattern: upstreams of one fleet run the same work at different speeds and
do not report them, while the amount of work of a task is not known either.
Tasks of the same step have similar work, so their rates are compared.
"""

import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["SpeedEstimate", "SpeedModel"]

# An observation loses half of its weight in this time, in seconds, since an
# upstream may become slow or recover.
_HALF_LIFE_S = 20.0
# Observations older than this no longer count, in seconds.
_MAX_AGE_S = 8 * _HALF_LIFE_S
# The model keeps this many observations of an upstream and this many groups.
# Of a group, the observations of this many upstreams determine its work.
_MAX_OBSERVATIONS = 16
_MAX_GROUPS = 2_000
_MAX_MEMBERS = 32
# Variance of the logarithm of a rate: tasks of a step differ by about 15%, and
# members of a gang only by the rounding of the progress.
_RATE_VARIANCE = 0.12**2
# Variance of the logarithm of the factor of an upstream without observations:
# known fleets have factors from 0.6 to 1.6.
_UNKNOWN_VARIANCE = 0.4**2
# The same for an upstream with a factor from the previous term.
_SEED_VARIANCE = 0.2**2
# A rate that is lower or higher by this factor than expected comes from a task
# with other work (3% have seven times the work) or from an upstream that is
# unhealthy; it says nothing about the ordinary speed.
_OUTLIER = math.log(3.3)
# A rate that has become lower by this factor is that of another state of the
# upstream or of another task.
_CHANGED_RATE = math.log(2.0)
# Such low rates in two groups within this time, in seconds, show that an
# upstream is unhealthy.  The factor is low until this time after the last one,
# since no work may be placed there that would show its recovery.
_UNHEALTHY_S = 5.0
# One rate suffices below this factor, which no task with seven times the work
# has on an upstream of 0.6.
_STANDSTILL = math.log(0.05)
_MIN_FACTOR = 0.01
# Factors that change by more than this (of the logarithm) are taken into
# account in the other groups of their upstreams.
_PROPAGATED_CHANGE = 0.03
# A group is fitted at most this often in a second, and this often in a burst.
# One fit takes about 50 microseconds, so the model uses up to a twentieth of
# the time at 16,000 upstreams; groups that must wait are fitted later.
_FITS_PER_S = 1_000.0
_MAX_FIT_CREDIT = 1_000.0
# Fits in one call, which bounds its time.
_FITS_PER_OBSERVATION = 3
# The median of the known factors is computed again once the number of fits is
# this share of the number of upstreams.
_MEDIAN_SHARE = 0.25
# Weight from which an upstream counts as known for the median.
_MIN_KNOWN_WEIGHT = 0.05


class SpeedEstimate(NamedTuple):
    """The speed of an upstream relative to the median of the fleet.

    ``weight`` is the number of recent observations of groups with known work
    that would give the same certainty; it is 0 for an unknown upstream.
    """

    factor: float
    weight: float


_UNKNOWN = SpeedEstimate(1.0, 0.0)


@dataclass(eq=False, slots=True)
class _Observation:
    """The rates of one group on one upstream, as logarithms.

    ``mean`` and ``precision`` are what the group says about the factor of the
    upstream; the precision is that at the time ``at_s``.  They are those of
    the last fit in which it was no outlier, with the rate ``fitted_rate``; of
    the last fit otherwise there is only ``outlier_mean``.
    """

    upstream: "_Upstream"
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
class _Upstream:
    """The logarithm of a factor as a distribution, at the time ``at_s``.

    ``precision`` and ``information`` are the sums of the observations'
    precisions and of these times their means.
    """

    at_s: float
    by_group: dict[Hashable, _Observation] = field(default_factory=dict)
    precision: float = 0.0
    information: float = 0.0
    prior_mean: float = 0.0
    prior_precision: float = 1 / _UNKNOWN_VARIANCE
    unhealthy_until_s: float = -math.inf
    unhealthy_mean: float = 0.0

    def advance(self, now_s: float) -> None:
        """Let the observations lose weight until ``now_s``."""
        if now_s <= self.at_s:
            return
        decay = _decay(now_s - self.at_s)
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
        precision = observation.precision * _decay(self.at_s - observation.at_s)
        self.precision = max(0.0, self.precision - precision)
        self.information -= precision * observation.mean


class _Member(NamedTuple):
    """One observation in the fit of its group.

    ``reference`` is the logarithm of the rate at reference speed according
    to this observation and to what other groups say about its upstream.
    ``precision`` is that of its upstream's factor due to this group until now.
    """

    reference: float
    weight: float
    observation: _Observation
    decay: float
    precision: float


class SpeedModel:
    """Estimates the speed of each upstream from rates of progress.

    The logarithm of a rate is that of the upstream's factor minus that of the
    work of the group.  Both are normal distributions.  A group is fitted with
    what its other members know from their other groups, and then improves what
    is known about its members; this is belief propagation, which leads to the
    least squares solution.  Outliers are left out of it.

    The time is the latest one that was passed in.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, _Upstream] = {}
        # The observations of each group by upstream, the group with the last
        # observation at the end.
        self._by_group: dict[Hashable, dict[str, _Observation]] = {}
        # Groups to fit, in this order.
        self._pending: dict[Hashable, None] = {}
        self._now_s: float | None = None
        self._fit_credit = _MAX_FIT_CREDIT
        self._fits_since_median = 0
        self._median = 0.0

    def observe(
        self, group: Hashable, upstream_id: str, rate: float, at_s: float
    ) -> None:
        """Record the rate of progress of a run.

        ``group`` is the same for runs with the same or similar work.  ``rate``
        is positive, in any unit that is the same for the whole group, and
        ``at_s`` the time in seconds of a monotonic clock.  A rate that is not
        positive or not finite is ignored.
        """
        if not rate > 0.0 or not math.isfinite(rate):
            return
        now_s = self._advance(at_s)
        upstream = self._by_id.get(upstream_id)
        if upstream is None:
            upstream = self._by_id[upstream_id] = _Upstream(now_s)
        members = self._by_group.pop(group, None)
        if members is None:
            members = {}
            if len(self._by_group) >= _MAX_GROUPS:
                oldest = next(iter(self._by_group))
                del self._by_group[oldest]
                self._pending.pop(oldest, None)
        self._by_group[group] = members
        observation = upstream.by_group.pop(group, None)
        if observation is None:
            observation = _Observation(upstream, now_s)
            if len(upstream.by_group) >= _MAX_OBSERVATIONS:
                self._remove(upstream_id, upstream, next(iter(upstream.by_group)))
        else:
            # Its precision is that at the time of the observation.
            observation.precision *= _decay(now_s - observation.at_s)
        observation.add(math.log(rate), now_s)
        upstream.by_group[group] = observation
        members.pop(upstream_id, None)
        members[upstream_id] = observation
        if len(members) > _MAX_MEMBERS:
            # What the group said about this upstream remains.
            del members[next(iter(members))]
        self._pending[group] = None
        self._fit_pending(now_s)

    def speed(self, upstream_id: str) -> SpeedEstimate:
        """Return the speed of an upstream, in constant time."""
        upstream = self._by_id.get(upstream_id)
        if upstream is None:
            return _UNKNOWN
        now_s = upstream.at_s if self._now_s is None else self._now_s
        upstream.advance(now_s)
        weight = upstream.precision * _RATE_VARIANCE
        if now_s < upstream.unhealthy_until_s:
            factor = math.exp(upstream.unhealthy_mean - self._median)
            return SpeedEstimate(max(_MIN_FACTOR, factor), max(1.0, weight))
        if upstream.prior_precision > 1 / _UNKNOWN_VARIANCE:
            weight += _RATE_VARIANCE * upstream.prior_precision
        if weight <= 0.0:
            return _UNKNOWN
        return SpeedEstimate(math.exp(upstream.mean() - self._median), weight)

    def forget(self, upstream_id: str) -> None:
        """Delete what is known of an upstream; others keep their factors."""
        upstream = self._by_id.pop(upstream_id, None)
        if upstream is None:
            return
        for group in list(upstream.by_group):
            self._remove(upstream_id, upstream, group)

    def seed(self, upstream_id: str, factor: float) -> None:
        """Start from a factor that is known from before, if it is positive."""
        if not factor > 0.0 or not math.isfinite(factor):
            return
        upstream = self._by_id.get(upstream_id)
        if upstream is None:
            upstream = self._by_id[upstream_id] = _Upstream(self._now_s or 0.0)
        upstream.prior_mean = math.log(factor)
        upstream.prior_precision = 1 / _SEED_VARIANCE

    def known_ids(self) -> list[str]:
        """Return the upstreams whose factor has a weight."""
        return [
            upstream_id for upstream_id in self._by_id if self.speed(upstream_id).weight
        ]

    def _advance(self, at_s: float) -> float:
        """Return the latest time, and allow fits for the time passed."""
        if self._now_s is None:
            self._now_s = at_s
        if at_s > self._now_s:
            self._fit_credit = min(
                _MAX_FIT_CREDIT,
                self._fit_credit + (at_s - self._now_s) * _FITS_PER_S,
            )
            self._now_s = at_s
        return self._now_s

    def _remove(self, upstream_id: str, upstream: _Upstream, group: Hashable) -> None:
        upstream.remove(group)
        members = self._by_group.get(group)
        if members is not None:
            members.pop(upstream_id, None)

    def _fit_pending(self, now_s: float) -> None:
        for _ in range(_FITS_PER_OBSERVATION):
            if not self._pending or self._fit_credit < 1.0:
                break
            self._fit_credit -= 1.0
            group = next(iter(self._pending))
            del self._pending[group]
            self._fit(group, now_s)
            self._fits_since_median += 1
        if self._fits_since_median > _MEDIAN_SHARE * len(self._by_id):
            self._fits_since_median = 0
            self._update_median()

    def _update_median(self) -> None:
        means = []
        for upstream in self._by_id.values():
            if upstream.precision * _RATE_VARIANCE >= _MIN_KNOWN_WEIGHT:
                means.append(upstream.mean())
        if means:
            means.sort()
            self._median = (means[len(means) // 2] + means[(len(means) - 1) // 2]) / 2

    def _fit(self, group: Hashable, now_s: float) -> None:
        """Update what a group says about the factors of its members."""
        members = self._collect_members(group, now_s)
        if len(members) < 2:
            return
        center = _weighted_median(members)
        weight = 0.0
        weighted_sum = 0.0
        for member in members:
            if abs(member.reference - center) < _OUTLIER:
                weight += member.weight
                weighted_sum += member.weight * member.reference
        for member in members:
            upstream = member.observation.upstream
            before = upstream.mean()
            outlier = abs(member.reference - center) >= _OUTLIER
            others = weight if outlier else weight - member.weight
            others_sum = weighted_sum
            if not outlier:
                others_sum -= member.weight * member.reference
            precision = 0.0
            mean = 0.0
            if others > 1e-9:
                mean = member.observation.log_rate() - others_sum / others
                precision = 1 / (_RATE_VARIANCE / member.decay + 1 / others)
            self._update_member(member, mean, precision, outlier, now_s)
            if abs(upstream.mean() - before) > _PROPAGATED_CHANGE:
                for other in upstream.by_group:
                    if other != group and other in self._by_group:
                        self._pending[other] = None

    def _collect_members(self, group: Hashable, now_s: float) -> list[_Member]:
        members = []
        for observation in self._by_group[group].values():
            age_s = now_s - observation.at_s
            if age_s > _MAX_AGE_S:
                continue
            upstream = observation.upstream
            upstream.advance(now_s)
            decay = _decay(age_s)
            own = observation.precision * decay
            precision = upstream.prior_precision + max(0.0, upstream.precision - own)
            mean = (
                upstream.prior_precision * upstream.prior_mean
                + upstream.information
                - own * observation.mean
            ) / precision
            weight = 1 / (_RATE_VARIANCE / decay + 1 / precision)
            members.append(
                _Member(observation.log_rate() - mean, weight, observation, decay, own)
            )
        return members

    def _update_member(
        self,
        member: _Member,
        mean: float,
        precision: float,
        outlier: bool,
        now_s: float,
    ) -> None:
        observation = member.observation
        upstream = observation.upstream
        upstream.precision -= member.precision
        upstream.information -= member.precision * observation.mean
        if not outlier:
            observation.mean = mean
            observation.fitted_rate = observation.log_rate()
            observation.outlier_mean = None
        else:
            # What an earlier rate said remains if the rate itself has changed.
            changed = observation.log_rate() < observation.fitted_rate - _CHANGED_RATE
            precision = member.precision if changed else 0.0
            observation.outlier_mean = mean
        observation.precision = precision / member.decay
        upstream.precision = max(0.0, upstream.precision + precision)
        upstream.information += precision * observation.mean
        if outlier and mean < upstream.mean():
            _check_health(upstream, now_s)


def _check_health(upstream: _Upstream, now_s: float) -> None:
    """Note whether the recent low rates show that an upstream is unhealthy."""
    low: list[float] = []
    last_at_s = -math.inf
    ordinary = 0
    for observation in upstream.by_group.values():
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
        upstream.unhealthy_until_s = last_at_s + _UNHEALTHY_S
        upstream.unhealthy_mean = median


def _decay(age_s: float) -> float:
    """Return the weight of an observation of this age."""
    return 0.5 ** (age_s / _HALF_LIFE_S)


def _weighted_median(members: list[_Member]) -> float:
    """Return the weighted median of the members' reference rates.

    Of two equal halves it is the one with higher rates, since outliers are
    mostly slow.
    """
    half = sum(member.weight for member in members) / 2
    passed = 0.0
    for member in sorted(members, key=lambda member: -member.reference):
        passed += member.weight
        if passed >= half:
            return member.reference
    return members[0].reference
