"""What the leader knows of one run of a task beyond the replicated state."""

from dataclasses import dataclass
from enum import StrEnum

from persimmonyard.jobs import RunProgress, Step, TaskKey, UnitKey

__all__ = ["RunState", "RunTrack"]

# A run whose progress does not change for this long stands still, in seconds:
# sound tasks of up to a minute make a percent in less.
_STALLED_AFTER_S = 1.5
# Members of a gang make no progress before the last one has started, for
# which they wait 4 s at the most.
_GANG_STALLED_AFTER_S = 4.5
# Beyond this progress, waiting for a run that saves nothing is cheaper than
# beginning again, in percent.
_WORTH_WAITING_PERCENT = 50
_DONE_PERCENT = 100
# Progress from which the rest of a run can be told, in percent.
_TELLING_PERCENT = 10


class RunState(StrEnum):
    """How far a run has come.

    An ``INHERITED`` run was placed by a former leader, which may have started
    it.
    """

    INHERITED = "inherited"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass
class RunTrack:
    """One task of a run on one upstream; times are of the steady clock.

    ``in_doubt`` says that a start got no answer and may be carried out late.
    ``settled_at`` is when the upstream answered the last order that decides
    whether the run is present.
    """

    name: TaskKey
    run: int
    key: UnitKey
    step: Step
    state: RunState
    placed_at: float
    in_doubt: bool = False
    settled_at: float | None = None
    began_at: float | None = None
    saved_at: float | None = None
    percent: int = 0
    moved_at: float = 0.0
    first_percent: int = 0
    first_at: float | None = None
    checkpoint: str = ""
    stop_reason: str = ""

    def note_listed(self, percent: int, checkpoint: str, now: float) -> None:
        """Take the progress that the upstream reports."""
        if self.began_at is None:
            self.began_at = now
            self.moved_at = now
        if self.first_at is None and percent < _DONE_PERCENT:
            self.first_percent = percent
            self.first_at = now
        if percent != self.percent:
            self.percent = percent
            self.moved_at = now
        if checkpoint and checkpoint != self.checkpoint:
            self.checkpoint = checkpoint
            self.saved_at = now

    def stands_still(self, now: float) -> bool:
        """Return whether the run should go on elsewhere.

        Members of a gang wait for each other at their start.
        """
        if self.state != RunState.RUNNING or self.began_at is None:
            return False
        if self.percent >= _DONE_PERCENT or self.step.long_running:
            return False
        limit_s = _GANG_STALLED_AFTER_S if self.step.gang else _STALLED_AFTER_S
        if now - self.moved_at < limit_s:
            return False
        return self.step.checkpoints or self.percent < _WORTH_WAITING_PERCENT

    def run_progress(self, now: float) -> RunProgress:
        """Return what the planner has to know of the run."""
        began_at = now if self.began_at is None else self.began_at
        return RunProgress(
            self.state == RunState.STOPPING,
            self.unsaved_s(now),
            now - began_at,
            self.remaining_s(now),
        )

    def remaining_s(self, now: float) -> float | None:
        """Return how long the run will go on, or None if that is unknown.

        Progress is taken to go on at the pace since it was first seen.
        """
        done = self.percent - self.first_percent
        if self.first_at is None or done < _TELLING_PERCENT:
            return None
        pace = (self.moved_at - self.first_at) / done
        return max(0.0, self.moved_at + pace * (_DONE_PERCENT - self.percent) - now)

    def unsaved_s(self, now: float) -> float:
        """Return how much work a stop would throw away, in seconds."""
        if self.began_at is None:
            return 0.0
        if self.step.checkpoints:
            # A stop saves a checkpoint of its own.
            return 0.0
        return now - self.began_at
