"""The queue of waiting units, in the order in which they are placed."""

from typing import NamedTuple

from persimmonyard.jobs.configuration import Route
from persimmonyard.jobs.guarantees import GuaranteedJobs
from persimmonyard.jobs.model import GANG_TASK, Step, UnitKey
from persimmonyard.jobs.records import JobRecord, Unit
from persimmonyard.jobs.run_time_estimator import RunTimeEstimator
from persimmonyard.jobs.store import JobStore

__all__ = ["Slack", "WaitingQueue", "WaitingUnits", "core_equivalents"]

# Milliseconds in a second, and thousandths of a core in a core.
_MILLIS_PER_UNIT = 1_000
# A job that takes longer than this multiple of its objective has no value.
_ZERO_VALUE_FACTOR = 3
# Thousandths of a core that one accelerator counts as when work is valued.
_MILLICORES_PER_ACCELERATOR = 8_000


def core_equivalents(step: Step) -> float:
    """Return the cores that one task of a step counts as.

    Accelerators are converted to cores.
    """
    needs = step.needs
    return (
        needs.cores + _MILLICORES_PER_ACCELERATOR * needs.accelerators
    ) / _MILLIS_PER_UNIT


class Slack(NamedTuple):
    """How long a step may be delayed, in an occurrence of a job.

    With a delay of up to ``objective_slack_ms`` the job still meets its
    objective, and with one of up to ``final_slack_ms`` it still has a value.
    Each is negative when it is too late.
    """

    objective_slack_ms: float
    final_slack_ms: float

    @classmethod
    def of(
        cls,
        record: JobRecord,
        route: Route,
        key: UnitKey,
        wall_ms: int,
        estimator: RunTimeEstimator,
    ) -> "Slack":
        """Return the slack of a unit that would start now."""
        job = record.job
        due_since_ms = max(job.submitted_ms, job.due_ms(key.occurrence))
        objective_ms = estimator.objective_ms(job, route)
        remaining_ms = (
            estimator.critical_path_ms(job, key.step) + wall_ms - due_since_ms
        )
        return cls(
            objective_ms - remaining_ms,
            _ZERO_VALUE_FACTOR * objective_ms - remaining_ms,
        )


class WaitingUnits(NamedTuple):
    """The waiting units of one step that may start, and their sort key.

    ``within_guarantee`` is true if the guarantee of the client account covers
    the job.
    """

    sort_key: tuple[int, int, int, int, float, int]
    units: list[tuple[UnitKey, Unit]]
    record: JobRecord
    step: Step
    route: Route
    slack: Slack
    waited_s: float
    within_guarantee: bool

    def task_count(self) -> int:
        """Return how many tasks one unit has."""
        return self.step.count if self.units[0][0].task == GANG_TASK else 1


class WaitingQueue:
    """Sorts waiting units, and records when the next occurrence is due."""

    def __init__(self, store: JobStore, estimator: RunTimeEstimator):
        self._store = store
        self._estimator = estimator
        self.next_due_ms: int | None = None

    def ready_units(
        self, wall_ms: int, guaranteed_jobs: GuaranteedJobs
    ) -> list[WaitingUnits]:
        """Return the units that may start, by step, in queue order.

        Sets ``next_due_ms``, which is None if no waiting occurrence is due
        later.
        """
        self.next_due_ms = None
        ready: list[WaitingUnits] = []
        for _, units, record in self._store.waiting_steps():
            key = next(iter(units))
            route = self._store.route_of(record)
            if route is None or not self._is_ready(key, record, wall_ms):
                continue
            ready.append(
                self._waiting_units(
                    list(units.items()), record, route, wall_ms, guaranteed_jobs
                )
            )
        ready.sort(key=lambda waiting: waiting.sort_key)
        return ready

    def _is_ready(self, key: UnitKey, record: JobRecord, wall_ms: int) -> bool:
        due_at_ms = record.job.due_ms(key.occurrence)
        if due_at_ms > wall_ms:
            if self.next_due_ms is None or due_at_ms < self.next_due_ms:
                self.next_due_ms = due_at_ms
            return False
        for dependency in record.step_of(key).depends_on:
            if not record.step_done(key.occurrence, dependency):
                return False
        return True

    def _waiting_units(
        self,
        units: list[tuple[UnitKey, Unit]],
        record: JobRecord,
        route: Route,
        wall_ms: int,
        guaranteed_jobs: GuaranteedJobs,
    ) -> WaitingUnits:
        key = units[0][0]
        job = record.job
        within_guarantee = guaranteed_jobs.covers(record)
        slack = Slack.of(record, route, key, wall_ms, self._estimator)
        due_since_ms = max(job.submitted_ms, job.due_ms(key.occurrence))
        # Work that can no longer have a value comes last.  Within a priority,
        # work that misses its objective comes after work that can meet it.
        sort_key = (
            int(slack.final_slack_ms < 0 and not within_guarantee),
            route.priority,
            int(not within_guarantee),
            int(slack.objective_slack_ms < 0 and not within_guarantee),
            slack.objective_slack_ms,
            due_since_ms,
        )
        step = record.step_of(key)
        waited_s = (wall_ms - due_since_ms) / _MILLIS_PER_UNIT
        return WaitingUnits(
            sort_key, units, record, step, route, slack, waited_s, within_guarantee
        )
