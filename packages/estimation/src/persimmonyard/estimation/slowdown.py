"""How much kinds of tasks slow each other down on one upstream.

Load pattern: tasks of some kinds compete for something that is not part of
what they declare, such as the memory bandwidth of a machine.  The work of a
run and the speed of its upstream stay the same while its neighbours come and
go, so the ratio of its rates before and after shows what a neighbour costs.

An upstream that becomes slow as a whole shows the same change of rate.  Each
upstream therefore counts once for a pair, and of two that disagree the one
with the weaker effect is believed.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = ["KnownPair", "SlowdownEstimate", "SlowdownModel"]

# Kinds that are kept; those not observed for the longest time are dropped.
_MAX_KINDS = 64
# Observations that are kept of a pair, and of a pair on one upstream.
_MAX_SAMPLES = 16
_MAX_SAMPLES_PER_UPSTREAM = 4
# An observation loses half of its weight in this time, in seconds.
_HALF_LIFE_S = 60.0
# Observations are dropped at this age, in seconds, at which a sixteenth of
# their weight is left.
_MAX_AGE_S = 4 * _HALF_LIFE_S
# A pair is known from this number of observations and of upstreams on.
_MIN_SAMPLES = 5
_MIN_UPSTREAMS = 2
# A kind counts as unchanged if the share of the time in which it was there has
# changed by at most the first value, and as changed from the second one on.
_MAX_UNCHANGED_SHARE = 0.15
_MIN_CHANGED_SHARE = 0.7
# A pair becomes known above the first effect and is forgotten below the
# second one, so that an effect close to the limit does not alternate.
_KNOWN_EFFECT = 0.1
_FORGOTTEN_EFFECT = 0.05
# A pair is not known if this share of the upstreams shows a smaller effect
# than the second one.  Without this, in a trial with upstreams that change
# their speed, 0.45 pairs without an effect were known on average, and none
# with it.
_CONTRADICTION_SHARE = 0.25


class SlowdownEstimate(NamedTuple):
    """The rate of a task beside its neighbours, relative to that without them.

    ``factor`` is 1.0 for no effect.  ``weight`` is the sum of the weights of
    the observations behind it, at most 1.0 each, and 0 if no pair is known.
    """

    factor: float
    weight: float


class KnownPair(NamedTuple):
    """A kind ``slowed`` to ``factor`` of its rate by neighbours of a kind."""

    slowed: str
    by: str
    factor: float
    weight: float


class _Sample(NamedTuple):
    """An observed effect: the logarithm of a ratio of two rates."""

    effect: float
    upstream_id: str
    at_s: float


class _Pair:
    """The observations of one pair, and its effect if that is known.

    The effect is estimated again when it is needed, since a pair may get many
    observations until then.
    """

    __slots__ = (
        "_changed",
        "_fit_s",
        "_weight",
        "effect",
        "known",
        "samples",
        "settled",
    )

    def __init__(self) -> None:
        self.samples: list[_Sample] = []
        self._changed = False
        self._fit_s = 0.0
        self._weight = 0.0
        self.known = False
        # Whether there are enough observations to tell that the pair has an
        # effect or has none.
        self.settled = False
        self.effect = 0.0

    def add(self, sample: _Sample) -> None:
        self.samples.append(sample)
        of_upstream = [
            earlier
            for earlier in self.samples
            if earlier.upstream_id == sample.upstream_id
        ]
        if len(of_upstream) > _MAX_SAMPLES_PER_UPSTREAM:
            self.samples.remove(of_upstream[0])
        if len(self.samples) > _MAX_SAMPLES:
            del self.samples[0]
        self._changed = True

    def drop_old(self, now_s: float) -> None:
        """Drop old observations."""
        if not self.samples or now_s - self.samples[0].at_s <= _MAX_AGE_S:
            return
        self.samples = [
            sample for sample in self.samples if now_s - sample.at_s <= _MAX_AGE_S
        ]
        self._changed = True

    def fit(self, now_s: float) -> None:
        """Estimate the effect from the observations that are kept.

        Their weights decrease by the same factor with time, so the estimate
        changes only with the observations.
        """
        if not self._changed:
            return
        self._changed = False
        self._fit_s = now_s
        self._weight = sum(_weight(now_s - sample.at_s) for sample in self.samples)
        weighted_by_upstream: dict[str, list[tuple[float, float]]] = {}
        for sample in self.samples:
            weighted = weighted_by_upstream.setdefault(sample.upstream_id, [])
            weighted.append((sample.effect, _weight(now_s - sample.at_s)))
        self.settled = (
            len(self.samples) >= _MIN_SAMPLES
            and len(weighted_by_upstream) >= _MIN_UPSTREAMS
        )
        if not self.settled:
            self.known = False
            self.effect = 0.0
            return
        votes = []
        for weighted in weighted_by_upstream.values():
            vote = _weaker_quantile(weighted, 0.5)
            votes.append((vote, max(weight for _, weight in weighted)))
        effect = _weaker_quantile(votes, 0.5)
        weakest = _weaker_quantile(votes, _CONTRADICTION_SHARE)
        limit = _FORGOTTEN_EFFECT if self.known else _KNOWN_EFFECT
        self.known = 1.0 - math.exp(effect) > limit
        if 1.0 - math.exp(weakest) <= _FORGOTTEN_EFFECT:
            self.known = False
        self.effect = effect if self.known else 0.0

    def weight(self, now_s: float) -> float:
        return self._weight * _weight(now_s - self._fit_s)


class SlowdownModel:
    """Learns which kinds of tasks slow each other down, and by how much.

    The effects of several kinds multiply.  What counts is whether a kind is
    among the neighbours and for which share of the time, not how many of its
    tasks are: how an effect grows with their number is not known.

    An observation takes constant time.  The state is bounded by 64 kinds, with
    at most 16 observations for each pair of them.
    """

    def __init__(self) -> None:
        # The pairs by the kind that is slowed, then by the neighbours' kind.
        self._pair_by_kinds: dict[str, dict[str, _Pair]] = {}
        # The kinds, the least recently observed first.
        self._kinds: dict[str, None] = {}
        self._now_s = -math.inf

    def observe(
        self,
        kind: str,
        upstream_id: str,
        neighbours_before: Mapping[str, float],
        neighbours_after: Mapping[str, float],
        ratio: float,
        at_s: float,
    ) -> None:
        """Record how the rate of a run changed with its neighbours.

        ``neighbours_before`` and ``neighbours_after`` are the numbers of tasks
        by kind, or the share of the time in which any was there; a number
        above 1 counts as 1.  ``ratio`` is the rate after the change divided by
        that before, of the same run on the same upstream.  A ratio that is not
        a positive finite number is ignored.

        If several kinds came or went at once, the change counts for one of
        them only if the effects of the others are known by other observations.
        """
        self.advance(at_s)
        if not 0.0 < ratio < math.inf:
            return
        change_by_kind: dict[str, float] = {}
        for other in {*neighbours_before, *neighbours_after}:
            change = min(1.0, neighbours_after.get(other, 0.0))
            change -= min(1.0, neighbours_before.get(other, 0.0))
            if abs(change) > _MAX_UNCHANGED_SHARE:
                change_by_kind[other] = change
        if not change_by_kind:
            return
        self._mark_seen(kind, *change_by_kind)
        pairs = self._pair_by_kinds.setdefault(kind, {})
        unsettled = []
        unexplained = math.log(ratio)
        if len(change_by_kind) > 1:
            for other, change in change_by_kind.items():
                pair = self._pair(kind, other)
                if pair is None or not pair.settled:
                    unsettled.append(other)
                else:
                    unexplained -= change * pair.effect
        for other, change in change_by_kind.items():
            if unsettled not in ([], [other]) or abs(change) < _MIN_CHANGED_SHARE:
                continue
            pair = pairs.setdefault(other, _Pair())
            effect = unexplained / change
            if pair.settled and len(change_by_kind) > 1:
                effect += pair.effect
            pair.add(_Sample(effect, upstream_id, at_s))

    def slowdown(self, kind: str, neighbours: Mapping[str, int]) -> SlowdownEstimate:
        """Return the rate of a task of a kind beside these neighbours."""
        effect = 0.0
        weight = 0.0
        for other, count in neighbours.items():
            pair = self._pair(kind, other)
            if count > 0 and pair is not None and pair.known:
                effect += pair.effect
                weight += pair.weight(self._now_s)
        return SlowdownEstimate(math.exp(effect), weight)

    def known_pairs(self) -> tuple[KnownPair, ...]:
        """Return all pairs with a known effect, the strongest first."""
        found = []
        for kind, pairs in self._pair_by_kinds.items():
            for other, pair in pairs.items():
                pair.fit(self._now_s)
                if pair.known:
                    factor = math.exp(pair.effect)
                    weight = pair.weight(self._now_s)
                    found.append(KnownPair(kind, other, factor, weight))
        return tuple(sorted(found, key=lambda pair: (pair.factor, pair)))

    def advance(self, now_s: float) -> None:
        """Let observations lose weight up to a time; it never goes back."""
        if now_s < self._now_s + 1.0:
            self._now_s = max(self._now_s, now_s)
            return
        self._now_s = now_s
        for kind, pairs in list(self._pair_by_kinds.items()):
            for other, pair in list(pairs.items()):
                pair.drop_old(now_s)
                if not pair.samples:
                    del pairs[other]
            if not pairs:
                del self._pair_by_kinds[kind]

    def _pair(self, kind: str, other: str) -> _Pair | None:
        """Return a pair with its present effect, or None."""
        pair = self._pair_by_kinds.get(kind, {}).get(other)
        if pair is not None:
            pair.fit(self._now_s)
        return pair

    def _mark_seen(self, *kinds: str) -> None:
        for kind in kinds:
            self._kinds.pop(kind, None)
            self._kinds[kind] = None
        while len(self._kinds) > max(_MAX_KINDS, len(kinds)):
            dropped = next(iter(self._kinds))
            del self._kinds[dropped]
            self._pair_by_kinds.pop(dropped, None)
            for pairs in self._pair_by_kinds.values():
                pairs.pop(dropped, None)


def _weight(age_s: float) -> float:
    return 0.5 ** (age_s / _HALF_LIFE_S)


def _weaker_quantile(weighted: Iterable[tuple[float, float]], share: float) -> float:
    """Return the effect that this share of the weights does not exceed.

    The values are logarithms of factors, so the weaker effect is the larger.
    For a half it is the median, and of two middle values the weaker effect.
    """
    ranked = sorted(weighted, reverse=True)
    limit = sum(weight for _, weight in ranked) * share
    passed = 0.0
    for value, weight in ranked:
        passed += weight
        if passed >= limit:
            return value
    return ranked[-1][0]
