"""What an upstream announces about itself."""

from dataclasses import dataclass

from persimmonyard.model.shape import Resources

__all__ = ["DEFAULT_CONNECTIONS", "DEFAULT_SLOTS", "UpstreamSpec"]

DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64


@dataclass(frozen=True)
class UpstreamSpec:
    """Identity, place and capacity of one upstream.

    ``incarnation`` changes with every start of the upstream, so that tasks
    of an earlier start are never taken for tasks of the current one.
    """

    upstream_id: str
    incarnation: str
    zone: str
    rack: str
    address: str
    accelerators: int
    cores: int
    memory_mb: int
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS

    def capacity(self) -> Resources:
        """Return the whole capacity of the instance."""
        return Resources(self.accelerators, self.cores, self.memory_mb)
