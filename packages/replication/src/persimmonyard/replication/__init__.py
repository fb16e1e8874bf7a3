"""A replicated log based on Raft, and its durable storage."""

from persimmonyard.replication.clock import boottime_now
from persimmonyard.replication.config import CoreConfig, DurableState
from persimmonyard.replication.core import ReplicaCore
from persimmonyard.replication.errors import (
    LOG_DAMAGED,
    SYNC_FAILED,
    LogDamagedError,
    MemberChangeError,
    NotLeaderError,
    OutcomeUnknownError,
    WriteRefusedError,
)
from persimmonyard.replication.events import Role
from persimmonyard.replication.folder import check_writable, initialize
from persimmonyard.replication.group_size import least_voters, removable_member
from persimmonyard.replication.interface import (
    DiskEvent,
    ReplicaStatus,
    ReplicatedStateMachine,
    Resumed,
    SnapshotRefused,
    SnapshotUnreadable,
    Suspended,
    Transport,
)
from persimmonyard.replication.messages import (
    Message,
    decode_batch,
    encode_batch,
    payload_bytes,
)
from persimmonyard.replication.replica import Replica
from persimmonyard.replication.storage import FileStorage, Storage

__all__ = [
    "LOG_DAMAGED",
    "SYNC_FAILED",
    "CoreConfig",
    "DiskEvent",
    "DurableState",
    "FileStorage",
    "LogDamagedError",
    "MemberChangeError",
    "Message",
    "NotLeaderError",
    "OutcomeUnknownError",
    "Replica",
    "ReplicaCore",
    "ReplicaStatus",
    "ReplicatedStateMachine",
    "Resumed",
    "Role",
    "SnapshotRefused",
    "SnapshotUnreadable",
    "Storage",
    "Suspended",
    "Transport",
    "WriteRefusedError",
    "boottime_now",
    "check_writable",
    "decode_batch",
    "encode_batch",
    "initialize",
    "least_voters",
    "payload_bytes",
    "removable_member",
]
