"""The records of jobs, units and seats in the replicated state."""

import sys
from enum import StrEnum

import msgspec

from persimmonyard.jobs.commands import Seat, Silence
from persimmonyard.jobs.configuration import Route
from persimmonyard.jobs.crashes import LostSeat
from persimmonyard.jobs.model import (
    GANG_TASK,
    Job,
    JobState,
    Step,
    TaskEnd,
    UnitKey,
)
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

    def is_kept(self) -> bool:
        """Return whether an end that concerns the unit may still follow."""
        if self.status != UnitStatus.DONE:
            return True
        return bool(self.seats or self.lost_seats)

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
    same as ``placed_runs``.  ``units`` and ``open_by_step``, the number of
    units that are not done by "occurrence.step", have the first ``opened``
    occurrences only, without those that are done.  ``opened`` is below 0 in
    records of earlier versions, which had all occurrences from the start.
    ``charged_bytes`` is what the record counts as in the memory budget.
    ``ended_ms`` is when the job completed, failed or was cancelled, or 0
    before.  ``failure`` tells callers why it
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
    opened: int = -1
    charged_bytes: int = 0

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

    def find_unit(self, key: UnitKey) -> Unit | None:
        """Return a unit, or None if its record was deleted with its end."""
        return self.units.get(key)

    def kept_tasks(self) -> int:
        """Return how many tasks have a record."""
        tasks = 0
        for key in self.units:
            tasks += self.step_of(key).count if key.task == GANG_TASK else 1
        return tasks

    def next_due_ms(self) -> int | None:
        """Return when the next occurrence is due, or None without one."""
        if not self.is_active() or self.opened >= self.job.occurrences():
            return None
        return self.job.due_ms(self.opened)

    def has_open_occurrence(self) -> bool:
        """Return whether a task of an opened occurrence is not done."""
        return any(self.open_by_step.values())

    def is_completed(self) -> bool:
        """Return whether all tasks of all occurrences are done."""
        if self.opened < self.job.occurrences():
            return False
        return not self.has_open_occurrence()

    def add_occurrence(self) -> dict[UnitKey, Unit]:
        """Open the next occurrence; return its units."""
        added: dict[UnitKey, Unit] = {}
        for number, step in enumerate(self.job.steps):
            tasks = [GANG_TASK] if step.gang else range(step.count)
            # Most jobs have the same few names.
            step_name = sys.intern(f"{self.opened}.{number}")
            self.open_by_step[step_name] = len(tasks)
            for task in tasks:
                added[UnitKey(self.job.job_id, self.opened, number, task)] = Unit()
        self.opened += 1
        self.units.update(added)
        return added

    def delete_done_occurrences(self) -> None:
        """Delete the units of the occurrences of which all has ended."""
        kept = {key.occurrence for key, unit in self.units.items() if unit.is_kept()}
        for key in list(self.units):
            if key.occurrence not in kept:
                del self.units[key]
                self.open_by_step.pop(f"{key.occurrence}.{key.step}", None)

    def delete_ended_units(self) -> None:
        """Delete the units that nothing is to be learned of any more.

        The job has ended.  What failed or crashed explains its end.
        """
        for key, unit in list(self.units.items()):
            if unit.seats or unit.lost_seats or unit.failures or unit.crashes:
                continue
            del self.units[key]

    def adopt_earlier_form(self) -> None:
        """Keep only opened occurrences in a record of an earlier version."""
        if self.opened >= 0:
            return
        self.opened = self.job.occurrences()
        if not self.is_active():
            self.delete_ended_units()
            return
        if not self.job.has_schedule():
            return
        self.opened = 0
        for key, unit in self.units.items():
            if unit.run:
                self.opened = max(self.opened, key.occurrence + 1)
        for key in list(self.units):
            if key.occurrence >= self.opened:
                del self.units[key]
                self.open_by_step.pop(f"{key.occurrence}.{key.step}", None)

    def step_of(self, key: UnitKey) -> Step:
        """Return the step of a unit."""
        return self.job.steps[key.step]

    def step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of a step in an occurrence are done."""
        return self.open_by_step.get(f"{occurrence}.{step}") == 0
