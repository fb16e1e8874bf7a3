"""gRPC messages from entries and control processes to the leader."""

from enum import StrEnum
from typing import Any

import grpc
import msgspec

from persimmonyard.jobs import Job

__all__ = [
    "CALL_METHOD",
    "Call",
    "CallReply",
    "JobCall",
    "Join",
    "Outcome",
    "Probe",
    "Verb",
    "call_handler",
    "decode_call",
    "decode_reply",
    "encode",
]

_SERVICE = "persimmonyard.Jobs"
CALL_METHOD = f"/{_SERVICE}/Call"


class Verb(StrEnum):
    """The operation of a call on a job, or on a route for ``COUNT``."""

    SUBMIT = "submit"
    READ = "read"
    CANCEL = "cancel"
    COUNT = "count"


class Outcome(StrEnum):
    """The outcome of a call.

    With ``UNKNOWN`` the call may have been executed.  With ``NOT_LEADER`` and
    ``NO_CONFIGURATION`` it was not, and may succeed later.
    """

    OK = "ok"
    NO_ROUTE = "no_route"
    NO_JOB = "no_job"
    UNAUTHENTICATED = "unauthenticated"
    INVALID = "invalid"
    NO_CONFIGURATION = "no_configuration"
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


class CallReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a call; ``leader`` and ``members`` are gRPC addresses."""

    outcome: Outcome
    state: str = ""
    count: int = 0
    detail: str = ""
    leader: str = ""
    members: tuple[str, ...] = ()


Call = JobCall | Probe | Join

_ENCODER = msgspec.msgpack.Encoder()
_CALL_DECODER = msgspec.msgpack.Decoder(Call)
_REPLY_DECODER = msgspec.msgpack.Decoder(CallReply)


def encode(message: Call | CallReply) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


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
