"""The shape of a job: how many members it has and what each one needs."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

__all__ = ["MAX_GANG_SIZE", "Adjacency", "Resources", "Shape"]

MAX_GANG_SIZE = 256


class Adjacency(StrEnum):
    """How close together the members of a gang must be placed."""

    NONE = "none"
    RACK = "rack"
    ZONE = "zone"


class Resources(NamedTuple):
    """Amounts of one instance's capacity; memory is in megabytes."""

    accelerators: int
    cores: int
    memory_mb: int

    def fits(self, other: "Resources") -> bool:
        """Return whether ``self`` fits into the free capacity ``other``."""
        return (
            self.accelerators <= other.accelerators
            and self.cores <= other.cores
            and self.memory_mb <= other.memory_mb
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts."""
        return Resources(
            self.accelerators + other.accelerators,
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return what is left of ``self`` after taking ``other``."""
        return Resources(
            self.accelerators - other.accelerators,
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
        )


@dataclass(frozen=True)
class Shape:
    """A gang of ``gang`` equal members.

    Each member runs on one instance and takes one slot there.  Several
    members may share an instance.  Example: ``Shape(4, 2, 8, 16_384,
    Adjacency.RACK)`` is four members of two accelerators each in one rack.
    """

    gang: int = 1
    accelerators: int = 0
    cores: int = 1
    memory_mb: int = 1
    adjacency: Adjacency = Adjacency.NONE

    def member_resources(self) -> Resources:
        """Return what one member needs."""
        return Resources(self.accelerators, self.cores, self.memory_mb)
