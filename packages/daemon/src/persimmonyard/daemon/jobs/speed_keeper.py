"""Stores the speeds of upstreams for the next leader, and reports them."""

import asyncio
import bisect
import heapq
import math
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, NamedTuple

from persimmonyard.daemon.metrics import GaugeValue, ProcessMetrics
from persimmonyard.jobs import NotedSpeed, NoteSpeeds, UpstreamReport

if TYPE_CHECKING:
    from persimmonyard.daemon.jobs.leader_term import LeaderTerm

__all__ = ["SpeedKeeper", "SpeedSummary", "add_speed_gauges", "summarize_speeds"]

# Interval of the commands that store speeds, in seconds.
_NOTE_INTERVAL_S = 5.0
# Largest number of speeds in one command, those with the largest changes.
_MAX_NOTED = 500
# A speed is stored again once it has changed by more than this factor, and
# logged once it has changed by more than the other one.
_NOTED_CHANGE = math.log(1.1)
_LOGGED_CHANGE = math.log(1.25)
# Upstreams that one log line names, those with the largest changes.
_MAX_LOGGED = 16
# Weight from which a speed is stored, logged and counted as known: a third of
# one rate in a group with known work.
_MIN_WEIGHT = 0.3
# Speeds that are stored lie within these bounds.
_FACTOR_BOUNDS = (0.05, 20.0)
_THOUSANDTHS = 1_000
# Upstreams that are examined before other work of the leader goes on.
_EXAMINED_AT_ONCE = 500
# Upper bounds of the speeds that are counted for the metrics.
_SPEED_BOUNDS = (0.25, 0.5, 0.7, 0.9, 1.1, 1.4, 1.8)
_HELP_BY_GAUGE = {
    "upstreams_of_known_speed": (
        "Upstreams with a known speed; 0 if this process does not lead."
    ),
    "upstream_speeds": "Upstreams with a known speed up to a multiple of the median.",
}


class SpeedSummary(NamedTuple):
    """The number of upstreams with a known speed.

    ``count_by_bound`` has the number up to each bound, "+Inf" for all.
    """

    known: int
    count_by_bound: dict[str, int]


class _Change(NamedTuple):
    """The speed of an upstream that has changed, with the previous factor."""

    report: UpstreamReport
    before: float
    factor: float

    def size(self) -> float:
        """Return the change of the logarithm of the factor."""
        return abs(math.log(self.factor / self.before))

    def describe(self) -> str:
        """Return a description for log lines."""
        return f"{self.report.upstream_id} {self.before:.2f} to {self.factor:.2f}"

    def noted_speed(self) -> NotedSpeed:
        """Return the new speed in the form in which it is stored."""
        return NotedSpeed(
            self.report.upstream_id,
            self.report.incarnation,
            round(self.factor * _THOUSANDTHS),
        )


class SpeedKeeper:
    """Commits the speeds that a leader has learned, in a loop of its term.

    A standstill of an upstream is not stored: it may be over for long when
    the next leader begins, who would place no work there to find this out.
    """

    def __init__(self, leader_term: "LeaderTerm"):
        self._term = leader_term
        self._logged_factor_by_id: dict[str, float] = {}
        self.summary = _summarize([])

    def restore(self) -> int:
        """Start the model from the stored speeds; return their number."""
        count = 0
        for speed in self._term.store.noted_speeds.all():
            upstream = self._term.fleet.by_id.get(speed.upstream_id)
            if upstream is None or upstream.report.incarnation != speed.incarnation:
                continue
            factor = speed.factor_thousandths / _THOUSANDTHS
            self._term.speeds.seed(speed.upstream_id, factor)
            self._logged_factor_by_id[speed.upstream_id] = factor
            count += 1
        return count

    def forget(self, upstream_id: str) -> None:
        """Forget the speed of an upstream that is gone or has restarted."""
        self._term.speeds.forget(upstream_id)
        self._logged_factor_by_id.pop(upstream_id, None)

    async def run(self) -> None:
        """Store and log changed speeds until the term ends."""
        while True:
            await asyncio.sleep(_NOTE_INTERVAL_S)
            if not self._term.leads():
                return
            await self.note_changes()

    async def note_changes(self) -> None:
        """Store and log the speeds that have changed."""
        to_note: list[_Change] = []
        to_log: list[_Change] = []
        factors: list[float] = []
        for number, upstream_id in enumerate(self._term.speeds.upstream_ids()):
            if number % _EXAMINED_AT_ONCE == _EXAMINED_AT_ONCE - 1:
                await asyncio.sleep(0)
            upstream = self._term.fleet.by_id.get(upstream_id)
            estimate = self._term.speeds.speed(upstream_id)
            if upstream is None or estimate.weight < _MIN_WEIGHT:
                continue
            factors.append(estimate.factor)
            before = self._logged_factor_by_id.get(upstream_id, 1.0)
            change = _Change(upstream.report, before, estimate.factor)
            if change.size() > _LOGGED_CHANGE:
                self._logged_factor_by_id[upstream_id] = estimate.factor
                to_log.append(change)
            unnoted = self._unnoted_change(upstream.report)
            if unnoted is not None:
                to_note.append(unnoted)
        self.summary = _summarize(factors)
        self._log_changes(to_log)
        largest = heapq.nlargest(_MAX_NOTED, to_note, key=_Change.size)
        speeds = tuple(change.noted_speed() for change in largest)
        if speeds:
            await self._term.propose(NoteSpeeds(speeds))

    def _unnoted_change(self, report: UpstreamReport) -> _Change | None:
        """Return the change that is to be stored, or None."""
        stored = self._term.store.report_by_upstream.get(report.upstream_id)
        if stored is None or stored.incarnation != report.incarnation:
            return None
        estimate = self._term.speeds.ordinary_speed(report.upstream_id)
        if estimate.weight < _MIN_WEIGHT:
            return None
        low, high = _FACTOR_BOUNDS
        factor = min(high, max(low, estimate.factor))
        noted = self._term.store.noted_speeds.find(report.upstream_id)
        if noted is None:
            return _Change(report, 1.0, factor)
        change = _Change(report, noted.factor_thousandths / _THOUSANDTHS, factor)
        return change if change.size() > _NOTED_CHANGE else None

    def _log_changes(self, changes: list[_Change]) -> None:
        """Log one line for all changes since the last one."""
        if not changes:
            return
        largest = heapq.nlargest(_MAX_LOGGED, changes, key=_Change.size)
        self._term.log.info(
            "upstream speeds changed",
            changed=len(changes),
            known=self.summary.known,
            upstreams=[change.describe() for change in largest],
        )


def add_speed_gauges(
    metrics: ProcessMetrics, leader_term: "Callable[[], LeaderTerm | None]"
) -> None:
    """Export how many upstreams have a known speed, and up to which bounds."""

    def read() -> Iterator[GaugeValue]:
        summary = summarize_speeds(leader_term())
        yield GaugeValue("upstreams_of_known_speed", {}, summary.known)
        for bound, count in summary.count_by_bound.items():
            yield GaugeValue("upstream_speeds", {"le": bound}, count)

    metrics.add_gauges(_HELP_BY_GAUGE, read)


def summarize_speeds(leader_term: "LeaderTerm | None") -> SpeedSummary:
    """Return the summary of a term, or an empty one without a term."""
    if leader_term is None:
        return SpeedSummary(0, {})
    return leader_term.speed_keeper.summary


def _summarize(factors: list[float]) -> SpeedSummary:
    factors.sort()
    count_by_bound = {}
    for bound in _SPEED_BOUNDS:
        count_by_bound[str(bound)] = bisect.bisect_right(factors, bound)
    count_by_bound["+Inf"] = len(factors)
    return SpeedSummary(len(factors), count_by_bound)
