"""Calls from an entry to the control leader, and their replies."""

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
    """What a caller wants of a job or of a class of work."""

    SUBMIT = "submit"
    READ = "read"
    CANCEL = "cancel"
    COUNT = "count"


class Outcome(StrEnum):
    """How a call ended.

    ``NOT_LEADER`` and ``NO_CONFIGURATION`` say that nothing was done;
    after ``UNKNOWN`` it may have been.
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
    """A call of a caller; ``job`` lacks route and account at this point."""

    verb: Verb
    host: str
    path: str
    key: str
    job: Job | None = None


class Probe(msgspec.Struct, frozen=True, array_like=True, tag="probe"):
    """Asks whether the process leads."""


class Join(msgspec.Struct, frozen=True, array_like=True, tag="join"):
    """A control process asks to become a member."""

    name: str
    address: str


class CallReply(msgspec.Struct, frozen=True, array_like=True):
    """The answer; ``leader`` and ``members`` are gRPC addresses."""

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
    """Return the bytes of a message."""
    return _ENCODER.encode(message)


def decode_call(data: bytes) -> Call:
    """Return a call; raise ``msgspec.DecodeError`` if it is not one."""
    return _CALL_DECODER.decode(data)


def decode_reply(data: bytes) -> CallReply:
    """Return a reply; raise ``msgspec.DecodeError`` if it is not one."""
    return _REPLY_DECODER.decode(data)


def call_handler(answer: Any) -> grpc.GenericRpcHandler:
    """Return the gRPC handler that passes calls to ``answer``."""
    method = grpc.unary_unary_rpc_method_handler(
        answer, request_deserializer=decode_call, response_serializer=encode
    )
    return grpc.method_handlers_generic_handler(_SERVICE, {"Call": method})
