"""The loop in which a leader plans and commits placements."""

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

import msgspec

from persimmonyard.estimation import SpeedModel
from persimmonyard.jobs import (
    Job,
    JobStore,
    OpenOccurrences,
    Placement,
    PlacementPreview,
    PlaceRuns,
    PlanInputs,
    Planner,
    Preemption,
    RunProgress,
    RunTimeEstimator,
    StoreWithJob,
    UnitKey,
    preview_placement,
)

if TYPE_CHECKING:
    from persimmonyard.daemon.jobs.leader_term import LeaderTerm

__all__ = ["PlanningLoop"]

# Longest time between two plans, in seconds: capacity may become free, and the
# wait for a rack may end, without an event.
_REPLAN_S = 0.5
# Delay before each plan, in seconds, to combine a burst of events into one.
_BATCH_DELAY_S = 0.002
# The part of the leader's time that is spent on planning is at most 1 divided
# by this, so that calls and heartbeats of the replicated log are not delayed.
_PLAN_TIME_DIVISOR = 4
# The identifier of a job that is not stored; those of stored jobs are others.
_PREVIEW_ID = "preview"


class PlanningLoop:
    """Plans after every event and commits the placements.

    The supervisor starts the runs once their placements are applied.

    The next plan begins after the placements of the last one are committed,
    so that it takes them into account.
    """

    def __init__(
        self,
        leader_term: "LeaderTerm",
        estimator: RunTimeEstimator,
        speeds: SpeedModel,
    ):
        self._term = leader_term
        self._estimator = estimator
        self._speeds = speeds
        self._planner = self._planner_on(leader_term.store)
        self._plan_requested = asyncio.Event()
        # Duration of the last plan without its commit, in seconds.
        self._last_plan_s = 0.0
        # Up to when due occurrences were last opened, in Unix milliseconds.
        self._opened_until_ms = 0

    def _planner_on(self, store: JobStore) -> Planner:
        return Planner(
            store,
            self._term.fleet,
            self._estimator,
            speeds=self._speeds,
            effects=self._term.interference.known_effects,
        )

    def preview(self, job: Job) -> PlacementPreview:
        """Return where the next plan would place a job that is not stored."""
        wall_ms = self._term.wall_clock.now_ms()
        job = msgspec.structs.replace(job, job_id=_PREVIEW_ID, submitted_ms=wall_ms)
        view = StoreWithJob(self._term.store, job)
        inputs = PlanInputs(
            self._term.now(), wall_ms, self._run_progress(), self._term.may_preempt()
        )
        return preview_placement(self._planner_on(view), view, self._term.fleet, inputs)

    def request_plan(self) -> None:
        """Request a new plan."""
        self._plan_requested.set()

    async def run(self) -> None:
        """Plan until the term ends."""
        while True:
            # asyncio.wait_for may swallow a cancellation in Python 3.11.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._replan_s()):
                    await self._plan_requested.wait()
            await asyncio.sleep(
                max(_BATCH_DELAY_S, self._last_plan_s * (_PLAN_TIME_DIVISOR - 1))
            )
            self._plan_requested.clear()
            if not self._term.leads():
                return
            await self._plan()

    def _replan_s(self) -> float:
        """Return the longest time to the next plan, in seconds."""
        # Occurrences that were due before and did not fit the memory are tried
        # again with each plan.
        due_times = (
            self._term.store.next_due_ms(self._opened_until_ms),
            self._planner.next_due_ms,
        )
        due_at_ms = min((due for due in due_times if due is not None), default=None)
        if due_at_ms is None:
            return _REPLAN_S
        due_in_s = due_at_ms / 1_000 - self._term.wall_clock.now_s()
        return min(_REPLAN_S, max(0.01, due_in_s))

    async def _open_due_occurrences(self) -> None:
        """Create the tasks of occurrences that have become due."""
        term = self._term
        now_ms = term.wall_clock.now_ms()
        self._opened_until_ms = now_ms
        if term.store.may_open_occurrences(now_ms, term.work_budget):
            await term.propose(OpenOccurrences(now_ms, term.work_budget))

    async def _plan(self) -> None:
        await self._open_due_occurrences()
        started_at = time.perf_counter()
        self._term.interference.review(self._term.now())
        runs = self._run_progress()
        plan = self._planner.plan(
            self._term.now(),
            self._term.wall_clock.now_ms(),
            runs,
            self._term.may_preempt(),
        )
        self._last_plan_s = time.perf_counter() - started_at
        if plan.truncated:
            self.request_plan()
        for preemption in plan.preemptions:
            self._preempt(preemption)
        if not plan.placements:
            return
        with self._term.supervisor.committing(plan.placements):
            await self._term.propose(
                PlaceRuns(tuple(plan.placements), self._term.wall_clock.now_ms())
            )
        self._term.record_seats(plan.seats_kept_apart, plan.seats_shared)
        self._log_placements(plan.placements)

    def _log_placements(self, placements: list[Placement]) -> None:
        """Log one line per step with the seats of its tasks."""
        seats_by_step: dict[tuple[str, int, int], list[str]] = {}
        for placement in placements:
            key = placement.key
            seats = seats_by_step.setdefault((key.job_id, key.occurrence, key.step), [])
            for seat in placement.seats:
                seats.append(f"{seat.task}/{placement.run}@{seat.upstream_id}")
        for (job_id, occurrence, step), seats in seats_by_step.items():
            self._term.log.info(
                "runs placed",
                job=job_id,
                step=f"{occurrence}.{step}",
                seats=seats,
                version=self._term.store.version(),
                upstreams_known=len(self._term.fleet.by_id),
            )

    def _run_progress(self) -> dict[tuple[UnitKey, int], RunProgress]:
        """Return the progress of each run, merged over its tasks."""
        runs: dict[tuple[UnitKey, int], RunProgress] = {}
        now = self._term.now()
        for session in self._term.sessions():
            for task_run in session.task_run_by_key.values():
                run_key = (task_run.unit_key, task_run.run)
                progress = task_run.run_progress(now)
                previous = runs.get(run_key)
                runs[run_key] = (
                    progress if previous is None else previous.merged(progress)
                )
        return runs

    def _preempt(self, preemption: Preemption) -> None:
        self._term.record_event("preempted")
        reason = f"room for {preemption.for_unit.job_id}"
        self._term.supervisor.stop_run(preemption.key, preemption.run, reason)
