"""Messages on the stream between an entry and the control leader."""

from dataclasses import dataclass
from enum import StrEnum

from persimmonyard.model import ConfigurationChange, Registry

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
    "session_registry",
]


@dataclass(frozen=True)
class UpstreamHeartbeat:
    """An upstream that the entry heard ``age_s`` seconds before its beat."""

    upstream_id: str
    incarnation: str
    age_s: float
    accelerators_busy: float = 0.0


@dataclass(frozen=True)
class EntryBeat:
    """The entry's periodic message.

    ``watch`` adds requests whose outcome the entry waits for.
    """

    entry_id: str
    zone: str
    sequence: int
    configuration_version: int
    heartbeats: tuple[UpstreamHeartbeat, ...] = ()
    watch: tuple[str, ...] = ()
    stopping: bool = False


@dataclass(frozen=True)
class ConfigurationUpdate:
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


@dataclass(frozen=True)
class DispatchMember:
    """Where one member runs."""

    upstream_id: str
    incarnation: str
    zone: str
    address: str
    lost: bool = False


@dataclass(frozen=True)
class DispatchOrder:
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


@dataclass(frozen=True)
class MemberAnswerView:
    """The answer of one member with its SHA-256 digest."""

    body: bytes
    digest: str


@dataclass(frozen=True)
class Outcome:
    """The state of a request as callers see it."""

    request_id: str
    client_account: str
    state: str
    code: int
    message: str
    not_run: bool
    ended: bool
    answers: tuple[MemberAnswerView, ...] = ()


@dataclass(frozen=True)
class LeaderBeat:
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


@dataclass(frozen=True)
class NotLeader:
    """Sent in place of a beat by a replica that is not the leader."""

    leader_hint: str


session_registry = Registry([EntryBeat, LeaderBeat, NotLeader, Outcome])
