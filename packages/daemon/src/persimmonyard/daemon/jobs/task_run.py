"""The leader's state of one run of a task, beyond the replicated state."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from persimmonyard.jobs import RunProgress, Step, TaskKey, UnitKey

__all__ = ["ProgressMark", "RunState", "TaskRun"]

# A run without progress for this long counts as stalled, in seconds, unless it
# needs longer for a few percent: a healthy task of up to a minute advances by
# a percent in less time.
_STALL_TIMEOUT_S = 1.5
_MAX_MISSED_PERCENTS = 3
# The same for members of a gang: they make no progress until the last one has
# started, and wait up to 4 s for it.
_GANG_STALL_TIMEOUT_S = 4.5
# From this progress on, in percent, waiting for a stalled run without
# checkpoints is cheaper than restarting it.
_MAX_RESTART_PERCENT = 50
_DONE_PERCENT = 100
# How long after its expected end a run still counts as about to end, in
# seconds: upstreams may wait for 2 s before they list its progress.
_MAX_OVERDUE_S = 3.0
# Observed progress from which the rest of a run can be estimated, in percent.
_MIN_ESTIMATE_PERCENT = 10


class RunState(StrEnum):
    """State of a run as the leader sees it.

    An ``INHERITED`` run was placed by a previous leader, which may have
    started it.
    """

    INHERITED = "inherited"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class ProgressMark(NamedTuple):
    """The progress of a run, in percent, at a time of the monotonic clock."""

    percent: int
    at: float


@dataclass
class TaskRun:
    """One run of a task on one upstream; times are of the monotonic clock.

    ``incarnation`` is the one of the upstream on which it was placed.
    ``sent`` is true once a start was sent, and ``in_doubt`` if one got no
    answer, so that the upstream may still execute it.  ``delivered_at`` is
    when the first start was sent that may have reached the upstream, whose
    last sign of life before that was at ``alive_at``.  ``listed`` is true
    once the upstream has listed the run.  ``answered_at`` is
    when the upstream last confirmed that the run was started or stopped.
    ``progressed_at`` is when ``percent`` last changed.  ``first_percent`` is
    the progress in the first listing, at ``first_progress_at``.
    ``inherited`` is true while no poll has shown whether an earlier leader has
    started the run, also if it is being stopped meanwhile.  ``taken_over`` is
    true if an earlier leader has placed it and may have sent starts of its
    own.  ``replaced`` is true once another incarnation has taken the place of
    the run's upstream, and ``stop_sent`` once that one has listed the run and
    is told to stop it.
    ``work_began_at`` is when the upstream answered the start, unless the run
    continues from a checkpoint or may have begun earlier, and ``mark`` is the
    progress from which its rate is measured next.
    """

    task_key: TaskKey
    run: int
    unit_key: UnitKey
    step: Step
    state: RunState
    placed_at: float
    incarnation: int = 0
    inherited: bool = False
    taken_over: bool = False
    replaced: bool = False
    stop_sent: bool = False
    sent: bool = False
    in_doubt: bool = False
    delivered_at: float | None = None
    alive_at: float | None = None
    listed: bool = False
    answered_at: float | None = None
    started_at: float | None = None
    saved_at: float | None = None
    percent: int = 0
    progressed_at: float = 0.0
    first_percent: int = 0
    first_progress_at: float | None = None
    checkpoint: str = ""
    stop_reason: str = ""
    work_began_at: float | None = None
    mark: ProgressMark | None = None

    def update_progress(self, percent: int, checkpoint: str, now: float) -> None:
        """Record the progress that the upstream lists."""
        self.listed = True
        if self.started_at is None:
            self.started_at = now
            self.progressed_at = now
        if self.first_progress_at is None and percent < _DONE_PERCENT:
            self.first_percent = percent
            self.first_progress_at = now
        if percent != self.percent:
            self.percent = percent
            self.progressed_at = now
        if checkpoint and checkpoint != self.checkpoint:
            self.checkpoint = checkpoint
            self.saved_at = now

    def may_reach_successor(self) -> bool:
        """Return whether the next incarnation may execute a start of the run.

        It does not if no start was sent, or if the only one was executed by
        this incarnation, which has listed the run.
        """
        if self.taken_over or self.in_doubt:
            return True
        return self.sent and not self.listed

    def is_stalled(self, now: float) -> bool:
        """Return whether the run is stalled and should restart elsewhere.

        Members of a gang wait for each other at their start, so they get more
        time.
        """
        if self.state != RunState.RUNNING or self.started_at is None:
            return False
        if self.percent >= _DONE_PERCENT or self.step.long_running:
            return False
        limit_s = _GANG_STALL_TIMEOUT_S if self.step.gang else _STALL_TIMEOUT_S
        limit_s = max(limit_s, _MAX_MISSED_PERCENTS * self._s_per_percent())
        if now - self.progressed_at < limit_s:
            return False
        return self.step.checkpoints or self.percent < _MAX_RESTART_PERCENT

    def _s_per_percent(self) -> float:
        """Return in how many seconds the run advances by a percent.

        It is the observed time if there is one, and else that of the estimate,
        which is 0 if the caller gave none.
        """
        done = self.percent - self.first_percent
        if self.first_progress_at is None or done <= 0:
            return self.step.estimate_ms / (_DONE_PERCENT * 1_000)
        return (self.progressed_at - self.first_progress_at) / done

    def run_progress(self, now: float) -> RunProgress:
        """Return the progress of the run for the planner."""
        started_at = now if self.started_at is None else self.started_at
        return RunProgress(
            self.state == RunState.STOPPING,
            self.unsaved_s(now),
            now - started_at,
            self.remaining_s(now),
        )

    def remaining_s(self, now: float) -> float | None:
        """Return the expected time to the end of the run, or None if unknown.

        It is extrapolated from the progress since the first listing.  A run
        that is long overdue may hang.
        """
        if self.step.long_running:
            return None
        done = self.percent - self.first_percent
        if self.first_progress_at is None or done < _MIN_ESTIMATE_PERCENT:
            return None
        left_s = self._s_per_percent() * (_DONE_PERCENT - self.percent)
        remaining_s = self.progressed_at + left_s - now
        if remaining_s < -_MAX_OVERDUE_S:
            return None
        return max(0.0, remaining_s)

    def unsaved_s(self, now: float) -> float:
        """Return how much work a stop would lose, in seconds."""
        if self.started_at is None:
            return 0.0
        if self.step.checkpoints:
            # The upstream saves a checkpoint when it stops the run.
            return 0.0
        return now - self.started_at
