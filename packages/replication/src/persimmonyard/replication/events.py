"""Input events of the replica core, and the actions that it returns."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

import msgspec

from persimmonyard.replication.messages import (
    Entry,
    Message,
    SnapshotChunk,
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
    "WriteRefused",
]


class Role(StrEnum):
    """The Raft role of a replica in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class BaseRecord(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Log file record: index and term of the entry before the first one."""

    index: int
    term: int


class VoteRecord(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Log file record: the current term and the vote in it, empty if none."""

    term: int
    voted_for: str


class EntryRecord(msgspec.Struct, frozen=True, array_like=True, tag="e"):
    """Log file record: an entry; replaces all entries from its index on."""

    index: int
    entry: Entry


Record = BaseRecord | VoteRecord | EntryRecord


class Received(NamedTuple):
    """A message from another replica has arrived."""

    sender: str
    message: Message


class Tick(NamedTuple):
    """Time has passed."""


class Proposed(NamedTuple):
    """Commands are to be appended, one entry for each."""

    commands: list[bytes]


class Synced(NamedTuple):
    """All writes before the action ``Sync(token)`` are durable."""

    token: int


class SyncFailed(NamedTuple):
    """A sync failed; it is unknown which writes are durable."""


class WriteRefused(NamedTuple):
    """A write was refused; what was synced before it is intact."""


class SnapshotSaved(NamedTuple):
    """A snapshot of the local state at ``meta.index`` is stored durably."""

    meta: SnapshotMeta


class SnapshotReceived(NamedTuple):
    """A snapshot from the leader is stored durably.

    Index 0 in ``meta`` means that the received chunks form no valid snapshot.
    """

    meta: SnapshotMeta


class TransferRequested(NamedTuple):
    """Leadership is to be transferred to another voter."""


class MemberAdded(NamedTuple):
    """A replica is to be added to the members."""

    name: str
    address: str


class MemberRemoved(NamedTuple):
    """A replica is to be removed from the members."""

    name: str


Event = (
    Received
    | Tick
    | Proposed
    | Synced
    | SyncFailed
    | WriteRefused
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
    """Replace the contents of the log file with these records."""

    records: list[Record]


class Sync(NamedTuple):
    """Make all writes so far durable, then report ``Synced(token)``."""

    token: int


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply a committed entry to the replicated state machine."""

    index: int
    entry: Entry


class Restore(NamedTuple):
    """Restore the replicated state machine from the received snapshot."""

    meta: SnapshotMeta


class SendChunk(NamedTuple):
    """Read the chunk's data from the newest snapshot and send the chunk."""

    to: str
    chunk: SnapshotChunk


class StoreChunk(NamedTuple):
    """Store a chunk; after the last one report ``SnapshotReceived``."""

    chunk: SnapshotChunk


class RoleChanged(NamedTuple):
    """The role or the term has changed."""

    role: Role
    term: int


class Stop(NamedTuple):
    """Stop the replica for good; ``code`` is the result code to report."""

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
