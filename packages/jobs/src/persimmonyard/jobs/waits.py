"""The order in which waiting units get capacity."""

from typing import NamedTuple

from persimmonyard.jobs.configuration import Route
from persimmonyard.jobs.history import RunTimes
from persimmonyard.jobs.model import GANG, Step, UnitKey
from persimmonyard.jobs.promises import PromisedJobs
from persimmonyard.jobs.store import JobRecord, JobStore, Unit

__all__ = ["Deadlines", "Wait", "WaitingWork", "work_weight"]

_MS = 1_000
# A job that takes longer than this many objectives earns nothing.
_LAST_OBJECTIVE = 3
# Work of an accelerator in thousandths of a core, as work is accounted for.
_CORES_PER_ACCELERATOR = 8_000


def work_weight(step: Step) -> float:
    """Return what a second of one task of a step counts, in core-seconds."""
    needs = step.needs
    return (needs.cores + _CORES_PER_ACCELERATOR * needs.accelerators) / _MS


class Deadlines(NamedTuple):
    """How much time an occurrence of a job has left from one of its steps on.

    ``slack_ms`` is the time until the rest has to start to meet the
    objective, ``last_ms`` the time until it can no longer earn anything.
    """

    slack_ms: float
    last_ms: float

    @classmethod
    def of(
        cls,
        record: JobRecord,
        route: Route,
        key: UnitKey,
        wall_ms: int,
        times: RunTimes,
    ) -> "Deadlines":
        """Return the deadlines of a unit that would start now."""
        job = record.job
        since = max(job.submitted_ms, job.due_ms(key.occurrence))
        objective = times.objective_ms(job, route)
        left = times.chain_ms(job, key.step) + wall_ms - since
        return cls(objective - left, _LAST_OBJECTIVE * objective - left)


class Wait(NamedTuple):
    """The units of one step whose turn has come, with what orders them.

    ``owed`` says that the account was promised the capacity.
    """

    rank: tuple[int, int, int, int, float, int]
    units: list[tuple[UnitKey, Unit]]
    record: JobRecord
    step: Step
    route: Route
    deadlines: Deadlines
    waited_s: float
    owed: bool

    def task_count(self) -> int:
        """Return how many tasks one unit has."""
        return self.step.count if self.units[0][0].task == GANG else 1


class WaitingWork:
    """Sort what waits, and know when the next occurrence is due."""

    def __init__(self, store: JobStore, times: RunTimes):
        self._store = store
        self._times = times
        self.next_due_ms: int | None = None

    def in_order(self, wall_ms: int, owed: PromisedJobs) -> list[Wait]:
        """Return the steps with units whose turn has come."""
        self.next_due_ms = None
        units_by_step: dict[tuple[str, int, int], list[tuple[UnitKey, Unit]]] = {}
        for key, unit, _ in self._store.waiting():
            place = (key.job_id, key.occurrence, key.step)
            units_by_step.setdefault(place, []).append((key, unit))
        waits: list[Wait] = []
        for units in units_by_step.values():
            key = units[0][0]
            record = self._store.job_by_id[key.job_id]
            route = self._store.route_of(record)
            if route is None or not self._turn_has_come(key, record, wall_ms):
                continue
            waits.append(self._wait(units, record, route, wall_ms, owed))
        waits.sort(key=lambda wait: wait.rank)
        return waits

    def _turn_has_come(self, key: UnitKey, record: JobRecord, wall_ms: int) -> bool:
        due = record.job.due_ms(key.occurrence)
        if due > wall_ms:
            if self.next_due_ms is None or due < self.next_due_ms:
                self.next_due_ms = due
            return False
        for number in record.step_of(key).depends_on:
            if not record.step_done(key.occurrence, number):
                return False
        return True

    def _wait(
        self,
        units: list[tuple[UnitKey, Unit]],
        record: JobRecord,
        route: Route,
        wall_ms: int,
        owed_jobs: PromisedJobs,
    ) -> Wait:
        key = units[0][0]
        job = record.job
        owed = owed_jobs.covers(record)
        deadlines = Deadlines.of(record, route, key, wall_ms, self._times)
        since = max(job.submitted_ms, job.due_ms(key.occurrence))
        # Work that cannot earn anything any more goes behind the rest, and
        # work that is late already behind what can still be in time.
        rank = (
            int(deadlines.last_ms < 0 and not owed),
            route.priority,
            int(not owed),
            int(deadlines.slack_ms < 0 and not owed),
            deadlines.slack_ms,
            since,
        )
        step = record.step_of(key)
        waited_s = (wall_ms - since) / _MS
        return Wait(rank, units, record, step, route, deadlines, waited_s, owed)
