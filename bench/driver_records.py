"""What the driver records, and what it asks of a scheduler."""

from dataclasses import dataclass, field
from typing import Protocol

from bench.workload import PlannedJob
from persimmonyard.scheduler import Decision, Event, Job

__all__ = ["Attempt", "Policy", "Request", "Sample"]


class Policy(Protocol):
    """What the driver uses of a scheduler."""

    def observe(self, event: Event, now: float) -> None:
        """Take note of a fact."""

    def decide(self, now: float) -> list[Decision]:
        """Return decisions."""

    def next_wakeup(self) -> float | None:
        """Return when ``decide`` is due without a new fact."""


@dataclass
class Attempt:
    """One attempt; ``outcome`` is empty while it runs."""

    request: "Request"
    number: int
    upstream_ids: tuple[str, ...]
    started_at: float | None = None
    ended_at: float | None = None
    outcome: str = ""
    stopping: bool = False


@dataclass
class Request:
    """A job in the fake system; ``end`` is empty while it has not ended."""

    planned: PlannedJob
    job: Job
    left_s: float
    attempts: list[Attempt] = field(default_factory=list)
    failures: int = 0
    cancelled: bool = False
    first_start: float | None = None
    ended_at: float | None = None
    end: str = ""

    def live(self) -> Attempt | None:
        """Return the attempt that holds capacity."""
        if self.attempts and not self.attempts[-1].outcome:
            return self.attempts[-1]
        return None


@dataclass
class Sample:
    """The sound fleet in service at one moment, in accelerators.

    ``stranded`` is for the mix of the whole workload, ``stranded_waiting`` for
    the jobs that wait, and no more than they ask for.  ``demand`` is what
    running and waiting jobs ask for.  ``at`` is in seconds.
    """

    at: float
    free: int
    stranded: float
    stranded_waiting: float
    capacity: int
    demand: int
