"""What callers submit: jobs of steps, each with tasks of one shape."""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from persimmonyard.model import Resources

__all__ = ["GANG", "Job", "JobState", "Step", "TaskEnd", "TaskKey", "UnitKey"]

# Task number of the unit that stands for all tasks of a gang.
GANG = -1


class JobState(StrEnum):
    """What a caller sees of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskEnd(StrEnum):
    """How a run of a task ended.

    ``LOST`` is a run that ended with its upstream or its lease; ``REJECTED``
    one that never began and never will.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"
    REJECTED = "rejected"


class Step(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of one shape that may start once other steps are done.

    ``needs.cores`` counts thousandths of a core.  ``rack`` is where the data
    lies, ``label`` a label that the upstream must have, ``per_upstream`` how
    many tasks may share an upstream (0: any number).  ``fills`` takes the
    cores of the step out of the capacity that is counted.
    """

    count: int
    needs: Resources
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    gang: bool = False
    one_rack: bool = False
    label: str = ""
    rack: str = ""
    per_upstream: int = 0
    checkpoints: bool = False
    long_running: bool = False
    fills: bool = False
    image: str = ""
    target_ms: int = 0
    may_miss: int = 0


class Job(msgspec.Struct, frozen=True, array_like=True):
    """A job as it was accepted; times are Unix milliseconds.

    A job with ``repeat_count`` runs its steps that many times; occurrence k
    is due at ``start_at_ms + k * interval_ms``.
    """

    job_id: str
    route: str
    account: str
    payload: str
    steps: tuple[Step, ...]
    submitted_ms: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0
    repeat_count: int = 0

    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, or 0 if it may at once."""
        if not self.repeat_count:
            return 0
        return self.start_at_ms + occurrence * self.interval_ms


class UnitKey(NamedTuple):
    """What is placed as a whole: one task, or all tasks of a gang."""

    job_id: str
    occurrence: int
    step: int
    task: int

    def task_key(self, task: int) -> "TaskKey":
        """Return the name of one task of the unit."""
        return TaskKey(self.job_id, self.occurrence, self.step, task)


class TaskKey(NamedTuple):
    """One task of a job, as upstreams know it."""

    job_id: str
    occurrence: int
    step: int
    task: int

    def task_text(self) -> str:
        """Return occurrence, step and task as logs show them."""
        return f"{self.occurrence}.{self.step}.{self.task}"

    def unit_key(self, gang: bool) -> UnitKey:
        """Return the unit that the task belongs to."""
        task = GANG if gang else self.task
        return UnitKey(self.job_id, self.occurrence, self.step, task)
