"""Body of a submission: its types, validation and digest."""

import base64
import hashlib
from typing import Any

import msgspec

from persimmonyard.daemon.entry.parsing import require, require_range
from persimmonyard.model import (
    MAX_GANG_SIZE,
    Adjacency,
    PersimmonyardError,
    ResultCode,
    Shape,
)

__all__ = [
    "MAX_PAYLOAD_BYTES",
    "ShapeBody",
    "SubmissionBody",
    "check_submission",
    "parse_shape",
    "payload_bytes",
    "submission_digest",
]

MAX_PAYLOAD_BYTES = 65_536
MAX_NAME_LENGTH = 128
# These bounds are far above the capacity of any instance, and sums of such
# values fit in 64 bits.
MAX_ACCELERATORS = 1_024
MAX_CORES = 65_536
MAX_MEMORY_MB = 1 << 30
MAX_DECLARED_RUN_S = 366 * 86_400.0
MAX_REQUESTED_WAIT_S = 86_400.0


class ShapeBody(msgspec.Struct, forbid_unknown_fields=True):
    """The shape in the body of a submission: what each gang member needs."""

    gang: int = 1
    accelerators: int = 0
    cores: int = 1
    memory_mb: int = 1
    adjacency: Adjacency = Adjacency.NONE


class SubmissionBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The body of ``POST /v1/requests``.

    ``payload`` is base64.  Times are in seconds.
    """

    work_class: str = msgspec.field(name="class")
    key: str
    shape: ShapeBody = msgspec.field(default_factory=ShapeBody)
    declared_run_s: float
    idempotent: bool
    checkpointable: bool = False
    payload: str = ""
    wait_s: float = 0.0


def parse_shape(body: ShapeBody) -> Shape:
    """Convert a shape; raise BAD_FIELD for a value out of range."""
    require_range("shape.gang", body.gang, 1, MAX_GANG_SIZE)
    require_range("shape.accelerators", body.accelerators, 0, MAX_ACCELERATORS)
    require_range("shape.cores", body.cores, 1, MAX_CORES)
    require_range("shape.memory_mb", body.memory_mb, 1, MAX_MEMORY_MB)
    return Shape(
        body.gang, body.accelerators, body.cores, body.memory_mb, body.adjacency
    )


def check_submission(body: SubmissionBody) -> None:
    """Raise BAD_FIELD or BODY_TOO_LARGE for the first invalid field."""
    _check_name("key", body.key)
    _check_name("class", body.work_class)
    run_s = body.declared_run_s
    require(
        0 < run_s <= MAX_DECLARED_RUN_S,
        "declared_run_s",
        f"more than 0 and at most {MAX_DECLARED_RUN_S:.0f} seconds",
    )
    require_range("wait_s", body.wait_s, 0, MAX_REQUESTED_WAIT_S)
    if len(payload_bytes(body)) > MAX_PAYLOAD_BYTES:
        raise PersimmonyardError(
            ResultCode.BODY_TOO_LARGE,
            f"the payload has more than {MAX_PAYLOAD_BYTES} bytes",
            "payload",
        )


def _check_name(field: str, value: str) -> None:
    accepted = f"1 to {MAX_NAME_LENGTH} printable characters"
    valid = 1 <= len(value) <= MAX_NAME_LENGTH and value.isprintable()
    require(valid, field, accepted)


def payload_bytes(body: SubmissionBody) -> bytes:
    """Return the decoded payload; raise BAD_FIELD if it is not base64."""
    try:
        return base64.b64decode(body.payload, validate=True)
    except ValueError as error:
        raise PersimmonyardError(
            ResultCode.BAD_FIELD, "the payload is not base64", "payload"
        ) from error


def submission_digest(body: SubmissionBody) -> str:
    """Return a digest of all fields except ``wait_s``.

    Two submissions with the same key must have the same digest.  ``wait_s``
    is left out because a resend may wait for a different time.
    """
    content: dict[str, Any] = msgspec.to_builtins(body)
    content.pop("wait_s")
    encoded = msgspec.json.encode(content, order="deterministic")
    return hashlib.sha256(encoded).hexdigest()
