"""Arithmetic on resource vectors: accelerators, cores, memory and slots."""

from persimmonyard.model import Shape, UpstreamSpec

__all__ = [
    "ZERO",
    "Vector",
    "add",
    "capacity_of",
    "covers",
    "elementwise_max",
    "elementwise_min",
    "fit_count",
    "member_need",
    "scale",
    "subtract",
]

# Accelerators, cores, megabytes of memory, slots.  These are plain tuples for
# speed, because the fleet index compares several thousand in one decision.
Vector = tuple[int, int, int, int]

ZERO: Vector = (0, 0, 0, 0)


def member_need(shape: Shape) -> Vector:
    """Return the resources of one member of ``shape``, with its slot."""
    return (shape.accelerators, shape.cores, shape.memory_mb, 1)


def capacity_of(spec: UpstreamSpec) -> Vector:
    """Return the total capacity of an upstream."""
    return (spec.accelerators, spec.cores, spec.memory_mb, spec.slots)


def add(a: Vector, b: Vector) -> Vector:
    """Return the sum of two amounts."""
    return (a[0] + b[0], a[1] + b[1], a[2] + b[2], a[3] + b[3])


def subtract(a: Vector, b: Vector) -> Vector:
    """Return ``a`` less ``b``; components may become negative."""
    return (a[0] - b[0], a[1] - b[1], a[2] - b[2], a[3] - b[3])


def scale(a: Vector, count: int) -> Vector:
    """Return ``count`` times ``a``."""
    return (a[0] * count, a[1] * count, a[2] * count, a[3] * count)


def elementwise_max(a: Vector, b: Vector) -> Vector:
    """Return the larger amount of each component."""
    return (max(a[0], b[0]), max(a[1], b[1]), max(a[2], b[2]), max(a[3], b[3]))


def elementwise_min(a: Vector, b: Vector) -> Vector:
    """Return the smaller amount of each component."""
    return (min(a[0], b[0]), min(a[1], b[1]), min(a[2], b[2]), min(a[3], b[3]))


def covers(a: Vector, b: Vector) -> bool:
    """Return whether ``b`` fits into ``a``."""
    return a[0] >= b[0] and a[1] >= b[1] and a[2] >= b[2] and a[3] >= b[3]


def fit_count(need: Vector, available: Vector) -> int:
    """Return how many times ``need`` fits into ``available``."""
    count = available[3]
    for component in range(3):
        if available[component] < 0:
            return 0
        if need[component] > 0:
            count = min(count, available[component] // need[component])
    return max(count, 0)
