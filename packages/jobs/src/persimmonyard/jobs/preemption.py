"""Which runs make room for a unit, and whether that is worth it."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from persimmonyard.jobs.history import RunTimes
from persimmonyard.jobs.model import UnitKey
from persimmonyard.jobs.promises import OWED_PATIENCE_S, PromisedJobs
from persimmonyard.jobs.rooms import Room, counted_needs
from persimmonyard.jobs.store import JobStore
from persimmonyard.jobs.waits import Deadlines, Wait, work_weight
from persimmonyard.model import Resources

__all__ = ["LiveRun", "Reservation", "Victims"]

_MS = 1_000
# What a core-second of finished work is worth, in core-seconds of wasted
# work, by priority: the more urgent a class, the smaller its jobs.
_WORTH_BY_PRIORITY = (5.5, 0.7)
_LEAST_WORTH = 0.3
# Share of the worth that is lost when work becomes late, and when late work
# is not done at all.
_LATE_LOSS = 0.75
_UNDONE_LOSS = 0.25
# Runs are stopped for a unit once it would miss its objective by waiting this
# much longer: a stop takes up to a second.
_LAST_MOMENT_MS = 2_000
# A run that is expected to end in less time is not worth a stop, in seconds.
_ENDS_SOON_S = 0.6
# Wasted work is paid for, and its repetition takes capacity from other work.
_REDO_FACTOR = 1.4
# Seconds that stopping and starting again cost besides the work itself.
_RESTART_S = 0.2
# Other urgent work is stopped last for promised work.
_URGENT_FACTOR = 10.0


class LiveRun(NamedTuple):
    """What the leader knows of a run.

    ``worked_s`` is the work that a stop would throw away, ``ran_s`` the time
    since the run began, and ``left_s`` how long it will probably go on, where
    that is known.
    """

    stopping: bool
    worked_s: float
    ran_s: float = 0.0
    left_s: float | None = None

    def joined(self, other: "LiveRun") -> "LiveRun":
        """Return what is known of a run with one more of its tasks."""
        left_s = None
        if self.left_s is not None and other.left_s is not None:
            left_s = max(self.left_s, other.left_s)
        return LiveRun(
            self.stopping or other.stopping,
            max(self.worked_s, other.worked_s),
            max(self.ran_s, other.ran_s),
            left_s,
        )

    def ends_soon(self) -> bool:
        """Return whether the capacity comes back without a stop."""
        if self.stopping:
            return True
        return self.left_s is not None and self.left_s < _ENDS_SOON_S


class Victim(NamedTuple):
    """A run that may be stopped; ``needs`` is freed on this upstream."""

    cost: float
    priority: int
    key: UnitKey
    run: int
    needs: Resources


def _worth_of(priority: int) -> float:
    """Return the worth of a core-second of a class of work."""
    if priority < len(_WORTH_BY_PRIORITY):
        return _WORTH_BY_PRIORITY[priority]
    return _LEAST_WORTH


def _loss(deadlines: Deadlines, delay_ms: float) -> float:
    """Return the share of the worth that is lost by a delay."""
    if deadlines.slack_ms >= 0:
        return _LATE_LOSS if deadlines.slack_ms < delay_ms else 0.0
    if deadlines.last_ms >= 0:
        return _UNDONE_LOSS if deadlines.last_ms < delay_ms else 0.0
    return 0.0


@dataclass
class Reservation:
    """Rooms that will fit a unit, and the runs that end for it."""

    cost: float = 0.0
    victims: list[tuple[UnitKey, int]] = field(default_factory=list)
    soon_by_id: dict[str, Resources] = field(default_factory=dict)
    taken_ids: set[str] = field(default_factory=set)

    def apply(self, rooms: Iterable[Room]) -> None:
        """Keep what is free in these rooms from other units."""
        for room in rooms:
            upstream_id = room.upstream.report.upstream_id
            soon = self.soon_by_id.get(upstream_id)
            if soon is None:
                continue
            room.soon = soon
            if upstream_id not in self.taken_ids:
                continue
            room.free = Resources(
                min(room.free.accelerators, max(0, soon.accelerators)),
                min(room.free.cores, max(0, soon.cores)),
                min(room.free.memory_mb, max(0, soon.memory_mb)),
            )


class Victims:
    """The runs that may be stopped during one plan, by upstream."""

    def __init__(
        self,
        store: JobStore,
        times: RunTimes,
        runs: dict[tuple[UnitKey, int], LiveRun],
        owed: PromisedJobs,
        wall_ms: int,
    ):
        self._store = store
        self._times = times
        self._runs = runs
        self._owed = owed
        self._wall_ms = wall_ms
        self._list_by_id: dict[str, list[Victim]] = {}

    def gain(self, wait: Wait) -> float:
        """Return what it is worth to start a unit now instead of later.

        It is in core-seconds of wasted work; 0 while the unit can wait.
        """
        if wait.owed and wait.waited_s >= OWED_PATIENCE_S:
            return float("inf")
        work_s = self._times.task_ms(wait.record.job, wait.step) / _MS
        work = wait.task_count() * work_weight(wait.step) * work_s
        worth = _worth_of(wait.route.priority) * work
        return worth * _loss(wait.deadlines, _LAST_MOMENT_MS)

    def reserve(self, wait: Wait, needs: Resources, group: list[Room]) -> Reservation:
        """Return the cheapest way found to fit all tasks into a group.

        Its cost is infinite if there is none.
        """
        found = Reservation()
        by_id = {room.upstream.report.upstream_id: room for room in group}
        gain = self.gain(wait)
        for _ in range(wait.task_count()):
            best: tuple[float, str, list[Victim]] | None = None
            for upstream_id, room in by_id.items():
                soon = found.soon_by_id.get(upstream_id, room.soon)
                if needs.fits(soon):
                    best = (0.0, upstream_id, [])
                    break
                if not gain:
                    continue
                possible = self._possible(upstream_id, wait)
                limit = best[0] if best is not None else gain - found.cost
                choice = _cheapest(needs, soon, possible, found.victims, limit)
                if choice is not None:
                    best = (choice[0], upstream_id, choice[1])
            if best is None:
                return Reservation(cost=float("inf"))
            cost, upstream_id, chosen = best
            found.cost += cost
            for victim in chosen:
                self._take(victim, found, by_id)
            soon = found.soon_by_id.get(upstream_id, by_id[upstream_id].soon)
            found.soon_by_id[upstream_id] = soon.minus(needs)
            found.taken_ids.add(upstream_id)
        return found

    def _take(self, victim: Victim, found: Reservation, by_id: dict[str, Room]) -> None:
        """Count what a run frees on all upstreams of the group."""
        place = (victim.key, victim.run)
        found.victims.append(place)
        unit = self._store.job_by_id[victim.key.job_id].units[victim.key]
        for upstream_id in {one.seat.upstream_id for one in unit.seats}:
            room = by_id.get(upstream_id)
            if room is None:
                continue
            for other in self._list(upstream_id):
                if (other.key, other.run) == place:
                    soon = found.soon_by_id.get(upstream_id, room.soon)
                    found.soon_by_id[upstream_id] = soon.plus(other.needs)

    def stop(self, place: tuple[UnitKey, int]) -> None:
        """Note that a run is being stopped from now on."""
        self._runs[place] = self._runs[place]._replace(stopping=True)
        unit = self._store.job_by_id[place[0].job_id].units[place[0]]
        for one in unit.seats:
            self._list_by_id.pop(one.seat.upstream_id, None)

    def _possible(self, upstream_id: str, wait: Wait) -> list[Victim]:
        victims = self._list(upstream_id)
        if wait.owed:
            return victims
        return [one for one in victims if one.priority > wait.route.priority]

    def _list(self, upstream_id: str) -> list[Victim]:
        """Return the runs on an upstream, the cheapest to stop first."""
        found = self._list_by_id.get(upstream_id)
        if found is None:
            found = self._list_by_id[upstream_id] = self._find(upstream_id)
        return found

    def _find(self, upstream_id: str) -> list[Victim]:
        needs_by_run: dict[tuple[UnitKey, int], Resources] = {}
        for name, run in self._store.seats_by_upstream.get(upstream_id, {}):
            step = self._store.job_by_id[name.job_id].job.steps[name.step]
            place = (name.unit_key(step.gang), run)
            live = self._runs.get(place)
            if live is None or live.ends_soon():
                continue
            freed = needs_by_run.get(place, Resources(0, 0, 0))
            needs_by_run[place] = freed.plus(counted_needs(step))
        found = []
        for (key, run), freed in needs_by_run.items():
            victim = self._victim(key, run, freed)
            if victim is not None:
                found.append(victim)
        found.sort(key=lambda victim: victim.cost)
        return found

    def _victim(self, key: UnitKey, run: int, freed: Resources) -> Victim | None:
        record = self._store.job_by_id[key.job_id]
        route = self._store.route_of(record)
        if route is None or self._owed.covers(record):
            return None
        live = self._runs[(key, run)]
        step = record.step_of(key)
        weight = work_weight(step) * (step.count if step.gang else 1)
        cost = _REDO_FACTOR * weight * (live.worked_s + _RESTART_S)
        deadlines = Deadlines.of(record, route, key, self._wall_ms, self._times)
        # What has been worked is done, until it is thrown away.
        slack_ms = deadlines.slack_ms + live.ran_s * _MS
        last_ms = deadlines.last_ms + live.ran_s * _MS
        task_ms = self._times.task_ms(record.job, step)
        delay_ms = live.worked_s * _MS + _LAST_MOMENT_MS
        loss = _loss(Deadlines(slack_ms, last_ms), delay_ms)
        cost += _worth_of(route.priority) * weight * task_ms / _MS * loss
        cost *= _URGENT_FACTOR if route.priority == 0 else 1.0
        return Victim(cost, route.priority, key, run, freed)


def _cheapest(
    needs: Resources,
    room: Resources,
    possible: list[Victim],
    taken: list[tuple[UnitKey, int]],
    limit: float,
) -> tuple[float, list[Victim]] | None:
    """Return the cost and the runs whose end makes ``needs`` fit.

    The cost stays below ``limit``.
    """
    cost = 0.0
    chosen: list[Victim] = []
    for victim in possible:
        if (victim.key, victim.run) in taken:
            continue
        chosen.append(victim)
        cost += victim.cost
        if cost >= limit:
            return None
        room = room.plus(victim.needs)
        if needs.fits(room):
            return cost, chosen
    return None
