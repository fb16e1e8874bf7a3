"""What operators state: zones in service, classes, client accounts."""

from dataclasses import dataclass
from enum import StrEnum

from persimmonyard.model.shape import Shape

__all__ = [
    "AccessRole",
    "ClientAccountSpec",
    "ConfigurationChange",
    "WorkClassSpec",
    "ZoneSpec",
]


class AccessRole(StrEnum):
    """What a token allows its holder to do."""

    CLIENT = "client"
    OPERATOR = "operator"
    UPSTREAM = "upstream"


@dataclass(frozen=True)
class ZoneSpec:
    """An availability zone and whether new work may start in it."""

    name: str
    in_service: bool = True


@dataclass(frozen=True)
class WorkClassSpec:
    """A class of work and its target.

    ``within_s`` is the time from submission to the answer in seconds.
    ``done_by`` is a time of day, ``HH:MM`` in UTC.  A class has one of them
    or neither.  ``start_within_s`` bounds the wait before the first start.
    """

    name: str
    within_s: float | None = None
    done_by: str | None = None
    start_within_s: float | None = None


@dataclass(frozen=True)
class ClientAccountSpec:
    """A client account with its token hashes, guarantee and limits.

    ``guarantee`` is a list of shapes that the account can always get back.
    ``max_waiting`` bounds its waiting requests, ``max_accelerators`` what it
    may use at once (``None`` for no quota).
    """

    name: str
    token_hashes: tuple[str, ...] = ()
    role: AccessRole = AccessRole.CLIENT
    guarantee: tuple[Shape, ...] = ()
    max_waiting: int = 1_000
    max_accelerators: int | None = None


@dataclass(frozen=True)
class ConfigurationChange:
    """One change: set the given item, or remove the item named ``remove``.

    ``remove`` has the form ``kind/name``, for example ``class/fit-check``.
    """

    zone: ZoneSpec | None = None
    work_class: WorkClassSpec | None = None
    client_account: ClientAccountSpec | None = None
    remove: str | None = None
