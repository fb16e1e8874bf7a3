"""One round of planning: what becomes of each waiting unit, in queue order.

For each unit the decisions follow in this order: the limit of its account, its
candidates, seats on upstreams that are fast enough, room to make there, seats
on any upstream, room to make there, and a reservation.

Load pattern: more jobs wait than one round can look at, and those at the head
of the queue fit nowhere, for example because a zone is out of service.  So
the rest of the queue is tried on the capacity that is left, over as many
rounds as it takes.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from persimmonyard.decisions import OverLimit
from persimmonyard.jobs.account_usage import PlannedUsage
from persimmonyard.jobs.capacity import (
    UpstreamCapacity,
    charged_resources,
    fits_once_runs_end,
    fits_when_empty,
    most_free,
    mostly_free,
)
from persimmonyard.jobs.commands import Placement, Seat
from persimmonyard.jobs.crash_isolation import (
    Separation,
    away_from_crashes,
    away_from_suspects,
    isolate_seats,
)
from persimmonyard.jobs.limit_relief import choose_own_victims
from persimmonyard.jobs.model import GANG_TASK, UnitKey
from persimmonyard.jobs.plan_recorder import PlanRecorder
from persimmonyard.jobs.preemption import Reservation, VictimSelector
from persimmonyard.jobs.records import Unit
from persimmonyard.jobs.retry_delay import RetryDelays
from persimmonyard.jobs.seating import SeatAssigner, candidate_groups
from persimmonyard.jobs.waiting_queue import WaitingUnits
from persimmonyard.model import Resources

__all__ = ["Plan", "PlanningFacts", "PlanningRound", "Preemption"]

# Capacity is reserved for at most this many units in one plan, the first ones
# in queue order.
_MAX_RESERVING_UNITS = 2
# How long a unit waits before capacity is reserved for it, in seconds.
_RESERVE_AFTER_S = 0.7
# The head of the queue ends once more than this many different shapes did not
# fit, and the rest of it in one plan once as many more did not, which bounds
# the run time of a plan.
_MAX_UNPLACEABLE_SHAPES = 60
# A plan ends once it has placed this many tasks: their starts are sent
# together and must not delay the leader's heartbeats.
_MAX_TASKS_PER_PLAN = 128


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
    # Whether the plan ended at its limit of time.
    out_of_time: bool = False
    # Position in the queue at which the rest was not looked at, or 0.
    rest_at: int = 0
    # Seats where the task and its neighbours are not slowed down although a
    # better filled upstream had room, and seats where one of them is.
    seats_kept_apart: int = 0
    seats_shared: int = 0


class PlanningFacts(NamedTuple):
    """What holds during one round.

    ``now`` is in seconds of the monotonic clock and ``wall_ms`` in Unix
    milliseconds.  The round ends once ``is_over`` returns true.
    """

    now: float
    wall_ms: int
    is_over: Callable[[], bool]
    may_preempt: bool
    capacity_by_id: dict[str, UpstreamCapacity]


@dataclass(frozen=True)
class _Placed:
    """A unit has got seats."""

    seats: list[Seat]
    candidates: list[UpstreamCapacity]


@dataclass(frozen=True)
class _MakingRoom:
    """A unit fits once runs on the candidates have ended."""

    candidates: list[UpstreamCapacity]


@dataclass(frozen=True)
class _NoRoom:
    """A unit has to wait for capacity."""

    candidates: list[UpstreamCapacity]


class PlanningRound:
    """Places units in queue order and selects the runs to preempt for them."""

    def __init__(
        self,
        facts: PlanningFacts,
        seating: SeatAssigner,
        victim_selector: VictimSelector,
        planned_usage: PlannedUsage,
        separation: Separation,
        retry_delays: RetryDelays,
        recorder: PlanRecorder | None = None,
    ):
        self._facts = facts
        self._seating = seating
        self._victim_selector = victim_selector
        self._planned_usage = planned_usage
        self._separation = separation
        self._retry_delays = retry_delays
        self._recorder = recorder
        self._plan = Plan()
        self._tasks_left = _MAX_TASKS_PER_PLAN
        self._unplaceable_shapes: set[tuple] = set()
        self._most_free_by_pool: dict[tuple[str, str], Resources] = {}
        self._may_preempt = facts.may_preempt
        # Where most of the fleet is free, a unit that does not fit waits for
        # particular upstreams, and the others need not wait with it.
        self._reservations_left = _MAX_RESERVING_UNITS
        if mostly_free(facts.capacity_by_id):
            self._reservations_left = 0

    def run(
        self, ready: list[WaitingUnits], rest_at: int = 0, rest_only: bool = False
    ) -> Plan:
        """Decide on the units, and return the plan.

        The head of the queue comes first.  If that is long, a part of the rest
        follows from position ``rest_at`` on, where the last plan ended.  With
        ``rest_only`` the head is left out.
        """
        head_end = 0 if rest_only else self._plan_head(ready)
        start = rest_at if head_end < rest_at < len(ready) else head_end
        if self._plan.out_of_time:
            self._plan.rest_at = start
        elif self._tasks_left > 0:
            self._plan_rest(ready, start)
        if self._plan.out_of_time:
            self._plan.truncated = bool(self._plan.placements)
        elif self._tasks_left <= 0:
            self._plan.truncated = True
        return self._plan

    def _plan_head(self, ready: list[WaitingUnits]) -> int:
        """Decide on the first steps; return the position of the next one."""
        for position, waiting in enumerate(ready):
            self._plan_step(waiting)
            if self._plan.out_of_time and position > 0:
                return position
            if self._tasks_left <= 0 or self._plan.out_of_time:
                return position + 1
            if len(self._unplaceable_shapes) > _MAX_UNPLACEABLE_SHAPES:
                return position + 1
        return len(ready)

    def _plan_rest(self, ready: list[WaitingUnits], start: int) -> None:
        """Place further steps on the capacity that is left.

        No room is made and no capacity reserved for them.
        """
        self._may_preempt = False
        self._reservations_left = 0
        most_shapes = len(self._unplaceable_shapes) + _MAX_UNPLACEABLE_SHAPES
        for position in range(start, len(ready)):
            waiting = ready[position]
            if self._recorder is None and not self._may_fit(waiting):
                self._plan.out_of_time = self._facts.is_over()
            else:
                self._plan_step(waiting)
            if self._tasks_left <= 0 or (self._plan.out_of_time and position > start):
                # Units of the step may be left.
                self._plan.rest_at = position
                return
            if self._plan.out_of_time or len(self._unplaceable_shapes) > most_shapes:
                self._plan.rest_at = position + 1
                return

    def _may_fit(self, waiting: WaitingUnits) -> bool:
        """Return whether a step needs no more than is free anywhere.

        It compares each resource with the most that is free on one upstream.
        The first result for a service and label holds for the whole round,
        because the free capacity only shrinks.
        """
        pool = (waiting.route.service, waiting.step.label)
        most = self._most_free_by_pool.get(pool)
        if most is None:
            most = most_free(self._facts.capacity_by_id.values(), *pool)
            self._most_free_by_pool[pool] = most
        return charged_resources(waiting.step).fits(most)

    def _plan_step(self, waiting: WaitingUnits) -> None:
        """Decide on the units of a step until the time is over."""
        account = waiting.record.job.account
        shape = _shape(waiting)
        step_is_full = False
        for key, unit in waiting.units:
            if self._facts.is_over():
                self._plan.out_of_time = True
                return
            if self._tasks_left <= 0:
                return
            quota = self._planned_usage.decide(account, waiting.step)
            if isinstance(quota, OverLimit):
                if self._recorder is not None:
                    self._recorder.record_over_limit(key, quota)
                if waiting.within_guarantee:
                    self._make_room_within_limit(waiting, key, unit)
                # The other units of the step need as much.
                break
            step_is_decisive = _is_decisive(key, unit)
            shape_is_decisive = step_is_decisive and not waiting.step.per_upstream
            if step_is_decisive and step_is_full:
                continue
            if shape_is_decisive and shape in self._unplaceable_shapes:
                self._record(waiting, key, [], self._facts.capacity_by_id.values())
                continue
            match self._decide_unit(waiting, key, unit):
                case _Placed(seats, candidates):
                    self._record(waiting, key, seats, candidates)
                    self._place(key, unit, seats)
                    self._planned_usage.add(account, waiting.step)
                case _MakingRoom(candidates):
                    self._record(waiting, key, [], candidates)
                    self._planned_usage.add(account, waiting.step)
                case _NoRoom(candidates):
                    self._record(waiting, key, [], candidates)
                    step_is_full = step_is_full or step_is_decisive
                    if shape_is_decisive:
                        self._unplaceable_shapes.add(shape)
                    self._reserve(waiting, candidates)

    def _decide_unit(
        self, waiting: WaitingUnits, key: UnitKey, unit: Unit
    ) -> _Placed | _MakingRoom | _NoRoom:
        candidates: list[UpstreamCapacity] = []
        for candidates in self._candidate_tiers(waiting, key, unit):
            fast_enough = self._seating.fast_enough(waiting, candidates)
            groups = [fast_enough]
            if len(fast_enough) < len(candidates):
                groups.append(candidates)
            for group in groups:
                seats = self._seating.assign(waiting, key, unit, group)
                if seats:
                    return _Placed(seats, candidates)
                if self._make_room(waiting, key, group):
                    return _MakingRoom(group)
        return _NoRoom(candidates)

    def _make_room_within_limit(
        self, waiting: WaitingUnits, key: UnitKey, unit: Unit
    ) -> None:
        """Stop runs of an account at its limit for its guaranteed work.

        Room on upstreams is made at the same time, because the guarantee has
        to be given back within seconds.
        """
        if not self._may_preempt:
            return
        account = waiting.record.job.account
        excess = self._planned_usage.excess(account, waiting.step)
        victims = choose_own_victims(self._victim_selector, account, excess)
        if victims is None:
            return
        for run_key in victims:
            self._plan.preemptions.append(Preemption(*run_key, key))
            self._victim_selector.mark_stopping(run_key)
        self._planned_usage.add(account, waiting.step)
        preferred = self._candidate_tiers(waiting, key, unit)[0]
        self._make_room(waiting, key, preferred)

    def _place(self, key: UnitKey, unit: Unit, seats: list[Seat]) -> None:
        if unit.starts_apart():
            isolate_seats(seats, self._facts.capacity_by_id)
        self._plan.placements.append(Placement(key, unit.run + 1, tuple(seats)))
        self._tasks_left -= len(seats)

    def _reserve(
        self, waiting: WaitingUnits, candidates: list[UpstreamCapacity]
    ) -> None:
        """Reserve upstreams for a unit that has waited long."""
        if self._reservations_left > 0 and waiting.waited_s > _RESERVE_AFTER_S:
            self._reservations_left -= self._seating.reserve(waiting, candidates)

    def _record(
        self,
        waiting: WaitingUnits,
        key: UnitKey,
        seats: list[Seat],
        candidates: Iterable[UpstreamCapacity],
    ) -> None:
        if self._recorder is None:
            return
        self._recorder.record_trial(
            waiting, key, seats, candidates, self._facts.capacity_by_id
        )

    def _candidate_tiers(
        self, waiting: WaitingUnits, key: UnitKey, unit: Unit
    ) -> list[list[UpstreamCapacity]]:
        """Return the upstreams on which a unit may run, also full ones.

        The first list has those where no run of it has failed or crashed, if
        it would fit on them when they are empty.  The second one follows once
        the unit has waited for these long enough, and has the others as well.
        """
        step = waiting.step
        tasks = step.count if step.gang else 1
        usable = self._usable(waiting, unit)
        preferred = usable
        avoided = set(unit.avoid)
        if avoided:
            others = [
                candidate
                for candidate in usable
                if candidate.upstream.report.upstream_id not in avoided
            ]
            if fits_when_empty(step, tasks, others):
                preferred = others
        if unit.crashes:
            preferred = away_from_crashes(unit, step, tasks, preferred)
        tiers = [preferred]
        if len(preferred) < len(usable):
            others_free_up = fits_once_runs_end(step, tasks, preferred)
            if self._retry_delays.is_over(
                key, unit, step, others_free_up, self._facts.wall_ms
            ):
                tiers.append(usable)
        if unit.crashes:
            tiers = [away_from_suspects(tier) for tier in tiers]
        if unit.starts_apart():
            tiers = [
                self._separation.filter(key, tier, self._facts.wall_ms)
                for tier in tiers
            ]
        return tiers

    def _usable(self, waiting: WaitingUnits, unit: Unit) -> list[UpstreamCapacity]:
        """Return the upstreams that may run a unit, whatever ran there."""
        step = waiting.step
        found = []
        for candidate in self._facts.capacity_by_id.values():
            report = candidate.upstream.report
            if report.service != waiting.route.service or candidate.isolated:
                continue
            # Long-running tasks provide a service, so that they wait for no
            # other unit.
            if candidate.reserved and not step.long_running:
                continue
            if candidate.upstream.avoid_until > self._facts.now:
                continue
            if step.label and step.label not in report.labels:
                continue
            if candidate.watched and not unit.starts_apart():
                continue
            found.append(candidate)
        return found

    def _make_room(
        self, waiting: WaitingUnits, key: UnitKey, candidates: list[UpstreamCapacity]
    ) -> bool:
        """Reserve capacity that is being freed, and preempt runs if needed.

        Returns whether the unit will fit once these runs have ended.
        """
        if not self._may_preempt:
            return False
        count_by_id = self._seating.task_counts(key, waiting.step)
        best = Reservation(cost=float("inf"))
        best_group: list[UpstreamCapacity] = []
        for group, preferred in candidate_groups(
            waiting.step, candidates, waiting.task_count()
        ):
            if best.cost < float("inf") and not preferred:
                break
            found = self._victim_selector.reserve(waiting, group, count_by_id)
            if found.cost < best.cost:
                best, best_group = found, group
        if best.cost == float("inf"):
            return False
        best.apply(best_group)
        for run_key in best.victims:
            self._plan.preemptions.append(Preemption(*run_key, key))
            self._victim_selector.mark_stopping(run_key)
        return True


def _is_decisive(key: UnitKey, unit: Unit) -> bool:
    """Return whether other units of the step fit if and only if this does."""
    return key.task != GANG_TASK and not unit.avoid and not unit.crashes


def _shape(waiting: WaitingUnits) -> tuple:
    """Return the properties that decide on which upstreams a task fits.

    They suffice for tasks outside gangs that avoid no upstream and have no
    limit per upstream.
    """
    step = waiting.step
    # Long-running tasks use reserved upstreams, others do not.
    return (
        waiting.route.service,
        step.needs,
        step.fills,
        step.label,
        step.rack,
        step.long_running,
    )
