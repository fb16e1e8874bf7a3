"""What a replica needs from its host program, and what it shows."""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from persimmonyard.replication.messages import Message

__all__ = ["ReplicaStatus", "ReplicatedStateMachine", "Transport"]


class ReplicatedStateMachine(Protocol):
    """What the replica applies committed entries to."""

    def apply(self, index: int, entry: bytes) -> Any:
        """Apply a committed entry and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""


class Transport(Protocol):
    """Carries messages between replicas; any of them may be lost."""

    async def start(self, receive: Callable[[str, Message], None]) -> None:
        """Start to deliver messages with the names of their senders."""

    async def stop(self) -> None:
        """Stop delivering and sending."""

    def send(self, to: str, message: Message) -> None:
        """Queue a message without waiting; drop it if the queue is full."""

    def set_addresses(self, address_by_name: dict[str, str]) -> None:
        """Take the addresses that the members of the group have now."""


class ReplicaStatus(NamedTuple):
    """What an operator sees of a replica."""

    role: str
    term: int
    leader: str
    commit: int
    applied: int
    last_index: int
    recovering: bool
    voters: tuple[str, ...]
    learners: tuple[str, ...]
