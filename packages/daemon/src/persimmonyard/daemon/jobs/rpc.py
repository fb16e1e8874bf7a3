"""gRPC messages from entries and control processes to the leader."""

from enum import StrEnum
from typing import Any

import grpc
import msgspec

from persimmonyard.jobs import Job, JobConfiguration

__all__ = [
    "CALL_METHOD",
    "EXPLAIN_SUFFIX",
    "Call",
    "CallReply",
    "ConfigurationOrder",
    "ConfigurationQuery",
    "JobCall",
    "Join",
    "Leave",
    "OperatorCall",
    "OperatorOrder",
    "Outcome",
    "Probe",
    "Verb",
    "ZoneOrder",
    "call_handler",
    "decode_call",
    "decode_reply",
    "encode",
    "encoding_problem",
]

_SERVICE = "persimmonyard.Jobs"
CALL_METHOD = f"/{_SERVICE}/Call"
# End of the path of a call that asks why a job is in its state, or where it
# would be placed.
EXPLAIN_SUFFIX = "/explain"


class Verb(StrEnum):
    """The operation of a call on a job, or on a route for ``COUNT``."""

    SUBMIT = "submit"
    READ = "read"
    CANCEL = "cancel"
    COUNT = "count"
    EXPLAIN = "explain"
    PREVIEW = "preview"


class Outcome(StrEnum):
    """The outcome of a call.

    With ``UNKNOWN`` the call may have been executed.  With ``NOT_LEADER``,
    ``NO_CONFIGURATION``, ``TOO_MANY`` and ``REFUSED`` it was not, and may
    succeed later.
    """

    OK = "ok"
    NO_ROUTE = "no_route"
    NO_JOB = "no_job"
    UNAUTHENTICATED = "unauthenticated"
    INVALID = "invalid"
    NO_CONFIGURATION = "no_configuration"
    TOO_MANY = "too_many"
    REFUSED = "refused"
    NOT_LEADER = "not_leader"
    UNKNOWN = "unknown"


class JobCall(msgspec.Struct, frozen=True, array_like=True, tag="job"):
    """A call of a caller.

    ``key`` is its API key.  The leader sets the identifier, route, account
    and submission time of ``job``.
    """

    verb: Verb
    host: str
    path: str
    key: str
    job: Job | None = None


class Probe(msgspec.Struct, frozen=True, array_like=True, tag="probe"):
    """Asks whether the process is the leader."""


class Join(msgspec.Struct, frozen=True, array_like=True, tag="join"):
    """A request of a control process to join the group as a member."""

    name: str
    address: str


class Leave(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """A request of a control process that stops to be removed."""

    name: str


class ConfigurationOrder(msgspec.Struct, frozen=True, array_like=True, tag="put"):
    """Apply a configuration unless the current version is as high."""

    configuration: JobConfiguration


class ConfigurationQuery(msgspec.Struct, frozen=True, array_like=True, tag="get"):
    """Return the text of the current configuration."""


class ZoneOrder(msgspec.Struct, frozen=True, array_like=True, tag="zone"):
    """Take an availability zone out of service, or return it to service."""

    zone: str
    out: bool


OperatorOrder = ConfigurationOrder | ConfigurationQuery | ZoneOrder


class OperatorCall(msgspec.Struct, frozen=True, array_like=True, tag="operator"):
    """A request of an operator that a process passes on to the leader.

    ``expires_at`` is on the clock of the leader, in seconds.  A call that
    arrives later is refused, because the operator may have given a newer
    order in the meantime.
    """

    order: OperatorOrder
    expires_at: float


class CallReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a call; ``leader`` and ``members`` are gRPC addresses.

    ``clock_s`` is the clock of the leader, in seconds, in replies to probes.
    ``content`` is the text of a configuration, or an explanation in JSON.
    ``retry_after_s`` is the delay in seconds after which the caller of a
    refused job may return.
    """

    outcome: Outcome
    state: str = ""
    count: int = 0
    detail: str = ""
    leader: str = ""
    members: tuple[str, ...] = ()
    clock_s: float = 0.0
    content: bytes = b""
    retry_after_s: int = 0


Call = JobCall | OperatorCall | Probe | Join | Leave

_ENCODER = msgspec.msgpack.Encoder()
_CALL_DECODER = msgspec.msgpack.Decoder(Call)
_REPLY_DECODER = msgspec.msgpack.Decoder(CallReply)


def encode(message: Call | CallReply) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def encoding_problem(call: Call) -> str:
    """Return why a call cannot be sent, or "".

    An error while a call is sent would count as the loss of the leader.
    """
    try:
        encode(call)
    except (OverflowError, UnicodeEncodeError) as error:
        return str(error)
    return ""


def decode_call(data: bytes) -> Call:
    """Decode a call; raise ``msgspec.DecodeError`` if it is invalid."""
    return _CALL_DECODER.decode(data)


def decode_reply(data: bytes) -> CallReply:
    """Decode a reply; raise ``msgspec.DecodeError`` if it is invalid."""
    return _REPLY_DECODER.decode(data)


def call_handler(answer: Any) -> grpc.GenericRpcHandler:
    """Return the gRPC handler that passes calls to ``answer``."""
    method = grpc.unary_unary_rpc_method_handler(
        answer, request_deserializer=decode_call, response_serializer=encode
    )
    return grpc.method_handlers_generic_handler(_SERVICE, {"Call": method})
