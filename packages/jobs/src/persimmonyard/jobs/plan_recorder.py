"""Records why a plan places the units of one job as it does."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from persimmonyard.decisions.quota import OverLimit
from persimmonyard.jobs.capacity import (
    UpstreamCapacity,
    charged_resources,
    fit_count,
    fits_when_empty,
)
from persimmonyard.jobs.commands import Seat
from persimmonyard.jobs.model import UnitKey
from persimmonyard.jobs.waiting_queue import WaitingUnits

__all__ = ["PlanRecorder", "Rejection", "StepTrial"]

# The upstreams are looked at for the first units of at most this many steps
# that are placed, and as many that are not.  Each look takes about 20 ms with
# 16,000 upstreams.
_MAX_TRIALS = 4


class Rejection(StrEnum):
    """Why a unit is not placed on an upstream."""

    OTHER_SERVICE = "other_service"
    NO_LABEL = "no_label"
    NOT_USED = "not_used_now"
    STEP_LIMIT = "step_limit"
    NO_ACCELERATORS = "no_accelerators"
    NO_CORES = "no_cores"
    NO_MEMORY = "no_memory"
    FREED_FOR_OTHERS = "freed_for_others"
    LESS_SUITABLE = "less_suitable"


@dataclass
class StepTrial:
    """What the plan found for one unit of a step.

    The upstreams were looked at if it is ``examined``.  ``rejection_by_id``
    has those without a seat of the unit.
    ``fits_when_empty`` is whether the unit fits on the upstreams that may run
    it when nothing else runs, and ``room`` how many of its tasks fit now; it
    is not counted further once all of them do.
    """

    key: UnitKey
    seats: list[Seat]
    rejection_by_id: dict[str, Rejection] = field(default_factory=dict)
    examined: bool = False
    fits_when_empty: bool = False
    room: int = 0


class PlanRecorder:
    """Records the decisions of one plan about the units of one job.

    Steps are identified by occurrence and number.  The planner calls it with
    the units of all jobs, and without one in normal operation.
    """

    def __init__(self, job_id: str):
        self._job_id = job_id
        self.over_limit_by_step: dict[tuple[int, int], OverLimit] = {}
        # The first unit of a step that got a seat, and that got none.
        self.placed_by_step: dict[tuple[int, int], StepTrial] = {}
        self.unplaced_by_step: dict[tuple[int, int], StepTrial] = {}
        self._seat_counts: dict[tuple[int, int, str], int] = {}

    def record_over_limit(self, key: UnitKey, decision: OverLimit) -> None:
        """Record that a unit and the rest of its step exceed a limit."""
        if key.job_id == self._job_id:
            self.over_limit_by_step[(key.occurrence, key.step)] = decision

    def record_trial(
        self,
        waiting: WaitingUnits,
        key: UnitKey,
        seats: list[Seat],
        candidates: Iterable[UpstreamCapacity],
        capacity_by_id: dict[str, UpstreamCapacity],
    ) -> None:
        """Record the seats of a unit, or that there are none now.

        The seats have been taken from the capacity already.
        """
        if key.job_id != self._job_id:
            return
        step_key = (key.occurrence, key.step)
        for seat in seats:
            count_key = (*step_key, seat.upstream_id)
            self._seat_counts[count_key] = self._seat_counts.get(count_key, 0) + 1
        trials = self.placed_by_step if seats else self.unplaced_by_step
        if step_key in trials:
            return
        trial = trials[step_key] = StepTrial(key, seats)
        if len(trials) > _MAX_TRIALS:
            return
        trial.examined = True
        usable = {candidate.upstream.report.upstream_id for candidate in candidates}
        used = {seat.upstream_id for seat in seats}
        tasks = waiting.task_count()
        suitable = []
        for upstream_id, candidate in capacity_by_id.items():
            rejection = self._rejection(waiting, key, candidate, usable)
            if rejection not in (Rejection.OTHER_SERVICE, Rejection.NO_LABEL):
                suitable.append(candidate)
            if rejection == Rejection.LESS_SUITABLE and trial.room < tasks:
                trial.room += self._room(waiting, key, candidate)
            if upstream_id not in used:
                trial.rejection_by_id[upstream_id] = rejection
        trial.fits_when_empty = fits_when_empty(waiting.step, tasks, suitable)

    def _rejection(
        self,
        waiting: WaitingUnits,
        key: UnitKey,
        candidate: UpstreamCapacity,
        usable: set[str],
    ) -> Rejection:
        """Return what keeps a task of a unit off an upstream."""
        step = waiting.step
        report = candidate.upstream.report
        if report.service != waiting.route.service:
            return Rejection.OTHER_SERVICE
        if step.label and step.label not in report.labels:
            return Rejection.NO_LABEL
        kept = candidate.isolated or (candidate.reserved and not step.long_running)
        if kept or report.upstream_id not in usable:
            return Rejection.NOT_USED
        if self._left_in_step(waiting, key, report.upstream_id) == 0:
            return Rejection.STEP_LIMIT
        needs = charged_resources(step)
        free = candidate.free
        if needs.accelerators > free.accelerators:
            return Rejection.NO_ACCELERATORS
        if needs.cores > free.cores:
            return Rejection.NO_CORES
        if needs.memory_mb > free.memory_mb:
            return Rejection.NO_MEMORY
        if not needs.fits(candidate.future_free):
            return Rejection.FREED_FOR_OTHERS
        return Rejection.LESS_SUITABLE

    def _room(
        self, waiting: WaitingUnits, key: UnitKey, candidate: UpstreamCapacity
    ) -> int:
        needs = charged_resources(waiting.step)
        count = min(
            fit_count(needs, candidate.free), fit_count(needs, candidate.future_free)
        )
        left = self._left_in_step(waiting, key, candidate.upstream.report.upstream_id)
        return count if left is None else min(count, left)

    def _left_in_step(
        self, waiting: WaitingUnits, key: UnitKey, upstream_id: str
    ) -> int | None:
        """Return how many tasks of the step an upstream may still get.

        It is None for a step without a limit per upstream.
        """
        if not waiting.step.per_upstream:
            return None
        placed = self._seat_counts.get((key.occurrence, key.step, upstream_id), 0)
        return max(0, waiting.step.per_upstream - placed)
