"""Parsing of JSON bodies and query parameters; errors name the bad field."""

import json
import math
import re
from typing import Any, TypeVar

import msgspec

from persimmonyard.model import PersimmonyardError, ResultCode

__all__ = ["parse_json", "parse_wait_s", "require", "require_range"]

T = TypeVar("T")

_FIELD_IN_PATH = re.compile(r"at `\$\.?([^`]*)`")
_FIELD_IN_TEXT = re.compile(r"field `([^`]*)`")


def parse_json(data: bytes, expected: type[T]) -> T:
    """Decode JSON ``data`` into the type ``expected``.

    Raises BAD_JSON for malformed JSON or too deep nesting, and BAD_FIELD,
    UNKNOWN_FIELD or MISSING_FIELD with the name of the field otherwise.
    """
    try:
        return msgspec.json.decode(data, type=expected)
    except msgspec.ValidationError as error:
        raise _field_error(str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _syntax_error(data, error) from error
    except RecursionError as error:
        raise PersimmonyardError(
            ResultCode.BAD_JSON, "the body is nested too deeply"
        ) from error


def require(condition: bool, field: str, accepted: str) -> None:
    """Raise BAD_FIELD, naming what ``field`` accepts, unless ``condition``."""
    if not condition:
        raise PersimmonyardError(
            ResultCode.BAD_FIELD, f"{field!r} must be {accepted}", field
        )


def require_range(field: str, value: float, minimum: float, maximum: float) -> None:
    """Raise BAD_FIELD unless ``value`` is finite and within the bounds."""
    valid = math.isfinite(value) and minimum <= value <= maximum
    require(valid, field, f"between {minimum:g} and {maximum:g}")


def parse_wait_s(parameters: Any, maximum: float) -> float:
    """Return the query parameter ``wait_s`` in seconds, or 0 if it is absent.

    Any other parameter raises UNKNOWN_FIELD, because a call with a misspelt
    ``wait_s`` would silently return without waiting.
    """
    for name in parameters:
        if name != "wait_s":
            raise PersimmonyardError(
                ResultCode.UNKNOWN_FIELD, f"unknown query parameter {name!r}", name
            )
    text = parameters.get("wait_s", "0")
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    require_range("wait_s", value, 0, maximum)
    return value


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
    return PersimmonyardError(code, f"the body is not accepted: {text}", field)


def _syntax_error(data: bytes, error: Exception) -> PersimmonyardError:
    """Return the error for a body that is not valid JSON.

    ``NaN`` and ``Infinity`` are not valid JSON, but many encoders emit them.
    For a body that is otherwise valid, the error names the field with such a
    value.
    """
    try:
        document = json.loads(data)
    except (ValueError, RecursionError):
        return PersimmonyardError(ResultCode.BAD_JSON, f"the body is not JSON: {error}")
    field = _non_finite_field(document, "")
    if field is None:
        return PersimmonyardError(ResultCode.BAD_JSON, f"the body is not JSON: {error}")
    return PersimmonyardError(
        ResultCode.BAD_FIELD, f"{field!r} must be a finite number", field
    )


def _non_finite_field(value: Any, path: str) -> str | None:
    if isinstance(value, float) and not math.isfinite(value):
        return path or None
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    if isinstance(value, list):
        items = enumerate(value)
    for key, item in items:
        found = _non_finite_field(item, f"{path}.{key}" if path else str(key))
        if found is not None:
            return found
    return None
