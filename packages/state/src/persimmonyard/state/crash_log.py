"""How often upstreams crash, and which crashes have one cause.

These are the facts beside a request's own crashes that
``persimmonyard.model.crash_verdict`` needs for its verdict on the request.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from persimmonyard.model import UpstreamSpec
from persimmonyard.model.crash_rules import (
    OUTAGE_WINDOW_S,
    RATE_HORIZONS_S,
    is_outage,
)
from persimmonyard.model.crash_verdict import BASE_RATE_PER_S
from persimmonyard.state.records import AttemptCrash

__all__ = ["CrashLog", "CrashWave", "places_of"]


@dataclass(slots=True)
class CrashWave:
    """Crashes in one rack or zone within a short time.

    ``crash_count_by_request`` counts the upstreams on which each request was,
    and ``excused`` is set once the crashes are known as an outage.
    """

    started_at: float
    crash_count_by_upstream: dict[str, int] = field(default_factory=dict)
    crash_count_by_request: dict[str, int] = field(default_factory=dict)
    excused: bool = False

    def is_outage(self, upstream_count: int) -> bool:
        """Return whether the upstreams of the place crashed together."""
        return is_outage(len(self.crash_count_by_upstream), upstream_count)

    def add(self, upstream_id: str, request_ids: Sequence[str]) -> None:
        """Add a crash of an upstream with the requests that were on it."""
        counts = self.crash_count_by_upstream
        counts[upstream_id] = counts.get(upstream_id, 0) + 1
        counts = self.crash_count_by_request
        for request_id in request_ids:
            counts[request_id] = counts.get(request_id, 0) + 1


def places_of(spec: UpstreamSpec) -> tuple[str, str]:
    """Return the keys of the zone and the rack of an upstream.

    A line break separates the names, because they are printable.
    """
    return (spec.zone, f"{spec.zone}\n{spec.rack}")


@dataclass(slots=True)
class CrashLog:
    """The crashes of all upstreams within the last minute.

    ``count_by_second`` counts them by the second of their record.
    """

    count_by_second: dict[int, int] = field(default_factory=dict)
    wave_by_place: dict[str, CrashWave] = field(default_factory=dict)

    def add(
        self, spec: UpstreamSpec, request_ids: Sequence[str], at: float
    ) -> list[tuple[str, CrashWave]]:
        """Record a crash; return the waves of its zone and rack."""
        oldest = int(at) - max(RATE_HORIZONS_S)
        for second in [other for other in self.count_by_second if other < oldest]:
            del self.count_by_second[second]
        self.count_by_second[int(at)] = self.count_by_second.get(int(at), 0) + 1
        for place, wave in list(self.wave_by_place.items()):
            if wave.started_at < at - OUTAGE_WINDOW_S:
                del self.wave_by_place[place]
        waves = []
        for place in places_of(spec):
            wave = self.wave_by_place.setdefault(place, CrashWave(at))
            wave.add(spec.upstream_id, request_ids)
            waves.append((place, wave))
        return waves

    def remove(self, crashes: Sequence[AttemptCrash]) -> None:
        """Remove the crashes under a request that was to blame for them."""
        for crash in crashes:
            second = int(crash.at)
            if self.count_by_second.get(second, 0) > 0:
                self.count_by_second[second] -= 1

    def rate_per_s(
        self, own: Sequence[AttemptCrash], at: float, upstream_count: int
    ) -> float:
        """Return how often an upstream crashes without a request.

        ``own`` are the crashes under the request.
        """
        rate_per_s = 0.0
        for horizon_s in RATE_HORIZONS_S:
            oldest = int(at) - horizon_s
            count = 0
            for second, crashes in self.count_by_second.items():
                if second >= oldest:
                    count += crashes
            count -= sum(int(crash.at) >= oldest for crash in own)
            per_upstream = max(0, count) / max(1, upstream_count)
            rate_per_s = max(rate_per_s, per_upstream / horizon_s)
        return BASE_RATE_PER_S + rate_per_s
