"""Checked form of what callers send."""

import base64
import hashlib
import re
from typing import Any, TypeVar

import msgspec

from persimmonyard.model import (
    MAX_GANG,
    Adjacency,
    PersimmonyardError,
    ResultCode,
    Shape,
)

__all__ = ["ShapeBody", "SubmissionBody", "parse", "shape_of", "submission_digest"]

MAX_PAYLOAD_BYTES = 65_536

T = TypeVar("T")


class ShapeBody(msgspec.Struct, forbid_unknown_fields=True):
    """The shape in a request body."""

    gang: int = 1
    accelerators: int = 0
    cores: int = 1
    memory_mb: int = 1
    adjacency: Adjacency = Adjacency.NONE


class SubmissionBody(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The body of ``POST /v1/requests``; times are in seconds."""

    work_class: str = msgspec.field(name="class")
    key: str
    shape: ShapeBody = msgspec.field(default_factory=ShapeBody)
    declared_run_s: float
    idempotent: bool
    checkpointable: bool = False
    payload: str = ""
    wait_s: float = 0.0


_FIELD_IN_PATH = re.compile(r"at `\$\.?([^`]*)`")
_FIELD_IN_TEXT = re.compile(r"field `([^`]*)`")


def parse(data: bytes, expected: type[T]) -> T:
    """Return ``data`` as ``expected``; errors name the field at fault."""
    try:
        return msgspec.json.decode(data, type=expected)
    except msgspec.ValidationError as error:
        raise _field_error(str(error)) from error
    except msgspec.DecodeError as error:
        raise PersimmonyardError(
            ResultCode.BAD_JSON, f"the body is not JSON: {error}"
        ) from error


def _field_error(text: str) -> PersimmonyardError:
    code = ResultCode.BAD_FIELD
    if "unknown field" in text:
        code = ResultCode.UNKNOWN_FIELD
    if "missing required field" in text:
        code = ResultCode.MISSING_FIELD
    parts = []
    for pattern in (_FIELD_IN_PATH, _FIELD_IN_TEXT):
        found = pattern.search(text)
        if found and found.group(1):
            parts.append(found.group(1))
    field = ".".join(parts) or None
    return PersimmonyardError(code, text, field)


def shape_of(body: ShapeBody) -> Shape:
    """Return the checked shape."""
    _require(1 <= body.gang <= MAX_GANG, "shape.gang", f"1 to {MAX_GANG}")
    _require(body.accelerators >= 0, "shape.accelerators", "0 or more")
    _require(body.cores >= 1, "shape.cores", "1 or more")
    _require(body.memory_mb >= 1, "shape.memory_mb", "1 or more")
    return Shape(
        body.gang, body.accelerators, body.cores, body.memory_mb, body.adjacency
    )


def check_submission(body: SubmissionBody) -> None:
    """Raise the error for the first field with a bad value."""
    _require(1 <= len(body.key) <= 128, "key", "1 to 128 characters")
    _require(body.declared_run_s > 0, "declared_run_s", "more than 0 seconds")
    _require(body.wait_s >= 0, "wait_s", "0 seconds or more")
    if len(payload_bytes(body)) > MAX_PAYLOAD_BYTES:
        raise PersimmonyardError(
            ResultCode.BODY_TOO_LARGE,
            f"the payload has more than {MAX_PAYLOAD_BYTES} bytes",
            "payload",
        )


def payload_bytes(body: SubmissionBody) -> bytes:
    """Return the decoded payload."""
    try:
        return base64.b64decode(body.payload, validate=True)
    except ValueError as error:
        raise PersimmonyardError(
            ResultCode.BAD_FIELD, "the payload is not base64", "payload"
        ) from error


def submission_digest(body: SubmissionBody) -> str:
    """Return a digest of everything that makes two submissions the same."""
    content: dict[str, Any] = msgspec.to_builtins(body)
    content.pop("wait_s")
    encoded = msgspec.json.encode(content, order="deterministic")
    return hashlib.sha256(encoded).hexdigest()


def _require(condition: bool, field: str, accepted: str) -> None:
    if not condition:
        raise PersimmonyardError(
            ResultCode.BAD_FIELD, f"{field!r} must be {accepted}", field
        )
