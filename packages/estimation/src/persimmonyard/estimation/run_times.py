"""Distributions of run times at reference speed, by kind of work."""

import math
from collections.abc import Hashable

from ddsketch import LogCollapsingLowestDenseDDSketch

__all__ = ["RunTimes"]

# Relative error of a quantile.  With it, the bins cover run times that differ
# by a factor of a million; below that, the shortest ones are combined.
_RELATIVE_ERROR = 0.03
_MAX_BINS = 256
# Quantiles are those of the last one to two times this many observations.
_GENERATION_SIZE = 250
# This many kinds are kept, those with the last observations.  A kind takes up
# to 8 kB.
_MAX_KINDS = 256
# A quantile is computed again once the number of observations has grown by
# this share: run times end much more often than the quantile changes.
_REFRESH_SHARE = 1 / 32
# Steps of the search for the share of runs that are shorter than a time.
_SEARCH_STEPS = 10


class _Generation:
    """A sketch of up to ``_GENERATION_SIZE`` run times in seconds."""

    def __init__(self) -> None:
        self.sketch = LogCollapsingLowestDenseDDSketch(_RELATIVE_ERROR, _MAX_BINS)
        self.shortest_s = math.inf
        self.longest_s = 0.0

    def add(self, seconds: float) -> None:
        """Add a run time."""
        self.sketch.add(seconds)
        self.shortest_s = min(self.shortest_s, seconds)
        self.longest_s = max(self.longest_s, seconds)

    def merged(self, other: "_Generation") -> "_Generation":
        """Return a sketch of the run times of both."""
        both = _Generation()
        for part in (self, other):
            both.sketch.merge(part.sketch)
            both.shortest_s = min(both.shortest_s, part.shortest_s)
            both.longest_s = max(both.longest_s, part.longest_s)
        return both

    def quantile(self, q: float) -> float:
        """Return a quantile, which lies between the extreme run times."""
        value = self.sketch.get_quantile_value(q)
        return min(self.longest_s, max(self.shortest_s, value or 0.0))


class _Distribution:
    """The run times of one kind in two generations, the older one complete."""

    def __init__(self) -> None:
        self.count = 0
        self._older = _Generation()
        self._newer = _Generation()
        self._merged: _Generation | None = None
        self._merged_count = 0
        self._value_by_quantile: dict[float, float] = {}

    def add(self, seconds: float) -> None:
        if self._newer.sketch.count >= _GENERATION_SIZE:
            self._older = self._newer
            self._newer = _Generation()
        self._newer.add(seconds)
        self.count += 1

    def merged(self) -> _Generation:
        """Return the run times of both generations."""
        known = min(self.count, _GENERATION_SIZE)
        grown = self.count - self._merged_count
        if self._merged is None or grown > known * _REFRESH_SHARE:
            self._merged = self._older.merged(self._newer)
            self._merged_count = self.count
            self._value_by_quantile = {}
        return self._merged

    def quantile(self, q: float) -> float:
        merged = self.merged()
        value = self._value_by_quantile.get(q)
        if value is None:
            value = self._value_by_quantile[q] = merged.quantile(q)
        return value


class RunTimes:
    """Distributions of run times in seconds at reference speed.

    A kind may be any hashable value.  Observations lose their effect after
    some hundred later ones of the kind.
    """

    def __init__(self) -> None:
        self._by_kind: dict[Hashable, _Distribution] = {}

    def observe(self, kind: Hashable, seconds: float) -> None:
        """Record a run time; one that is not positive or finite is ignored."""
        if not seconds > 0.0 or not math.isfinite(seconds):
            return
        distribution = self._by_kind.pop(kind, None)
        if distribution is None:
            distribution = _Distribution()
            if len(self._by_kind) >= _MAX_KINDS:
                del self._by_kind[next(iter(self._by_kind))]
        self._by_kind[kind] = distribution
        distribution.add(seconds)

    def count(self, kind: Hashable) -> int:
        """Return the number of observations of a kind."""
        distribution = self._by_kind.get(kind)
        return distribution.count if distribution is not None else 0

    def quantile(self, kind: Hashable, q: float) -> float | None:
        """Return a quantile, or None without observations.

        ``q`` is from 0 to 1.
        """
        distribution = self._by_kind.get(kind)
        return distribution.quantile(q) if distribution is not None else None

    def remaining(self, kind: Hashable, elapsed_s: float, q: float) -> float | None:
        """Return a quantile of the remaining time of a run, in seconds.

        The run has lasted ``elapsed_s`` so far, at reference speed.  Returns
        None if no known run lasted longer.
        """
        distribution = self._by_kind.get(kind)
        if distribution is None:
            return None
        merged = distribution.merged()
        if elapsed_s >= merged.longest_s:
            return None
        low, high = 0.0, 1.0
        if elapsed_s < merged.shortest_s:
            high = 0.0
        for _ in range(_SEARCH_STEPS):
            middle = (low + high) / 2
            if merged.quantile(middle) <= elapsed_s:
                low = middle
            else:
                high = middle
        return max(0.0, merged.quantile(high + q * (1.0 - high)) - elapsed_s)
