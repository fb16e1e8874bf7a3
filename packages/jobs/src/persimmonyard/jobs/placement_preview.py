"""Where the tasks of a job would be placed now, and why.

A plan is made on a view of the state that also contains the job, so the answer
is that of the decisions themselves.  Nothing is stored, started or stopped.
"""

from enum import StrEnum
from typing import NamedTuple, TypedDict

from persimmonyard.decisions.quota import OverLimit
from persimmonyard.jobs.fleet import Fleet
from persimmonyard.jobs.model import Step, UnitKey
from persimmonyard.jobs.plan_recorder import PlanRecorder, Rejection, StepTrial
from persimmonyard.jobs.planner import Plan, Planner
from persimmonyard.jobs.preemption import RunProgress
from persimmonyard.jobs.records import JobRecord
from persimmonyard.jobs.store_view import MAX_SHOWN_UNITS, StoreWithJob

__all__ = ["PlacementPreview", "PlanInputs", "WaitReason", "preview_placement"]

# The answer lists at most this many seats of one unit, steps, and rejected
# upstreams of one step.
_MAX_SEATS = 64
_MAX_STEPS = 8
_MAX_REJECTED = 20


class WaitReason(StrEnum):
    """Why a unit would wait."""

    NOT_DUE = "not_due"
    DEPENDENCY = "dependency"
    ACCOUNT_LIMIT = "account_limit"
    NEVER_FITS = "never_fits"
    STOPS = "stops_runs"
    RACK = "rack"
    NO_ROOM = "no_room"
    LATER_PLAN = "later_plan"


class PlanInputs(NamedTuple):
    """What a plan depends on besides the state; see ``Planner.plan``."""

    now: float
    wall_ms: int
    runs: dict[tuple[UnitKey, int], RunProgress]
    may_preempt: bool


class _SeatPreview(TypedDict):
    task: int
    upstream: str
    zone: str
    rack: str


class _UnitPreview(TypedDict):
    """The seats of a unit, or why it waits.

    ``stops`` is the number of runs that would be stopped for it.
    """

    unit: str
    seats: list[_SeatPreview]
    seats_omitted: int
    waits: str
    detail: str
    stops: int


class _RejectedUpstream(TypedDict):
    upstream: str
    zone: str
    rack: str
    reason: str


class _StepPreview(TypedDict):
    """The upstreams that were rejected for one unit of a step."""

    step: str
    unit: str
    rejected: list[_RejectedUpstream]
    rejected_by_reason: dict[str, int]


class PlacementPreview(TypedDict):
    """Where the units of a job would be placed.

    ``units`` has the first units, and ``steps`` the first steps for which
    upstreams were looked at; ``units_omitted`` counts the units beyond them.
    """

    version: int
    upstreams: int
    placed: int
    waiting: int
    units: list[_UnitPreview]
    units_omitted: int
    steps: list[_StepPreview]


def preview_placement(
    planner: Planner, view: StoreWithJob, fleet: Fleet, inputs: PlanInputs
) -> PlacementPreview:
    """Return where the job of a view would be placed by the next plan.

    ``planner`` is one of its own on the view, so that no other planner
    remembers the job.
    """
    record = view.record
    recorder = PlanRecorder(record.job.job_id)
    plan = planner.plan(*inputs, recorder=recorder)
    previewer = _Previewer(record, fleet, plan, recorder, inputs.wall_ms)
    units = [previewer.preview_unit(key) for key in _first_units(record)]
    placed = len(previewer.seats_by_unit)
    return PlacementPreview(
        version=view.version(),
        upstreams=len(fleet.by_id),
        placed=placed,
        waiting=record.job.unit_count() - placed,
        units=units,
        units_omitted=record.job.unit_count() - len(units),
        steps=previewer.preview_steps(),
    )


def _first_units(record: JobRecord) -> list[UnitKey]:
    keys: list[UnitKey] = []
    for key in record.units:
        if len(keys) == MAX_SHOWN_UNITS:
            break
        keys.append(key)
    return keys


class _Previewer:
    """Describes what one plan does with the units of a job."""

    def __init__(
        self,
        record: JobRecord,
        fleet: Fleet,
        plan: Plan,
        recorder: PlanRecorder,
        wall_ms: int,
    ):
        self._record = record
        self._fleet = fleet
        self._recorder = recorder
        self._wall_ms = wall_ms
        job_id = record.job.job_id
        self.seats_by_unit = {
            placement.key: placement.seats
            for placement in plan.placements
            if placement.key.job_id == job_id
        }
        self._stops_by_unit: dict[UnitKey, int] = {}
        for preemption in plan.preemptions:
            key = preemption.for_unit
            self._stops_by_unit[key] = self._stops_by_unit.get(key, 0) + 1

    def preview_unit(self, key: UnitKey) -> _UnitPreview:
        """Return the seats of a unit, or why it waits."""
        seats = self.seats_by_unit.get(key, ())
        listed = []
        for seat in seats[:_MAX_SEATS]:
            rack = self._fleet.by_id[seat.upstream_id].report.rack
            listed.append(
                _SeatPreview(
                    task=seat.task, upstream=seat.upstream_id, zone=seat.zone, rack=rack
                )
            )
        reason, detail = ("", "") if seats else self._wait_reason(key)
        return _UnitPreview(
            unit=key.log_label(),
            seats=listed,
            seats_omitted=len(seats) - len(listed),
            waits=str(reason),
            detail=detail,
            stops=self._stops_by_unit.get(key, 0),
        )

    def _wait_reason(self, key: UnitKey) -> tuple[WaitReason, str]:
        """Return why a unit without seats waits, and what for."""
        record = self._record
        step = record.step_of(key)
        due_in_ms = record.job.due_ms(key.occurrence) - self._wall_ms
        if due_in_ms > 0:
            return WaitReason.NOT_DUE, f"due in {due_in_ms / 1_000:.1f} s"
        for number in step.depends_on:
            if not record.step_done(key.occurrence, number):
                return WaitReason.DEPENDENCY, f"step {key.occurrence}.{number}"
        if self._stops_by_unit.get(key):
            return WaitReason.STOPS, "runs would be stopped for it"
        step_key = (key.occurrence, key.step)
        match self._recorder.over_limit_by_step.get(step_key):
            case OverLimit(resource, used, limit):
                return (
                    WaitReason.ACCOUNT_LIMIT,
                    f"{resource}: {used} of {limit} are in use or planned",
                )
        trial = self._recorder.unplaced_by_step.get(step_key)
        if trial is None:
            return WaitReason.LATER_PLAN, "the next plan ends before it"
        return _reason_of_trial(step, trial)

    def preview_steps(self) -> list[_StepPreview]:
        """Return the rejected upstreams, for units that wait first."""
        previews: list[_StepPreview] = []
        for trials in (self._recorder.unplaced_by_step, self._recorder.placed_by_step):
            for trial in trials.values():
                if trial.examined and len(previews) < _MAX_STEPS:
                    previews.append(self._preview_step(trial))
        return previews

    def _preview_step(self, trial: StepTrial) -> _StepPreview:
        """Return the rejected upstreams of a unit, the best fitting first."""
        ids_by_reason: dict[Rejection, list[str]] = {}
        for upstream_id, rejection in trial.rejection_by_id.items():
            ids_by_reason.setdefault(rejection, []).append(upstream_id)
        count_by_reason: dict[str, int] = {}
        rejected: list[_RejectedUpstream] = []
        # The last reasons are those of the upstreams that fit best.
        for reason in reversed(Rejection):
            upstream_ids = ids_by_reason.get(reason)
            if upstream_ids is None:
                continue
            count_by_reason[str(reason)] = len(upstream_ids)
            for upstream_id in upstream_ids[: _MAX_REJECTED - len(rejected)]:
                report = self._fleet.by_id[upstream_id].report
                rejected.append(
                    _RejectedUpstream(
                        upstream=upstream_id,
                        zone=report.zone,
                        rack=report.rack,
                        reason=str(reason),
                    )
                )
        used = {seat.upstream_id for seat in trial.seats}
        unavailable = len(self._fleet.by_id) - len(trial.rejection_by_id) - len(used)
        if unavailable > 0:
            count_by_reason["unavailable"] = unavailable
        key = trial.key
        return _StepPreview(
            step=f"{key.occurrence}.{key.step}",
            unit=key.log_label(),
            rejected=rejected,
            rejected_by_reason=count_by_reason,
        )


def _reason_of_trial(step: Step, trial: StepTrial) -> tuple[WaitReason, str]:
    """Return why a unit that the plan has tried to place waits."""
    tasks = step.count if step.gang else 1
    if not trial.examined:
        return WaitReason.NO_ROOM, ""
    if not trial.fits_when_empty:
        return WaitReason.NEVER_FITS, "no upstreams that report fit it when empty"
    if trial.room >= tasks and (step.rack or step.one_rack):
        rack = f"rack {step.rack}" if step.rack else "one rack with room for all tasks"
        return WaitReason.RACK, f"there is room, but it waits for {rack}"
    return WaitReason.NO_ROOM, f"room for {min(trial.room, tasks)} of {tasks} tasks"
