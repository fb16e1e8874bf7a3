"""Stranded accelerators: free ones that the demand mix cannot use."""

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from persimmonyard.model import Adjacency, Resources, Shape

__all__ = ["Demand", "Fragmentation", "FreeCapacity", "stranded_accelerators"]


class FreeCapacity(NamedTuple):
    """What is free on one instance in service."""

    zone: str
    rack: str
    free: Resources
    slots: int


class Demand(NamedTuple):
    """A shape of the demand mix and its weight, such as a count of jobs."""

    shape: Shape
    weight: float = 1.0


class Fragmentation(NamedTuple):
    """Free accelerators and how many of them are stranded on average."""

    free: int
    stranded: float

    def share(self) -> float:
        """Return the stranded share of the free accelerators, 0 if none."""
        return self.stranded / self.free if self.free else 0.0


def stranded_accelerators(
    instances: Iterable[FreeCapacity], demand: Sequence[Demand]
) -> Fragmentation:
    """Return the free accelerators that the demand mix cannot use.

    For one shape, those free accelerators are stranded that are left after
    placing as many whole gangs of that shape as fit, each within one rack or
    zone if its adjacency asks so.  The result is the mean over the demand
    mix, weighted by the number of accelerators asked for.  Shapes without
    accelerators and an empty mix strand nothing.

    This is the measure of fragmentation gradient descent (Weng et al., USENIX
    ATC 2023), extended from single tasks on one instance to gangs.  It counts
    in units of capacity that cannot be sold, and it includes instances whose
    processors, memory or slots are used up, which the size of the largest
    hole does not show.

    Example: with two accelerators free on each of two instances and demand
    for one task of three, all four are stranded.
    """
    counted = Counter(instances)
    total_free = 0
    for instance, count in counted.items():
        total_free += instance.free.accelerators * count
    stranded = 0.0
    total_weight = 0.0
    for shape, weight in _merged(demand):
        usable = _usable_accelerators(counted, shape)
        stranded += weight * (total_free - usable)
        total_weight += weight
    if total_weight == 0.0:
        return Fragmentation(total_free, 0.0)
    return Fragmentation(total_free, stranded / total_weight)


def _merged(demand: Sequence[Demand]) -> list[tuple[Shape, float]]:
    weight_by_shape: dict[Shape, float] = {}
    for shape, weight in demand:
        accelerators = shape.gang * shape.accelerators
        if accelerators == 0:
            continue
        known = weight_by_shape.get(shape, 0.0)
        weight_by_shape[shape] = known + weight * accelerators
    return list(weight_by_shape.items())


def _usable_accelerators(counted: Counter[FreeCapacity], shape: Shape) -> int:
    members_by_place: Counter[tuple[str, str]] = Counter()
    for instance, count in counted.items():
        place = _place(instance, shape.adjacency)
        members_by_place[place] += _members(instance, shape) * count
    usable = 0
    for members in members_by_place.values():
        gangs = members // shape.gang
        usable += gangs * shape.gang * shape.accelerators
    return usable


def _place(instance: FreeCapacity, adjacency: Adjacency) -> tuple[str, str]:
    match adjacency:
        case Adjacency.RACK:
            return instance.zone, instance.rack
        case Adjacency.ZONE:
            return instance.zone, ""
        case _:
            return "", ""


def _members(instance: FreeCapacity, shape: Shape) -> int:
    fitting = instance.slots
    for free, need in zip(instance.free, shape.member(), strict=True):
        if need > 0:
            fitting = min(fitting, free // need)
    return max(fitting, 0)
