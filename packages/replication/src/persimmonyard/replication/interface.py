"""Protocols that the user of a replica implements, and its status."""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from persimmonyard.replication.messages import Message

__all__ = [
    "DiskEvent",
    "ReplicaStatus",
    "ReplicatedStateMachine",
    "Resumed",
    "SnapshotRefused",
    "SnapshotUnreadable",
    "Suspended",
    "Transport",
]


class ReplicatedStateMachine(Protocol):
    """The state machine to which a replica applies committed entries."""

    def apply(self, index: int, entry: bytes) -> Any:
        """Apply a committed entry and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state, serialized."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state with that of a snapshot."""


class Transport(Protocol):
    """Sends messages between replicas; any message may be lost."""

    async def start(self, receive: Callable[[str, Message], None]) -> None:
        """Start; call ``receive`` with the sender's name and each message."""

    async def stop(self) -> None:
        """Stop sending and receiving."""

    def send(self, to: str, message: Message) -> None:
        """Queue a message without waiting; drop it if the queue is full."""

    def set_addresses(self, address_by_name: dict[str, str]) -> None:
        """Set the current addresses of the members of the group."""


class Suspended(NamedTuple):
    """A write was refused: the replica takes no part until it can write."""

    error: OSError


class Resumed(NamedTuple):
    """The replica takes part again, with what was durable before."""


class SnapshotRefused(NamedTuple):
    """A local snapshot could not be written; a later one will be tried."""

    error: OSError


class SnapshotUnreadable(NamedTuple):
    """A part of the snapshot could not be read; it will be tried again."""

    error: OSError


DiskEvent = Suspended | Resumed | SnapshotRefused | SnapshotUnreadable


class ReplicaStatus(NamedTuple):
    """The state of a replica, for operators and metrics."""

    role: str
    term: int
    leader: str
    commit: int
    applied: int
    last_index: int
    recovering: bool
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    suspended: bool = False
