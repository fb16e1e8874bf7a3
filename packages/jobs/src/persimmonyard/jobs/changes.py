"""Changes of the replicated state that its observers act on."""

from dataclasses import dataclass

from persimmonyard.jobs.commands import RunEnd
from persimmonyard.jobs.model import UnitKey

__all__ = ["Change", "JobEnded", "RunPlaced", "TaskEnded"]


@dataclass(frozen=True)
class RunPlaced:
    """A unit was placed; ``run`` is the number of the placement."""

    key: UnitKey
    run: int


@dataclass(frozen=True)
class TaskEnded:
    """The run of a task on an upstream has ended."""

    end: RunEnd
    upstream_id: str


@dataclass(frozen=True)
class JobEnded:
    """A job has completed, failed or been cancelled."""

    job_id: str


Change = RunPlaced | TaskEnded | JobEnded
