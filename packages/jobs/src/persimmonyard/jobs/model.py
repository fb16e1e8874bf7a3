"""Jobs as callers submit them: steps of identical tasks with dependencies."""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from persimmonyard.model import Resources

__all__ = ["GANG_TASK", "Job", "JobState", "Step", "TaskEnd", "TaskKey", "UnitKey"]

# Task number in the key of a unit that holds all tasks of a gang.
GANG_TASK = -1


class JobState(StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskEnd(StrEnum):
    """How a run of a task ended.

    ``LOST`` means that the upstream ended or that the lease of the run
    expired, and ``LEFT`` that the upstream ended as it had announced.
    ``REJECTED`` means that the run did not start and cannot start later.  The
    leader concludes these three; upstreams report the others.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"
    LEFT = "left"
    REJECTED = "rejected"


class Step(msgspec.Struct, frozen=True, array_like=True):
    """Identical tasks that may start once the steps they depend on are done.

    ``needs.cores`` is in thousandths of a core.  ``rack`` is the rack that
    holds the input data, ``label`` a label that the upstream must have, and
    ``per_upstream`` the largest number of tasks on one upstream (0: no
    limit).  With ``fills`` the cores that a task needs are not charged
    against the capacity of its upstream.
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
    """An accepted job; times are in Unix milliseconds, durations in ms.

    A job with ``repeat_count`` runs all its steps that many times; occurrence
    k may start from ``start_at_ms + k * interval_ms`` on.
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

    def has_schedule(self) -> bool:
        """Return whether the job has start times."""
        return self.repeat_count > 0

    def tasks_per_occurrence(self) -> int:
        """Return how many tasks the steps of one occurrence have."""
        return sum(step.count for step in self.steps)

    def unit_count(self) -> int:
        """Return how many units all occurrences have."""
        units = sum(1 if step.gang else step.count for step in self.steps)
        return units * self.occurrences()

    def due_occurrences(self, at_ms: int) -> int:
        """Return how many occurrences are due at a time in Unix ms."""
        if not self.repeat_count:
            return 1
        if at_ms < self.start_at_ms:
            return 0
        if not self.interval_ms:
            return self.repeat_count
        since_ms = at_ms - self.start_at_ms
        return min(self.repeat_count, 1 + since_ms // self.interval_ms)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, or 0 without a start time."""
        if not self.repeat_count:
            return 0
        return self.start_at_ms + occurrence * self.interval_ms


class UnitKey(NamedTuple):
    """Key of a unit, which is placed as a whole: one task or a gang."""

    job_id: str
    occurrence: int
    step: int
    task: int

    def log_label(self) -> str:
        """Return "task occurrence.step.task", or "gang occurrence.step"."""
        if self.task == GANG_TASK:
            return f"gang {self.occurrence}.{self.step}"
        return f"task {self.occurrence}.{self.step}.{self.task}"

    def task_key(self, task: int) -> "TaskKey":
        """Return the key of one task of the unit."""
        return TaskKey(self.job_id, self.occurrence, self.step, task)


class TaskKey(NamedTuple):
    """Key of one task of a job; upstreams identify tasks by it."""

    job_id: str
    occurrence: int
    step: int
    task: int

    def log_label(self) -> str:
        """Return "occurrence.step.task", the form used in log lines."""
        return f"{self.occurrence}.{self.step}.{self.task}"

    def unit_key(self, gang: bool) -> UnitKey:
        """Return the key of the unit that the task belongs to."""
        task = GANG_TASK if gang else self.task
        return UnitKey(self.job_id, self.occurrence, self.step, task)
