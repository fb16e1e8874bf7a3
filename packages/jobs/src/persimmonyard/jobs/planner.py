"""Decides which waiting units start where, and which runs make room."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from persimmonyard.jobs.commands import Placement, Seat
from persimmonyard.jobs.fleet import Fleet
from persimmonyard.jobs.history import RunTimes
from persimmonyard.jobs.model import GANG, Step, UnitKey
from persimmonyard.jobs.preemption import LiveRun, Reservation, Victims
from persimmonyard.jobs.promises import OWED_PATIENCE_S, PromisedJobs
from persimmonyard.jobs.rooms import (
    Room,
    counted_needs,
    free_accelerators,
    half_free,
    nearest_rooms,
)
from persimmonyard.jobs.store import JobStore, Unit
from persimmonyard.jobs.waits import Wait, WaitingWork

__all__ = ["Plan", "Planner", "Preemption"]

# A unit waits for its rack this many run times before it goes far, where it
# would run three times as long and take that much capacity from others.
_NEAR_PATIENCE = 2.0
# While half of the capacity is free, nothing waits longer, in seconds: the
# platform expects work to start within 3 s then.
_IDLE_PATIENCE_S = 1.5
# Of its class only the units that wait longest hold capacity back.
_MAX_HELD_UNITS = 2
# How long a unit waits before capacity is held back for it, in seconds.
_HOLD_AFTER_S = 0.7
# Upper bound of the steps that one plan looks at after the first misfits.
_MAX_MISFITS = 60
# Upper bound of the tasks that one plan places: their starts are sent at once
# and must not hold up the leader's heartbeats.
_MAX_SEATS = 128
_MS = 1_000


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
    # Whether more units might be placed by another plan at once.
    cut_short: bool = False


class Planner:
    """Place units by priority and objective, and preempt where it is owed."""

    def __init__(self, store: JobStore, fleet: Fleet, times: RunTimes):
        self._store = store
        self._fleet = fleet
        self._times = times
        self._waiting = WaitingWork(store, times)
        self._counts_by_step: dict[tuple[str, int, int], dict[str, int]] = {}
        self._free_by_rack: dict[str, int] = {}
        self._half_free = False

    @property
    def next_due_ms(self) -> int | None:
        """When the next occurrence of a job is due, in Unix milliseconds."""
        return self._waiting.next_due_ms

    def plan(
        self, now: float, wall_ms: int, runs: dict[tuple[UnitKey, int], LiveRun]
    ) -> Plan:
        """Return what to place and to stop; the caller carries it out."""
        plan = Plan()
        configuration = self._store.configuration
        if configuration is None:
            return plan
        owed = PromisedJobs(self._store, configuration)
        waits = self._waiting.in_order(wall_ms, owed)
        if not waits:
            return plan
        rooms = self._rooms(runs, now)
        self._half_free = half_free(rooms)
        self._counts_by_step = {}
        victims = Victims(self._store, self._times, runs, owed, wall_ms)
        held = 0
        misfits: set[tuple] = set()
        seats_left = _MAX_SEATS
        for wait in waits:
            shape = _shape(wait)
            for key, unit in wait.units:
                small = key.task != GANG and not unit.avoid
                small = small and not wait.step.per_upstream
                if small and shape in misfits:
                    continue
                candidates = self._candidates(wait, unit, rooms, now)
                seats = self._seat(wait, key, candidates)
                if seats:
                    plan.placements.append(Placement(key, unit.run + 1, tuple(seats)))
                    seats_left -= len(seats)
                    continue
                if small:
                    misfits.add(shape)
                if self._make_room(wait, key, candidates, victims, plan):
                    misfits.discard(shape)
                    continue
                if held < _MAX_HELD_UNITS and wait.waited_s > _HOLD_AFTER_S:
                    held += self._hold(wait, candidates)
            if seats_left <= 0:
                plan.cut_short = True
                break
            if len(misfits) > _MAX_MISFITS:
                break
        return plan

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
                live = runs.get((name.unit_key(step.gang), run))
                if live is None or not live.ends_soon():
                    soon = soon.minus(needs)
            rooms[upstream_id] = Room(upstream, free, soon)
        self._free_by_rack = {}
        for room in rooms.values():
            rack = room.upstream.report.rack
            free_there = self._free_by_rack.get(rack, 0) + room.free.accelerators
            self._free_by_rack[rack] = free_there
        return rooms

    def _candidates(
        self, wait: Wait, unit: Unit, rooms: dict[str, Room], now: float
    ) -> list[Room]:
        label = wait.step.label
        found = []
        for room in rooms.values():
            report = room.upstream.report
            if report.service != wait.route.service or room.held:
                continue
            if room.upstream.avoid_until > now:
                continue
            if label and label not in report.labels:
                continue
            found.append(room)
        avoided = set(unit.avoid)
        if avoided:
            others = [r for r in found if r.upstream.report.upstream_id not in avoided]
            found = others or found
        return found

    # Seats.

    def _seat(self, wait: Wait, key: UnitKey, candidates: list[Room]) -> list[Seat]:
        """Return a seat for each task of the unit, or nothing."""
        step = wait.step
        tasks = list(range(step.count)) if key.task == GANG else [key.task]
        patience_s = _NEAR_PATIENCE * self._times.task_ms(wait.record.job, step) / _MS
        if wait.owed:
            patience_s = min(patience_s, OWED_PATIENCE_S)
        if self._half_free:
            patience_s = min(patience_s, _IDLE_PATIENCE_S)
        needs = counted_needs(step)
        possible_near = False
        for group, near in self._groups(step, candidates, len(tasks)):
            if near and nearest_rooms(needs, len(tasks), group) is not None:
                possible_near = True
            if not near and possible_near and wait.waited_s < patience_s:
                return []
            chosen = self._fill(key, step, tasks, group)
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
        free_by_rack = self._free_by_rack
        for task in tasks:
            best = None
            for room in rooms:
                report = room.upstream.report
                if not needs.fits(room.free) or not needs.fits(room.soon):
                    continue
                count = count_by_id.get(report.upstream_id, 0)
                if step.per_upstream and count >= step.per_upstream:
                    continue
                # Full upstreams and racks first, so that others stay empty
                # for work that needs a whole upstream or much of a rack.
                rank = (
                    room.free.accelerators,
                    free_by_rack[report.rack],
                    room.free.cores,
                    report.upstream_id,
                )
                if best is None or rank < best[0]:
                    best = (rank, room)
            if best is None:
                for room, seat in taken:
                    room.free = room.free.plus(needs)
                    room.soon = room.soon.plus(needs)
                    free_by_rack[room.upstream.report.rack] += needs.accelerators
                    count_by_id[seat.upstream_id] -= 1
                return []
            room = best[1]
            report = room.upstream.report
            room.free = room.free.minus(needs)
            room.soon = room.soon.minus(needs)
            free_by_rack[report.rack] -= needs.accelerators
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

    def _hold(self, wait: Wait, candidates: list[Room]) -> int:
        """Keep the rooms that are nearest to fitting a unit for it.

        Returns 0 if the unit would not fit into empty rooms either.
        """
        needs = counted_needs(wait.step)
        tasks = wait.task_count()
        best: tuple[int, list[Room]] | None = None
        for group, near in self._groups(wait.step, candidates, tasks):
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

    def _make_room(
        self,
        wait: Wait,
        key: UnitKey,
        candidates: list[Room],
        victims: Victims,
        plan: Plan,
    ) -> bool:
        """Reserve what is being freed, or stop runs; return if it will fit."""
        needs = counted_needs(wait.step)
        best = Reservation(cost=float("inf"))
        best_group: list[Room] = []
        for group, near in self._groups(wait.step, candidates, wait.task_count()):
            if best.cost < float("inf") and not near:
                break
            found = victims.reserve(wait, needs, group)
            if found.cost < best.cost:
                best, best_group = found, group
        if best.cost == float("inf"):
            return False
        best.apply(best_group)
        for place in best.victims:
            plan.preemptions.append(Preemption(*place, key))
            victims.stop(place)
        return True


def _shape(wait: Wait) -> tuple:
    """Return what decides where a single task may run."""
    step = wait.step
    return (wait.route.service, step.needs, step.fills, step.label, step.rack)
