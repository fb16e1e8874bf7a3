"""Messages on the stream between an entry and the control leader.

They are coded as arrays without field names: beats are most of the traffic
of an idle system.
"""

from enum import StrEnum

import msgspec

from persimmonyard.model import ConfigurationChange, MessageCodec

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


class UpstreamHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that the entry heard ``age_s`` seconds before its beat."""

    upstream_id: str
    incarnation: str
    age_s: float
    accelerators_busy: float = 0.0


class EntryBeat(msgspec.Struct, frozen=True, array_like=True):
    """The entry's periodic message.

    ``entry_id`` and ``zone`` are set in the first beat of a stream only.
    ``watch`` adds requests whose outcome the entry waits for.
    """

    entry_id: str
    zone: str
    sequence: int
    configuration_version: int
    heartbeats: tuple[UpstreamHeartbeat, ...] = ()
    watch: tuple[str, ...] = ()
    stopping: bool = False


class ConfigurationUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Changes that lead from ``base`` to ``version``.

    ``full``, like ``base`` 0, replaces everything.
    """

    version: int
    changes: tuple[ConfigurationChange, ...]
    full: bool = False
    base: int = 0


class DispatchAction(StrEnum):
    """What the dispatcher does with an attempt."""

    RUN = "run"
    ADOPT = "adopt"
    STOP = "stop"


class DispatchMember(msgspec.Struct, frozen=True, array_like=True):
    """Where one member runs."""

    upstream_id: str
    incarnation: str
    zone: str
    address: str
    lost: bool = False


class DispatchOrder(msgspec.Struct, frozen=True, array_like=True):
    """An attempt that the entry must run, take over or stop.

    ``adopt`` is for an attempt whose start was committed by another entry.
    """

    request_id: str
    number: int
    fence: int
    action: DispatchAction
    members: tuple[DispatchMember, ...]
    accelerators: int
    cores: int
    memory_mb: int
    declared_run_s: float
    idempotent: bool
    payload: bytes
    checkpoint: str = ""
    checkpoint_wanted: bool = False


class MemberAnswerView(msgspec.Struct, frozen=True, array_like=True):
    """The answer of one member with its SHA-256 digest."""

    body: bytes
    digest: str


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """The state of a request as callers see it."""

    request_id: str
    client_account: str
    state: str
    code: int
    message: str
    not_run: bool
    ended: bool
    answers: tuple[MemberAnswerView, ...] = ()


class LeaderBeat(msgspec.Struct, frozen=True, array_like=True):
    """The leader's reply to the beat ``sequence``, or a push if it is 0.

    ``lease_s`` counts from the entry's own send time of that beat, and
    ``assigned`` is the number of live attempts that the entry dispatches.
    """

    sequence: int
    lease_s: float
    update: ConfigurationUpdate | None = None
    orders: tuple[DispatchOrder, ...] = ()
    outcomes: tuple[Outcome, ...] = ()
    assigned: int = 0


class NotLeader(msgspec.Struct, frozen=True, array_like=True):
    """Sent in place of a beat by a replica that is not the leader."""

    leader_hint: str


session_codec = MessageCodec([EntryBeat, LeaderBeat, NotLeader, Outcome])
