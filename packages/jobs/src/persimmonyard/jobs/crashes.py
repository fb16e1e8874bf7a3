"""Crashes of upstreams: what is recorded of each, and how often they happen.

An upstream has crashed if another incarnation reports from its address and it
had not announced to leave.  The load that this answers: tasks that crash
every upstream that starts them, next to upstreams that crash by themselves.
``crash_verdict`` decides from these facts which tasks are to blame.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from persimmonyard.jobs.commands import Silence, StartEvidence
from persimmonyard.jobs.model import UnitKey
from persimmonyard.model.crash_rules import (
    OUTAGE_WINDOW_S,
    RATE_HORIZONS_S,
    is_outage,
    neighbour_chance,
)
from persimmonyard.model.crash_verdict import (
    BASE_RATE_PER_S,
    Crash,
    may_be_to_blame,
)

__all__ = [
    "CrashLog",
    "CrashWindow",
    "CrashedRun",
    "LostSeat",
    "UpstreamCrash",
    "crash_window",
    "least_chance",
    "on_probation",
]

# How long a suspect keeps its upstream to itself after its placement, after
# one crash and after several, in milliseconds.
_PROBATION_MS = 3_000
_LONG_PROBATION_MS = 10_000
# A run may have begun at any time since its placement if no leader knows, but
# at least this long before the crash, in milliseconds.
_MIN_UNKNOWN_MS = 1_000
# Without a sign that a run had begun, a crash is an accident at least with
# this chance, unless its upstream was known alive within ``_MIN_UNKNOWN_MS``.
_UNSURE_CHANCE = 0.01
_RATE_HORIZONS_MS = tuple(1_000 * horizon_s for horizon_s in RATE_HORIZONS_S)
_OUTAGE_WINDOW_MS = 1_000 * OUTAGE_WINDOW_S
# Longest list of recent crashes.  A full one gives the rate over the time that
# it covers, but over this time at least, in milliseconds.
_MAX_RECENT_CRASHES = 256
_MIN_RATE_MS = 2_000


class LostSeat(msgspec.Struct, frozen=True, array_like=True):
    """A seat of a run that was lost while its upstream was silent.

    If the upstream turns out to have crashed, the crash still counts.
    """

    upstream_id: str
    incarnation: int
    address: str
    run: int
    placed_ms: int
    silence: Silence | None = None
    task: int = 0


class CrashWindow(NamedTuple):
    """How long before its crash an upstream can have started a run.

    ``longest_ms`` and ``shortest_ms`` are the limits of that time, and
    ``proven`` is true if the run is known to have begun.
    """

    longest_ms: int
    shortest_ms: int
    proven: bool


class CrashedRun(NamedTuple):
    """A run that may have begun on an upstream before it crashed.

    ``tasks`` are those of the unit that were on the upstream.  ``suspect`` is
    true if the unit was under suspicion before.
    """

    key: UnitKey
    run: int
    tasks: tuple[int, ...]
    window: CrashWindow
    suspect: bool


class UpstreamCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of an upstream, with the units that may have begun on it.

    ``restarted_ms`` is the Unix time at which its successor started, on its
    own clock, and ``noted_ms`` when its report was committed.
    """

    upstream_id: str
    incarnation: int
    address: str
    zone: str
    rack: str
    restarted_ms: int
    keys: tuple[UnitKey, ...]
    noted_ms: int = 0


def crash_window(
    silence: Silence | None, since_placement_ms: int, keeps_id: bool
) -> CrashWindow:
    """Return how long before its crash an upstream can have started a run.

    If the upstream starts again under the same identifier (``keeps_id``), its
    successor may have answered the start, and only a listing proves it.
    """
    match silence:
        case Silence(evidence=StartEvidence.LISTED, start_ms=start_ms):
            return CrashWindow(start_ms, start_ms, True)
        case Silence(evidence=StartEvidence.ANSWERED, start_ms=start_ms) if (
            not keeps_id
        ):
            return CrashWindow(start_ms, start_ms, True)
        case Silence(
            evidence=StartEvidence.ANSWERED | StartEvidence.SENT, start_ms=start_ms
        ):
            return CrashWindow(silence.alive_ms, start_ms, False)
    return CrashWindow(max(_MIN_UNKNOWN_MS, since_placement_ms), 0, False)


def least_chance(crashed: CrashedRun, runs: Iterable[CrashedRun]) -> float:
    """Return a lower limit of the chance that a crash was an accident.

    ``runs`` are all runs that were on the upstream.
    """
    limit = 0.0
    longest_ms = crashed.window.longest_ms
    if not crashed.window.proven and longest_ms >= _MIN_UNKNOWN_MS:
        limit = _UNSURE_CHANCE
    for other in runs:
        if other.key.job_id == crashed.key.job_id:
            continue
        chance = neighbour_chance(other.suspect, other.window.shortest_ms, longest_ms)
        limit = max(limit, chance)
    return limit


def on_probation(crashes: list[Crash], run_age_ms: int) -> bool:
    """Return whether a placed unit keeps its upstream to itself."""
    if not crashes or not may_be_to_blame(crashes):
        return False
    runs = {crash.run for crash in crashes if not crash.excused}
    limit_ms = _PROBATION_MS if len(runs) == 1 else _LONG_PROBATION_MS
    # A negative age comes from a leader whose clock was ahead.
    return 0 <= run_age_ms < limit_ms


class CrashLog:
    """The crashes of upstreams in the last minute.

    They show how often upstreams crash without a unit, and outages: when most
    upstreams of a rack or zone crash together, for example because the zone
    has lost its power, no task is to blame.
    """

    def __init__(self, recent: Iterable[UpstreamCrash] = ()) -> None:
        self.recent = list(recent)

    def add(self, crash: UpstreamCrash) -> None:
        """Add a crash and drop those that are too old."""
        oldest_ms = crash.noted_ms - max(_RATE_HORIZONS_MS)
        kept = [other for other in self.recent if other.noted_ms >= oldest_ms]
        self.recent = [*kept[1 - _MAX_RECENT_CRASHES :], crash]

    def remove(self, key: UnitKey) -> list[UpstreamCrash]:
        """Remove and return the crashes under a unit that was to blame."""
        removed = [crash for crash in self.recent if key in crash.keys]
        self.recent = [crash for crash in self.recent if key not in crash.keys]
        return removed

    def rate_per_s(
        self, key: UnitKey, at_ms: int, upstream_count: int, address: str = ""
    ) -> float:
        """Return how often an upstream crashes without a unit.

        With ``address`` the rate is at least that of the upstreams there.
        """
        rate_per_s = 0.0
        covered_ms = max(_RATE_HORIZONS_MS)
        if len(self.recent) == _MAX_RECENT_CRASHES:
            covered_ms = max(_MIN_RATE_MS, at_ms - self.recent[0].noted_ms)
        for longest_ms in _RATE_HORIZONS_MS:
            horizon_ms = min(longest_ms, covered_ms)
            elsewhere = 0
            here = 0
            for crash in self.recent:
                if crash.noted_ms < at_ms - horizon_ms or key in crash.keys:
                    continue
                elsewhere += 1
                here += crash.address == address
            crashes_per_upstream = max(here, elsewhere / max(1, upstream_count))
            rate_per_s = max(rate_per_s, 1_000 * crashes_per_upstream / horizon_ms)
        return BASE_RATE_PER_S + rate_per_s

    def outage(
        self, crash: UpstreamCrash, place_by_upstream: Mapping[str, tuple[str, str]]
    ) -> list[UpstreamCrash]:
        """Return the crashes that have one cause with ``crash``, or none.

        ``place_by_upstream`` has the zone and rack of each running upstream,
        the successors of the crashed ones among them.
        """
        oldest_ms = crash.restarted_ms - _OUTAGE_WINDOW_MS
        for by_rack in (False, True):
            group = []
            for other in self.recent:
                if other.restarted_ms >= oldest_ms and _same(other, crash, by_rack):
                    group.append(other)
            size = 0
            for zone, rack in place_by_upstream.values():
                size += zone == crash.zone and (not by_rack or rack == crash.rack)
            addresses = {other.address for other in group}
            if is_outage(len(addresses), size):
                return group
        return []


def _same(crash: UpstreamCrash, other: UpstreamCrash, by_rack: bool) -> bool:
    if crash.zone != other.zone:
        return False
    return not by_rack or crash.rack == other.rack
