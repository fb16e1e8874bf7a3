"""The fleet file: zones, classes and client accounts in TOML or JSON."""

import json
import tomllib
from pathlib import Path
from typing import Any

from persimmonyard.model import ResultCode, UserError

__all__ = ["read_fleet_file", "shape_of_text"]

# Section of the file and field of a change.
_FIELD_BY_SECTION = {
    "zones": "zone",
    "classes": "work_class",
    "accounts": "client_account",
}
_SHAPE_FIELDS = ("gang", "accelerators", "cores", "memory_mb", "adjacency")


def read_fleet_file(path: Path) -> list[dict[str, Any]]:
    """Return the changes in a fleet file.

    A file has tables ``zones``, ``classes`` and ``accounts`` by name and a
    list ``remove``, or a list ``changes`` in the form of the HTTP interface.
    Raises ``UserError`` that names what is wrong.
    """
    content = _read(path)
    if "changes" in content:
        changes = content["changes"]
        if not isinstance(changes, list) or len(content) != 1:
            raise _bad(path, "'changes' must be a list and stand alone")
        return changes
    found: list[dict[str, Any]] = []
    for section, items in content.items():
        if section == "remove":
            continue
        field = _FIELD_BY_SECTION.get(section)
        if field is None:
            known = ", ".join([*_FIELD_BY_SECTION, "remove", "changes"])
            raise _bad(path, f"section {section!r} is unknown; known: {known}")
        if not isinstance(items, dict):
            raise _bad(path, f"{section!r} must be tables by name")
        for name, item in items.items():
            if not isinstance(item, dict):
                raise _bad(path, f"'{section}.{name}' must be a table")
            found.append({field: {"name": name} | item})
    for name in content.get("remove", []):
        found.append({"remove": name})
    return found


def shape_of_text(text: str) -> dict[str, Any]:
    """Return the shape in ``gang=4,accelerators=2,adjacency=rack``."""
    shape: dict[str, Any] = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name not in _SHAPE_FIELDS:
            raise _bad_shape(f"{name!r} is unknown; known: {', '.join(_SHAPE_FIELDS)}")
        if name == "adjacency":
            shape[name] = value
            continue
        if not value.isdigit():
            raise _bad_shape(f"{name!r} must be a whole number, not {value!r}")
        shape[name] = int(value)
    return shape


def _read(path: Path) -> dict[str, Any]:
    try:
        text = path.read_text()
        content = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except (OSError, ValueError) as error:
        raise _bad(path, str(error)) from error
    if not isinstance(content, dict):
        raise _bad(path, "the file must hold one table")
    return content


def _bad(path: Path, message: str) -> UserError:
    return UserError(ResultCode.BAD_FIELD, f"fleet file {path}: {message}")


def _bad_shape(message: str) -> UserError:
    return UserError(ResultCode.BAD_FIELD, f"guarantee: {message}", "guarantee")
