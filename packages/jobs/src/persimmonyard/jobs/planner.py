"""Decides which waiting units start where, and which runs make room."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from persimmonyard.jobs.commands import Placement, Seat
from persimmonyard.jobs.configuration import Route
from persimmonyard.jobs.fleet import Fleet
from persimmonyard.jobs.history import RunTimes
from persimmonyard.jobs.model import GANG, Step, UnitKey
from persimmonyard.jobs.promises import PromisedJobs
from persimmonyard.jobs.rooms import (
    Reservation,
    Room,
    Victim,
    counted_needs,
    free_accelerators,
    half_free,
    nearest_rooms,
    reserve,
)
from persimmonyard.jobs.store import JobRecord, JobStore, Unit

__all__ = ["LiveRun", "Plan", "Planner", "Preemption"]

# A unit waits for its rack this many run times before it goes far, where it
# would run three times as long and take that much capacity from others.
_NEAR_PATIENCE = 2.0
# While half of the capacity is free, nothing waits longer, in seconds: the
# platform expects work to start within 3 s then.
_IDLE_PATIENCE_S = 1.5
# Work that an account was promised goes far sooner, in seconds: it has to
# begin within the platform's bound for reclaiming (2.7 s), stops included.
_OWED_PATIENCE_S = 1.0
# Of its class only the units that wait longest hold capacity back.
_MAX_HELD_UNITS = 2
# How long a unit waits before capacity is held back for it, in seconds.
_HOLD_AFTER_S = 0.7
# Work of an accelerator in cores, as wasted work is accounted for.
_CORES_PER_ACCELERATOR = 8_000
# Upper bound of the units that one plan looks at after the first misfits.
_MAX_MISFITS = 60
_MS = 1_000


class LiveRun(NamedTuple):
    """What the leader knows of a run: when it began and what it saved.

    ``worked_s`` is the work that a stop would throw away, in seconds.
    """

    stopping: bool
    worked_s: float


class Preemption(NamedTuple):
    """A run to stop, and the unit that gets its capacity."""

    key: UnitKey
    run: int
    for_unit: UnitKey


@dataclass
class Plan:
    """The decisions of one call."""

    placements: list[Placement] = field(default_factory=list)
    preemptions: list[Preemption] = field(default_factory=list)


class _Wait(NamedTuple):
    """A unit whose turn has come, with what orders it."""

    rank: tuple[int, int, int, int, float, int]
    key: UnitKey
    unit: Unit
    record: JobRecord
    route: Route
    waited_s: float
    owed: bool


class Planner:
    """Place units by priority and objective, and preempt where it is owed."""

    def __init__(self, store: JobStore, fleet: Fleet, times: RunTimes):
        self._store = store
        self._fleet = fleet
        self._times = times
        self._counts_by_step: dict[tuple[str, int, int], dict[str, int]] = {}
        self._half_free = False
        self.next_due_ms: int | None = None

    def plan(
        self, now: float, wall_ms: int, runs: dict[tuple[UnitKey, int], LiveRun]
    ) -> Plan:
        """Return what to place and to stop; the caller carries it out."""
        plan = Plan()
        configuration = self._store.configuration
        if configuration is None:
            return plan
        owed = PromisedJobs(self._store, configuration)
        waits = self._in_order(wall_ms, owed)
        if not waits:
            return plan
        rooms = self._rooms(runs, now)
        self._half_free = half_free(rooms)
        self._counts_by_step = {}
        held = 0
        misfits: set[tuple] = set()
        for wait in waits:
            step = wait.record.step_of(wait.key)
            shape = (wait.route.service, step.needs, step.label, step.rack)
            small = not step.gang and not wait.unit.avoid and not step.per_upstream
            if small and shape in misfits:
                continue
            candidates = self._candidates(wait, step, rooms, now)
            seats = self._seat(wait, step, candidates)
            if seats:
                run = wait.unit.run + 1
                plan.placements.append(Placement(wait.key, run, tuple(seats)))
                continue
            if small:
                misfits.add(shape)
            if self._make_room(wait, step, candidates, runs, owed, plan):
                continue
            if held < _MAX_HELD_UNITS and wait.waited_s > _HOLD_AFTER_S:
                held += self._hold(step, candidates)
            if len(misfits) > _MAX_MISFITS:
                break
        return plan

    # Order.

    def _in_order(self, wall_ms: int, owed: PromisedJobs) -> list[_Wait]:
        waits: list[_Wait] = []
        self.next_due_ms = None
        ready_by_step: dict[tuple[str, int, int], bool] = {}
        for key, unit, record in self._store.waiting():
            place = (key.job_id, key.occurrence, key.step)
            ready = ready_by_step.get(place)
            if ready is None:
                ready = self._turn_has_come(key, record, wall_ms)
                ready_by_step[place] = ready
            route = self._store.route_of(record)
            if ready and route is not None:
                covered = owed.covers(record)
                waits.append(self._wait(key, unit, record, route, wall_ms, covered))
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
        key: UnitKey,
        unit: Unit,
        record: JobRecord,
        route: Route,
        wall_ms: int,
        owed: bool,
    ) -> _Wait:
        job = record.job
        since = max(job.submitted_ms, job.due_ms(key.occurrence))
        chain_ms = self._times.chain_ms(job, key.step)
        objective = route.stretch * self._times.chain_ms(job, 0) + route.target_ms
        slack = since + objective - wall_ms - chain_ms
        # Work that cannot earn anything any more goes behind the rest, and
        # work that is late already behind what can still be in time.
        hopeless = since + 3 * objective < wall_ms + chain_ms
        late = int(slack < 0 and not owed)
        rank = (
            int(hopeless and not owed),
            route.priority,
            int(not owed),
            late,
            slack,
            since,
        )
        waited_s = (wall_ms - since) / _MS
        return _Wait(rank, key, unit, record, route, waited_s, owed)

    # Capacity.

    def _rooms(
        self, runs: dict[tuple[UnitKey, int], LiveRun], now: float
    ) -> dict[str, Room]:
        rooms = {}
        for upstream_id, upstream in self._fleet.by_id.items():
            if not self._fleet.fresh(upstream, now):
                continue
            if upstream.report.zone in self._store.zones_out:
                continue
            free = upstream.report.capacity
            soon = free
            for (name, run), _ in self._store.seats_by_upstream.get(
                upstream_id, {}
            ).items():
                record = self._store.job_by_id[name.job_id]
                step = record.job.steps[name.step]
                needs = counted_needs(step)
                free = free.minus(needs)
                live = runs.get((name.unit(step.gang), run))
                if live is None or not live.stopping:
                    soon = soon.minus(needs)
            rooms[upstream_id] = Room(upstream, free, soon)
        return rooms

    def _candidates(
        self, wait: _Wait, step: Step, rooms: dict[str, Room], now: float
    ) -> list[Room]:
        found = []
        for room in rooms.values():
            report = room.upstream.report
            if report.service != wait.route.service or room.held:
                continue
            if room.upstream.avoid_until > now:
                continue
            if step.label and step.label not in report.labels:
                continue
            found.append(room)
        avoided = set(wait.unit.avoid)
        if avoided:
            others = [r for r in found if r.upstream.report.upstream_id not in avoided]
            found = others or found
        return found

    # Seats.

    def _seat(self, wait: _Wait, step: Step, candidates: list[Room]) -> list[Seat]:
        """Return a seat for each task of the unit, or nothing."""
        tasks = range(step.count) if wait.key.task == GANG else [wait.key.task]
        patience_s = _NEAR_PATIENCE * self._times.task_ms(wait.record.job, step) / _MS
        if wait.owed:
            patience_s = min(patience_s, _OWED_PATIENCE_S)
        if self._half_free:
            patience_s = min(patience_s, _IDLE_PATIENCE_S)
        possible_near = False
        for group, near in self._groups(step, candidates, len(tasks)):
            if (
                near
                and nearest_rooms(counted_needs(step), len(tasks), group) is not None
            ):
                possible_near = True
            if not near and possible_near and wait.waited_s < patience_s:
                return []
            chosen = self._fill(wait.key, step, list(tasks), group)
            if chosen:
                return chosen
        return []

    def _groups(
        self, step: Step, candidates: list[Room], tasks: int
    ) -> Iterable[tuple[list[Room], bool]]:
        """Return sets of rooms to try in turn, and if they are near enough."""
        by_rack: dict[str, list[Room]] = {}
        for room in candidates:
            by_rack.setdefault(room.upstream.report.rack, []).append(room)
        if step.rack:
            yield by_rack.get(step.rack, []), True
            yield candidates, False
            return
        if step.one_rack and tasks > 1:
            racks = sorted(by_rack.values(), key=free_accelerators)
            for group in racks:
                yield group, True
            yield candidates, False
            return
        yield candidates, True

    def _fill(
        self, key: UnitKey, step: Step, tasks: list[int], rooms: list[Room]
    ) -> list[Seat]:
        needs = counted_needs(step)
        count_by_id = self._step_counts(key, step)
        taken: list[tuple[Room, Seat]] = []
        for task in tasks:
            best = None
            for room in rooms:
                report = room.upstream.report
                if not needs.fits(room.free) or not needs.fits(room.soon):
                    continue
                count = count_by_id.get(report.upstream_id, 0)
                if step.per_upstream and count >= step.per_upstream:
                    continue
                rank = (room.free.accelerators, room.free.cores, report.upstream_id)
                if best is None or rank < best[0]:
                    best = (rank, room)
            if best is None:
                for room, seat in taken:
                    room.free = room.free.plus(needs)
                    room.soon = room.soon.plus(needs)
                    count_by_id[seat.upstream_id] -= 1
                return []
            room = best[1]
            report = room.upstream.report
            room.free = room.free.minus(needs)
            room.soon = room.soon.minus(needs)
            count_by_id[report.upstream_id] = count_by_id.get(report.upstream_id, 0) + 1
            seat = Seat(
                task,
                report.upstream_id,
                report.incarnation,
                report.address,
                report.zone,
            )
            taken.append((room, seat))
        return [seat for _, seat in taken]

    def _step_counts(self, key: UnitKey, step: Step) -> dict[str, int]:
        """Return how many tasks of the step each upstream has by now."""
        if not step.per_upstream:
            return {}
        place = (key.job_id, key.occurrence, key.step)
        counts = self._counts_by_step.get(place)
        if counts is not None:
            return counts
        counts = self._counts_by_step[place] = {}
        record = self._store.job_by_id[key.job_id]
        for other, unit in record.units.items():
            if (other.occurrence, other.step) != (key.occurrence, key.step):
                continue
            for one in unit.seats:
                if one.end is None:
                    name = one.seat.upstream_id
                    counts[name] = counts.get(name, 0) + 1
        return counts

    def _hold(self, step: Step, candidates: list[Room]) -> int:
        """Keep the rooms that are nearest to fitting a unit for it.

        Returns 0 if the unit would not fit into empty rooms either.
        """
        needs = counted_needs(step)
        tasks = step.count if step.gang else 1
        best: tuple[int, list[Room]] | None = None
        for group, near in self._groups(step, candidates, tasks):
            if best is not None and not near:
                break
            chosen = nearest_rooms(needs, tasks, group)
            if chosen is not None and (best is None or chosen[0] < best[0]):
                best = chosen
        if best is None:
            return 0
        for room in best[1]:
            room.held = True
        return 1

    # Preemption.

    def _make_room(
        self,
        wait: _Wait,
        step: Step,
        candidates: list[Room],
        runs: dict[tuple[UnitKey, int], LiveRun],
        owed: PromisedJobs,
        plan: Plan,
    ) -> bool:
        """Reserve what is being freed, or stop runs; return if it will fit."""
        if not wait.owed:
            return False
        tasks = step.count if wait.key.task == GANG else 1
        victims_by_id: dict[str, list[Victim]] = {}
        for room in candidates:
            upstream_id = room.upstream.report.upstream_id
            victims_by_id[upstream_id] = self._victims(room, runs, owed)
        best: Reservation | None = None
        for group, near in self._groups(step, candidates, tasks):
            if best is not None and not near:
                break
            found = reserve(counted_needs(step), tasks, group, victims_by_id)
            if found is not None and (best is None or found.cost < best.cost):
                best = found
        if best is None:
            return False
        best.apply()
        for key, run in best.victims:
            plan.preemptions.append(Preemption(key, run, wait.key))
            runs[(key, run)] = runs[(key, run)]._replace(stopping=True)
        return True

    def _victims(
        self,
        room: Room,
        runs: dict[tuple[UnitKey, int], LiveRun],
        owed: PromisedJobs,
    ) -> list[Victim]:
        found = []
        upstream_id = room.upstream.report.upstream_id
        for name, run in self._store.seats_by_upstream.get(upstream_id, {}):
            record = self._store.job_by_id[name.job_id]
            step = record.job.steps[name.step]
            route = self._store.route_of(record)
            key = name.unit(step.gang)
            live = runs.get((key, run))
            if live is None or live.stopping or route is None:
                continue
            if owed.covers(record):
                continue
            tasks = step.count if step.gang else 1
            weight = step.needs.cores + _CORES_PER_ACCELERATOR * step.needs.accelerators
            # Preempting urgent work comes after preempting any other.
            cost = tasks * weight * (live.worked_s + 0.2)
            cost *= 10.0 if route.priority == 0 else 1.0
            found.append(Victim(cost, key, run, counted_needs(step)))
        found.sort(key=lambda victim: victim.cost)
        return found
