"""Checks of settings, with messages that name the key and what it accepts."""

import ipaddress
import math
import os
import re
from pathlib import Path
from typing import Any

from persimmonyard.model import ResultCode, UserError

__all__ = ["check_settings", "explain_mismatch"]

_DIGEST = re.compile(r"[0-9a-f]{64}")
_PATH_IN_TEXT = re.compile(r"`\$\.?([^`]*)`")
_FIELD_IN_TEXT = re.compile(r"field `([^`]*)`")
_TYPES_IN_TEXT = re.compile(r"Expected `([^`]*)`, got `([^`]*)`")
_TYPE_NAMES = {
    "str": "a string",
    "int": "a whole number",
    "float": "a number",
    "array": "a list",
    "object": "a table",
    "bool": "true or false",
}

# Key, smallest and largest accepted value, unit.
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
    ("shutdown.notice_s", 0.0, 600.0, " seconds"),
    ("shutdown.drain_s", 0.0, 3_600.0, " seconds"),
)


def explain_mismatch(text: str, merged: dict[str, Any]) -> UserError:
    """Return the error for settings that msgspec refused with ``text``."""
    path = _found(_PATH_IN_TEXT, text)
    field = _found(_FIELD_IN_TEXT, text)
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
    types = _TYPES_IN_TEXT.search(text)
    if types is None:
        return UserError(ResultCode.BAD_SETTING, f"setting {key!r}: {text}", field=key)
    wanted = _TYPE_NAMES.get(types.group(1), types.group(1))
    found = _TYPE_NAMES.get(types.group(2), types.group(2))
    return _bad(key, f"{wanted}, not {found}")


def check_settings(settings: Any) -> None:
    """Raise ``UserError`` for the first value that is not accepted."""
    _check_ranges(settings)
    _check_process(settings)
    _check_addresses(settings)
    _check_hashes(settings)
    if settings.log.level not in ("debug", "info", "warning", "error"):
        raise _bad("log.level", '"debug", "info", "warning" or "error"')
    if settings.process.role == "control":
        _check_control(settings)


def _check_ranges(settings: Any) -> None:
    for key, smallest, largest, unit in _RANGES:
        section, _, name = key.partition(".")
        value = getattr(getattr(settings, section), name)
        if math.isfinite(value) and smallest <= value <= largest:
            continue
        raise _bad(key, f"between {smallest} and {largest}{unit}, not {value}")


def _check_process(settings: Any) -> None:
    if not settings.process.name:
        raise _bad("process.name", "a name that is unique in the deployment")
    if settings.process.role not in ("entry", "control"):
        raise _bad("process.role", '"entry" or "control"')
    if not settings.process.zone:
        raise _bad("process.zone", "the availability zone of the instance")


def _check_addresses(settings: Any) -> None:
    try:
        ipaddress.ip_address(settings.http.host)
    except ValueError:
        raise _bad("http.host", "a numeric IP address") from None
    if not settings.control.replicas:
        raise _bad("control.replicas", 'name = "address:port" of each control process')
    for name, address in settings.control.replicas.items():
        _check_address(f"control.replicas.{name}", address, 1)
    if settings.process.role == "control":
        _check_address("control.address", settings.control.address, 0)


def _check_address(key: str, address: str, smallest_port: int) -> None:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        valid = smallest_port <= int(port) <= 65_535
    except ValueError:
        valid = False
    if not valid:
        raise _bad(
            key,
            "a numeric IP address and a port between "
            f'{smallest_port} and 65535, like "127.0.0.1:7000", not {address!r}',
        )


def _check_hashes(settings: Any) -> None:
    for name in ("operator_token_hashes", "upstream_token_hashes"):
        for digest in getattr(settings.access, name):
            if _DIGEST.fullmatch(digest):
                continue
            raise _bad(
                f"access.{name}",
                "a list of SHA-256 digests of 64 lower-case hex digits; "
                "`persimmonyard hash-token` prints one",
            )


def _check_control(settings: Any) -> None:
    if settings.process.name not in settings.control.replicas:
        raise _bad("control.replicas", f"a table with {settings.process.name!r} in it")
    folder = settings.control.data_folder
    if not folder:
        raise _bad("control.data_folder", "a folder on a disk of the instance")
    nearest = Path(folder).absolute()
    while not nearest.exists():
        nearest = nearest.parent
    if not nearest.is_dir() or not os.access(nearest, os.W_OK):
        raise _bad(
            "control.data_folder", "a folder that exists or can be made, and written to"
        )


def _found(pattern: re.Pattern[str], text: str) -> str:
    match = pattern.search(text)
    return match.group(1) if match else ""


def _bad(key: str, accepted: str) -> UserError:
    return UserError(
        ResultCode.BAD_SETTING, f"setting {key!r} must be {accepted}", field=key
    )
