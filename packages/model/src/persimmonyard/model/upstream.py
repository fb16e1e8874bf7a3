"""The description of an upstream in its announcements."""

from dataclasses import dataclass

from persimmonyard.model.shape import Resources

__all__ = ["DEFAULT_CONNECTIONS", "DEFAULT_SLOTS", "UpstreamSpec"]

DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64


@dataclass(frozen=True)
class UpstreamSpec:
    """Identity, location and capacity of one upstream.

    ``incarnation`` changes with every start of the upstream, so that tasks
    from before a restart are not mistaken for current ones.
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
        """Return the total capacity of the instance, used or free."""
        return Resources(self.accelerators, self.cores, self.memory_mb)
