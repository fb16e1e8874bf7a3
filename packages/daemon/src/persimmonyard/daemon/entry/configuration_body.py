"""Body of a configuration change: its types and their conversion."""

import re

import msgspec

from persimmonyard.daemon.entry.parsing import require, require_range
from persimmonyard.model import (
    MAX_GANG_SIZE,
    AccessRole,
    Adjacency,
    ClientAccountSpec,
    ConfigurationChange,
    Shape,
    WorkClassSpec,
    ZoneSpec,
)

__all__ = ["ConfigurationBody", "parse_changes"]

MAX_CHANGES = 10_000
MAX_NAME_LENGTH = 128
MAX_TARGET_S = 366 * 86_400.0
MAX_COUNT = 1 << 40
_TIME_OF_DAY = re.compile(r"([01][0-9]|2[0-3]):[0-5][0-9]")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_REMOVABLE = ("zone", "class", "account")


class ShapeFields(msgspec.Struct, forbid_unknown_fields=True):
    """The shape of one block of guaranteed capacity."""

    gang: int = 1
    accelerators: int = 0
    cores: int = 1
    memory_mb: int = 1
    adjacency: Adjacency = Adjacency.NONE


class ZoneFields(msgspec.Struct, forbid_unknown_fields=True):
    """An availability zone."""

    name: str
    in_service: bool = True


class ClassFields(msgspec.Struct, forbid_unknown_fields=True):
    """A class of work with at most one completion target."""

    name: str
    within_s: float | None = None
    done_by: str | None = None
    start_within_s: float | None = None


class AccountFields(msgspec.Struct, forbid_unknown_fields=True):
    """A client account."""

    name: str
    token_hashes: tuple[str, ...] = ()
    role: AccessRole = AccessRole.CLIENT
    guarantee: tuple[ShapeFields, ...] = ()
    max_waiting: int = 1_000
    max_accelerators: int | None = None


class ChangeFields(msgspec.Struct, forbid_unknown_fields=True):
    """One change; exactly one of its fields must be present."""

    zone: ZoneFields | None = None
    work_class: ClassFields | None = None
    client_account: AccountFields | None = None
    remove: str | None = None


class ConfigurationBody(msgspec.Struct, forbid_unknown_fields=True):
    """The body of ``POST /v1/operator/configuration``."""

    changes: list[ChangeFields]
    expected_version: int | None = None
    wait_s: float = 0.0


def parse_changes(changes: list[ChangeFields]) -> tuple[ConfigurationChange, ...]:
    """Convert changes to those of the model.

    Raises BAD_FIELD for the first invalid field.
    """
    require(1 <= len(changes) <= MAX_CHANGES, "changes", f"1 to {MAX_CHANGES} changes")
    parsed = []
    for number, change in enumerate(changes):
        parsed.append(_parse_change(change, f"changes[{number}]"))
    return tuple(parsed)


def _parse_change(change: ChangeFields, path: str) -> ConfigurationChange:
    values = (change.zone, change.work_class, change.client_account, change.remove)
    present = sum(value is not None for value in values)
    choices = "one of zone, work_class, client_account and remove"
    require(present == 1, path, f"a table with {choices}")
    if change.zone is not None:
        _check_name(f"{path}.zone.name", change.zone.name)
        zone = ZoneSpec(change.zone.name, change.zone.in_service)
        return ConfigurationChange(zone=zone)
    if change.work_class is not None:
        work_class = _parse_class(change.work_class, f"{path}.work_class")
        return ConfigurationChange(work_class=work_class)
    if change.client_account is not None:
        account = _parse_account(change.client_account, f"{path}.client_account")
        return ConfigurationChange(client_account=account)
    kind, _, name = (change.remove or "").partition("/")
    accepted = "zone/NAME, class/NAME or account/NAME"
    require(kind in _REMOVABLE and bool(name), f"{path}.remove", accepted)
    return ConfigurationChange(remove=change.remove)


def _parse_class(fields: ClassFields, path: str) -> WorkClassSpec:
    _check_name(f"{path}.name", fields.name)
    for field in ("within_s", "start_within_s"):
        value = getattr(fields, field)
        if value is None:
            continue
        accepted = f"more than 0 and at most {MAX_TARGET_S:.0f} seconds"
        require(0 < value <= MAX_TARGET_S, f"{path}.{field}", accepted)
    if fields.done_by is not None:
        valid = _TIME_OF_DAY.fullmatch(fields.done_by) is not None
        require(valid, f"{path}.done_by", "a time of day in UTC, HH:MM")
        require(
            fields.within_s is None,
            f"{path}.done_by",
            "absent if within_s is present: a class has one target",
        )
    return WorkClassSpec(
        fields.name, fields.within_s, fields.done_by, fields.start_within_s
    )


def _parse_account(fields: AccountFields, path: str) -> ClientAccountSpec:
    _check_name(f"{path}.name", fields.name)
    for number, digest in enumerate(fields.token_hashes):
        valid = _DIGEST.fullmatch(digest) is not None
        field = f"{path}.token_hashes[{number}]"
        require(valid, field, "a SHA-256 digest of 64 lower-case hex digits")
    require_range(f"{path}.max_waiting", fields.max_waiting, 0, MAX_COUNT)
    if fields.max_accelerators is not None:
        field = f"{path}.max_accelerators"
        require_range(field, fields.max_accelerators, 0, MAX_COUNT)
    guarantee = []
    for number, shape in enumerate(fields.guarantee):
        guarantee.append(_parse_shape(shape, f"{path}.guarantee[{number}]"))
    return ClientAccountSpec(
        fields.name,
        fields.token_hashes,
        fields.role,
        tuple(guarantee),
        fields.max_waiting,
        fields.max_accelerators,
    )


def _parse_shape(fields: ShapeFields, path: str) -> Shape:
    require_range(f"{path}.gang", fields.gang, 1, MAX_GANG_SIZE)
    require_range(f"{path}.accelerators", fields.accelerators, 0, MAX_COUNT)
    require_range(f"{path}.cores", fields.cores, 0, MAX_COUNT)
    require_range(f"{path}.memory_mb", fields.memory_mb, 0, MAX_COUNT)
    return Shape(
        fields.gang,
        fields.accelerators,
        fields.cores,
        fields.memory_mb,
        fields.adjacency,
    )


def _check_name(field: str, value: str) -> None:
    valid = 1 <= len(value) <= MAX_NAME_LENGTH and value.isprintable()
    valid = valid and "/" not in value
    require(valid, field, f"1 to {MAX_NAME_LENGTH} printable characters without '/'")
