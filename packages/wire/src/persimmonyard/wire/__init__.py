"""Session messages and the generated gRPC code."""

from persimmonyard.wire.session import (
    ConfigurationUpdate,
    DispatchAction,
    DispatchMember,
    DispatchOrder,
    EntryBeat,
    LeaderBeat,
    MemberAnswerView,
    NotLeader,
    Outcome,
    UpstreamHeartbeat,
    session_codec,
)

__all__ = [
    "ConfigurationUpdate",
    "DispatchAction",
    "DispatchMember",
    "DispatchOrder",
    "EntryBeat",
    "LeaderBeat",
    "MemberAnswerView",
    "NotLeader",
    "Outcome",
    "UpstreamHeartbeat",
    "session_codec",
]
