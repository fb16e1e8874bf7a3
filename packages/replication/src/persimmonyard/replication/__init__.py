"""A replicated log and the storage under it."""

from persimmonyard.replication.errors import (
    LogDamagedError,
    NotLeaderError,
    OutcomeUnknownError,
)
from persimmonyard.replication.replica import Replica, ReplicatedStateMachine

__all__ = [
    "LogDamagedError",
    "NotLeaderError",
    "OutcomeUnknownError",
    "Replica",
    "ReplicatedStateMachine",
]
