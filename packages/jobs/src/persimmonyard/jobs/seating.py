"""The choice of seats for units on the free capacity of one plan.

Load pattern: some upstreams fail what they start while many gangs arrive.
Such upstreams are the empty ones, which gangs of large tasks need, and one of
them breaks a whole gang.  So work is placed without them if there is room, and
with them otherwise.
"""

from collections.abc import Iterable
from typing import NamedTuple

from persimmonyard.decisions import (
    FastestFirst,
    SpeedOrder,
    UnitPace,
    choose_speed_order,
    idle_share,
)
from persimmonyard.jobs.capacity import (
    UpstreamCapacity,
    charged_resources,
    free_accelerators,
    half_free,
    least_busy_fit,
)
from persimmonyard.jobs.commands import Seat
from persimmonyard.jobs.guarantees import GUARANTEED_WAIT_S
from persimmonyard.jobs.interference import Interference
from persimmonyard.jobs.model import GANG_TASK, Step, UnitKey
from persimmonyard.jobs.records import Unit
from persimmonyard.jobs.run_time_estimator import RunTimeEstimator
from persimmonyard.jobs.seat_ranking import SeatRanking, UnitTasks, seat_source
from persimmonyard.jobs.store import JobStore
from persimmonyard.jobs.waiting_queue import WaitingUnits

__all__ = ["SeatAssigner", "candidate_groups"]

# A unit waits for its preferred rack for this multiple of its run time.  On
# another rack it would run three times as long and use three times the
# capacity.
_RACK_WAIT_RUN_TIMES = 2.0
# Longest wait for a preferred rack while half of the capacity is free, and of
# long-running tasks, in seconds: the platform expects them to start within 3 s
# in these cases.
_MAX_SHORT_RACK_WAIT_S = 1.5
_MS_PER_S = 1_000


# Members of a gang count as alike if at most this share of their time is idle.
_MAX_IDLE_SHARE = 0.1


class _GroupChoice(NamedTuple):
    """Upstreams on which a unit fits, and the idle share of its time."""

    idle_share: float
    unit_tasks: UnitTasks
    members: list[UpstreamCapacity]


class _AssignedSeat(NamedTuple):
    """A seat that was taken, and when its upstream got the one before.

    ``kept_apart`` is true if a better filled upstream was passed over because
    tasks would slow each other down there, and ``shared`` if they do here.
    """

    seat: Seat
    candidate: UpstreamCapacity
    placed_before_ms: int
    kept_apart: bool
    shared: bool


class SeatAssigner:
    """Assigns units to seats during one plan, and reserves upstreams.

    The seats are taken from the free capacity in ``capacity_by_id``.
    """

    def __init__(
        self,
        store: JobStore,
        estimator: RunTimeEstimator,
        capacity_by_id: dict[str, UpstreamCapacity],
        wall_ms: int,
        interference: Interference,
    ):
        self._store = store
        self._interference = interference
        self._estimator = estimator
        self._wall_ms = wall_ms
        self._half_free = half_free(capacity_by_id)
        self._task_counts_by_step: dict[tuple[str, int, int], dict[str, int]] = {}
        self._free_by_rack: dict[str, int] = {}
        for candidate in capacity_by_id.values():
            rack = candidate.upstream.report.rack
            rack_free = self._free_by_rack.get(rack, 0) + candidate.free.accelerators
            self._free_by_rack[rack] = rack_free

    def assign(
        self,
        waiting: WaitingUnits,
        key: UnitKey,
        unit: Unit,
        candidates: list[UpstreamCapacity],
    ) -> list[Seat]:
        """Return a seat for each task of the unit, or an empty list.

        The seats are taken from the free capacity of the candidates.  Among
        groups that are preferred alike, the first one takes the unit in which
        its members are of similar speed, or else the one with the least idle
        time.
        """
        order = self._speed_order(waiting)
        step = waiting.step
        tasks = list(range(step.count)) if key.task == GANG_TASK else [key.task]
        rack_wait_s = (
            _RACK_WAIT_RUN_TIMES
            * self._estimator.task_ms(waiting.record.job, step)
            / _MS_PER_S
        )
        if waiting.within_guarantee:
            rack_wait_s = min(rack_wait_s, GUARANTEED_WAIT_S)
        if self._half_free or step.long_running:
            rack_wait_s = min(rack_wait_s, _MAX_SHORT_RACK_WAIT_S)
        preferred_fits = False
        best: _GroupChoice | None = None
        groups = candidate_groups(step, candidates, len(tasks))
        if not unit.starts_apart():
            groups = _sound_first(groups)
        for group, preferred in groups:
            if preferred and least_busy_fit(step, len(tasks), group) is not None:
                preferred_fits = True
            if not preferred and best is not None:
                break
            if not preferred and preferred_fits and waiting.waited_s < rack_wait_s:
                return []
            # While crashes are common, one right after a start gives no reason
            # for suspicion, but the next start should prove more.
            apart = unit.starts_apart() or unit.crashed_at_start()
            unit_tasks = UnitTasks(key, step, tasks, apart, order)
            choice = self._choose_in_group(unit_tasks, group)
            if choice is None:
                continue
            if choice.idle_share <= _MAX_IDLE_SHARE:
                return self._take_seats(choice)
            if best is None or choice.idle_share < best.idle_share:
                best = choice
        if best is None:
            return []
        return self._take_seats(best)

    def _take_seats(self, choice: _GroupChoice) -> list[Seat]:
        assigned = self._assign_tasks(choice.unit_tasks, choice.members)
        self._interference.kept_apart += sum(taken.kept_apart for taken in assigned)
        self._interference.shared += sum(taken.shared for taken in assigned)
        return [taken.seat for taken in assigned]

    def fast_enough(
        self, waiting: WaitingUnits, candidates: list[UpstreamCapacity]
    ) -> list[UpstreamCapacity]:
        """Return the candidates on which a step can meet its objective."""
        min_level = self._speed_order(waiting).min_level
        return [
            candidate for candidate in candidates if candidate.speed_level >= min_level
        ]

    def _speed_order(self, waiting: WaitingUnits) -> SpeedOrder:
        number = waiting.units[0][0].step
        work_ms = self._estimator.critical_path_ms(waiting.record.job, number)
        slack_ms = waiting.slack.objective_slack_ms
        return choose_speed_order(UnitPace(work_ms, slack_ms, waiting.route.stretch))

    def _choose_in_group(
        self, unit_tasks: UnitTasks, group: list[UpstreamCapacity]
    ) -> _GroupChoice | None:
        """Return the members of a group that suit a unit best, or None.

        A gang is tried with each level of speed as that of its slowest member.
        """
        levels = sorted({candidate.speed_level for candidate in group})
        if len(unit_tasks.tasks) == 1 or len(levels) == 1:
            assigned = self._assign_tasks(unit_tasks, group)
            if not assigned:
                return None
            self._release(unit_tasks, assigned)
            return _GroupChoice(0.0, unit_tasks, group)
        if isinstance(unit_tasks.order, FastestFirst):
            levels.reverse()
        best: _GroupChoice | None = None
        for slowest in levels:
            members = [
                candidate for candidate in group if candidate.speed_level >= slowest
            ]
            assigned = self._assign_tasks(unit_tasks, members)
            if not assigned:
                continue
            self._release(unit_tasks, assigned)
            share = idle_share([taken.candidate.speed_level for taken in assigned])
            if best is None or share < best.idle_share - _MAX_IDLE_SHARE:
                best = _GroupChoice(share, unit_tasks, members)
            if best.idle_share <= _MAX_IDLE_SHARE:
                break
        return best

    def _assign_tasks(
        self, unit_tasks: UnitTasks, candidates: list[UpstreamCapacity]
    ) -> list[_AssignedSeat]:
        """Assign all tasks to candidates by best fit, or none of them.

        With ``apart`` the tasks go where the fewest others run.  The members
        of a gang go to the slowest candidates, because one that is faster than
        another only waits for it.  Among candidates of the same speed, those
        where no task is slowed down by another come first.
        """
        key, step, tasks, _, _ = unit_tasks
        needs = charged_resources(step)
        count_by_id = self.task_counts(key, step)
        free_by_rack = self._free_by_rack
        ranking = SeatRanking(
            unit_tasks, count_by_id, free_by_rack, self._interference, self._wall_ms
        )
        find_best, record_taken = seat_source(ranking, candidates, len(tasks))
        assigned: list[_AssignedSeat] = []
        for task in tasks:
            best = find_best()
            if best is None:
                self._release(unit_tasks, assigned)
                return []
            candidate, kept_apart, shared = best
            report = candidate.upstream.report
            candidate.free = candidate.free.minus(needs)
            candidate.future_free = candidate.future_free.minus(needs)
            free_by_rack[report.rack] -= needs.accelerators
            count_by_id[report.upstream_id] = count_by_id.get(report.upstream_id, 0) + 1
            placed_before_ms = candidate.placed_ms
            candidate.placed_ms = self._wall_ms
            self._interference.add(candidate, key, step, 1)
            record_taken(report.rack)
            seat = Seat(
                task,
                report.upstream_id,
                report.incarnation,
                report.address,
                report.zone,
            )
            assigned.append(
                _AssignedSeat(seat, candidate, placed_before_ms, kept_apart, shared)
            )
        return assigned

    def _release(self, unit_tasks: UnitTasks, assigned: list[_AssignedSeat]) -> None:
        """Give back the capacity that ``_assign_tasks`` has taken."""
        needs = charged_resources(unit_tasks.step)
        count_by_id = self.task_counts(unit_tasks.key, unit_tasks.step)
        for seat, candidate, placed_before_ms, _, _ in reversed(assigned):
            self._interference.add(candidate, unit_tasks.key, unit_tasks.step, -1)
            candidate.free = candidate.free.plus(needs)
            candidate.future_free = candidate.future_free.plus(needs)
            candidate.placed_ms = placed_before_ms
            rack = candidate.upstream.report.rack
            self._free_by_rack[rack] += needs.accelerators
            if unit_tasks.step.per_upstream:
                count_by_id[seat.upstream_id] -= 1

    def task_counts(self, key: UnitKey, step: Step) -> dict[str, int]:
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

    def reserve(self, waiting: WaitingUnits, candidates: list[UpstreamCapacity]) -> int:
        """Reserve the upstreams with the fewest busy accelerators for a unit.

        Returns 1, or 0 if the unit cannot start there although all runs that
        end have ended.
        """
        tasks = waiting.task_count()
        best: tuple[int, list[UpstreamCapacity]] | None = None
        for group, preferred in candidate_groups(waiting.step, candidates, tasks):
            if best is not None and not preferred:
                break
            chosen = least_busy_fit(waiting.step, tasks, group)
            if chosen is not None and (best is None or chosen[0] < best[0]):
                best = chosen
        if best is None:
            return 0
        for candidate in best[1]:
            candidate.reserved = True
        return 1


def candidate_groups(
    step: Step, candidates: list[UpstreamCapacity], tasks: int
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
