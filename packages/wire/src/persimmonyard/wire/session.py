"""Messages of the session stream between an entry and the control leader.

They are encoded as arrays without field names to keep heartbeats small,
because heartbeats are most of the traffic of an idle system.
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
    """A heartbeat of an upstream, forwarded by the entry that received it.

    ``age_s`` is the time in seconds from the receipt of the heartbeat to the
    sending of the ``EntryBeat`` that contains it.  ``busy_slots`` is the usage
    that the upstream reported, ``usage_age_s`` seconds old when it was sent;
    the age is ``None`` if it reported none.
    """

    upstream_id: str
    incarnation: str
    age_s: float
    busy_slots: float = 0.0
    usage_age_s: float | None = None


class EntryBeat(msgspec.Struct, frozen=True, array_like=True):
    """The periodic heartbeat of an entry.

    ``entry_id`` and ``zone`` are set only in the first heartbeat of a stream
    and empty in later ones.  ``watch`` lists further requests whose outcome
    the entry waits for.
    """

    entry_id: str
    zone: str
    sequence: int
    configuration_version: int
    heartbeats: tuple[UpstreamHeartbeat, ...] = ()
    watch: tuple[str, ...] = ()
    stopping: bool = False


class ConfigurationUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The configuration changes from version ``base`` to ``version``.

    If ``full`` is true or ``base`` is 0, the changes contain the complete
    configuration and replace the one that the entry has.
    """

    version: int
    changes: tuple[ConfigurationChange, ...]
    full: bool = False
    base: int = 0


class DispatchAction(StrEnum):
    """What an entry must do with an attempt.

    ``RUN`` runs it, ``ADOPT`` takes over one whose start was committed by
    another entry, and ``STOP`` stops it.
    """

    RUN = "run"
    ADOPT = "adopt"
    STOP = "stop"


class DispatchMember(msgspec.Struct, frozen=True, array_like=True):
    """The upstream that runs one member, and whether the member is lost."""

    upstream_id: str
    incarnation: str
    zone: str
    address: str
    lost: bool = False


class DispatchOrder(msgspec.Struct, frozen=True, array_like=True):
    """An order of the leader to run, take over or stop one attempt.

    ``number`` is the number of the attempt within its request.
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
    """The answer of one member and its SHA-256 digest, as sent to an entry.

    The stored form is ``persimmonyard.state.records.MemberAnswer``.
    """

    body: bytes
    digest: str


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """The state of a request as its caller sees it.

    It is final if ``ended`` is true.
    """

    request_id: str
    client_account: str
    state: str
    code: int
    message: str
    not_run: bool
    ended: bool
    answers: tuple[MemberAnswerView, ...] = ()


class LeaderBeat(msgspec.Struct, frozen=True, array_like=True):
    """The leader's reply to the heartbeat with number ``sequence``.

    With ``sequence`` 0 it is a push that replies to no heartbeat and extends
    no lease.  ``lease_s`` is the duration of the entry's lease in seconds,
    counted from the time at which the entry sent that heartbeat.
    ``assigned`` is the number of live attempts that the entry dispatches.
    """

    sequence: int
    lease_s: float
    update: ConfigurationUpdate | None = None
    orders: tuple[DispatchOrder, ...] = ()
    outcomes: tuple[Outcome, ...] = ()
    assigned: int = 0


class NotLeader(msgspec.Struct, frozen=True, array_like=True):
    """The reply to an entry from a replica that is not the leader."""

    leader_hint: str


session_codec = MessageCodec([EntryBeat, LeaderBeat, NotLeader, Outcome])
