"""Commands that change the replicated state, and their results."""

from dataclasses import dataclass
from typing import Any

from persimmonyard.model import (
    ConfigurationChange,
    MessageCodec,
    ResultCode,
    Shape,
    UpstreamSpec,
)
from persimmonyard.state.records import (
    AttemptOutcome,
    MemberAnswer,
    MemberSilence,
    UpstreamStatus,
)

__all__ = [
    "AcknowledgeAnswer",
    "ApplyConfiguration",
    "AssignDispatch",
    "CancelRequest",
    "CommandResult",
    "EndAttempt",
    "ExpireRecords",
    "LogRecord",
    "PlaceAttempt",
    "RefuseRequest",
    "RegisterUpstream",
    "SetUpstreamStatus",
    "StartAttempt",
    "StopAttempt",
    "SubmitRequest",
    "command_codec",
    "decode_record",
    "encode_record",
]


@dataclass(frozen=True)
class ApplyConfiguration:
    """Apply all ``changes`` if the version is still ``expected_version``.

    With ``None`` as ``expected_version`` the version is not checked.
    """

    changes: tuple[ConfigurationChange, ...]
    expected_version: int | None = None


@dataclass(frozen=True)
class RegisterUpstream:
    """Register an upstream with the specification that it announced."""

    spec: UpstreamSpec


@dataclass(frozen=True)
class SetUpstreamStatus:
    """Change the status of one incarnation of an upstream.

    The command is refused if the upstream has restarted since, so that a
    delayed report about an earlier incarnation has no effect.
    ``until`` is a time in seconds, if the status is limited in time.
    """

    upstream_id: str
    incarnation: str
    status: UpstreamStatus
    reason: str = ""
    until: float | None = None


@dataclass(frozen=True)
class SubmitRequest:
    """Record a new request, or return the one with the same key.

    ``key`` is the client's idempotency key, and ``digest`` a hash of the
    request, which shows whether the key is reused for another one.
    """

    request_id: str
    client_account: str
    class_name: str
    key: str
    digest: str
    shape: Shape
    declared_run_s: float
    idempotent: bool
    checkpointable: bool
    payload: bytes


@dataclass(frozen=True)
class CancelRequest:
    """Cancel a request on behalf of its client account."""

    request_id: str
    client_account: str


@dataclass(frozen=True)
class RefuseRequest:
    """End a waiting request with a result code.

    If a task may have begun, a code that states that nothing ran is replaced
    by FAILED.
    """

    request_id: str
    code: int
    reason: str


@dataclass(frozen=True)
class PlaceAttempt:
    """Reserve the members of the next attempt and assign its dispatcher.

    The dispatcher is the entry ``entry_id``.  ``number`` must be greater than
    that of every earlier attempt.
    """

    request_id: str
    number: int
    upstream_ids: tuple[str, ...]
    entry_id: str
    borrowed: bool = False
    reason: str = ""


@dataclass(frozen=True)
class AssignDispatch:
    """Reassign an attempt to another entry under a new fencing token."""

    request_id: str
    number: int
    entry_id: str


@dataclass(frozen=True)
class StartAttempt:
    """Allow the dispatcher to start the members of an attempt.

    Refused if ``fence`` is not the current fencing token of the attempt.
    """

    request_id: str
    number: int
    fence: int


@dataclass(frozen=True)
class StopAttempt:
    """Preempt an attempt to free its capacity for other work.

    Refused for started work that cannot safely run again: a non-idempotent
    request stops only at a checkpoint.  ``for_request`` is the request that
    receives the capacity, if there is one.
    """

    request_id: str
    number: int
    checkpoint: bool
    reason: str = ""
    for_request: str = ""


@dataclass(frozen=True)
class EndAttempt:
    """Record the outcome of an attempt.

    ``answers`` holds one answer for each member of an attempt that finished,
    and ``failed_members`` the indexes of the members that failed or were not
    ready.  ``checkpoint`` is one reference for a single member and a JSON
    list of references for a gang.  ``code`` is the result code of a permanent
    failure, or 0 if a retry may succeed.  ``silences`` are the members of a
    lost attempt whose upstreams did not answer at its end.
    """

    request_id: str
    number: int
    fence: int
    outcome: AttemptOutcome
    answers: tuple[MemberAnswer, ...] = ()
    failed_members: tuple[int, ...] = ()
    checkpoint: str = ""
    message: str = ""
    code: int = 0
    silences: tuple[MemberSilence, ...] = ()


@dataclass(frozen=True)
class AcknowledgeAnswer:
    """Drop the stored answers after the caller has received them."""

    request_id: str
    client_account: str


@dataclass(frozen=True)
class ExpireRecords:
    """Remove requests that ended, and upstreams lost, before ``before``.

    ``before`` is a time in seconds.  At most ``limit`` requests and ``limit``
    upstreams are removed.
    """

    before: float
    limit: int = 1_000


Command = (
    ApplyConfiguration
    | RegisterUpstream
    | SetUpstreamStatus
    | SubmitRequest
    | CancelRequest
    | RefuseRequest
    | PlaceAttempt
    | AssignDispatch
    | StartAttempt
    | StopAttempt
    | EndAttempt
    | AcknowledgeAnswer
    | ExpireRecords
)


@dataclass(frozen=True)
class CommandResult:
    """The result of a command; ``code`` is 0 if it was applied."""

    code: int = 0
    message: str = ""
    request_id: str = ""
    version: int = 0
    fence: int = 0

    @staticmethod
    def failed(code: ResultCode, message: str, version: int = 0) -> "CommandResult":
        """Return the result of a refused command, which has no effect."""
        return CommandResult(int(code), message, version=version)


@dataclass(frozen=True)
class LogRecord:
    """A command with its metadata: the content of one replicated log entry.

    The records in the log file of a replica are another type,
    ``persimmonyard.replication.events.Record``.

    ``at`` is the leader's clock in seconds.  ``identity`` identifies a command
    that must be executed exactly once; it is empty for a command that is
    idempotent by its content.
    """

    identity: str
    at: float
    command: Any


command_codec = MessageCodec(
    [
        ApplyConfiguration,
        RegisterUpstream,
        SetUpstreamStatus,
        SubmitRequest,
        CancelRequest,
        RefuseRequest,
        PlaceAttempt,
        AssignDispatch,
        StartAttempt,
        StopAttempt,
        EndAttempt,
        AcknowledgeAnswer,
        ExpireRecords,
        CommandResult,
    ]
)


@dataclass(frozen=True)
class _EncodedRecord:
    identity: str
    at: float
    command: bytes


_record_codec = MessageCodec([_EncodedRecord])


def encode_record(record: LogRecord) -> bytes:
    """Encode a log record."""
    command = command_codec.encode(record.command)
    return _record_codec.encode(_EncodedRecord(record.identity, record.at, command))


def decode_record(data: bytes) -> LogRecord:
    """Decode a log record."""
    encoded = _record_codec.decode(data)
    command = command_codec.decode(encoded.command)
    return LogRecord(encoded.identity, encoded.at, command)
