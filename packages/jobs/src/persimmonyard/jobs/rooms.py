"""Capacity of upstreams during one plan."""

from dataclasses import dataclass

from persimmonyard.jobs.fleet import Upstream
from persimmonyard.jobs.model import Step
from persimmonyard.model import Resources

__all__ = [
    "Room",
    "counted_needs",
    "free_accelerators",
    "half_free",
    "nearest_rooms",
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
