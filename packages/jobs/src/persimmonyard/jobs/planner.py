"""Placement planner: assigns waiting units to upstreams, preempts runs.

Load pattern: some upstreams fail what they start while many gangs arrive.
Such upstreams are the empty ones, which gangs of large tasks need, and one of
them breaks a whole gang.  So work is placed without them if there is room, and
with them otherwise.

``persimmonyard.scheduler.planner`` is another planner, for requests.
"""

import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from persimmonyard.estimation import SpeedModel
from persimmonyard.jobs.capacity import (
    UpstreamCapacity,
    charged_resources,
    fits_when_empty,
    free_accelerators,
    half_free,
    least_busy_fit,
)
from persimmonyard.jobs.commands import Placement, Seat
from persimmonyard.jobs.crash_isolation import (
    SEPARATION_MS,
    Separation,
    away_from_crashes,
    limit_watched,
    rank_for_suspect,
    reserve_seats,
    started_within,
)
from persimmonyard.jobs.crashes import on_probation
from persimmonyard.jobs.fleet import Fleet
from persimmonyard.jobs.guarantees import GUARANTEED_WAIT_S, GuaranteedJobs
from persimmonyard.jobs.model import GANG_TASK, Step, UnitKey
from persimmonyard.jobs.preemption import Reservation, RunProgress, VictimSelector
from persimmonyard.jobs.records import Unit
from persimmonyard.jobs.run_time_estimator import RunTimeEstimator
from persimmonyard.jobs.store import JobStore
from persimmonyard.jobs.waiting_queue import WaitingQueue, WaitingUnits

__all__ = ["Plan", "Planner", "Preemption"]

# A unit waits for its preferred rack for this multiple of its run time.  On
# another rack it would run three times as long and use three times the
# capacity.
_RACK_WAIT_RUN_TIMES = 2.0
# Longest wait for a preferred rack while half of the capacity is free, in
# seconds: the platform expects work to start within 3 s in that case.
_MAX_IDLE_RACK_WAIT_S = 1.5
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
_MS_PER_S = 1_000


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
        *,
        speeds: SpeedModel | None = None,
    ):
        self._store = store
        self._speeds = speeds
        self._fleet = fleet
        self._estimator = estimator
        self._queue = WaitingQueue(store, estimator)
        self._task_counts_by_step: dict[tuple[str, int, int], dict[str, int]] = {}
        self._free_by_rack: dict[str, int] = {}
        self._half_free = False
        self._wall_ms = 0
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
    ) -> Plan:
        """Return the placements and preemptions for the caller to execute.

        ``now`` is in seconds of the monotonic clock, ``wall_ms`` in Unix
        milliseconds.  Runs that are preempted are marked as stopping in
        ``runs``.
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
        self._half_free = half_free(capacity_by_id)
        self._wall_ms = wall_ms
        self._separation.forget_placed(
            key for waiting in ready for key, _ in waiting.units
        )
        self._task_counts_by_step = {}
        victim_selector = VictimSelector(
            self._store, self._estimator, runs, guaranteed_jobs, wall_ms
        )
        reserving_units = 0
        unplaceable_shapes: set[tuple] = set()
        tasks_left = _MAX_TASKS_PER_PLAN
        for waiting in ready:
            shape = _shape(waiting)
            step_is_full = False
            for key, unit in waiting.units:
                if time.perf_counter() > ends_at:
                    plan.truncated = bool(plan.placements)
                    return plan
                step_is_decisive = key.task != GANG_TASK and not unit.avoid
                step_is_decisive = step_is_decisive and not unit.crashes
                shape_is_decisive = step_is_decisive and not waiting.step.per_upstream
                if step_is_decisive and step_is_full:
                    continue
                if shape_is_decisive and shape in unplaceable_shapes:
                    continue
                candidates = self._candidates(waiting, unit, capacity_by_id, now)
                if unit.starts_apart():
                    candidates = self._separation.filter(key, candidates, wall_ms)
                seats = self._assign_unit(waiting, key, unit, candidates)
                if seats:
                    if unit.starts_apart():
                        reserve_seats(seats, capacity_by_id)
                    plan.placements.append(Placement(key, unit.run + 1, tuple(seats)))
                    tasks_left -= len(seats)
                    continue
                if shape_is_decisive:
                    unplaceable_shapes.add(shape)
                if may_preempt and self._preempt(
                    waiting, key, candidates, victim_selector, plan
                ):
                    unplaceable_shapes.discard(shape)
                    continue
                step_is_full = step_is_full or step_is_decisive
                if (
                    reserving_units < _MAX_RESERVING_UNITS
                    and waiting.waited_s > _RESERVE_AFTER_S
                ):
                    reserving_units += self._reserve_capacity(waiting, candidates)
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
            )
        self._free_by_rack = {}
        for candidate in capacity_by_id.values():
            rack = candidate.upstream.report.rack
            rack_free = self._free_by_rack.get(rack, 0) + candidate.free.accelerators
            self._free_by_rack[rack] = rack_free
        return capacity_by_id

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
        waiting: WaitingUnits,
        key: UnitKey,
        unit: Unit,
        candidates: list[UpstreamCapacity],
    ) -> list[Seat]:
        """Return a seat for each task of the unit, or an empty list.

        The seats are taken from the free capacity of the candidates.
        """
        step = waiting.step
        tasks = list(range(step.count)) if key.task == GANG_TASK else [key.task]
        rack_wait_s = (
            _RACK_WAIT_RUN_TIMES
            * self._estimator.task_ms(waiting.record.job, step)
            / _MS_PER_S
        )
        if waiting.within_guarantee:
            rack_wait_s = min(rack_wait_s, GUARANTEED_WAIT_S)
        if self._half_free:
            rack_wait_s = min(rack_wait_s, _MAX_IDLE_RACK_WAIT_S)
        needs = charged_resources(step)
        preferred_fits = False
        groups = self._candidate_groups(step, candidates, len(tasks))
        if not unit.starts_apart():
            groups = _sound_first(groups)
        for group, preferred in groups:
            if preferred and least_busy_fit(needs, len(tasks), group) is not None:
                preferred_fits = True
            if not preferred and preferred_fits and waiting.waited_s < rack_wait_s:
                return []
            # While crashes are common, one right after a start gives no reason
            # for suspicion, but the next start should prove more.
            apart = unit.starts_apart() or unit.crashed_at_start()
            chosen = self._assign_tasks(key, step, tasks, group, apart)
            if chosen:
                return chosen
        return []

    def _candidate_groups(
        self, step: Step, candidates: list[UpstreamCapacity], tasks: int
    ) -> Iterable[tuple[list[UpstreamCapacity], bool]]:
        """Yield groups of candidates to try in order of preference.

        The second value is true if the group satisfies the rack preference of
        the step.
        """
        candidates_by_rack: dict[str, list[UpstreamCapacity]] = {}
        for candidate in candidates:
            candidates_by_rack.setdefault(candidate.upstream.report.rack, []).append(
                candidate
            )
        if step.rack:
            yield candidates_by_rack.get(step.rack, []), True
            yield candidates, False
            return
        if step.one_rack and tasks > 1:
            racks = sorted(candidates_by_rack.values(), key=free_accelerators)
            for group in racks:
                yield group, True
            yield candidates, False
            return
        yield candidates, True

    def _assign_tasks(
        self,
        key: UnitKey,
        step: Step,
        tasks: list[int],
        candidates: list[UpstreamCapacity],
        apart: bool,
    ) -> list[Seat]:
        """Assign all tasks to candidates by best fit, or none of them.

        With ``apart`` the tasks go where the fewest others run.
        """
        needs = charged_resources(step)
        count_by_id = self._task_counts(key, step)
        assigned: list[tuple[UpstreamCapacity, Seat]] = []
        free_by_rack = self._free_by_rack
        for task in tasks:
            best = None
            for candidate in candidates:
                report = candidate.upstream.report
                if not needs.fits(candidate.free) or not needs.fits(
                    candidate.future_free
                ):
                    continue
                count = count_by_id.get(report.upstream_id, 0)
                if step.per_upstream and count >= step.per_upstream:
                    continue
                # Fill the fullest upstreams and racks first, so that others
                # stay empty for work that needs a whole upstream or much of
                # a rack.
                rank = (
                    rank_for_suspect(candidate, self._wall_ms) if apart else (),
                    candidate.free.accelerators,
                    free_by_rack[report.rack],
                    candidate.free.cores,
                    report.upstream_id,
                )
                if best is None or rank < best[0]:
                    best = (rank, candidate)
            if best is None:
                for candidate, seat in assigned:
                    candidate.free = candidate.free.plus(needs)
                    candidate.future_free = candidate.future_free.plus(needs)
                    free_by_rack[candidate.upstream.report.rack] += needs.accelerators
                    count_by_id[seat.upstream_id] -= 1
                return []
            candidate = best[1]
            report = candidate.upstream.report
            candidate.free = candidate.free.minus(needs)
            candidate.future_free = candidate.future_free.minus(needs)
            free_by_rack[report.rack] -= needs.accelerators
            count_by_id[report.upstream_id] = count_by_id.get(report.upstream_id, 0) + 1
            candidate.placed_ms = self._wall_ms
            seat = Seat(
                task,
                report.upstream_id,
                report.incarnation,
                report.address,
                report.zone,
            )
            assigned.append((candidate, seat))
        return [seat for _, seat in assigned]

    def _task_counts(self, key: UnitKey, step: Step) -> dict[str, int]:
        """Return the number of tasks of the step on each upstream.

        The caller adds the tasks that this plan places.  The result is empty
        for a step without a limit per upstream.
        """
        if not step.per_upstream:
            return {}
        step_key = (key.job_id, key.occurrence, key.step)
        counts = self._task_counts_by_step.get(step_key)
        if counts is not None:
            return counts
        counts = self._task_counts_by_step[step_key] = {}
        record = self._store.job_by_id[key.job_id]
        for other, unit in record.units.items():
            if (other.occurrence, other.step) != (key.occurrence, key.step):
                continue
            for seat_record in unit.seats:
                if seat_record.end is None:
                    upstream_id = seat_record.seat.upstream_id
                    counts[upstream_id] = counts.get(upstream_id, 0) + 1
        return counts

    def _reserve_capacity(
        self, waiting: WaitingUnits, candidates: list[UpstreamCapacity]
    ) -> int:
        """Reserve the upstreams with the fewest busy accelerators for a unit.

        Returns 1, or 0 if the unit does not even fit on empty upstreams.
        """
        needs = charged_resources(waiting.step)
        tasks = waiting.task_count()
        best: tuple[int, list[UpstreamCapacity]] | None = None
        for group, preferred in self._candidate_groups(waiting.step, candidates, tasks):
            if best is not None and not preferred:
                break
            chosen = least_busy_fit(needs, tasks, group)
            if chosen is not None and (best is None or chosen[0] < best[0]):
                best = chosen
        if best is None:
            return 0
        for candidate in best[1]:
            candidate.reserved = True
        return 1

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
        for group, preferred in self._candidate_groups(
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


def _sound_first(
    groups: Iterable[tuple[list[UpstreamCapacity], bool]],
) -> Iterable[tuple[list[UpstreamCapacity], bool]]:
    """Yield groups so that doubtful upstreams are used only if needed.

    All preferred groups still come before the others.
    """
    with_doubtful: list[list[UpstreamCapacity]] = []
    for group, preferred in groups:
        if not preferred:
            for earlier in with_doubtful:
                yield earlier, True
            with_doubtful = []
        sound = [candidate for candidate in group if not candidate.doubtful]
        yield sound, preferred
        if len(sound) == len(group):
            continue
        if preferred:
            with_doubtful.append(group)
        else:
            yield group, False
    for earlier in with_doubtful:
        yield earlier, True


def _shape(waiting: WaitingUnits) -> tuple:
    """Return the properties that decide on which upstreams a task fits.

    They suffice for tasks outside gangs that avoid no upstream and have no
    limit per upstream.
    """
    step = waiting.step
    return (waiting.route.service, step.needs, step.fills, step.label, step.rack)
