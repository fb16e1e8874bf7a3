"""Job shapes: the gang size and the resources of each member."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

__all__ = ["MAX_GANG_SIZE", "Adjacency", "Resources", "Shape"]

MAX_GANG_SIZE = 256


class Adjacency(StrEnum):
    """Placement constraint: the location that all members must share."""

    NONE = "none"
    RACK = "rack"
    ZONE = "zone"


class Resources(NamedTuple):
    """A resource vector: accelerators, cores and memory in megabytes."""

    accelerators: int
    cores: int
    memory_mb: int

    def fits(self, free: "Resources") -> bool:
        """Return whether ``self`` fits into the free capacity ``free``."""
        return (
            self.accelerators <= free.accelerators
            and self.cores <= free.cores
            and self.memory_mb <= free.memory_mb
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the element-wise sum."""
        return Resources(
            self.accelerators + other.accelerators,
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the element-wise difference; amounts may become negative."""
        return Resources(
            self.accelerators - other.accelerators,
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
        )


@dataclass(frozen=True)
class Shape:
    """The resource request of a gang of ``gang`` identical members.

    The fields ``accelerators``, ``cores`` and ``memory_mb`` are for each
    member.  Each member runs on one instance and takes one slot there.
    Several members may share an instance.  Example: ``Shape(4, 2, 8, 16_384,
    Adjacency.RACK)`` requests four members with two accelerators each, all in
    one rack.
    """

    gang: int = 1
    accelerators: int = 0
    cores: int = 1
    memory_mb: int = 1
    adjacency: Adjacency = Adjacency.NONE

    def member_resources(self) -> Resources:
        """Return the resources of one member."""
        return Resources(self.accelerators, self.cores, self.memory_mb)
