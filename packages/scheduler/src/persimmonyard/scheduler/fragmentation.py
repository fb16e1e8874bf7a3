"""Fragmentation: free accelerators that the demand mix cannot use."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from persimmonyard.model import Adjacency, Resources, Shape

__all__ = ["Demand", "Fragmentation", "FreeCapacity", "stranded_accelerators"]


class FreeCapacity(NamedTuple):
    """The free capacity of one instance in service."""

    zone: str
    rack: str
    free: Resources
    slots: int


class Demand(NamedTuple):
    """A job shape in the demand mix and its weight, such as a job count."""

    shape: Shape
    weight: float = 1.0


class Fragmentation(NamedTuple):
    """Free accelerators, and how many of them are stranded on average.

    The average is taken over the demand mix.
    """

    free: int
    stranded: float

    def share(self) -> float:
        """Return the stranded share of the free accelerators, 0 if none."""
        return self.stranded / self.free if self.free else 0.0


def stranded_accelerators(
    instances: Iterable[FreeCapacity], demand: Sequence[Demand]
) -> Fragmentation:
    """Return the free accelerators that the demand mix cannot use.

    For one shape, the stranded accelerators are those left free after as many
    whole gangs of that shape as fit are placed, each within one rack or zone
    if its adjacency requires that.  The result is the mean over the demand
    mix, weighted by the number of accelerators requested.  Shapes
    without accelerators do not count, and an empty mix strands nothing.

    This is the measure of fragmentation gradient descent (Weng et al., USENIX
    ATC 2023), extended from single tasks on one instance to gangs.  Its unit
    is capacity that cannot be sold.  Unlike the size of the largest free
    block, it also covers instances whose processors, memory or slots are
    used up.

    Example: with two accelerators free on each of two instances and demand
    for one task of three, all four are stranded.
    """
    count_by_instance = Counter(instances)
    total_free = 0
    for instance, count in count_by_instance.items():
        total_free += instance.free.accelerators * count
    stranded = 0.0
    total_weight = 0.0
    for shape, weight in _weight_by_shape(demand):
        usable = _usable_accelerators(count_by_instance, shape)
        stranded += weight * (total_free - usable)
        total_weight += weight
    if total_weight == 0.0:
        return Fragmentation(total_free, 0.0)
    return Fragmentation(total_free, stranded / total_weight)


def _weight_by_shape(demand: Sequence[Demand]) -> list[tuple[Shape, float]]:
    weight_by_shape: dict[Shape, float] = {}
    for shape, weight in demand:
        accelerators = shape.gang * shape.accelerators
        if accelerators == 0:
            continue
        weight_so_far = weight_by_shape.get(shape, 0.0)
        weight_by_shape[shape] = weight_so_far + weight * accelerators
    return list(weight_by_shape.items())


def _usable_accelerators(count_by_instance: Counter[FreeCapacity], shape: Shape) -> int:
    members_by_location: Counter[tuple[str, str]] = Counter()
    for instance, count in count_by_instance.items():
        location = _location(instance, shape.adjacency)
        members_by_location[location] += _max_members(instance, shape) * count
    usable = 0
    for members in members_by_location.values():
        gangs = members // shape.gang
        usable += gangs * shape.gang * shape.accelerators
    return usable


def _location(instance: FreeCapacity, adjacency: Adjacency) -> tuple[str, str]:
    match adjacency:
        case Adjacency.RACK:
            return instance.zone, instance.rack
        case Adjacency.ZONE:
            return instance.zone, ""
        case _:
            return "", ""


def _max_members(instance: FreeCapacity, shape: Shape) -> int:
    max_members = instance.slots
    for free, need in zip(instance.free, shape.member_resources(), strict=True):
        if need > 0:
            max_members = min(max_members, free // need)
    return max(max_members, 0)
