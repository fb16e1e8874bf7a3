"""Observes in listings which kinds of tasks slow each other down.

Load pattern: many short tasks come and go on an upstream.  A listing shows
only whole percents at the time of a poll, and nearly every poll is answered
because a task has ended, whose place another one takes.  So a rate is taken
over at least 8 percentage points, together with the share of that time in
which tasks of each kind were at work, and two successive rates of one run are
compared.  An interval without any change inside it would be rare.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

from persimmonyard.daemon.jobs.metrics import JobMetrics
from persimmonyard.daemon.jobs.task_run import TaskRun
from persimmonyard.daemon.jobs.upstream_client import RunListing
from persimmonyard.decisions import Effect
from persimmonyard.estimation import KnownPair, SlowdownModel
from persimmonyard.jobs import JobStore, TaskKey, task_kind

if TYPE_CHECKING:
    from persimmonyard.daemon.jobs.session import UpstreamSession

__all__ = ["InterferenceMonitor"]

# Shortest interval of a rate, in percentage points: a listing shows whole
# percents, which are then off by an eighth at most.
_MIN_PERCENT = 8
# The same in seconds: listings arrive some 10 ms late at times.
_MIN_INTERVAL_S = 0.4
# A listing that comes later than this after the one before it, in seconds,
# ends all intervals: a poll waits 2 s at most, and what happened meanwhile is
# not known well enough.
_MAX_LISTING_GAP_S = 4.0
# An upstream stands still if each of its runs is this many percentage points
# behind its rate without any progress.
_STANDSTILL_PERCENT = 3.0
# Upstreams that are watched at a time.  Their runs show each pair of the 64
# kinds often enough, and the time and memory that this takes are bounded.
_MAX_UPSTREAMS = 1_000
# The known pairs are read from the model at most this often, in seconds: a
# plan may follow another one within milliseconds.
_REVIEW_INTERVAL_S = 1.0
_DONE_PERCENT = 100

_RunKey = tuple[TaskKey, int]


class _Presence(NamedTuple):
    """For how long any task of a kind was at work, and any two, in seconds."""

    one_s: float
    two_s: float


class _Rate(NamedTuple):
    """The rate of a run in an interval, and its neighbours meanwhile.

    ``neighbours`` is the share of the interval in which any other task of a
    kind was at work, by kind.
    """

    percent_per_s: float
    neighbours: Mapping[str, float]


@dataclass(slots=True)
class _Track:
    """What is kept of a listed run.

    ``opened_*`` are the values at the beginning of the interval that has not
    ended, and ``last`` is the rate in the one before it.  No interval begins
    before the run is at work.
    """

    kind: str
    first_percent: int
    percent: int
    opened_at: float
    opened_percent: int
    opened_presence: Mapping[str, _Presence] | None = None
    last: _Rate | None = None

    def open(self, presence: Mapping[str, _Presence], now: float) -> None:
        self.opened_at = now
        self.opened_percent = self.percent
        self.opened_presence = presence


@dataclass(slots=True)
class _Watch:
    """What is kept of an upstream, as of its last listing.

    ``working`` are the runs at work with their kinds, and ``presence`` is the
    time at work by kind since the watch began.  ``progressed_at`` is when any
    run last made progress, and ``ended`` are the ends that were listed.
    """

    incarnation: int
    listed_at: float
    progressed_at: float
    track_by_key: dict[_RunKey, _Track] = field(default_factory=dict)
    working: dict[_RunKey, str] = field(default_factory=dict)
    presence: dict[str, _Presence] = field(default_factory=dict)
    ended: frozenset[_RunKey] = frozenset()


class InterferenceMonitor:
    """Learns from listings which kinds slow each other down.

    What is learned ends with the term.  It only changes which of several free
    seats a task gets.
    """

    def __init__(self, store: JobStore, metrics: JobMetrics, log):
        self._store = store
        self._metrics = metrics
        self._log = log
        self._model = SlowdownModel()
        self._watch_by_id: dict[str, _Watch] = {}
        self._known: tuple[KnownPair, ...] = ()
        self._review_at = float("-inf")

    def observe_listing(
        self, session: "UpstreamSession", listing: RunListing, now: float
    ) -> None:
        """Learn from the progress of the runs that an upstream lists."""
        upstream_id = session.upstream.report.upstream_id
        watch = self._watch_by_id.get(upstream_id)
        if not listing.running:
            self._watch_by_id.pop(upstream_id, None)
            return
        if watch is None and len(self._watch_by_id) >= _MAX_UPSTREAMS:
            return
        if (
            watch is None
            or watch.incarnation != listing.incarnation
            or now - watch.listed_at > _MAX_LISTING_GAP_S
        ):
            watch = _Watch(listing.incarnation, now, now)
            self._watch_by_id[upstream_id] = watch
        self._update_tracks(watch, session, listing, now)
        if _stands_still(watch, now):
            # The upstream has failed, so no rate of its runs counts.
            del self._watch_by_id[upstream_id]
            return
        self._update_presence(watch, session, listing, now)
        for key, track in watch.track_by_key.items():
            if key in watch.working:
                self._close_interval(upstream_id, track, watch.presence, now)
            else:
                track.opened_presence = None

    def _update_tracks(
        self,
        watch: _Watch,
        session: "UpstreamSession",
        listing: RunListing,
        now: float,
    ) -> None:
        """Record the progress of all runs, and drop those no longer listed."""
        track_by_key = {}
        for listed_run in listing.running:
            key = (listed_run.task_key, listed_run.run)
            task_run = session.task_run_by_key.get(key)
            if task_run is None:
                continue
            percent = listed_run.percent
            track = watch.track_by_key.get(key)
            if track is None:
                kind = self._kind(task_run)
                track = _Track(kind, percent, percent, now, percent)
            elif percent != track.percent:
                track.percent = percent
                watch.progressed_at = now
            track_by_key[key] = track
        watch.track_by_key = track_by_key

    def _update_presence(
        self,
        watch: _Watch,
        session: "UpstreamSession",
        listing: RunListing,
        now: float,
    ) -> None:
        """Add the time since the last listing to that of the kinds at work.

        An upstream answers a poll as soon as a run ends, so an end that is
        listed for the first time counts as one at this moment.
        """
        working = {}
        for key, track in watch.track_by_key.items():
            if _is_working(track, session.task_run_by_key[key]):
                working[key] = track.kind
        begins_by_kind: dict[str, list[float]] = {}
        for kind in watch.working.values():
            begins_by_kind.setdefault(kind, []).append(watch.listed_at)
        ended = frozenset((run.task_key, run.run) for run in listing.ended)
        for key in (working.keys() | ended) - watch.working.keys() - watch.ended:
            task_run = session.task_run_by_key.get(key)
            if task_run is None or (key in ended and key in watch.track_by_key):
                continue
            kind = working.get(key) or self._kind(task_run)
            began_at = max(task_run.work_began_at or 0.0, watch.listed_at)
            begins_by_kind.setdefault(kind, []).append(min(began_at, now))
        presence = dict(watch.presence)
        for kind, begins in begins_by_kind.items():
            begins.sort()
            one_s, two_s = presence.get(kind, _Presence(0.0, 0.0))
            one_s += now - begins[0]
            if len(begins) > 1:
                two_s += now - begins[1]
            presence[kind] = _Presence(one_s, two_s)
        watch.presence = presence
        watch.working = working
        watch.ended = ended
        watch.listed_at = now

    def _kind(self, task_run: TaskRun) -> str:
        record = self._store.job_by_id.get(task_run.task_key.job_id)
        if record is None:
            return task_run.step.image
        return task_kind(record.job, task_run.step)

    def _close_interval(
        self,
        upstream_id: str,
        track: _Track,
        presence: Mapping[str, _Presence],
        now: float,
    ) -> None:
        """End the interval of a run once it is long enough."""
        if track.opened_presence is None:
            track.open(presence, now)
            return
        percent = track.percent - track.opened_percent
        seconds = now - track.opened_at
        if percent < _MIN_PERCENT or seconds < _MIN_INTERVAL_S:
            return
        neighbours = _neighbours(track.kind, track.opened_presence, presence, seconds)
        rate = _Rate(percent / seconds, neighbours)
        last = track.last
        if last is not None:
            ratio = rate.percent_per_s / last.percent_per_s
            self._model.observe(
                track.kind, upstream_id, last.neighbours, neighbours, ratio, now
            )
        track.last = rate
        track.open(presence, now)

    def forget_upstream(self, upstream_id: str) -> None:
        """Forget the runs on an upstream; what was learned there stays."""
        self._watch_by_id.pop(upstream_id, None)

    def known_effects(self) -> tuple[Effect, ...]:
        """Return the known effects between kinds, the strongest first."""
        return tuple(Effect(pair.slowed, pair.by, pair.factor) for pair in self._known)

    def describe(self) -> list[dict[str, Any]]:
        """Return the known pairs for ``GET /dump``, the strongest first."""
        described = []
        for pair in self._known:
            described.append(
                {
                    "slowed": pair.slowed,
                    "by": pair.by,
                    "factor": round(pair.factor, 3),
                    "weight": round(pair.weight, 1),
                }
            )
        return described

    def review(self, now: float) -> None:
        """Update the known pairs, and log those that were learned or lost.

        Old observations lose weight up to ``now``.
        """
        if now < self._review_at:
            return
        self._review_at = now + _REVIEW_INTERVAL_S
        self._model.advance(now)
        before = {(pair.slowed, pair.by): pair for pair in self._known}
        self._known = self._model.known_pairs()
        after = {(pair.slowed, pair.by): pair for pair in self._known}
        for kinds, pair in after.items():
            if kinds not in before:
                self._log.info(
                    "slowdown known",
                    slowed=pair.slowed,
                    by=pair.by,
                    factor=round(pair.factor, 2),
                    weight=round(pair.weight, 1),
                )
        for kinds, pair in before.items():
            if kinds not in after:
                self._log.info(
                    "slowdown forgotten",
                    slowed=pair.slowed,
                    by=pair.by,
                    factor=round(pair.factor, 2),
                )
        self._metrics.show_slowdowns(self._known)

    def close(self) -> None:
        """Withdraw the known pairs from the metrics."""
        self._metrics.show_slowdowns(())


def _is_working(track: _Track, task_run: TaskRun) -> bool:
    """Return whether a run uses capacity.

    A member of a gang waits until the last one has started, and one that has
    finished waits at 100%.  A run that resumes begins above 0%, so its
    progress has to change before it counts.  A long-running task may report
    no progress at all.
    """
    if task_run.step.long_running:
        return True
    if not 0 < track.percent < _DONE_PERCENT:
        return False
    return not task_run.step.checkpoints or track.percent > track.first_percent


def _stands_still(watch: _Watch, now: float) -> bool:
    """Return whether all runs have stopped to make progress together."""
    idle_s = now - watch.progressed_at
    rates = []
    for track in watch.track_by_key.values():
        if track.last is not None and track.percent < _DONE_PERCENT:
            rates.append(track.last.percent_per_s)
    return bool(rates) and min(rates) * idle_s >= _STANDSTILL_PERCENT


def _neighbours(
    own_kind: str,
    opened: Mapping[str, _Presence],
    closed: Mapping[str, _Presence],
    seconds: float,
) -> dict[str, float]:
    """Return for which share of an interval a run had neighbours, by kind."""
    shares = {}
    for kind, until in closed.items():
        since = opened.get(kind, _Presence(0.0, 0.0))
        # The run itself is one of its kind.
        if kind == own_kind:
            present_s = until.two_s - since.two_s
        else:
            present_s = until.one_s - since.one_s
        if present_s > 0.0:
            shares[kind] = present_s / seconds
    return shares
