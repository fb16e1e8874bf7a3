"""Placement planner: assigns waiting units to upstreams, preempts runs.

``planning_round`` decides what becomes of each waiting unit, ``seating``
chooses the seats of a unit, and ``preemption`` the runs to stop.
``persimmonyard.scheduler.planner`` is another planner, for requests.
"""

import time
from collections.abc import Callable

from persimmonyard.decisions import Effect, speed_level
from persimmonyard.estimation import SpeedModel
from persimmonyard.jobs.account_shares import order_by_share
from persimmonyard.jobs.account_usage import PlannedUsage
from persimmonyard.jobs.capacity import (
    UpstreamCapacity,
    charged_resources,
)
from persimmonyard.jobs.crash_isolation import (
    SEPARATION_MS,
    Separation,
    limit_watched,
    started_within,
)
from persimmonyard.jobs.crashes import on_probation
from persimmonyard.jobs.fleet import Fleet
from persimmonyard.jobs.guarantees import GuaranteedJobs
from persimmonyard.jobs.interference import Interference
from persimmonyard.jobs.model import UnitKey
from persimmonyard.jobs.plan_recorder import PlanRecorder
from persimmonyard.jobs.planning_round import (
    Plan,
    PlanningFacts,
    PlanningRound,
    Preemption,
)
from persimmonyard.jobs.preemption import RunProgress, VictimSelector
from persimmonyard.jobs.retry_delay import RetryDelays
from persimmonyard.jobs.run_time_estimator import RunTimeEstimator
from persimmonyard.jobs.seating import SeatAssigner
from persimmonyard.jobs.store import JobStore
from persimmonyard.jobs.waiting_queue import WaitingQueue

__all__ = ["Plan", "Planner", "Preemption"]

# A plan ends after this time, in seconds, in which the leader sends no
# heartbeats: it is replaced after 0.52 s without any.
_MAX_PLAN_S = 0.3


class Planner:
    """Places waiting units in queue order and preempts runs for them.

    ``persimmonyard.scheduler.planner.PlacementPlanner`` is another planner,
    for requests.
    """

    def __init__(
        self,
        store: JobStore,
        fleet: Fleet,
        estimator: RunTimeEstimator,
        speeds: SpeedModel | None = None,
        effects: Callable[[], tuple[Effect, ...]] = tuple,
    ):
        """Create a planner; ``effects`` returns the known slowdowns."""
        self._speeds = speeds
        self._store = store
        self._effects = effects
        self._fleet = fleet
        self._estimator = estimator
        self._queue = WaitingQueue(store, estimator)
        self._separation = Separation()
        self._retry_delays = RetryDelays()
        # Where the next plan goes on in a long queue, and whether it leaves
        # out the head because the last one had no time for more.
        self._rest_at = 0
        self._rest_only = False

    @property
    def next_due_ms(self) -> int | None:
        """When the next occurrence of a job is due, in Unix milliseconds.

        It is None if no waiting occurrence is due later than the last plan.
        """
        return self._queue.next_due_ms

    def plan(
        self,
        now: float,
        wall_ms: int,
        runs: dict[tuple[UnitKey, int], RunProgress],
        may_preempt: bool = True,
        recorder: PlanRecorder | None = None,
    ) -> Plan:
        """Return the placements and preemptions for the caller to execute.

        ``now`` is in seconds of the monotonic clock, ``wall_ms`` in Unix
        milliseconds.  Runs that are preempted are marked as stopping in
        ``runs``.  ``recorder`` is told what becomes of each unit.
        """
        ends_at = time.perf_counter() + _MAX_PLAN_S
        configuration = self._store.configuration
        if configuration is None:
            return Plan()
        guaranteed_jobs = GuaranteedJobs(self._store, configuration)
        ready = self._queue.ready_units(wall_ms, guaranteed_jobs)
        if not ready:
            return Plan()
        capacity_by_id = self._current_capacity(runs, now, wall_ms)
        limit_watched(capacity_by_id)
        reports = (candidate.upstream.report for candidate in capacity_by_id.values())
        ready = order_by_share(ready, self._store.account_usage, reports)
        self._separation.forget_placed(
            key for waiting in ready for key, _ in waiting.units
        )
        self._retry_delays.forget_placed(
            unit for waiting in ready for unit in waiting.units
        )
        victim_selector = VictimSelector(
            self._store, self._estimator, runs, guaranteed_jobs, wall_ms
        )
        interference = Interference(self._store, self._effects())

        def is_over() -> bool:
            return time.perf_counter() > ends_at

        planning_round = PlanningRound(
            PlanningFacts(now, wall_ms, is_over, may_preempt, capacity_by_id),
            SeatAssigner(
                self._store, self._estimator, capacity_by_id, wall_ms, interference
            ),
            victim_selector,
            PlannedUsage(self._store.account_usage),
            self._separation,
            self._retry_delays,
            recorder,
        )
        plan = planning_round.run(ready, self._rest_at, self._rest_only)
        self._rest_at = plan.rest_at
        self._rest_only = (
            plan.out_of_time and not plan.placements and not self._rest_only
        )
        plan.seats_kept_apart = interference.kept_apart
        plan.seats_shared = interference.shared
        return plan

    def _current_capacity(
        self,
        runs: dict[tuple[UnitKey, int], RunProgress],
        now: float,
        wall_ms: int,
    ) -> dict[str, UpstreamCapacity]:
        capacity_by_id = {}
        unstable_addresses = self._store.unstable_addresses()
        for upstream_id, upstream in self._fleet.by_id.items():
            if not self._fleet.is_available(upstream, now):
                continue
            if upstream.report.zone in self._store.zones_out:
                continue
            free = upstream.report.capacity
            future_free = free
            obtainable = free
            watched = False
            isolated = False
            placed_ms = 0
            seats = self._store.seats_by_upstream.get(upstream_id, {})
            for task_key, run in seats:
                record = self._store.job_by_id[task_key.job_id]
                step = record.job.steps[task_key.step]
                needs = charged_resources(step)
                free = free.minus(needs)
                key = task_key.unit_key(step.gang)
                unit = record.units[key]
                placed_ms = max(placed_ms, unit.placed_ms)
                if on_probation(unit.crashes, wall_ms - unit.placed_ms):
                    watched = True
                    if started_within(SEPARATION_MS, unit.placed_ms, wall_ms):
                        isolated = True
                progress = runs.get((key, run))
                if progress is None or not progress.ends_soon():
                    future_free = future_free.minus(needs)
                if step.long_running:
                    obtainable = obtainable.minus(needs)
            capacity_by_id[upstream_id] = UpstreamCapacity(
                upstream,
                free,
                future_free,
                obtainable,
                isolated=isolated,
                runs=len(seats),
                watched=watched,
                placed_ms=placed_ms,
                unstable=upstream.report.address in unstable_addresses,
                doubtful=upstream.failing,
                speed_level=self._speed_level(upstream_id),
            )
        return capacity_by_id

    def _speed_level(self, upstream_id: str) -> int:
        if self._speeds is None:
            return 0
        return speed_level(self._speeds.speed(upstream_id).factor)
