"""A replicated log and the storage under it."""

from persimmonyard.replication.core import CoreConfig, DurableState, ReplicaCore
from persimmonyard.replication.disk import Disk, FileDisk
from persimmonyard.replication.errors import (
    LOG_DAMAGED,
    SYNC_FAILED,
    LogDamagedError,
    MemberChangeError,
    NotLeaderError,
    OutcomeUnknownError,
)
from persimmonyard.replication.events import Role
from persimmonyard.replication.folder import initialize
from persimmonyard.replication.messages import Message, decode_batch, encode_batch
from persimmonyard.replication.replica import (
    Replica,
    ReplicaStatus,
    ReplicatedStateMachine,
    Transport,
)

__all__ = [
    "LOG_DAMAGED",
    "SYNC_FAILED",
    "CoreConfig",
    "Disk",
    "DurableState",
    "FileDisk",
    "LogDamagedError",
    "MemberChangeError",
    "Message",
    "NotLeaderError",
    "OutcomeUnknownError",
    "Replica",
    "ReplicaCore",
    "ReplicaStatus",
    "ReplicatedStateMachine",
    "Role",
    "Transport",
    "decode_batch",
    "encode_batch",
    "initialize",
]
