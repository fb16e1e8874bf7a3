"""Capacity of upstreams during one plan, and how units come to fit."""

from dataclasses import dataclass, field
from typing import NamedTuple

from persimmonyard.jobs.fleet import Upstream
from persimmonyard.jobs.model import Step, UnitKey
from persimmonyard.model import Resources

__all__ = [
    "Reservation",
    "Room",
    "Victim",
    "counted_needs",
    "free_accelerators",
    "half_free",
    "nearest_rooms",
    "reserve",
]


@dataclass
class Room:
    """Capacity of one upstream during a plan.

    ``free`` may be used now, ``soon`` once the runs that stop have ended.
    """

    upstream: Upstream
    free: Resources
    soon: Resources
    held: bool = False


def counted_needs(step: Step) -> Resources:
    """Return what a task of the step takes from a capacity."""
    return step.needs._replace(cores=0) if step.fills else step.needs


class Victim(NamedTuple):
    """A run that may be stopped; ``needs`` is freed on this upstream."""

    cost: float
    key: UnitKey
    run: int
    needs: Resources


@dataclass
class Reservation:
    """Rooms that will fit a unit, and the runs that end for it."""

    cost: float = 0.0
    victims: list[tuple[UnitKey, int]] = field(default_factory=list)
    soon_by_id: dict[str, tuple[Room, Resources]] = field(default_factory=dict)

    def soon(self, room: Room) -> Resources:
        """Return what is left of a room after this reservation."""
        known = self.soon_by_id.get(room.upstream.report.upstream_id)
        return room.soon if known is None else known[1]

    def apply(self) -> None:
        """Keep what is free in these rooms from other units."""
        for room, soon in self.soon_by_id.values():
            room.soon = soon
            room.free = Resources(
                min(room.free.accelerators, max(0, soon.accelerators)),
                min(room.free.cores, max(0, soon.cores)),
                min(room.free.memory_mb, max(0, soon.memory_mb)),
            )


def reserve(
    needs: Resources,
    tasks: int,
    group: list[Room],
    victims_by_id: dict[str, list[Victim]],
) -> Reservation | None:
    """Return the cheapest way found to fit all tasks into a group."""
    found = Reservation()
    for _ in range(tasks):
        best: tuple[float, Room, list[Victim]] | None = None
        for room in group:
            possible = victims_by_id[room.upstream.report.upstream_id]
            choice = _cheapest(needs, found.soon(room), possible, found.victims)
            if choice is not None and (best is None or choice[0] < best[0]):
                best = (choice[0], room, choice[1])
        if best is None:
            return None
        cost, room, chosen = best
        soon = found.soon(room)
        for victim in chosen:
            found.victims.append((victim.key, victim.run))
            soon = soon.plus(victim.needs)
        found.cost += cost
        upstream_id = room.upstream.report.upstream_id
        found.soon_by_id[upstream_id] = (room, soon.minus(needs))
    return found


def _cheapest(
    needs: Resources,
    room: Resources,
    possible: list[Victim],
    taken: list[tuple[UnitKey, int]],
) -> tuple[float, list[Victim]] | None:
    """Return the cost and the runs whose end makes ``needs`` fit."""
    cost = 0.0
    chosen: list[Victim] = []
    if needs.fits(room):
        return cost, chosen
    for victim in possible:
        if (victim.key, victim.run) in taken:
            continue
        chosen.append(victim)
        cost += victim.cost
        room = room.plus(victim.needs)
        if needs.fits(room):
            return cost, chosen
    return None


def half_free(rooms: dict[str, Room]) -> bool:
    """Return whether half of all accelerators are free."""
    free = sum(room.free.accelerators for room in rooms.values())
    total = sum(room.upstream.report.capacity.accelerators for room in rooms.values())
    return 2 * free >= total


def nearest_rooms(
    needs: Resources, tasks: int, group: list[Room]
) -> tuple[int, list[Room]] | None:
    """Return the rooms that fit all tasks once some runs have ended.

    They come with the number of accelerators that have to be freed.
    """
    ranked = sorted(group, key=lambda room: -room.free.accelerators)
    chosen = []
    fitting = 0
    busy = 0
    for room in ranked:
        if fitting >= tasks:
            break
        count = how_many(needs, room.upstream.report.capacity)
        if not count:
            continue
        chosen.append(room)
        fitting += count
        busy += room.upstream.report.capacity.accelerators - room.free.accelerators
    return (busy, chosen) if fitting >= tasks else None


def free_accelerators(rooms: list[Room]) -> int:
    """Return how many accelerators are free in all rooms."""
    return sum(room.free.accelerators for room in rooms)


def how_many(needs: Resources, capacity: Resources) -> int:
    counts = [1_000]
    for need, there in zip(needs, capacity, strict=True):
        if need > 0:
            counts.append(there // need)
    return min(counts)
