"""Relative speeds of upstreams, from the rates of progress of the runs there.

Load pattern: upstreams of one fleet run the same work at different speeds and
do not report them, while the amount of work of a task is not known either.
Tasks of the same step have similar work, so their rates are compared.
"""

import math
from collections.abc import Hashable
from typing import NamedTuple

from persimmonyard.estimation.speed_records import (
    HALF_LIFE_S,
    UNKNOWN_VARIANCE,
    Observation,
    UpstreamSpeed,
    decay_after,
)

__all__ = ["SpeedEstimate", "SpeedModel"]

# Observations older than this no longer count, in seconds.
_MAX_AGE_S = 8 * HALF_LIFE_S
# The model keeps this many observations of an upstream and this many groups.
# Of a group, the observations of this many upstreams determine its work.
_MAX_OBSERVATIONS = 16
_MAX_GROUPS = 2_000
_MAX_MEMBERS = 32
# Variance of the logarithm of a rate: tasks of a step differ by about 15%, and
# members of a gang only by the rounding of the progress.
_RATE_VARIANCE = 0.12**2
# Variance of the logarithm of the factor of an upstream that was seeded.
_SEED_VARIANCE = 0.2**2
# A rate that is lower or higher by this factor than expected comes from a task
# with other work (3% have seven times the work) or from an upstream that is
# unhealthy; it says nothing about the ordinary speed.
_OUTLIER = math.log(3.3)
# A rate that has become lower by this factor is that of another state of the
# upstream or of another task.
_CHANGED_RATE = math.log(2.0)
_MIN_FACTOR = 0.01
# Factors that change by more than this (of the logarithm) are taken into
# account in the other groups of their upstreams.
_PROPAGATED_CHANGE = 0.03
# Observations beyond this number in a second, and in a burst, are left out.
# With 140,000 running tasks there are up to 70,000 in a second, which would
# take 0.8 s; with this limit they take 0.3 s.
_OBSERVATIONS_PER_S = 15_000.0
_MAX_OBSERVATION_CREDIT = 15_000.0
# Groups are fitted at most this often in a second, and this often in a burst.
# One fit takes up to 0.25 ms, so fits use a tenth of the time at most; groups
# that must wait are fitted later.
_FITS_PER_S = 400.0
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


class _Member(NamedTuple):
    """One observation in the fit of its group.

    ``reference`` is the logarithm of the rate at reference speed according
    to this observation and to what other groups say about its upstream.
    ``precision`` is that of its upstream's factor due to this group until now.
    """

    reference: float
    weight: float
    observation: Observation
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
        self._by_id: dict[str, UpstreamSpeed] = {}
        # The observations of each group by upstream, the group with the last
        # observation at the end.
        self._by_group: dict[Hashable, dict[str, Observation]] = {}
        # Groups to fit, in this order.
        self._pending: dict[Hashable, None] = {}
        self._now_s: float | None = None
        self._observation_credit = _MAX_OBSERVATION_CREDIT
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
        positive or not finite is ignored, and so are observations that come
        too fast.
        """
        if not rate > 0.0 or not math.isfinite(rate):
            return
        now_s = self._advance(at_s)
        if self._observation_credit < 1.0:
            return
        self._observation_credit -= 1.0
        upstream = self._by_id.get(upstream_id)
        if upstream is None:
            upstream = self._by_id[upstream_id] = UpstreamSpeed(now_s)
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
            observation = Observation(upstream, now_s)
            if len(upstream.by_group) >= _MAX_OBSERVATIONS:
                self._remove(upstream_id, upstream, next(iter(upstream.by_group)))
        else:
            # Its precision is that at the time of the observation.
            observation.precision *= decay_after(now_s - observation.at_s)
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
        if now_s < upstream.unhealthy_until_s:
            factor = math.exp(upstream.unhealthy_mean - self._median)
            return SpeedEstimate(max(_MIN_FACTOR, factor), 1.0)
        return self._ordinary_speed(upstream, now_s)

    def ordinary_speed(self, upstream_id: str) -> SpeedEstimate:
        """Return the speed that an upstream has while it is healthy."""
        upstream = self._by_id.get(upstream_id)
        if upstream is None:
            return _UNKNOWN
        now_s = upstream.at_s if self._now_s is None else self._now_s
        return self._ordinary_speed(upstream, now_s)

    def _ordinary_speed(self, upstream: UpstreamSpeed, now_s: float) -> SpeedEstimate:
        upstream.advance(now_s)
        weight = upstream.precision * _RATE_VARIANCE
        if upstream.prior_precision > 1 / UNKNOWN_VARIANCE:
            weight += upstream.prior_precision * _RATE_VARIANCE
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
            upstream = self._by_id[upstream_id] = UpstreamSpeed(self._now_s or 0.0)
        upstream.prior_mean = math.log(factor)
        upstream.prior_precision = 1 / _SEED_VARIANCE

    def upstream_ids(self) -> list[str]:
        """Return the upstreams with observations or a seed."""
        return list(self._by_id)

    def _advance(self, at_s: float) -> float:
        """Return the latest time, and allow work for the time passed."""
        if self._now_s is None:
            self._now_s = at_s
        if at_s > self._now_s:
            passed_s = at_s - self._now_s
            self._observation_credit = min(
                _MAX_OBSERVATION_CREDIT,
                self._observation_credit + passed_s * _OBSERVATIONS_PER_S,
            )
            self._fit_credit = min(
                _MAX_FIT_CREDIT, self._fit_credit + passed_s * _FITS_PER_S
            )
            self._now_s = at_s
        return self._now_s

    def _remove(
        self, upstream_id: str, upstream: UpstreamSpeed, group: Hashable
    ) -> None:
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
            decay = decay_after(age_s)
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
            upstream.check_health(now_s)


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
