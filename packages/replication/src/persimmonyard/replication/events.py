"""Events that a replica core takes and actions that it returns."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

import msgspec

from persimmonyard.replication.messages import (
    Chunk,
    Entry,
    Message,
    SnapshotMeta,
)

__all__ = [
    "Action",
    "Apply",
    "BaseRecord",
    "EntryRecord",
    "Event",
    "MemberAdded",
    "MemberRemoved",
    "Proposed",
    "Received",
    "Record",
    "Restore",
    "Rewrite",
    "Role",
    "RoleChanged",
    "Send",
    "SendChunk",
    "SnapshotReceived",
    "SnapshotSaved",
    "Stop",
    "StoreChunk",
    "Sync",
    "SyncFailed",
    "Synced",
    "Tick",
    "TransferRequested",
    "VoteRecord",
    "Write",
]


class Role(StrEnum):
    """What a replica does in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class BaseRecord(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """The entry before the first one of the log file."""

    index: int
    term: int


class VoteRecord(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """The current term and the candidate that got the vote in it."""

    term: int
    voted_for: str


class EntryRecord(msgspec.Struct, frozen=True, array_like=True, tag="e"):
    """An entry, which replaces all entries from its index on."""

    index: int
    entry: Entry


Record = BaseRecord | VoteRecord | EntryRecord


class Received(NamedTuple):
    """A message arrived."""

    sender: str
    message: Message


class Tick(NamedTuple):
    """Time has passed."""


class Proposed(NamedTuple):
    """Commands to append, one entry each."""

    entries: list[bytes]


class Synced(NamedTuple):
    """Everything written before the action ``Sync(token)`` is durable."""

    token: int


class SyncFailed(NamedTuple):
    """A sync failed; what is durable is unknown."""


class SnapshotSaved(NamedTuple):
    """The own state at ``meta.index`` is in a durable file."""

    meta: SnapshotMeta


class SnapshotReceived(NamedTuple):
    """The leader's snapshot is in a durable file."""

    meta: SnapshotMeta


class TransferRequested(NamedTuple):
    """Leadership is to be handed over."""


class MemberAdded(NamedTuple):
    """An operator adds a replica."""

    name: str
    address: str


class MemberRemoved(NamedTuple):
    """An operator removes a replica."""

    name: str


Event = (
    Received
    | Tick
    | Proposed
    | Synced
    | SyncFailed
    | SnapshotSaved
    | SnapshotReceived
    | TransferRequested
    | MemberAdded
    | MemberRemoved
)


class Send(NamedTuple):
    """Send a message; it may be lost."""

    to: str
    message: Message


class Write(NamedTuple):
    """Append records to the log file."""

    records: list[Record]


class Rewrite(NamedTuple):
    """Replace the log file by one with these records."""

    records: list[Record]


class Sync(NamedTuple):
    """Make everything written so far durable and report ``Synced(token)``."""

    token: int


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply a committed entry."""

    index: int
    entry: Entry


class Restore(NamedTuple):
    """Replace the applied state by the snapshot that was received."""

    meta: SnapshotMeta


class SendChunk(NamedTuple):
    """Fill in the data of a chunk from the newest snapshot and send it."""

    to: str
    chunk: Chunk


class StoreChunk(NamedTuple):
    """Store a chunk; after the last one report ``SnapshotReceived``."""

    chunk: Chunk


class RoleChanged(NamedTuple):
    """The role or the term has changed."""

    role: Role
    term: int


class Stop(NamedTuple):
    """Stop the replica with a result code."""

    code: int


Action = (
    Send
    | Write
    | Rewrite
    | Sync
    | Apply
    | Restore
    | SendChunk
    | StoreChunk
    | RoleChanged
    | Stop
)
