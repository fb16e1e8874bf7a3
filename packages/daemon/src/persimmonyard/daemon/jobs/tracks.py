"""What the leader knows of one run of a task beyond the replicated state."""

from dataclasses import dataclass
from enum import StrEnum

from persimmonyard.jobs import RunName, Step, UnitKey

__all__ = ["RunState", "RunTrack"]


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

    name: RunName
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
    checkpoint: str = ""
    stop_reason: str = ""

    def note_listed(self, percent: int, checkpoint: str, now: float) -> None:
        """Take the progress that the upstream reports."""
        if self.began_at is None:
            self.began_at = now
            self.moved_at = now
        if percent != self.percent:
            self.percent = percent
            self.moved_at = now
        if checkpoint and checkpoint != self.checkpoint:
            self.checkpoint = checkpoint
            self.saved_at = now

    def unsaved_s(self, now: float) -> float:
        """Return how much work a stop would throw away, in seconds."""
        if self.began_at is None:
            return 0.0
        if self.step.checkpoints:
            # A stop saves a checkpoint of its own.
            return 0.0
        return now - self.began_at
