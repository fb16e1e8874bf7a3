"""Checks of settings.

Error messages name the key and the values that it accepts.
"""

import ipaddress
import math
import os
import re
from pathlib import Path
from typing import Any

from persimmonyard.model import ResultCode, UserError

__all__ = ["check_settings", "validation_user_error"]

_DIGEST = re.compile(r"[0-9a-f]{64}")
_PATH_PATTERN = re.compile(r"`\$\.?([^`]*)`")
_FIELD_PATTERN = re.compile(r"field `([^`]*)`")
_TYPES_PATTERN = re.compile(r"Expected `([^`]*)`, got `([^`]*)`")
_TYPE_NAMES = {
    "str": "a string",
    "int": "a whole number",
    "float": "a number",
    "array": "a list",
    "object": "a table",
    "bool": "true or false",
}

# Key, minimum, maximum, unit for messages.
_RANGES = (
    ("http.port", 0, 65_535, ""),
    ("http.headers_s", 0.1, 600.0, " seconds"),
    ("limits.body_bytes", 1_024, 16_777_216, " bytes"),
    ("limits.body_s", 0.1, 600.0, " seconds"),
    ("limits.connections", 1, 100_000, ""),
    ("limits.calls_per_account", 1, 100_000, ""),
    ("limits.waiting_requests", 0, 100_000, ""),
    ("limits.queued_commands", 1, 100_000, ""),
    ("limits.wait_s", 0.0, 3_600.0, " seconds"),
    ("intake.memory_bytes", 65_536, 1 << 40, " bytes"),
    ("intake.connection_bytes", 0, 1 << 40, " bytes"),
    ("intake.head_bytes", 1_024, 1_048_576, " bytes"),
    ("shutdown.notice_s", 0.0, 600.0, " seconds"),
    ("shutdown.drain_s", 0.0, 3_600.0, " seconds"),
)


def validation_user_error(text: str, merged: dict[str, Any]) -> UserError:
    """Return the error for a msgspec ``ValidationError`` with this ``text``.

    ``merged`` is the table of settings that msgspec refused.
    """
    path = _first_group(_PATH_PATTERN, text)
    field = _first_group(_FIELD_PATTERN, text)
    if "unknown field" in text:
        key = f"{path}.{field}" if path else field
        table: Any = merged
        for part in filter(None, path.split(".")):
            table = table[part]
        known = ", ".join(sorted(name for name in table if name != field))
        return UserError(
            ResultCode.BAD_SETTING,
            f"setting {key!r} is unknown; known here: {known}",
            field=key,
        )
    key = path.replace("[...]", "")
    types = _TYPES_PATTERN.search(text)
    if types is None:
        return UserError(ResultCode.BAD_SETTING, f"setting {key!r}: {text}", field=key)
    expected_type = _TYPE_NAMES.get(types.group(1), types.group(1))
    actual_type = _TYPE_NAMES.get(types.group(2), types.group(2))
    return _bad_setting(key, f"{expected_type}, not {actual_type}")


def check_settings(settings: Any) -> None:
    """Raise ``UserError`` for the first value that is not accepted.

    ``settings`` is a ``Settings`` object.
    """
    _check_ranges(settings)
    conflict = settings.intake_limits().find_conflict()
    if conflict:
        key, _, accepted = conflict.partition(" ")
        raise _bad_setting(f"intake.{key}", accepted)
    _check_process(settings)
    _check_addresses(settings)
    _check_hashes(settings)
    if settings.log.level not in ("debug", "info", "warning", "error"):
        raise _bad_setting("log.level", '"debug", "info", "warning" or "error"')
    if settings.process.role == "control":
        _check_control(settings)


def _check_ranges(settings: Any) -> None:
    for key, minimum, maximum, unit in _RANGES:
        section, _, name = key.partition(".")
        value = getattr(getattr(settings, section), name)
        if math.isfinite(value) and minimum <= value <= maximum:
            continue
        raise _bad_setting(key, f"between {minimum} and {maximum}{unit}, not {value}")


def _check_process(settings: Any) -> None:
    if not settings.process.name:
        raise _bad_setting("process.name", "a name that is unique in the deployment")
    if settings.process.role not in ("entry", "control"):
        raise _bad_setting("process.role", '"entry" or "control"')
    if not settings.process.zone:
        raise _bad_setting("process.zone", "the availability zone of the instance")


def _check_addresses(settings: Any) -> None:
    try:
        ipaddress.ip_address(settings.http.host)
    except ValueError:
        raise _bad_setting("http.host", "a numeric IP address") from None
    if not settings.control.replicas:
        raise _bad_setting(
            "control.replicas", 'name = "address:port" of each control process'
        )
    for name, address in settings.control.replicas.items():
        _check_address(f"control.replicas.{name}", address, 1)
    if settings.process.role == "control":
        _check_address("control.address", settings.control.address, 0)


def _check_address(key: str, address: str, min_port: int) -> None:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        valid = min_port <= int(port) <= 65_535
    except ValueError:
        valid = False
    if not valid:
        raise _bad_setting(
            key,
            "a numeric IP address and a port between "
            f'{min_port} and 65535, like "127.0.0.1:7000", not {address!r}',
        )


def _check_hashes(settings: Any) -> None:
    for name in ("operator_token_hashes", "upstream_token_hashes"):
        for digest in getattr(settings.access, name):
            if _DIGEST.fullmatch(digest):
                continue
            raise _bad_setting(
                f"access.{name}",
                "a list of SHA-256 digests of 64 lower-case hex digits; "
                "`persimmonyard hash-token` prints one",
            )


def _check_control(settings: Any) -> None:
    if settings.process.name not in settings.control.replicas:
        raise _bad_setting(
            "control.replicas", f"a table with {settings.process.name!r} in it"
        )
    folder = settings.control.data_folder
    if not folder:
        raise _bad_setting("control.data_folder", "a folder on a disk of the instance")
    existing_parent = Path(folder).absolute()
    while not existing_parent.exists():
        existing_parent = existing_parent.parent
    if not existing_parent.is_dir() or not os.access(existing_parent, os.W_OK):
        raise _bad_setting(
            "control.data_folder", "a folder that is writable or that can be created"
        )


def _first_group(pattern: re.Pattern[str], text: str) -> str:
    match = pattern.search(text)
    return match.group(1) if match else ""


def _bad_setting(key: str, accepted: str) -> UserError:
    return UserError(
        ResultCode.BAD_SETTING, f"setting {key!r} must be {accepted}", field=key
    )
