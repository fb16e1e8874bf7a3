"""Reading of fleet files and shapes.

A fleet file describes availability zones, work classes and client accounts in
TOML or JSON.
"""

import json
import tomllib
from pathlib import Path
from typing import Any

from persimmonyard.model import ResultCode, UserError

__all__ = ["parse_shape", "read_fleet_file"]

# Maps each section of the file to the field of a configuration change.
_FIELD_BY_SECTION = {
    "zones": "zone",
    "classes": "work_class",
    "accounts": "client_account",
}
_SHAPE_FIELDS = ("gang", "accelerators", "cores", "memory_mb", "adjacency")


def read_fleet_file(path: Path) -> list[dict[str, Any]]:
    """Return the configuration changes in a fleet file.

    A file has the sections ``zones``, ``classes`` and ``accounts``, each with
    one table for each name, and a list ``remove``.  Alternatively it has only
    a list ``changes`` in the format of the HTTP API.  Raises ``UserError``
    with code BAD_FIELD that describes the error in the file.
    """
    content = _load(path)
    if "changes" in content:
        changes = content["changes"]
        if not isinstance(changes, list) or len(content) != 1:
            raise _file_error(path, "'changes' must be a list and the only key")
        return changes
    parsed_changes: list[dict[str, Any]] = []
    for section, items in content.items():
        if section == "remove":
            continue
        field = _FIELD_BY_SECTION.get(section)
        if field is None:
            known = ", ".join([*_FIELD_BY_SECTION, "remove", "changes"])
            raise _file_error(path, f"section {section!r} is unknown; known: {known}")
        if not isinstance(items, dict):
            raise _file_error(path, f"{section!r} must contain one table for each name")
        for name, item in items.items():
            if not isinstance(item, dict):
                raise _file_error(path, f"'{section}.{name}' must be a table")
            parsed_changes.append({field: {"name": name} | item})
    for name in content.get("remove", []):
        parsed_changes.append({"remove": name})
    return parsed_changes


def parse_shape(text: str) -> dict[str, Any]:
    """Parse a shape in the form ``gang=4,accelerators=2,adjacency=rack``."""
    shape: dict[str, Any] = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name not in _SHAPE_FIELDS:
            raise _shape_error(
                f"{name!r} is unknown; known: {', '.join(_SHAPE_FIELDS)}"
            )
        if name == "adjacency":
            shape[name] = value
            continue
        if not value.isdigit():
            raise _shape_error(f"{name!r} must be a whole number, not {value!r}")
        shape[name] = int(value)
    return shape


def _load(path: Path) -> dict[str, Any]:
    try:
        text = path.read_text()
        content = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except (OSError, ValueError) as error:
        raise _file_error(path, str(error)) from error
    if not isinstance(content, dict):
        raise _file_error(path, "the top level must be a table")
    return content


def _file_error(path: Path, message: str) -> UserError:
    return UserError(ResultCode.BAD_FIELD, f"fleet file {path}: {message}")


def _shape_error(message: str) -> UserError:
    return UserError(ResultCode.BAD_FIELD, f"guarantee: {message}", "guarantee")
