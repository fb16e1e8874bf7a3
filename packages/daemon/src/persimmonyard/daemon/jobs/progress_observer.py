"""Turns the progress in listings into observations of upstreams' speeds."""

from typing import NamedTuple

from persimmonyard.daemon.jobs.task_run import ProgressMark, RunState, TaskRun
from persimmonyard.estimation import SpeedModel
from persimmonyard.jobs import UnitKey

__all__ = ["ProgressObserver"]

# An observation takes at least this time, in seconds, and this progress, in
# percent: the progress is rounded, and the time of a listing is known only to
# some milliseconds.
_MIN_INTERVAL_S = 0.4
_MIN_PROGRESS_PERCENT = 10
_DONE_PERCENT = 100
# A run with less progress in this time, in seconds, gives an observation if
# its step usually progresses faster by the factor below: without it, an
# upstream on which progress stands still would give none.
_SLOW_INTERVAL_S = 1.5
_SLOW_RATIO = 4.0
# This many steps and gangs are kept, those with the last observations.
_MAX_STEPS = 2_000


class _StepKey(NamedTuple):
    """The step of an occurrence of a job, whose tasks have similar work."""

    job_id: str
    occurrence: int
    step: int


class _GangStart(NamedTuple):
    """The upstreams that started members of a gang, and when the last did."""

    upstream_ids: tuple[str, ...]
    last_at: float


class ProgressObserver:
    """Measures the rates of progress of all runs of a term.

    The rate is that between two listings, or from the time at which the work
    began, if it is known.  Work of a gang begins once its last member has
    started.  Times are in seconds of the monotonic clock.
    """

    def __init__(self, speeds: SpeedModel):
        self._speeds = speeds
        self._rate_by_step: dict[_StepKey, float] = {}
        self._start_by_gang: dict[tuple[UnitKey, int], _GangStart] = {}

    def record_start(self, task_run: TaskRun, upstream_id: str, now: float) -> None:
        """Record that a run begins, without a checkpoint, on an upstream.

        It is not called for a run that may have begun earlier.
        """
        if not task_run.step.gang:
            task_run.work_began_at = now
            return
        gang = (task_run.unit_key, task_run.run)
        started = self._start_by_gang.pop(gang, _GangStart((), now))
        upstream_ids = (*started.upstream_ids, upstream_id)
        self._start_by_gang[gang] = _GangStart(upstream_ids, now)
        if len(self._start_by_gang) > _MAX_STEPS:
            del self._start_by_gang[next(iter(self._start_by_gang))]

    def observe(self, task_run: TaskRun, upstream_id: str, now: float) -> None:
        """Process the progress of a run that was listed at ``now``."""
        percent = task_run.percent
        if task_run.state != RunState.RUNNING or task_run.step.long_running:
            task_run.mark = None
            return
        mark = task_run.mark or self._first_mark(task_run)
        if percent >= _DONE_PERCENT or mark is None or percent < mark.percent:
            task_run.mark = self._next_mark(percent, now)
            return
        task_run.mark = mark
        interval_s = now - mark.at
        progress = percent - mark.percent
        key = task_run.task_key
        step = _StepKey(key.job_id, key.occurrence, key.step)
        if progress >= _MIN_PROGRESS_PERCENT:
            if interval_s < _MIN_INTERVAL_S:
                return
            rate = progress / interval_s
            self._rate_by_step.pop(step, None)
            self._rate_by_step[step] = rate
            if len(self._rate_by_step) > _MAX_STEPS:
                del self._rate_by_step[next(iter(self._rate_by_step))]
        else:
            if interval_s < _SLOW_INTERVAL_S:
                return
            # The progress is rounded down, so the rate may be this high.
            rate = (progress + 1) / interval_s
            if rate * _SLOW_RATIO > self._rate_by_step.get(step, 0.0):
                return
        task_run.mark = ProgressMark(percent, now)
        self._speeds.observe(step, upstream_id, rate, now)

    def work_s(self, task_run: TaskRun, upstream_id: str, now: float) -> float | None:
        """Return how long a run that is done takes at reference speed.

        The result is in seconds.  A gang takes as long as its slowest member,
        so it is that of the whole gang, for the first member that ends.
        Returns None if the run time is not known.  That of a run on an earlier
        incarnation is not: the speed is that of the present one.
        """
        if task_run.step.long_running or task_run.replaced:
            return None
        if not task_run.step.gang:
            began_at = task_run.work_began_at
            if began_at is None:
                return None
            return (now - began_at) * self._speeds.speed(upstream_id).factor
        started = self._complete_gang(task_run)
        if started is None:
            return None
        del self._start_by_gang[(task_run.unit_key, task_run.run)]
        factors = [self._speeds.speed(member).factor for member in started.upstream_ids]
        return (now - started.last_at) * min(factors)

    def _complete_gang(self, task_run: TaskRun) -> _GangStart | None:
        """Return the start of a gang all of whose members have started."""
        started = self._start_by_gang.get((task_run.unit_key, task_run.run))
        if started is None or len(started.upstream_ids) < task_run.step.count:
            return None
        return started

    def _first_mark(self, task_run: TaskRun) -> ProgressMark | None:
        """Return the begin of the work of a run, or None if unknown."""
        if not task_run.step.gang:
            began_at = task_run.work_began_at
            return None if began_at is None else ProgressMark(0, began_at)
        started = self._complete_gang(task_run)
        return None if started is None else ProgressMark(0, started.last_at)

    def _next_mark(self, percent: int, now: float) -> ProgressMark | None:
        """Return the begin of the next interval.

        A run without progress may not have begun its work yet.
        """
        if not 0 < percent < _DONE_PERCENT:
            return None
        return ProgressMark(percent, now)
