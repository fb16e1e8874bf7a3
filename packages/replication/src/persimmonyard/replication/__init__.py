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
)
from persimmonyard.replication.events import Role
from persimmonyard.replication.folder import initialize
from persimmonyard.replication.interface import (
    ReplicaStatus,
    ReplicatedStateMachine,
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
    "Role",
    "Storage",
    "Transport",
    "boottime_now",
    "decode_batch",
    "encode_batch",
    "initialize",
    "payload_bytes",
]
