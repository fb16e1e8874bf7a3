"""Commands that change the replicated state, and their results."""

from dataclasses import dataclass
from typing import Any

from persimmonyard.model import (
    ConfigurationChange,
    Registry,
    ResultCode,
    Shape,
    UpstreamSpec,
)
from persimmonyard.state.records import AttemptOutcome, MemberAnswer, UpstreamStatus

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
    "command_registry",
    "decode_record",
    "encode_record",
]


@dataclass(frozen=True)
class ApplyConfiguration:
    """Apply all ``changes`` if the version is still ``expected_version``.

    With ``expected_version`` ``None`` the changes apply to any version.
    """

    changes: tuple[ConfigurationChange, ...]
    expected_version: int | None = None


@dataclass(frozen=True)
class RegisterUpstream:
    """Record what an upstream announced about itself."""

    spec: UpstreamSpec


@dataclass(frozen=True)
class SetUpstreamStatus:
    """Change the status of one start of an upstream.

    The command is refused if the upstream has restarted since, so that a
    late report about an earlier start changes nothing.
    """

    upstream_id: str
    incarnation: str
    status: UpstreamStatus
    reason: str = ""
    until: float | None = None


@dataclass(frozen=True)
class SubmitRequest:
    """Record a new request, or find the one with the same key."""

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
    """End a waiting request.

    If an earlier attempt may have begun, the code becomes FAILED, because
    the refusal must not state that nothing ran.
    """

    request_id: str
    code: int
    reason: str


@dataclass(frozen=True)
class PlaceAttempt:
    """Reserve the members of the next attempt and name its dispatcher.

    ``number`` must be greater than that of every earlier attempt.
    """

    request_id: str
    number: int
    upstream_ids: tuple[str, ...]
    entry_id: str
    borrowed: bool = False
    reason: str = ""


@dataclass(frozen=True)
class AssignDispatch:
    """Give an attempt to another entry under a new fence."""

    request_id: str
    number: int
    entry_id: str


@dataclass(frozen=True)
class StartAttempt:
    """Allow the dispatcher to send starts for an attempt."""

    request_id: str
    number: int
    fence: int


@dataclass(frozen=True)
class StopAttempt:
    """Stop an attempt so that its capacity can be used for other work.

    Refused for started work that could not run again: a non-idempotent
    request stops only at a checkpoint.  ``for_request`` is the request that
    gets the capacity, if there is one.
    """

    request_id: str
    number: int
    checkpoint: bool
    reason: str = ""
    for_request: str = ""


@dataclass(frozen=True)
class EndAttempt:
    """Record how an attempt ended.

    ``answers`` holds one answer for each member if it finished, and
    ``failed_members`` the indexes of the members at fault if it failed.
    ``checkpoint`` is one reference for a single member and a JSON list of
    references for a gang.  ``code`` is the final result code of a failure
    that another attempt would repeat; it is 0 if a retry may help.
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


@dataclass(frozen=True)
class AcknowledgeAnswer:
    """Drop the kept answer after the caller has it."""

    request_id: str
    client_account: str


@dataclass(frozen=True)
class ExpireRecords:
    """Remove at most ``limit`` requests that ended before ``before``."""

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
    """The outcome of a command; ``code`` is 0 if it was applied."""

    code: int = 0
    message: str = ""
    request_id: str = ""
    version: int = 0
    fence: int = 0

    @staticmethod
    def failed(code: ResultCode, message: str, version: int = 0) -> "CommandResult":
        """Return a result for a command that changed nothing."""
        return CommandResult(int(code), message, version=version)


@dataclass(frozen=True)
class LogRecord:
    """A command as it stands in the log.

    ``at`` is the leader's clock in seconds.  ``identity`` names commands that
    must execute exactly once; it is empty for commands that are idempotent by
    their content.
    """

    identity: str
    at: float
    command: Any


command_registry = Registry(
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


_record_registry = Registry([_EncodedRecord])


def encode_record(record: LogRecord) -> bytes:
    """Return the bytes of a log record."""
    command = command_registry.encode(record.command)
    return _record_registry.encode(_EncodedRecord(record.identity, record.at, command))


def decode_record(data: bytes) -> LogRecord:
    """Return the log record in ``data``."""
    encoded = _record_registry.decode(data)
    command = command_registry.decode(encoded.command)
    return LogRecord(encoded.identity, encoded.at, command)
