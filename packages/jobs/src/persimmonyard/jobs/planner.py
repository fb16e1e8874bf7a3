"""Placement planner: assigns waiting units to upstreams, preempts runs.

``seating`` chooses the seats of a unit and ``preemption`` the runs to stop.
``persimmonyard.scheduler.planner`` is another planner, for requests.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from persimmonyard.decisions import Effect, OverLimit, speed_level
from persimmonyard.estimation import SpeedModel
from persimmonyard.jobs.account_shares import order_by_share
from persimmonyard.jobs.account_usage import PlannedUsage
from persimmonyard.jobs.capacity import (
    UpstreamCapacity,
    charged_resources,
    fits_when_empty,
    mostly_free,
)
from persimmonyard.jobs.commands import Placement, Seat
from persimmonyard.jobs.crash_isolation import (
    SEPARATION_MS,
    Separation,
    away_from_crashes,
    limit_watched,
    reserve_seats,
    started_within,
)
from persimmonyard.jobs.crashes import on_probation
from persimmonyard.jobs.fleet import Fleet
from persimmonyard.jobs.guarantees import GuaranteedJobs
from persimmonyard.jobs.interference import Interference
from persimmonyard.jobs.model import GANG_TASK, UnitKey
from persimmonyard.jobs.plan_recorder import PlanRecorder
from persimmonyard.jobs.preemption import Reservation, RunProgress, VictimSelector
from persimmonyard.jobs.records import Unit
from persimmonyard.jobs.run_time_estimator import RunTimeEstimator
from persimmonyard.jobs.seating import SeatAssigner, candidate_groups
from persimmonyard.jobs.store import JobStore
from persimmonyard.jobs.waiting_queue import WaitingQueue, WaitingUnits

__all__ = ["Plan", "Planner", "Preemption"]

# Capacity is reserved for at most this many units in one plan, the first ones
# in queue order.
_MAX_RESERVING_UNITS = 2
# How long a unit waits before capacity is reserved for it, in seconds.
_RESERVE_AFTER_S = 0.7
# A plan ends once more than this many different shapes did not fit, which
# bounds its run time.
_MAX_UNPLACEABLE_SHAPES = 60
# A plan ends once it has placed this many tasks: their starts are sent
# together and must not delay the leader's heartbeats.
_MAX_TASKS_PER_PLAN = 128
# A plan ends after this time, in seconds, in which the leader sends no
# heartbeats: it is replaced after 0.52 s without any.
_MAX_PLAN_S = 0.3


class Preemption(NamedTuple):
    """A run to stop, and the unit for which its capacity is freed."""

    key: UnitKey
    run: int
    for_unit: UnitKey


@dataclass
class Plan:
    """The placements and preemptions decided by one call of the planner."""

    placements: list[Placement] = field(default_factory=list)
    preemptions: list[Preemption] = field(default_factory=list)
    # Whether the plan ended at its limit of tasks or time, so that another
    # plan may place more units immediately.
    truncated: bool = False
    # Seats where the task and its neighbours are not slowed down although a
    # better filled upstream had room, and seats where one of them is.
    seats_kept_apart: int = 0
    seats_shared: int = 0


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
        plan = Plan()
        ends_at = time.perf_counter() + _MAX_PLAN_S
        configuration = self._store.configuration
        if configuration is None:
            return plan
        guaranteed_jobs = GuaranteedJobs(self._store, configuration)
        ready = self._queue.ready_units(wall_ms, guaranteed_jobs)
        if not ready:
            return plan
        capacity_by_id = self._current_capacity(runs, now, wall_ms)
        limit_watched(capacity_by_id)
        reports = (candidate.upstream.report for candidate in capacity_by_id.values())
        ready = order_by_share(ready, self._store.account_usage, reports)
        interference = Interference(self._store, self._effects())
        seating = SeatAssigner(
            self._store, self._estimator, capacity_by_id, wall_ms, interference
        )
        self._separation.forget_placed(
            key for waiting in ready for key, _ in waiting.units
        )
        victim_selector = VictimSelector(
            self._store, self._estimator, runs, guaranteed_jobs, wall_ms
        )
        # Where most of the fleet is free, a unit that does not fit waits for
        # particular upstreams, and the others need not wait with it.
        may_reserve = not mostly_free(capacity_by_id)
        reserving_units = 0
        unplaceable_shapes: set[tuple] = set()
        tasks_left = _MAX_TASKS_PER_PLAN
        planned_usage = PlannedUsage(self._store.account_usage)
        for waiting in ready:
            account = waiting.record.job.account
            shape = _shape(waiting)
            step_is_full = False
            for key, unit in waiting.units:
                if time.perf_counter() > ends_at:
                    plan.truncated = bool(plan.placements)
                    return plan
                quota = planned_usage.decide(account, waiting.step)
                if isinstance(quota, OverLimit):
                    if recorder is not None:
                        recorder.record_over_limit(key, quota)
                    # The other units of the step need as much.
                    break
                step_is_decisive = key.task != GANG_TASK and not unit.avoid
                step_is_decisive = step_is_decisive and not unit.crashes
                shape_is_decisive = step_is_decisive and not waiting.step.per_upstream
                if step_is_decisive and step_is_full:
                    continue
                if shape_is_decisive and shape in unplaceable_shapes:
                    if recorder is not None:
                        recorder.record_trial(
                            waiting, key, [], capacity_by_id.values(), capacity_by_id
                        )
                    continue
                candidates = self._candidates(waiting, unit, capacity_by_id, now)
                if unit.starts_apart():
                    candidates = self._separation.filter(key, candidates, wall_ms)
                fast_enough = seating.fast_enough(waiting, candidates)
                seats = self._assign_unit(seating, waiting, key, unit, fast_enough)
                if not seats and len(fast_enough) < len(candidates):
                    if may_preempt and self._preempt(
                        waiting, key, fast_enough, victim_selector, plan
                    ):
                        planned_usage.add(account, waiting.step)
                        if recorder is not None:
                            recorder.record_trial(
                                waiting, key, [], fast_enough, capacity_by_id
                            )
                        continue
                    seats = self._assign_unit(seating, waiting, key, unit, candidates)
                if recorder is not None:
                    recorder.record_trial(
                        waiting, key, seats, candidates, capacity_by_id
                    )
                if seats:
                    if unit.starts_apart():
                        reserve_seats(seats, capacity_by_id)
                    plan.placements.append(Placement(key, unit.run + 1, tuple(seats)))
                    planned_usage.add(account, waiting.step)
                    plan.seats_kept_apart = interference.kept_apart
                    plan.seats_shared = interference.shared
                    tasks_left -= len(seats)
                    continue
                if shape_is_decisive:
                    unplaceable_shapes.add(shape)
                if may_preempt and self._preempt(
                    waiting, key, candidates, victim_selector, plan
                ):
                    unplaceable_shapes.discard(shape)
                    planned_usage.add(account, waiting.step)
                    continue
                step_is_full = step_is_full or step_is_decisive
                if (
                    may_reserve
                    and reserving_units < _MAX_RESERVING_UNITS
                    and waiting.waited_s > _RESERVE_AFTER_S
                ):
                    reserving_units += seating.reserve(waiting, candidates)
            if tasks_left <= 0:
                plan.truncated = True
                break
            if len(unplaceable_shapes) > _MAX_UNPLACEABLE_SHAPES:
                break
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
            watched = False
            reserved = False
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
                        reserved = True
                progress = runs.get((key, run))
                if progress is None or not progress.ends_soon():
                    future_free = future_free.minus(needs)
            capacity_by_id[upstream_id] = UpstreamCapacity(
                upstream,
                free,
                future_free,
                reserved=reserved,
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

    def _candidates(
        self,
        waiting: WaitingUnits,
        unit: Unit,
        capacity_by_id: dict[str, UpstreamCapacity],
        now: float,
    ) -> list[UpstreamCapacity]:
        step = waiting.step
        tasks = step.count if step.gang else 1
        found = []
        for candidate in capacity_by_id.values():
            report = candidate.upstream.report
            if report.service != waiting.route.service or candidate.reserved:
                continue
            if candidate.upstream.avoid_until > now:
                continue
            if step.label and step.label not in report.labels:
                continue
            if candidate.watched and not unit.starts_apart():
                continue
            found.append(candidate)
        avoided = set(unit.avoid)
        if avoided:
            others = [
                candidate
                for candidate in found
                if candidate.upstream.report.upstream_id not in avoided
            ]
            if fits_when_empty(step, tasks, others):
                found = others
        if unit.crashes:
            found = away_from_crashes(unit, step, tasks, found)
        return found

    def _assign_unit(
        self,
        seating: SeatAssigner,
        waiting: WaitingUnits,
        key: UnitKey,
        unit: Unit,
        candidates: list[UpstreamCapacity],
    ) -> list[Seat]:
        """Return a seat for each task of the unit, or an empty list."""
        return seating.assign(waiting, key, unit, candidates)

    def _preempt(
        self,
        waiting: WaitingUnits,
        key: UnitKey,
        candidates: list[UpstreamCapacity],
        victim_selector: VictimSelector,
        plan: Plan,
    ) -> bool:
        """Reserve capacity that is being freed, and preempt runs if needed.

        Returns whether the unit will fit once these runs have ended.
        """
        needs = charged_resources(waiting.step)
        best = Reservation(cost=float("inf"))
        best_group: list[UpstreamCapacity] = []
        for group, preferred in candidate_groups(
            waiting.step, candidates, waiting.task_count()
        ):
            if best.cost < float("inf") and not preferred:
                break
            found = victim_selector.reserve(waiting, needs, group)
            if found.cost < best.cost:
                best, best_group = found, group
        if best.cost == float("inf"):
            return False
        best.apply(best_group)
        for run_key in best.victims:
            plan.preemptions.append(Preemption(*run_key, key))
            victim_selector.mark_stopping(run_key)
        return True


def _shape(waiting: WaitingUnits) -> tuple:
    """Return the properties that decide on which upstreams a task fits.

    They suffice for tasks outside gangs that avoid no upstream and have no
    limit per upstream.
    """
    step = waiting.step
    return (waiting.route.service, step.needs, step.fills, step.label, step.rack)
