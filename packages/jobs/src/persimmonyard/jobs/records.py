"""The records of jobs, units and seats in the replicated state."""

from enum import StrEnum

import msgspec

from persimmonyard.jobs.commands import Seat, Silence
from persimmonyard.jobs.configuration import Route
from persimmonyard.jobs.crashes import LostSeat
from persimmonyard.jobs.model import Job, JobState, Step, TaskEnd, UnitKey
from persimmonyard.model.crash_verdict import Crash, may_be_to_blame

__all__ = ["JobRecord", "SeatRecord", "Unit", "UnitStatus"]


class UnitStatus(StrEnum):
    """Status of a unit."""

    WAITING = "w"
    PLACED = "p"
    DONE = "d"


class SeatRecord(msgspec.Struct):
    """The seat of one task of a run; ``end`` is None until its end.

    ``silence`` is what is known if the upstream has stopped answering, and
    ``ended_ms`` when the end was committed, or 0.
    """

    seat: Seat
    end: TaskEnd | None = None
    silence: Silence | None = None
    ended_ms: int = 0


class Unit(msgspec.Struct):
    """State of a unit.

    ``run`` is the number of its last placement, made at ``placed_ms``, and
    ``avoid`` lists the last 8 upstreams on which a run of it failed.
    ``crashes`` are those of upstreams under it, and ``excused_runs`` counts
    the runs with a crash that had another cause.  ``lost_seats`` are the last
    seats on silent upstreams that may still turn out to have crashed.
    ``completed`` is true once one member of a gang has ended as done; the unit
    stays placed until the ends of the others are known, and is done then.
    """

    status: UnitStatus = UnitStatus.WAITING
    run: int = 0
    failures: int = 0
    checkpoint: str = ""
    seats: list[SeatRecord] = []
    avoid: list[str] = []
    placed_ms: int = 0
    # The encoded name differs from that of an earlier form of the records.
    crashes: list[Crash] = msgspec.field(default_factory=list, name="crash_records")
    excused_runs: int = 0
    lost_seats: list[LostSeat] = []
    completed: bool = False

    def is_done(self) -> bool:
        """Return whether the unit needs no further run."""
        return self.completed or self.status == UnitStatus.DONE

    def starts_apart(self) -> bool:
        """Return whether the unit may crash the upstream that starts it."""
        return bool(self.crashes) and may_be_to_blame(self.crashes)

    def crashed_at_start(self) -> bool:
        """Return whether an upstream crashed within a second of its start."""
        return any(
            crash.followed_start() and not crash.excused for crash in self.crashes
        )


class JobRecord(msgspec.Struct):
    """A job and the state of its units.

    ``route`` is the route at acceptance, and ``begun`` is true once a unit
    was placed, unless none was carried out: ``rejected_runs`` is then the
    same as ``placed_runs``.  ``open_by_step`` is the number of units that are
    not done, by "occurrence.step".  ``ended_ms`` is when the job completed,
    failed or was cancelled, or 0 before.  ``failure`` tells callers why it
    failed.  ``beyond_rate`` is true if it was sent beyond the rate of its
    account.
    """

    job: Job
    route: Route | None
    units: dict[UnitKey, Unit] = {}
    open_by_step: dict[str, int] = {}
    cancelled: bool = False
    failed: bool = False
    begun: bool = False
    ended_ms: int = 0
    failure: str = ""
    beyond_rate: bool = False
    placed_runs: int = 0
    rejected_runs: int = 0

    def state(self) -> JobState:
        """Return the state that callers see."""
        if self.cancelled:
            return JobState.CANCELLED
        if self.failed:
            return JobState.FAILED
        if self.ended_ms:
            return JobState.COMPLETED
        return JobState.RUNNING if self.begun else JobState.QUEUED

    def is_active(self) -> bool:
        """Return whether units of the job may still be placed."""
        return not self.ended_ms

    def step_of(self, key: UnitKey) -> Step:
        """Return the step of a unit."""
        return self.job.steps[key.step]

    def step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step are done."""
        return self.open_by_step.get(f"{occurrence}.{step}") == 0
